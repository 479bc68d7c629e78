//! The operations, one module each. They take what they need and know nothing
//! of HTTP paths.

pub mod check;
pub mod drain;
pub mod evacuate;
pub mod publish;
pub mod restore;
pub mod settle;
pub mod show;
pub mod status;
