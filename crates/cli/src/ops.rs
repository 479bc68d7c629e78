//! The operations behind the commands.
//!
//! - [`source`]: a configuration file and where in it a problem is.
//! - [`client`]: the administration API.

pub mod client;
pub mod source;
