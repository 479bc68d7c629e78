//! Whole systems to try: endpoints, configuration and traffic.
//!
//! A preset is a TOML file; those of the two users come with the tool. The
//! capacity is worked out from the places and times in it, not measured:
//!
//! - A call holds its place for its time. A service's time is `call_ms`; an
//!   engine's is `call_ms` for the prompt and a `token_ms` for each token
//!   behind the first, of which it makes three quarters of `max_tokens` on
//!   average, each slowed by the other calls of a full batch.
//! - A pool can give `endpoints x places` seconds of place a second. The mix
//!   of classes takes some of it for each request. The capacity is the rate
//!   at which the first pool has no place left.
//!
//! Prompts are taken for uncached, so the capacity is the lower one; with all
//! first-stage prefixes cached an engine does more ([`Preset::warm_capacity`]).

use std::{sync::Arc, time::Duration};

use peatdeck_core::document::{Document, Stage};
use peatdeck_macros::message;

use crate::{
    error,
    workload::{Class, Workload},
};

/// A system to try.
#[message]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Its name.
    pub name: Arc<str>,
    /// Entry instances.
    pub entries: usize,
    /// Data centres; entries and endpoints are dealt over them in turn.
    pub data_centres: Vec<Arc<str>>,
    /// Time one way between two data centres, in milliseconds.
    pub one_way_ms: f64,
    /// The endpoints of each pool.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
    /// The configuration to publish.
    pub config: Document,
    /// What is sent.
    pub traffic: Workload,
}

/// The endpoints of a pool.
#[message]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The pool.
    pub pool: Arc<str>,
    /// How many.
    pub endpoints: usize,
    /// Calls that one works on at once.
    pub places: u32,
    /// Calls that wait inside one.
    pub queue: u32,
    /// Time of a call, of an engine's prompt, in milliseconds.
    pub call_ms: f64,
    /// Time of a token, in milliseconds; engines only.
    #[serde(default)]
    pub token_ms: f64,
    /// Share by which each further running call slows a token; engines only.
    #[serde(default)]
    pub batch_cost: f64,
}

/// The presets that come with the tool.
const BUILT_IN: [(&str, &str); 3] = [
    ("wash-fleet", include_str!("../presets/wash-fleet.toml")),
    ("guild", include_str!("../presets/guild.toml")),
    ("thin", include_str!("../presets/thin.toml")),
];
/// Tokens that an engine makes on average, of those asked for at the most.
const MEAN_TOKENS: f64 = 0.75;
/// What a cached prefix leaves of the time of a prompt.
const CACHED_SHARE: f64 = 0.2;
/// Milliseconds in a second.
const MILLIS: f64 = 1000.0;

impl Preset {
    /// A preset by the name of a built-in one, or by the path of a file.
    ///
    /// # Errors
    /// If there is none, or it cannot be used.
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

    /// Reads a preset.
    ///
    /// # Errors
    /// If its parts do not fit together.
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

    /// The same system with all times, deadlines included, `factor` times as long.
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

    /// The endpoints of a pool.
    pub fn service(&self, pool: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.pool == pool)
    }

    /// Mean time of the way to an endpoint and back: an entry and an endpoint
    /// are in the same data centre by chance.
    pub fn way(&self) -> Duration {
        let centres = self.data_centres.len() as f64;
        let away = (centres - 1.0) / centres;
        Duration::from_secs_f64(2.0 * self.one_way_ms * away / MILLIS)
    }

    /// Requests a second at which the first pool has no place left, no prompt cached.
    pub fn capacity(&self) -> f64 {
        self.limits(false).map(|(_, rate)| rate).fold(f64::INFINITY, f64::min)
    }

    /// The same with every prefix of a first stage cached.
    pub fn warm_capacity(&self) -> f64 {
        self.limits(true).map(|(_, rate)| rate).fold(f64::INFINITY, f64::min)
    }

    /// For each pool, the rate of requests at which it has no place left.
    pub fn limits(&self, warm: bool) -> impl Iterator<Item = (Arc<str>, f64)> {
        self.services.iter().map(move |service| {
            let places = service.endpoints as f64 * f64::from(service.places);
            (service.pool.clone(), places / self.demand(service, warm))
        })
    }

    /// Seconds of place that a request takes of a pool, over the mix of classes.
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
                self.place_time(service, stage, cached)
            })
            .sum()
    }

    /// How long one call holds its place, in seconds.
    fn place_time(&self, service: &Service, stage: &Stage, cached: bool) -> f64 {
        let way = self.way().as_secs_f64() * MILLIS;
        let share = if cached { CACHED_SHARE } else { 1.0 };
        let prompt = service.call_ms * share + way;
        let tokens = stage.max_tokens.map_or(0.0, |max| f64::from(max) * MEAN_TOKENS - 1.0);
        let batch = 1.0 + service.batch_cost * f64::from(service.places - 1);
        (prompt + tokens.max(0.0) * service.token_ms * batch) / MILLIS
    }
}
