//! All decisions of the system, as state machines without I/O.
//!
//! Nothing here does I/O, reads a clock or seeds its own random numbers. The event loop passes
//! each input with its time and carries out the actions that the state machine returns. The same
//! code can therefore be replayed from a recorded trace and fuzzed against an oracle.
//!
//! Invariants to know first:
//!
//! - **Time** is a [`std::time::Duration`] since the instance started, taken by the event loop from
//!   a monotonic clock. It may jump ahead by any amount if the process was paused. Safety never
//!   depends on time; time only decides when to give up.
//! - **Gossip and load reports** may be stale or missing. They decide where a call is sent, never
//!   whether it may run.
//! - **The log** is the only means by which instances agree. Only records read back from it count;
//!   neither an acknowledged nor a failed append proves anything.
//!
//! Modules:
//!
//! - [`model`]: names and small values that all modules share.
//! - [`document`]: the configuration document; [`check`]: its validation.
//! - [`record`]: the records of the log's streams.
//! - [`config_log`]: computes the configuration in force from the log.
//! - [`claims`]: ensures that a non-idempotent request runs at most once.
//! - [`membership`]: peers, their liveness and the gossip between them.
//! - [`endpoints`]: the state of each endpoint; once leaving, an incarnation stays leaving.
//! - [`subset`]: which endpoints of a large pool an instance uses.
//! - [`routing`], [`limits`], [`latency`]: which endpoint gets a call.
//! - [`timing`]: splits the remaining time over the stages and decides when to hedge.
//! - [`admission`], [`queue`], [`budget`]: which requests are admitted, in which order they run,
//!   and how many retries and hedges are allowed.
//! - [`policy`]: operators' scripts.
//! - [`instance`]: one entry instance, composed of the modules above.
//! - [`relay`]: exchanges with opaque bodies, routed by host and path.
//! - [`trace`]: records and replays an instance's inputs; [`content`]: whether traces keep or hash
//!   the callers' texts.

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
