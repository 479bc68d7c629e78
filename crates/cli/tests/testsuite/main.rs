//! Tests of the operator's command line, a module per command.

#![allow(clippy::unwrap_used)]

mod burn;
mod check;
mod drain;
mod publish;
mod replay;
mod show;
mod status;
mod support;
