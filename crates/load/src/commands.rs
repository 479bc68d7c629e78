//! The commands, one module each: `cli` parses the arguments, `exec` runs the command.

pub mod ceiling;
pub mod claims;
pub mod in_force;
pub mod pair;
pub mod record;
pub mod replay;
pub mod run;
