//! Presets: whole systems with endpoints, configuration and traffic.
//!
//! A preset is a TOML file; those of the two users are built into the tool. The
//! capacity of a preset is computed from its slots and times, not measured:
//!
//! - A call occupies a slot for its whole time. For a service this is
//!   `call_ms`; for an engine it is `call_ms` for the prompt and `token_ms` for
//!   each token after the first. An engine generates three quarters of
//!   `max_tokens` on average, each slowed by the other calls of a full batch.
//! - A pool provides `endpoints x places` seconds of slot time a second, and
//!   the mix of classes determines how much of it a request needs. The capacity
//!   is the rate at which the first pool has no free slot left.
//!
//! Prompts count as uncached, so this is the lower bound. With all first-stage
//! prefixes cached the capacity is higher ([`Preset::warm_capacity`]).

use std::{sync::Arc, time::Duration};

use peatdeck_core::document::{Document, Stage};
use peatdeck_macros::message;

use crate::{
    error,
    workload::{Class, Workload},
};

/// A system to start and the traffic for it.
#[message]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Name, used in reports.
    pub name: Arc<str>,
    /// Number of entry instances.
    pub entries: usize,
    /// Data centres; entries and endpoints are assigned to them in rotation.
    pub data_centres: Vec<Arc<str>>,
    /// One-way latency between two data centres, in milliseconds.
    pub one_way_ms: f64,
    /// The endpoints of each pool.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
    /// The configuration that is published.
    pub config: Document,
    /// The mix of requests that is sent.
    pub traffic: Workload,
}

/// The endpoints of a pool.
#[message]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Concurrent calls of one endpoint.
    pub places: u32,
    /// Calls that can wait in the queue of one endpoint.
    pub queue: u32,
    /// Time of a call in milliseconds; for engines, time of the prompt.
    pub call_ms: f64,
    /// Time of each token after the first, in milliseconds; engines only.
    #[serde(default)]
    pub token_ms: f64,
    /// Factor by which each other running call slows a token, such as 0.1; engines only.
    #[serde(default)]
    pub batch_cost: f64,
}

/// Built-in presets.
const BUILT_IN: [(&str, &str); 3] = [
    ("wash-fleet", include_str!("../presets/wash-fleet.toml")),
    ("guild", include_str!("../presets/guild.toml")),
    ("thin", include_str!("../presets/thin.toml")),
];
/// Mean number of tokens that an engine generates, as a share of the maximum.
const MEAN_TOKENS: f64 = 0.75;
/// Time of a prompt with a cached prefix, as a share of the full time.
const CACHED_SHARE: f64 = 0.2;
const MILLIS_PER_SECOND: f64 = 1000.0;

impl Preset {
    /// Loads a built-in preset by its name, or a TOML file by its path.
    ///
    /// # Errors
    /// If there is none, or it is invalid.
    pub fn load(name: &str) -> error::Result<Preset> {
        if let Some((_, text)) = BUILT_IN.iter().find(|(known, _)| *known == name) {
            return Preset::parse(text);
        }
        if !name.ends_with(".toml") {
            let known = BUILT_IN.map(|(known, _)| known).join(", ");
            return Err(error::Error::UnknownPreset { name: name.to_owned(), known });
        }
        let text = std::fs::read_to_string(name)
            .map_err(|source| error::Error::File { path: name.to_owned(), source })?;
        Preset::parse(&text)
    }

    /// Parses and checks a preset.
    ///
    /// # Errors
    /// If the text is not a preset, or its parts contradict each other.
    pub fn parse(text: &str) -> error::Result<Preset> {
        let preset: Preset =
            toml::from_str(text).map_err(|err| error::Error::Preset(err.to_string()))?;
        preset.traffic.check()?;
        preset.check().map_err(error::Error::Preset)?;
        Ok(preset)
    }

    fn check(&self) -> Result<(), String> {
        if self.entries == 0 || self.data_centres.is_empty() {
            return Err("it needs an entry and a data centre".to_owned());
        }
        for class in &self.traffic.classes {
            if self.config.pipeline(&class.pipeline).is_none() {
                return Err(format!("class `{}` names no pipeline", class.pipeline));
            }
        }
        for team in &self.traffic.teams {
            if self.config.team(&team.name).is_none() {
                return Err(format!("team `{}` is not configured", team.name));
            }
        }
        for pool in &self.config.pools {
            let service = self.service(&pool.name);
            if service.is_none_or(|service| service.endpoints == 0 || service.places == 0) {
                return Err(format!("pool `{}` has no endpoints with places", pool.name));
            }
        }
        Ok(())
    }

    /// Multiplies all times, including deadlines, by `factor`.
    #[must_use]
    pub fn scaled(mut self, factor: f64) -> Preset {
        self.one_way_ms *= factor;
        for service in &mut self.services {
            service.call_ms *= factor;
            service.token_ms *= factor;
        }
        for class in &mut self.traffic.classes {
            class.deadline_ms = (class.deadline_ms as f64 * factor).round() as u64;
        }
        self
    }

    /// The endpoints of a pool; `None` if the preset has none.
    pub fn service(&self, pool: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.pool == pool)
    }

    /// Mean round trip between an entry and an endpoint, with each in a random
    /// data centre.
    pub fn round_trip(&self) -> Duration {
        let centres = self.data_centres.len() as f64;
        let remote_share = (centres - 1.0) / centres;
        Duration::from_secs_f64(2.0 * self.one_way_ms * remote_share / MILLIS_PER_SECOND)
    }

    /// Rate in requests a second at which the first pool has no free slot left, with no prompt
    /// cached.
    pub fn capacity(&self) -> f64 {
        self.pool_capacities(false).map(|(_, rate)| rate).fold(f64::INFINITY, f64::min)
    }

    /// The same rate with every prefix of a first stage cached.
    pub fn warm_capacity(&self) -> f64 {
        self.pool_capacities(true).map(|(_, rate)| rate).fold(f64::INFINITY, f64::min)
    }

    /// For each pool, the rate in requests a second at which it has no free slot left. With
    /// `warm`, prefixes of first stages count as cached.
    pub fn pool_capacities(&self, warm: bool) -> impl Iterator<Item = (Arc<str>, f64)> {
        self.services.iter().map(move |service| {
            let slots = service.endpoints as f64 * f64::from(service.places);
            (service.pool.clone(), slots / self.demand(service, warm))
        })
    }

    /// Mean slot time that a request needs in a pool over the mix of classes, in seconds.
    fn demand(&self, service: &Service, warm: bool) -> f64 {
        let classes = self.traffic.class_shares();
        classes.map(|(class, share)| share * self.class_demand(class, service, warm)).sum()
    }

    fn class_demand(&self, class: &Class, service: &Service, warm: bool) -> f64 {
        let Some(pipeline) = self.config.pipeline(&class.pipeline) else { return 0.0 };
        let stages = pipeline.stages.iter().enumerate();
        stages
            .filter(|(_, stage)| stage.pool == service.pool)
            .map(|(index, stage)| {
                let cached = warm && index == 0 && class.prefixes > 0;
                self.slot_time(service, stage, cached)
            })
            .sum()
    }

    /// Time for which one call occupies its slot, in seconds.
    fn slot_time(&self, service: &Service, stage: &Stage, cached: bool) -> f64 {
        let round_trip = self.round_trip().as_secs_f64() * MILLIS_PER_SECOND;
        let share = if cached { CACHED_SHARE } else { 1.0 };
        let prompt = service.call_ms * share + round_trip;
        let tokens = stage.max_tokens.map_or(0.0, |max| f64::from(max) * MEAN_TOKENS - 1.0);
        let batch = 1.0 + service.batch_cost * f64::from(service.places - 1);
        (prompt + tokens.max(0.0) * service.token_ms * batch) / MILLIS_PER_SECOND
    }
}
