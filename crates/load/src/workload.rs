//! The mix of requests: teams, classes of requests and their shares.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::message;

use crate::error;

/// A mix of requests.
#[message]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// The teams that send requests.
    #[serde(rename = "team")]
    pub teams: Vec<TeamShare>,
    /// The classes of requests; every team sends all of them.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
}

/// A team and its share of the requests.
#[message]
#[serde(deny_unknown_fields)]
pub struct TeamShare {
    /// Name of the team in the configuration.
    pub name: Arc<str>,
    /// Share of the requests, relative to the other teams.
    pub share: f64,
}

/// A class of requests.
#[message]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Pipeline that the requests are sent to.
    pub pipeline: Arc<str>,
    /// Share of the requests, relative to the other classes.
    pub share: f64,
    /// Whether the requests are idempotent.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the answers are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Deadline of the requests, in milliseconds.
    pub deadline_ms: u64,
    /// Length of the random part of an input, after the prefix, in bytes.
    #[serde(default = "default_input")]
    pub input_bytes: usize,
    /// Number of different prefixes that inputs start with; 0 for none.
    #[serde(default)]
    pub prefixes: u32,
    /// Length of a prefix, in bytes.
    #[serde(default)]
    pub prefix_bytes: usize,
}

/// Value of `input_bytes` if a class has none, in bytes.
const DEFAULT_INPUT: usize = 64;

fn default_input() -> usize {
    DEFAULT_INPUT
}

impl Class {
    /// Deadline of the requests.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

impl Workload {
    /// Reads a workload from TOML.
    ///
    /// # Errors
    /// If the text is not a workload, or no request can be drawn from it.
    pub fn parse(text: &str) -> Result<Workload, error::Error> {
        let workload: Workload =
            toml::from_str(text).map_err(|err| error::Error::Workload(err.message().to_owned()))?;
        workload.check()?;
        Ok(workload)
    }

    /// Checks that requests can be drawn from the workload.
    ///
    /// # Errors
    /// If a share is negative or not finite, or no team or no class has a share above zero.
    pub fn check(&self) -> Result<(), error::Error> {
        let teams = self.teams.iter().map(|team| team.share);
        let classes = self.classes.iter().map(|class| class.share);
        if !is_drawable(teams) {
            return Err(error::Error::Workload("no `[[team]]` has a share above 0".to_owned()));
        }
        if !is_drawable(classes) {
            return Err(error::Error::Workload("no `[[class]]` has a share above 0".to_owned()));
        }
        Ok(())
    }

    /// Share of each class in the requests; the shares add up to 1.
    pub fn class_shares(&self) -> impl Iterator<Item = (&Class, f64)> {
        let total: f64 = self.classes.iter().map(|class| class.share).sum();
        self.classes.iter().map(move |class| (class, class.share / total))
    }
}

fn is_drawable(shares: impl Iterator<Item = f64>) -> bool {
    let mut total = 0.0;
    for share in shares {
        if !share.is_finite() || share < 0.0 {
            return false;
        }
        total += share;
    }
    total > 0.0
}
