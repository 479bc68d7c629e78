//! The operations behind the commands.
//!
//! - [`burn`]: the report on service-level burn.
//! - [`source`]: a configuration file and where in it a problem is.
//! - [`client`]: the administration API.
//! - [`explain`]: one request's story out of log files.
//! - [`quarantine`]: what relay instances hold back.
//! - [`relay`]: questions to a relay instance.

pub mod burn;
pub mod client;
pub mod explain;
pub mod quarantine;
pub mod relay;
pub mod source;
