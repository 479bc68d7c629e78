//! The process of a relay instance: forwards callers' requests to endpoints.
//!
//! One thread with one event loop owns all state: the state machine
//! [`peatdeck_core::relay::Relay`], the callers' connections, the calls to
//! endpoints, the copies of the platform's tables, and the peers. Each event
//! goes into the machine through [`driver::Driver`], which carries out the
//! actions that the machine returns. Only the machine takes decisions.
//!
//! The relay is independent of the platform that it runs on:
//! [`surroundings::Platform`] holds, as plain functions, everything that differs
//! between platforms.
//!
//! - [`settings`]: settings of an instance, read at its start.
//! - [`server`]: binds the sockets, starts the event loop, shuts it down.
//! - [`connections`]: callers' connections, and the responses that are under way on them.
//! - [`front`]: callers' requests and the responses to them.
//! - [`memory`]: accounts for the memory of bodies and events.
//! - [`driver`]: the state machine and the resources that its actions use.
//! - [`calls`]: calls to endpoints and their results.
//! - [`call_error`]: why a call brought no whole reply.
//! - [`correlation`]: which reply is the reply to a call.
//! - [`outgoing`]: requests to endpoints, sent directly or through a peer.
//! - [`step`]: direct calls to endpoints.
//! - [`pool`]: connections to endpoints and the platform.
//! - [`dialect`]: headers and bodies exchanged with callers and endpoints.
//! - [`native`]: the product's own dialect.
//! - [`surroundings`]: the interface to the platform.
//! - [`tables`]: the copies of the platform's tables.
//! - [`table_changes`]: passes changes of the tables on to the machine.
//! - [`follow`]: keeps the copies up to date from the platform's store.
//! - [`operators`]: the operators' HTTP interface of an instance.
//! - [`origins`]: the platform's list of versions and its log of streams.
//! - [`peers`]: communication with the other instances, over Cap'n Proto.
//! - [`records`]: records of the platform's quarantine table.
//! - [`rollouts`]: states of rollouts, their records and reports.
//! - [`repair`]: writes records again that the platform's store has lost.
//! - [`policy`]: loads the operators' policy from a file.
//! - [`decisions`]: one log line for each decision.
//! - [`regions`]: log lines about regions.

pub mod call_error;
pub mod calls;
pub mod connections;
pub mod correlation;
pub mod decisions;
pub mod dialect;
pub mod driver;
pub mod follow;
pub mod front;
pub mod memory;
pub mod native;
pub mod operators;
pub mod origins;
pub mod outgoing;
pub mod peers;
pub mod policy;
pub mod pool;
pub mod records;
pub mod regions;
pub mod repair;
pub mod rollouts;
pub mod server;
pub mod settings;
pub mod step;
pub mod surroundings;
pub mod table_changes;
pub mod tables;
