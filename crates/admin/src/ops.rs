//! The operations, one module each. They take typed arguments and are
//! independent of HTTP.

pub mod check;
pub mod drain;
pub mod evacuate;
pub mod publish;
pub mod restore;
pub mod settle;
pub mod show;
pub mod status;
