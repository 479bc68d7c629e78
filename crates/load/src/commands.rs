//! The commands, one file each: `cli` parses its flags, `exec` does it.

pub mod ceiling;
pub mod claims;
pub mod in_force;
pub mod pair;
pub mod record;
pub mod replay;
pub mod run;
