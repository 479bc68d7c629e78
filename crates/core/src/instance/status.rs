//! The status report of an instance.

use std::sync::Arc;

use peatdeck_macros::data;

use crate::{
    endpoints::{Endpoint, State},
    instance::{Instance, input::Identity},
    model::{EndpointName, Incarnation, InstanceName, PoolName},
    record::Version,
};

/// The status of an instance, for operators.
#[data]
pub struct Status {
    /// Name, incarnation and data centre of the instance.
    pub identity: Identity,
    /// Reasons why the instance is not ready; empty if it is ready.
    pub reasons: Vec<Arc<str>>,
    /// The configuration version in force; 0 before any.
    pub version: Version,
    /// Number of active requests.
    pub running: u32,
    /// Peers considered alive.
    pub peers: Vec<InstanceName>,
    /// Status of each known endpoint.
    pub endpoints: Vec<EndpointStatus>,
}

/// The status of an endpoint, as this instance sees it.
#[data]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Pool of the endpoint.
    pub pool: PoolName,
    /// Incarnation of the endpoint; larger after a restart.
    pub incarnation: Incarnation,
    /// Whether the endpoint may get calls, and if not, why.
    pub state: State,
    /// Calls of this instance in flight at the endpoint.
    pub in_flight: u32,
    /// The most calls that this instance may have in flight there.
    pub limit: u32,
}

impl Instance {
    /// The current status.
    pub fn status(&self) -> Status {
        Status {
            identity: self.identity.clone(),
            reasons: self.unready_reasons(),
            version: self.plan.as_ref().map_or(0, |plan| plan.version),
            running: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            peers: self.members.alive(self.now),
            endpoints: self.table.iter().map(|endpoint| self.endpoint_status(endpoint)).collect(),
        }
    }
    fn endpoint_status(&self, endpoint: &Endpoint) -> EndpointStatus {
        EndpointStatus {
            name: endpoint.name.clone(),
            pool: endpoint.pool.clone(),
            incarnation: endpoint.incarnation,
            state: endpoint.state(),
            in_flight: endpoint.in_flight,
            limit: endpoint.limit(self.now),
        }
    }
}
