//! The modules of an entry, and an entry process on stand-ins.

#![allow(clippy::unwrap_used)]

mod burn;
mod flush;
mod intake;
mod outcome;
mod serving;
mod settings;
mod stopping;
mod support;
mod trace;
