//! Faults that can be set while a stand-in runs: `PUT /control/faults`.
//!
//! A `PUT` replaces all faults of the stand-in. Every field is optional; an
//! empty object removes all faults.

use std::sync::Arc;

use peatdeck_core::instance::input::RefuseReason;
use peatdeck_macros::message;

/// Faults of an engine or a service.
#[message]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFaults {
    /// The faults apply to this many further calls; to all calls when absent.
    pub calls: Option<u32>,
    /// Wait this long before the work, in milliseconds.
    pub delay_ms: u64,
    /// Accept the call, start it, and never reply.
    pub hang: bool,
    /// Close the connection after this many chunks (engine) or after this
    /// many bytes of the reply (service). A service has done its work by then.
    pub cut_after: Option<u32>,
    /// Refuse calls with this reason, without running anything.
    pub refuse: Option<RefuseReason>,
    /// Echo the id of another request: the newest other one, or an invented id.
    pub wrong_echo: bool,
    /// Send another request's output with the correct echo.
    pub swapped_output: bool,
    /// Send the whole reply twice (service) or each line twice (engine).
    pub duplicate: bool,
    /// Swap each two successive chunks (engine).
    pub reorder: bool,
    /// Multiply all times by this factor.
    pub slowdown: Option<f64>,
    /// Age of load reports in milliseconds, instead of the setting's.
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
    /// Wait this long before a request is processed, in milliseconds.
    pub delay_ms: u64,
    /// Delay the response by this long after the request is processed, in milliseconds.
    pub answer_ms: u64,
    /// Lose the responses to this many of the next appends, which take effect.
    pub lose_appends: u32,
    /// Probability, from 0 to 1, that an append's response is lost.
    pub lose_chance: f64,
    /// Seed of the random numbers for `lose_chance`.
    pub seed: u64,
    /// How a lost response appears to the appender.
    pub lose_by: LoseBy,
    /// Let an append take effect this long after its response was lost, in
    /// milliseconds.
    pub land_ms: u64,
    /// Drop this many of the next appends: no response and no effect.
    pub drop_appends: u32,
    /// Lose and drop appends to this stream only; to all streams when absent.
    pub stream: Option<Arc<str>>,
    /// Records to delete once, when the faults are set.
    pub expire: Vec<Expire>,
}

/// How a lost response appears to the appender.
#[message]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum LoseBy {
    /// The connection is closed without a response.
    #[default]
    Close,
    /// The response has the status 500.
    Error,
}

/// Records of a stream to delete.
#[message]
pub struct Expire {
    /// Name of the stream.
    pub stream: Arc<str>,
    /// Records before this offset are deleted.
    pub before: u64,
}

/// Faults of the list.
#[message]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct ListFaults {
    /// Answer 503 to every read of the list.
    pub outage: bool,
    /// Delay until a change appears, in milliseconds, instead of the setting's.
    pub lag_ms: Option<u64>,
    /// Interval in milliseconds at which the list alternates between the newest
    /// listing and the one before.
    pub flap_ms: Option<u64>,
}
