//! Tests of the operator's command line, a module per command.

#![allow(clippy::unwrap_used)]

mod burn;
mod check;
mod drain;
mod evacuate;
mod evacuations;
mod explain;
mod publish;
mod quarantine;
mod replay;
mod restore;
mod rollouts;
mod show;
mod status;
mod support;
mod terms;
mod token;
