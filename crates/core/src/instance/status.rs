//! What an instance tells of itself.

use std::sync::Arc;

use peatdeck_macros::data;

use crate::{
    endpoints::{Endpoint, State},
    instance::{Instance, input::Identity},
    model::{EndpointName, Incarnation, InstanceName, PoolName},
    record::Version,
};

/// What an instance tells of itself.
#[data]
pub struct Status {
    /// Who it is.
    pub identity: Identity,
    /// Reasons for not being ready; empty when ready.
    pub reasons: Vec<Arc<str>>,
    /// The configuration version in force; 0 before any.
    pub version: Version,
    /// Requests held.
    pub running: u32,
    /// Peers believed alive.
    pub peers: Vec<InstanceName>,
    /// Endpoints.
    pub endpoints: Vec<EndpointStatus>,
}

/// What is known of one endpoint.
#[data]
pub struct EndpointStatus {
    /// Its name.
    pub name: EndpointName,
    /// Its pool.
    pub pool: PoolName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it gets calls.
    pub state: State,
    /// Calls in flight there.
    pub in_flight: u32,
    /// Calls that may be in flight there.
    pub limit: u32,
}

impl Instance {
    /// The status now.
    pub fn status(&self) -> Status {
        Status {
            identity: self.identity.clone(),
            reasons: self.unready_reasons(),
            version: self.plan.as_ref().map_or(0, |plan| plan.version),
            running: u32::try_from(self.held.len()).unwrap_or(u32::MAX),
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
