//! Flags that several commands share.

use std::{path::PathBuf, sync::Arc, time::Duration};

use bpaf::{Parser, construct, long};
use peatdeck_macros::data;

use crate::{
    arrivals::Plan,
    error,
    experiment::{Given, Setup, Target},
    files, launch,
    preset::Preset,
    schedule::{self, Fault},
    span, tag,
    workload::Workload,
};

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
        .help("An entry instance that runs already, such as http://10.0.0.1:8080; may be repeated")
        .argument::<String>("URL")
        .many();
    let list = long("list")
        .env("PEATDECK_LIST_URL")
        .help("With --entry: the list of the stand-ins, such as http://10.0.0.1:7001, to read their records")
        .argument::<String>("URL")
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
    let seed = long("seed")
        .help("Seed of the arrivals")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback();
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
    let threads = long("threads")
        .help("Threads that send")
        .argument::<usize>("N")
        .fallback(2)
        .display_fallback();
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

impl Started {
    /// The preset, scaled; `None` where none is named.
    ///
    /// # Errors
    /// If it cannot be used.
    pub fn preset(&self) -> error::Result<Option<Preset>> {
        let Some(name) = &self.preset else { return Ok(None) };
        if !self.time_scale.is_finite() || self.time_scale <= 0.0 {
            return Err(error::Error::Setting {
                problem: format!("--time-scale {} is not above 0", self.time_scale),
                remedy: "give a factor such as 0.5".into(),
            });
        }
        let mut preset = Preset::load(name)?.scaled(self.time_scale);
        preset.entries = self.count.unwrap_or(preset.entries);
        Ok(Some(preset))
    }

    /// How the preset is started.
    ///
    /// # Errors
    /// If an environment variable is not of the form.
    pub fn launch(&self) -> error::Result<launch::Launch> {
        let env = self.env.iter().map(|pair| variable(pair)).collect::<error::Result<_>>()?;
        Ok(launch::Launch { flags: self.flags.clone(), env, logs: self.logs.clone() })
    }
}

impl System {
    /// The target, started where it has to be, and its preset.
    ///
    /// # Errors
    /// If neither or both kinds are given, or the system does not start.
    pub fn target(&self) -> error::Result<(Target, Option<Preset>)> {
        match (self.started.preset()?, self.entries.is_empty()) {
            (Some(preset), true) => {
                let system = launch::start(&preset, &self.started.launch()?)?;
                Ok((Target::Started(Box::new(system)), Some(preset)))
            }
            (None, false) => Ok((Target::Given(self.given()?), None)),
            _ => Err(error::Error::Setting {
                problem: "what to try is not clear".to_owned(),
                remedy: "give either --preset or --entry".into(),
            }),
        }
    }

    fn given(&self) -> error::Result<Given> {
        let document = self.document.as_deref().map(files::read_document).transpose()?;
        Ok(Given {
            entries: self.entries.iter().map(|entry| entry.as_str().into()).collect(),
            list: self.list.as_deref().map(|list| list.trim_end_matches('/').into()),
            document: document.map(Arc::new),
        })
    }
}

impl Traffic {
    /// The rate, from itself or from the preset's capacity.
    ///
    /// # Errors
    /// If neither or both are given, or it is not above 0.
    pub fn rate(&self, preset: Option<&Preset>) -> error::Result<f64> {
        let rate = match (self.rate, self.load, preset) {
            (Some(rate), None, _) => rate,
            (None, Some(load), Some(preset)) => load * preset.capacity(),
            _ => {
                return Err(error::Error::Setting {
                    problem: "the rate is not clear".to_owned(),
                    remedy: "give either --rate, or --load together with --preset".into(),
                });
            }
        };
        if rate.is_finite() && rate > 0.0 {
            return Ok(rate);
        }
        Err(error::Error::Setting {
            problem: format!("the rate {rate} is not above 0"),
            remedy: "give a positive --rate or --load".into(),
        })
    }

    /// The mix that is sent.
    ///
    /// # Errors
    /// If there is none.
    pub fn workload(&self, preset: Option<&Preset>) -> error::Result<Workload> {
        match (&self.workload, preset) {
            (Some(path), _) => Workload::parse(&files::read(path)?),
            (None, Some(preset)) => Ok(preset.traffic.clone()),
            (None, None) => Err(error::Error::Setting {
                problem: "what to send is not clear".to_owned(),
                remedy: "give --workload with a file, or --preset".into(),
            }),
        }
    }

    /// The faults of flags and file, by rising time.
    ///
    /// # Errors
    /// If one cannot be read.
    pub fn faults(&self) -> error::Result<Vec<Fault>> {
        let mut faults = match &self.schedule {
            Some(path) => schedule::parse_file(&files::read(path)?)?,
            None => Vec::new(),
        };
        for fault in &self.faults {
            faults.push(schedule::parse_flag(fault)?);
        }
        faults.sort_by_key(|fault| fault.at);
        Ok(faults)
    }

    /// The plan of arrivals.
    ///
    /// # Errors
    /// If the rate is not clear or the warm-up leaves nothing.
    pub fn plan(&self, preset: Option<&Preset>, faults: &[Fault]) -> error::Result<Plan> {
        if self.warm_up >= self.length {
            return Err(error::Error::Setting {
                problem: "the warm-up is not shorter than the run".to_owned(),
                remedy: "raise --length or lower --warm-up".into(),
            });
        }
        Ok(Plan {
            rate: self.rate(preset)?,
            length: self.length,
            bursts: schedule::bursts(faults),
            seed: self.seed,
            tag: self.tag(),
        })
    }

    /// First part of the requests' ids.
    pub fn tag(&self) -> Arc<str> {
        match &self.tag {
            Some(tag) => tag.as_str().into(),
            None => tag::fresh(),
        }
    }

    /// The setup of a run.
    pub fn setup(&self, label: &str, preset: Option<&Preset>, faults: Vec<Fault>) -> Setup {
        Setup {
            label: label.into(),
            seed: self.seed,
            length: self.length,
            warm_up: self.warm_up,
            capacity: preset.map(Preset::capacity),
            faults,
            resends: self.resends,
            threads: self.threads,
            direct: false,
            records: true,
        }
    }
}

fn variable(pair: &str) -> error::Result<(String, String)> {
    match pair.split_once('=') {
        Some((name, value)) if !name.is_empty() => Ok((name.to_owned(), value.to_owned())),
        _ => Err(error::Error::Setting {
            problem: format!("--entry-env {pair} has no name and value"),
            remedy: "write it as NAME=VALUE".into(),
        }),
    }
}
