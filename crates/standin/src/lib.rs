//! Stand-ins for what peatdeck runs against: the platform's log service and
//! list, model engines and plain services.
//!
//! They speak the formats of `peatdeck-wire` and nothing else, keep all state
//! in memory and can be made to fail on demand. Three rules make them useful
//! in tests:
//!
//! - **Answers are derived**, not stored: [`answer`] computes an output from
//!   the stage, the request and the input, so that a lost piece, a swapped
//!   answer or another request's answer shows.
//! - **Every call is recorded** ([`calls`]): what an endpoint ran can be
//!   compared with what callers were told.
//! - **Faults are data** ([`faults`]), set over HTTP while a stand-in runs.
//!
//! Map of the modules:
//!
//! - [`cli`]: roles and their settings; [`serve`]: binding and running one.
//! - [`log`], with [`streams`] and [`rate`]: the log service.
//! - [`list`], with [`listings`]: the lagging list.
//! - [`engine`] and [`service`]: endpoints, on top of [`endpoint`],
//!   [`places`], [`prefix`] and [`load`].
//! - [`answer`], [`calls`], [`faults`]: what tests use as a library.

pub mod answer;
pub mod calls;
pub mod cli;
pub mod endpoint;
pub mod engine;
pub mod faults;
pub mod list;
pub mod listings;
pub mod load;
pub mod log;
pub mod places;
pub mod prefix;
pub mod rate;
mod reply;
pub mod serve;
pub mod service;
pub mod streams;
