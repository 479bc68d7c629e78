//! Tests of the operator's command line, a module per command.

mod check;
mod drain;
mod publish;
mod show;
mod status;
mod support;
