//! What operators order of the relay.

use peatdeck_macros::data;

use crate::{model::DataCentre, relay::config::Config};

/// One order, as a record of the operators' table holds it.
#[data]
pub enum OperatorCommand {
    /// This configuration is in force, unless a newer one is.
    Configure(Config),
    /// The endpoints of this data centre get nothing more until that is taken back.
    Evacuate(DataCentre),
    /// The endpoints of this data centre are used again.
    Restore(DataCentre),
}
