//! The process of an entry instance: serves callers and runs their pipelines.
//!
//! One event loop on one thread owns everything: the state machine of
//! `peatdeck-core`, the callers' connections, the calls to endpoints, the
//! readers of the platform's log and list, and the connections to peers. Each
//! event becomes an input of the state machine through
//! [`driver::Driver::feed`], which returns actions that the driver carries out
//! in order. All decisions are taken in the state machine.
//!
//! - [`settings`]: flags and environment variables.
//! - [`server`]: binds the addresses, starts the event loop and shuts it down.
//! - [`driver`]: the state machine and the state that carries out its actions.
//! - [`callers`]: callers that wait for their outcome.
//! - [`calls`]: calls in flight to endpoints.
//! - [`platform_tasks`]: readers of log and list, appends.
//! - [`timer`]: sends the state machine a tick at the time it asks for.
//! - [`peers`]: the other instances, over Cap'n Proto.
//! - [`intake`]: parses and validates request bodies.
//! - [`outcome`]: converts an outcome to an HTTP status, headers and body.
//! - [`events`]: an answer as a stream of server-sent events.
//! - [`flush`]: tracks whether all responses have been written.
//! - [`counts`]: the event loop's own counters.
//! - [`routes`]: the HTTP interface.
//! - [`burn`]: outcomes by minute, for the error budget burn report.
//! - [`report`]: status and metrics.
//! - [`trace`]: optionally records the state machine's inputs.

pub mod burn;
pub mod callers;
pub mod calls;
pub mod counts;
pub mod driver;
pub mod events;
pub mod flush;
pub mod intake;
pub mod outcome;
pub mod peers;
pub mod platform_tasks;
pub mod report;
pub mod routes;
pub mod server;
pub mod settings;
pub mod timer;
pub mod trace;
