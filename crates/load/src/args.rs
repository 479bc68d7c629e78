//! Arguments that several commands share.

use std::{path::PathBuf, time::Duration};

use bpaf::{Parser, construct, long};
use peatdeck_macros::data;
use peatdeck_util::settings;

use crate::span;

mod meaning;

/// The system to send to: entries that run already, or a preset to start.
#[data]
pub struct TargetArgs {
    /// URLs of entry instances that run already; empty if a preset is started.
    pub entries: Vec<String>,
    /// URL of the platform's list, to read the endpoints' records.
    pub list: Option<String>,
    /// TOML file with the configuration in force, to verify answers.
    pub document: Option<PathBuf>,
    /// The preset to start.
    pub preset_args: PresetArgs,
}

/// A preset and how it is started.
#[data]
pub struct PresetArgs {
    /// Name or path of the preset.
    pub preset: Option<String>,
    /// Factor applied to all times of the preset.
    pub time_scale: f64,
    /// Number of entry instances; `None` for the number in the preset.
    pub count: Option<usize>,
    /// Additional arguments of the entries.
    pub flags: Vec<String>,
    /// Additional environment variables of the entries, `NAME=VALUE`.
    pub env: Vec<String>,
    /// Directory for the ends of the processes' logs; `None` to discard them.
    pub logs: Option<PathBuf>,
}

/// The requests to send and the faults to inject.
#[data]
pub struct TrafficArgs {
    /// Rate in requests a second; `None` if `load` is given.
    pub rate: Option<f64>,
    /// Rate as a multiple of the preset's capacity; `None` if `rate` is given.
    pub load: Option<f64>,
    /// How long requests are sent.
    pub length: Duration,
    /// Time at the start that is left out of the results.
    pub warm_up: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Prefix of the requests' ids; `None` to derive one from the clock.
    pub tag: Option<String>,
    /// TOML file with the mix; `None` for the preset's.
    pub workload: Option<PathBuf>,
    /// Faults, in the form of the `--fault` flag.
    pub faults: Vec<String>,
    /// TOML file with more faults.
    pub schedule: Option<PathBuf>,
    /// Most resends of one request.
    pub resends: u32,
    /// Number of sending threads.
    pub threads: usize,
}

/// Output files.
#[data]
pub struct OutputArgs {
    /// File for the report as JSON.
    pub json: Option<PathBuf>,
    /// File for a plot of attainment over time, as SVG.
    pub svg: Option<PathBuf>,
    /// File for the outcome of every request, one line of JSON each.
    pub samples: Option<PathBuf>,
}

/// Parses [`TargetArgs`].
pub fn system() -> impl Parser<TargetArgs> {
    let entries = long("entry")
        .help("An entry instance that runs already, such as 10.0.0.1:8080 or http://10.0.0.1:8080; may be repeated")
        .argument::<String>("URL")
        .parse(|text| settings::base_url(&text))
        .many();
    let list = long("list")
        .env("PEATDECK_LIST_URL")
        .help(
            "With --entry: the list of the stand-ins, such as 10.0.0.1:7001, to read their records",
        )
        .argument::<String>("URL")
        .parse(|text| settings::base_url(&text))
        .optional();
    let document = long("document")
        .help("With --entry: the configuration in force (TOML), to verify answers")
        .argument::<PathBuf>("FILE")
        .optional();
    let preset_args = preset_args();
    construct!(TargetArgs { entries, list, document, preset_args })
}

/// Parses [`PresetArgs`].
pub fn preset_args() -> impl Parser<PresetArgs> {
    let preset = long("preset")
        .env("PEATDECK_LOAD_PRESET")
        .help("Start this system and stop it afterwards: wash-fleet, guild, thin or a TOML file")
        .argument::<String>("NAME")
        .optional();
    let time_scale = long("time-scale")
        .help("Factor of all times of the preset, deadlines included")
        .argument::<f64>("FACTOR")
        .fallback(1.0)
        .display_fallback();
    let count = long("entries")
        .help("Number of entry instances to start, instead of the preset's")
        .argument::<usize>("N")
        .optional();
    let flags = long("entry-flag")
        .help("One more argument for the entries, such as --entry-flag=--decisions=plain; may be repeated")
        .argument::<String>("ARG")
        .many();
    let env = long("entry-env")
        .help("One more environment variable for the entries; may be repeated")
        .argument::<String>("NAME=VALUE")
        .many();
    let logs = long("logs")
        .help("Directory for the ends of the logs of the processes")
        .argument::<PathBuf>("DIR")
        .optional();
    construct!(PresetArgs { preset, time_scale, count, flags, env, logs })
}

/// Parses [`TrafficArgs`].
pub fn traffic() -> impl Parser<TrafficArgs> {
    let rate = long("rate").help("Requests a second").argument::<f64>("N").optional();
    let load = long("load")
        .help("Requests a second as a multiple of the preset's capacity")
        .argument::<f64>("FACTOR")
        .optional();
    let length = time("length", "For how long requests are sent", "20s");
    let warm_up = time("warm-up", "Time at the start that is left out of the results", "2s");
    let seed = seed();
    let tag = long("tag")
        .help("Prefix of the requests' ids; derived from the clock if not given")
        .argument::<String>("TEXT")
        .optional();
    let workload = long("workload")
        .help("The mix of teams and classes (TOML); the preset's if not given")
        .argument::<PathBuf>("FILE")
        .optional();
    let faults = long("fault")
        .help("A fault, KIND@AT[,KEY=VALUE]…, such as straggler@5s,factor=10,length=10s; may be repeated")
        .argument::<String>("FAULT")
        .many();
    let schedule =
        long("schedule").help("Faults as a TOML file").argument::<PathBuf>("FILE").optional();
    let resends = long("resends")
        .help("Most resends of a request after a refusal or a lost connection")
        .argument::<u32>("N")
        .fallback(0)
        .display_fallback();
    let threads = threads(2);
    construct!(TrafficArgs {
        rate,
        load,
        length,
        warm_up,
        seed,
        tag,
        workload,
        faults,
        schedule,
        resends,
        threads
    })
}

/// Parses [`OutputArgs`].
pub fn output() -> impl Parser<OutputArgs> {
    let json = long("json").help("Write the report as JSON").argument::<PathBuf>("FILE").optional();
    let svg =
        long("svg").help("Draw attainment over time as SVG").argument::<PathBuf>("FILE").optional();
    let samples = long("samples")
        .help("Write the outcome of every request, one line of JSON each")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(OutputArgs { json, svg, samples })
}

/// Parses the seed of the arrivals.
pub fn seed() -> impl Parser<u64> {
    long("seed").help("Seed of the arrivals").argument::<u64>("N").fallback(1).display_fallback()
}

/// Parses the number of sending threads.
pub fn threads(fallback: usize) -> impl Parser<usize> {
    long("threads")
        .help("Number of sending threads")
        .argument::<usize>("N")
        .fallback(fallback)
        .display_fallback()
}

/// Parses the number of repeats of each kind of phase.
pub fn repeats() -> impl Parser<usize> {
    long("repeats")
        .help("Phases of each kind at each rate")
        .argument::<usize>("N")
        .fallback(3)
        .display_fallback()
}

/// Parses a flag whose value is a duration such as `5s`.
pub fn time(
    name: &'static str,
    help: &'static str,
    fallback: &'static str,
) -> impl Parser<Duration> {
    long(name)
        .help(help)
        .argument::<String>("TIME")
        .fallback(fallback.to_owned())
        .display_fallback()
        .parse(|text| span::parse(&text))
}
