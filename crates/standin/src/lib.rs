//! Stand-ins for the services that peatdeck depends on: the platform's log
//! service and list, model engines and plain services.
//!
//! They use the formats of `peatdeck-wire` only, keep all state in memory and
//! can be made to fail on demand. Three properties make them useful in tests:
//!
//! - **Outputs are derived**, not stored: [`answer`] computes an output from
//!   the stage, the request and the input, so that a test detects a lost chunk,
//!   a swapped output or the output of another request.
//! - **Every call is recorded** ([`calls`]): tests compare what an endpoint ran
//!   with what callers received.
//! - **Faults are data** ([`faults`]), set over HTTP while a stand-in runs.
//!
//! Modules:
//!
//! - [`cli`]: roles and their settings; [`serve`]: binding and running one.
//! - [`log`], with [`streams`] and [`rate`]: the log service.
//! - [`list`], with [`listings`]: the platform's list, which lags.
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
