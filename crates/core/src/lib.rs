//! Every decision that peatdeck takes, as plain state machines.
//!
//! Nothing here does I/O, reads a clock or draws from a random source of its
//! own. An input arrives with its time; the answer is a list of actions for
//! the event loop that drives the machine. The same code can therefore be
//! replayed from a recorded trace and fuzzed against an oracle.
//!
//! Traps to know before reading on:
//!
//! - **Time** is a [`std::time::Duration`] since the instance started, taken
//!   from a monotonic clock by the driver. It may jump ahead by any amount
//!   (the process was paused). Safety never depends on it; it only decides
//!   when to give up.
//! - **Gossip and load reports** may be stale or missing. They decide where
//!   to send a call, never whether it may run.
//! - **The log** is the only thing that instances agree through. What was
//!   read back from it counts; an acknowledged or lost append does not.
//!
//! Map of the modules:
//!
//! - [`model`]: names and the small values that everything shares.
//! - [`document`]: the configuration document, [`check`]: whether it is valid.
//! - [`record`]: what is written to the log's streams.
//! - [`config_log`]: which configuration is in force, a fold over the log.
//! - [`claims`]: at most one run of a non-idempotent request.
//! - [`membership`]: peers, their liveness and what they tell each other.
//! - [`endpoints`]: what is known of each endpoint; leaving is sticky.
//! - [`subset`]: which endpoints of a large pool an instance keeps to.
//! - [`routing`], [`limits`], [`latency`]: where a call goes.
//! - [`timing`]: how the remaining time is split over stages, and when to hedge.
//! - [`admission`], [`queue`], [`budget`]: what is taken in, in which order,
//!   and how much repetition is allowed.
//! - [`policy`]: operators' short programs.
//! - [`instance`]: one entry instance, made of all of the above.
//! - [`relay`]: opaque exchanges, routed by host and path.
//! - [`trace`]: an instance's inputs recorded and replayed, [`content`]: the
//!   callers' texts in them, kept or hashed.

pub mod admission;
pub mod budget;
pub mod check;
pub mod claims;
pub mod config_log;
pub mod content;
pub mod document;
pub mod endpoints;
pub mod instance;
pub mod latency;
pub mod limits;
pub mod membership;
pub mod model;
pub mod policy;
pub mod queue;
pub mod record;
pub mod relay;
pub mod routing;
pub mod subset;
pub mod timing;
pub mod trace;
