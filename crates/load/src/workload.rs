//! Who sends what: teams, classes of requests and how often each occurs.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::message;

use crate::error;

/// A mix of requests from several teams.
#[message]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// The teams that send, with their share of the requests.
    #[serde(rename = "team")]
    pub teams: Vec<Sender>,
    /// The classes of requests that every team sends.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
}

/// A team as a source of requests.
#[message]
#[serde(deny_unknown_fields)]
pub struct Sender {
    /// Its name, as the configuration gives it.
    pub name: Arc<str>,
    /// Its share of the requests, relative to the other teams.
    pub share: f64,
}

/// A class of requests.
#[message]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The pipeline that answers it.
    pub pipeline: Arc<str>,
    /// Its share of the requests, relative to the other classes.
    pub share: f64,
    /// Whether its requests are idempotent.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether its answers are streamed.
    #[serde(default)]
    pub stream: bool,
    /// How long its callers wait, in milliseconds.
    pub deadline_ms: u64,
    /// Length of the part of the input that is the request's own, in bytes.
    #[serde(default = "default_input")]
    pub input_bytes: usize,
    /// How many different prefixes its inputs start with; 0 for none.
    #[serde(default)]
    pub prefixes: u32,
    /// Length of a prefix, in bytes.
    #[serde(default)]
    pub prefix_bytes: usize,
}

/// Length of an input where a class states none.
const DEFAULT_INPUT: usize = 64;

fn default_input() -> usize {
    DEFAULT_INPUT
}

impl Class {
    /// How long its callers wait.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

impl Workload {
    /// Reads a workload from TOML.
    ///
    /// # Errors
    /// If the text is no workload, or nothing could be drawn from it.
    pub fn parse(text: &str) -> Result<Workload, error::Error> {
        let workload: Workload =
            toml::from_str(text).map_err(|err| error::Error::Workload(err.message().to_owned()))?;
        workload.check()?;
        Ok(workload)
    }

    /// Checks that requests can be drawn from it.
    ///
    /// # Errors
    /// If no team or class has a share above zero.
    pub fn check(&self) -> Result<(), error::Error> {
        let teams = self.teams.iter().map(|team| team.share);
        let classes = self.classes.iter().map(|class| class.share);
        if !drawable(teams) {
            return Err(error::Error::Workload("no `[[team]]` has a share above 0".to_owned()));
        }
        if !drawable(classes) {
            return Err(error::Error::Workload("no `[[class]]` has a share above 0".to_owned()));
        }
        Ok(())
    }

    /// Share of the requests that belongs to each class, adding up to 1.
    pub fn class_shares(&self) -> impl Iterator<Item = (&Class, f64)> {
        let total: f64 = self.classes.iter().map(|class| class.share).sum();
        self.classes.iter().map(move |class| (class, class.share / total))
    }
}

fn drawable(shares: impl Iterator<Item = f64>) -> bool {
    let mut total = 0.0;
    for share in shares {
        if !share.is_finite() || share < 0.0 {
            return false;
        }
        total += share;
    }
    total > 0.0
}
