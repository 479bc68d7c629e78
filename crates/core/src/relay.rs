//! The relay: a caller's request passed on, unread, to one endpoint.
//!
//! A pipeline of [`crate::instance`] is made of texts that peatdeck itself
//! reads. The relay serves callers and endpoints that speak their own format:
//! method, path, headers and body go through untouched, and the configuration
//! says by host and path which service answers. What is decided here is the
//! same as there: which endpoint gets a call, what may be repeated, who is
//! refused, and what the caller is told.
//!
//! An exchange goes through these phases:
//!
//! 1. [`Relay::on_request`]: route, team and service are looked up, or the
//!    exchange is refused.
//! 2. Its stages, if the route has any: pieces of work at other services,
//!    batched with those of other exchanges ([`batch`]). Their results are
//!    inputs of the call that follows.
//! 3. The call to an endpoint ([`choice`]), repeated elsewhere only with proof
//!    that it did not run, or where running it twice does no harm.
//! 4. Its end: the endpoint's answer, or a refusal that says truthfully
//!    whether anything may have run.
//!
//! Traps:
//!
//! - Silence after bytes were sent is no proof that nothing ran.
//! - Whoever holds a result at an endpoint pays room for it until it is freed.
//! - Timers of an instance that was paused all fire at once, late.
//!
//! Map: [`model`] and [`config`] are the data, [`operator`] what operators order;
//! [`table`] the copy of what the
//! platform keeps, [`position`] how far it has got, [`catch_up`] how it learns from other instances' copies,
//! [`readers`] who reads it at the platform; [`directory`] the endpoints,
//! [`engine`] what those that generate are reckoned to have to do;
//! [`allowance`] the budget for repetition; [`fingerprint`] what makes two
//! requests the same, [`quarantine`] those that crash what runs them; [`terms`] what
//! endpoints say of themselves; [`graph`] one
//! exchange's stages; [`batch`] pieces of all exchanges; [`choice`] where a call goes; [`events`] server-sent events cut
//! into whole ones; `machine` puts it together, `exchange` is its state.

pub mod allowance;
pub mod backoff;
pub mod batch;
pub mod catch_up;
pub mod choice;
pub mod config;
pub mod directory;
pub mod engine;
pub mod events;
pub mod fingerprint;
pub mod graph;
pub mod model;
pub mod operator;
pub mod position;
pub mod quarantine;
pub mod readers;
pub mod reading;
pub mod table;
pub mod terms;

mod exchange;
mod machine;

pub use machine::{ExchangeSummary, Relay, Settings};
