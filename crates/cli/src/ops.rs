//! The operations behind the commands.
//!
//! - [`burn`]: computes the error budget burn report.
//! - [`source`]: reads and checks a configuration file.
//! - [`client`]: client of the administration API.
//! - [`explain`]: finds the log lines of one request.
//! - [`quarantine`]: lists and releases quarantined contents.
//! - [`relay`]: sends requests to a relay instance.

pub mod burn;
pub mod client;
pub mod explain;
pub mod quarantine;
pub mod relay;
pub mod source;
