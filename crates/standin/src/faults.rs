//! Faults that can be set while a stand-in runs: `PUT /control/faults`.
//!
//! A `PUT` replaces all faults of the role; every field is optional and an
//! empty object mends everything.

use std::sync::Arc;

use peatdeck_core::instance::input::RefuseReason;
use peatdeck_macros::message;

/// Faults of an engine or a service.
#[message]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFaults {
    /// They hold for this many more calls; for all calls when absent.
    pub calls: Option<u32>,
    /// Wait this long before the work, in milliseconds.
    pub delay_ms: u64,
    /// Take the call, start it, and never reply.
    pub hang: bool,
    /// Close the connection after this many chunks (engine) or after this
    /// many bytes of the reply (service). The work was done by then.
    pub cut_after: Option<u32>,
    /// Refuse without running anything.
    pub refuse: Option<RefuseReason>,
    /// Echo the id of another request, the newest other one if there is any.
    pub wrong_echo: bool,
    /// Give another request's output under the right echo.
    pub swapped_output: bool,
    /// Send the whole reply twice (service) or each line twice (engine).
    pub duplicate: bool,
    /// Send chunks pairwise in the wrong order (engine).
    pub reorder: bool,
    /// Multiply all times by this factor.
    pub slowdown: Option<f64>,
    /// Report load that is this old instead of as the setting says, in milliseconds.
    pub load_lag_ms: Option<u64>,
}

/// Faults of the log service.
#[message]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Answer 503 to everything.
    pub outage: bool,
    /// Answer 503 to reads.
    pub reject_reads: bool,
    /// Answer 503 to appends.
    pub reject_appends: bool,
    /// Wait this long before anything is done, in milliseconds.
    pub delay_ms: u64,
    /// Hold the answer back for this long when all is done, in milliseconds.
    pub answer_ms: u64,
    /// Lose the answers of the next so many appends. They take effect.
    pub lose_appends: u32,
    /// Lose an append's answer with this chance, between 0 and 1.
    pub lose_chance: f64,
    /// Seeds the draws for `lose_chance`.
    pub seed: u64,
    /// What the appender sees of a lost answer.
    pub lose_by: LoseBy,
    /// Let a lost append take effect this long after its appender lost the
    /// connection, in milliseconds.
    pub land_ms: u64,
    /// Lose the next so many appends whole: no answer and no effect.
    pub drop_appends: u32,
    /// Lost and dropped appends are those to this stream only.
    pub stream: Option<Arc<str>>,
    /// Drop records for good, once.
    pub expire: Vec<Expire>,
}

/// What the appender sees of a lost answer.
#[message]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum LoseBy {
    /// The connection is closed without an answer.
    #[default]
    Close,
    /// The answer is an error.
    Error,
}

/// Records to drop.
#[message]
pub struct Expire {
    /// The stream.
    pub stream: Arc<str>,
    /// Everything before this offset goes.
    pub before: u64,
}

/// Faults of the list.
#[message]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct ListFaults {
    /// Answer 503.
    pub outage: bool,
    /// Lag behind the truth by this much instead of by the setting, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Switch this often between the newest listing and the one before, in milliseconds.
    pub flap_ms: Option<u64>,
}
