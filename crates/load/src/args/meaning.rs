//! What the shared flags mean together: the target, the plan and the setup.

use std::sync::Arc;

use crate::{
    args::{Started, System, Traffic},
    arrivals::Plan,
    error,
    experiment::{Given, Setup, Target},
    files, launch,
    preset::Preset,
    schedule::{self, Fault},
    tag,
    workload::Workload,
};

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
            list: self.list.as_deref().map(Arc::from),
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
