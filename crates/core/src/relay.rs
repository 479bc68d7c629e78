//! The relay: passes a caller's request, unparsed, to one endpoint.
//!
//! A pipeline of [`crate::instance`] consists of texts that peatdeck itself
//! interprets. The relay serves callers and endpoints that use a format of their
//! own: method, path, headers and body are passed through unchanged, and the
//! configuration maps host and path to the service that answers. The decisions are
//! the same in both: which endpoint receives a call, what may be repeated, which
//! requests are refused, and which answer the caller receives.
//!
//! An exchange goes through these phases:
//!
//! 1. [`Relay::on_request`]: route, team and service are looked up, or the
//!    exchange is refused.
//! 2. Its stages, if the route has any: pieces of work at other services,
//!    batched with those of other exchanges ([`batch`]). Their results are
//!    inputs of the call that follows.
//! 3. The call to an endpoint ([`choice`]). It is repeated at another endpoint only
//!    if it provably did not run, or if running it twice does no harm.
//! 4. Its end: the endpoint's answer, or a refusal that states whether anything may
//!    have run.
//!
//! Pitfalls:
//!
//! - Receiving nothing after bytes were sent does not prove that nothing ran.
//! - A result occupies memory at its endpoint until it is freed.
//! - When a paused instance resumes, all its timers fire at once, late.
//!
//! Modules: [`model`] and [`config`] define the data, [`operator`] the operators'
//! commands; [`table`] is a copy of one of the platform's tables, [`position`] the
//! position of a copy in the log, [`catch_up`] updates a copy from other instances'
//! copies, [`readers`] selects the instances that read from the platform;
//! [`directory`] holds the endpoints, [`engine`] estimates the load of those that
//! generate; [`allowance`] is the retry budget; [`fingerprint`] identifies equal
//! requests, [`ids`] holds names and keys, [`quarantine`] finds requests that crash endpoints; [`region`] maps data centres to
//! regions, [`allowed`] are the regions where a request may be served, [`overflow`] decides
//! which requests leave a full region; [`rollout`] moves a service to a new version;
//! [`streams`] remembers which version began a stream, [`peer_losses`] when peers ended, `stream_log` collects what the store's
//! log has to be told of that;
//! [`pool`] names the endpoints that work may go to; [`terms`] are the conditions that
//! endpoints state in replies; [`graph`] holds the stages of one exchange;
//! [`batch`] groups pieces of all exchanges into calls; [`choice`] selects an
//! endpoint; [`events`] splits a stream into server-sent events; `machine` combines
//! these, `exchange` is its state.

pub mod allowance;
pub mod allowed;
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
pub mod ids;
pub mod model;
pub mod operator;
pub mod overflow;
pub mod paths;
pub mod peer_losses;
pub mod pool;
pub mod position;
pub mod quarantine;
pub mod readers;
pub mod reading;
pub mod region;
pub mod registry;
pub mod rollout;
pub mod streams;
pub mod table;
pub mod terms;

mod exchange;
mod machine;
mod stream_log;

pub use machine::{ExchangeSummary, Relay, Settings, StoredOrigins};
