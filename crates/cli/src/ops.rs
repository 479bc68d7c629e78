//! The operations behind the commands.
//!
//! - [`burn`]: the report on service-level burn.
//! - [`source`]: a configuration file and where in it a problem is.
//! - [`client`]: the administration API.

pub mod burn;
pub mod client;
pub mod explain;
pub mod source;
