//! Flags that several commands share.

use std::{path::PathBuf, time::Duration};

use bpaf::{Parser, construct, long};
use peatdeck_macros::data;
use peatdeck_util::settings;

use crate::span;

mod meaning;

/// What is tried: entries that run already, or a preset to start.
#[data]
pub struct System {
    /// Entry instances that run already.
    pub entries: Vec<String>,
    /// The platform's list.
    pub list: Option<String>,
    /// The configuration in force, as a TOML file.
    pub document: Option<PathBuf>,
    /// What to start.
    pub started: Started,
}

/// A preset, and how it is started.
#[data]
pub struct Started {
    /// The preset.
    pub preset: Option<String>,
    /// Factor of all its times.
    pub time_scale: f64,
    /// Entry instances, other than the preset says.
    pub count: Option<usize>,
    /// More flags for the entries.
    pub flags: Vec<String>,
    /// More environment for the entries, `NAME=VALUE`.
    pub env: Vec<String>,
    /// Where the processes' logs go.
    pub logs: Option<PathBuf>,
}

/// What is sent.
#[data]
pub struct Traffic {
    /// Requests a second.
    pub rate: Option<f64>,
    /// Requests as a multiple of the capacity.
    pub load: Option<f64>,
    /// For how long.
    pub length: Duration,
    /// The time at the start that does not count.
    pub warm_up: Duration,
    /// The seed of the arrivals.
    pub seed: u64,
    /// First part of the requests' ids.
    pub tag: Option<String>,
    /// The mix, as a TOML file.
    pub workload: Option<PathBuf>,
    /// Faults.
    pub faults: Vec<String>,
    /// Faults, as a TOML file.
    pub schedule: Option<PathBuf>,
    /// How often a caller sends again.
    pub resends: u32,
    /// Threads that send.
    pub threads: usize,
}

/// Where results go.
#[data]
pub struct Output {
    /// The report as JSON.
    pub json: Option<PathBuf>,
    /// Attainment over time as SVG.
    pub svg: Option<PathBuf>,
    /// Every request's end, a line of JSON each.
    pub samples: Option<PathBuf>,
}

/// Parses [`System`].
pub fn system() -> impl Parser<System> {
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
        .help("With --entry: the configuration in force (TOML), to compare answers by")
        .argument::<PathBuf>("FILE")
        .optional();
    let started = started();
    construct!(System { entries, list, document, started })
}

/// Parses [`Started`].
pub fn started() -> impl Parser<Started> {
    let preset = long("preset")
        .env("PEATDECK_LOAD_PRESET")
        .help("Start this system and end it afterwards: wash-fleet, guild, thin or a TOML file")
        .argument::<String>("NAME")
        .optional();
    let time_scale = long("time-scale")
        .help("Factor of all times of the preset, deadlines included")
        .argument::<f64>("FACTOR")
        .fallback(1.0)
        .display_fallback();
    let count = long("entries")
        .help("Entry instances to start, other than the preset says")
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
        .help("Folder for the ends of the logs of the processes")
        .argument::<PathBuf>("DIR")
        .optional();
    construct!(Started { preset, time_scale, count, flags, env, logs })
}

/// Parses [`Traffic`].
pub fn traffic() -> impl Parser<Traffic> {
    let rate = long("rate").help("Requests a second").argument::<f64>("N").optional();
    let load = long("load")
        .help("Requests a second as a multiple of the preset's capacity")
        .argument::<f64>("FACTOR")
        .optional();
    let length = time("length", "For how long requests are sent", "20s");
    let warm_up = time("warm-up", "Time at the start that does not count", "2s");
    let seed = seed();
    let tag = long("tag")
        .help("First part of the requests' ids; from the clock if not given")
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
        .help("How often a caller sends again after a refusal, when Retry-After says so")
        .argument::<u32>("N")
        .fallback(0)
        .display_fallback();
    let threads = threads(2);
    construct!(Traffic {
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

/// Parses [`Output`].
pub fn output() -> impl Parser<Output> {
    let json = long("json").help("Write the report as JSON").argument::<PathBuf>("FILE").optional();
    let svg =
        long("svg").help("Draw attainment over time as SVG").argument::<PathBuf>("FILE").optional();
    let samples = long("samples")
        .help("Write every request's end, a line of JSON each")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Output { json, svg, samples })
}

/// The seed of the arrivals.
pub fn seed() -> impl Parser<u64> {
    long("seed").help("Seed of the arrivals").argument::<u64>("N").fallback(1).display_fallback()
}

/// How many threads send.
pub fn threads(fallback: usize) -> impl Parser<usize> {
    long("threads")
        .help("Threads that send")
        .argument::<usize>("N")
        .fallback(fallback)
        .display_fallback()
}

/// How often each kind of phase is run.
pub fn repeats() -> impl Parser<usize> {
    long("repeats")
        .help("Phases of each kind at each rate")
        .argument::<usize>("N")
        .fallback(3)
        .display_fallback()
}

/// A flag that takes a span of time.
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
