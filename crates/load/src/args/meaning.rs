//! Turns the shared arguments into the target, the plan and the setup of a run.

use std::sync::Arc;

use crate::{
    args::{PresetArgs, TargetArgs, TrafficArgs},
    arrivals::Plan,
    error,
    experiment::{ExternalSystem, Setup, Target},
    files, launch,
    preset::Preset,
    schedule::{self, Fault},
    tag,
    workload::Workload,
};

impl PresetArgs {
    /// The preset, scaled; `None` where none is named.
    ///
    /// # Errors
    /// If the time scale is not above 0, or the preset cannot be used.
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

    /// How the processes of the preset are started.
    ///
    /// # Errors
    /// If an environment variable is not of the form `NAME=VALUE`.
    pub fn launch(&self) -> error::Result<launch::LaunchOptions> {
        let env = self.env.iter().map(|pair| parse_variable(pair)).collect::<error::Result<_>>()?;
        Ok(launch::LaunchOptions { flags: self.flags.clone(), env, logs: self.logs.clone() })
    }
}

impl TargetArgs {
    /// The target and its preset, if any. Starts the system of a preset.
    ///
    /// # Errors
    /// If neither or both kinds are given, or the system does not start.
    pub fn target(&self) -> error::Result<(Target, Option<Preset>)> {
        match (self.preset_args.preset()?, self.entries.is_empty()) {
            (Some(preset), true) => {
                let system = launch::start(&preset, &self.preset_args.launch()?)?;
                Ok((Target::Started(Box::new(system)), Some(preset)))
            }
            (None, false) => Ok((Target::External(self.external()?), None)),
            _ => Err(error::Error::Setting {
                problem: "the arguments do not determine the target".to_owned(),
                remedy: "give either --preset or --entry".into(),
            }),
        }
    }

    fn external(&self) -> error::Result<ExternalSystem> {
        let document = self.document.as_deref().map(files::read_document).transpose()?;
        Ok(ExternalSystem {
            entries: self.entries.iter().map(|entry| entry.as_str().into()).collect(),
            list: self.list.as_deref().map(Arc::from),
            document: document.map(Arc::new),
        })
    }
}

impl TrafficArgs {
    /// Requests a second, given directly or as a multiple of the preset's capacity.
    ///
    /// # Errors
    /// If neither or both are given, or the rate is not above 0.
    pub fn rate(&self, preset: Option<&Preset>) -> error::Result<f64> {
        let rate = match (self.rate, self.load, preset) {
            (Some(rate), None, _) => rate,
            (None, Some(load), Some(preset)) => load * preset.capacity(),
            _ => {
                return Err(error::Error::Setting {
                    problem: "the arguments do not determine the rate".to_owned(),
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

    /// The mix to send: that of the file, else the preset's.
    ///
    /// # Errors
    /// If there is neither, or the file cannot be used.
    pub fn workload(&self, preset: Option<&Preset>) -> error::Result<Workload> {
        match (&self.workload, preset) {
            (Some(path), _) => Workload::parse(&files::read(path)?),
            (None, Some(preset)) => Ok(preset.traffic.clone()),
            (None, None) => Err(error::Error::Setting {
                problem: "no workload is given".to_owned(),
                remedy: "give --workload with a file, or --preset".into(),
            }),
        }
    }

    /// The faults from flags and file, in order of time.
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
    /// If the rate is not determined, or the warm-up is not shorter than the run.
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

    /// Prefix of the requests' ids.
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
            is_direct: false,
            reads_records: true,
        }
    }
}

fn parse_variable(pair: &str) -> error::Result<(String, String)> {
    match pair.split_once('=') {
        Some((name, value)) if !name.is_empty() => Ok((name.to_owned(), value.to_owned())),
        _ => Err(error::Error::Setting {
            problem: format!("--entry-env {pair} has no name and value"),
            remedy: "write it as NAME=VALUE".into(),
        }),
    }
}
