//! Commands of operators to the relay.

use peatdeck_macros::data;

use crate::{
    model::DataCentre,
    relay::{config::Config, model::ServiceName, rollout::Order},
};

/// One command, as a record of the operators' table holds it.
#[data]
pub enum OperatorCommand {
    /// Apply this configuration unless a newer one is in force.
    Configure(Config),
    /// Send nothing to the endpoints of this data centre until it is restored.
    Evacuate(DataCentre),
    /// Use the endpoints of this data centre again.
    Restore(DataCentre),
    /// Roll out a version of a service.
    RollOut(Order),
    /// End the rollout of a service that was ordered.
    WithdrawRollout(ServiceName),
}
