//! A relay instance as a process: passes callers' requests on to endpoints.
//!
//! One thread with one event loop owns everything: the decision machine
//! [`peatdeck_core::relay::Relay`], the callers' connections, the calls to
//! endpoints, the copies of the platform's tables, and the peers. Whatever
//! happens goes into the machine through [`driver::Driver`], which carries out
//! the actions that come back. No other place takes a decision.
//!
//! The relay is generic over its surroundings: [`surroundings::Platform`]
//! holds, as plain functions, all that differs from platform to platform.
//!
//! - [`settings`]: what an instance is told at its start.
//! - [`server`]: binds, starts the event loop, stops it whole.
//! - [`front`]: callers' requests and their answers.
//! - [`driver`]: the machine and what it holds.
//! - [`calls`]: calls to endpoints, and what came of them.
//! - [`pool`]: connections to endpoints and the platform.
//! - [`dialect`]: names of the headers that endpoints and callers speak.
//! - [`native`]: the product's own dialect.
//! - [`surroundings`]: the platform, as functions.
//! - [`tables`]: the copies of the platform's tables.
//! - [`follow`]: keeps them up to date from the platform's store.
//! - [`operators`]: what operators can ask an instance.
//! - [`peers`]: the other instances, over Cap'n Proto.
//! - [`records`]: what is held back, as the platform's table has it.
//! - [`repair`]: writes again what the platform's store has lost.
//! - [`policy`]: the operators' policy, read from a file.
//! - [`decisions`]: one log line a decision.

pub mod calls;
pub mod decisions;
pub mod dialect;
pub mod driver;
pub mod follow;
pub mod front;
pub mod native;
pub mod operators;
pub mod peers;
pub mod policy;
pub mod pool;
pub mod records;
pub mod repair;
pub mod server;
pub mod settings;
pub mod surroundings;
pub mod tables;
