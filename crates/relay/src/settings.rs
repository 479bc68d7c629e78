//! What a relay instance is told at its start.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use peatdeck_core::{model::Incarnation, relay::allowance::RetryBudgetConfig};
use peatdeck_macros::data;

/// What a relay instance is told at its start.
#[data]
pub struct Settings {
    /// Its name.
    pub name: Arc<str>,
    /// Its life; larger than that of the one before.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where the balancer asks whether it takes requests.
    pub ready: SocketAddr,
    /// Where its metrics can be read.
    pub metrics: SocketAddr,
    /// Where its peers reach it.
    pub peers: SocketAddr,
    /// Peers that may be there already, `ip:port`.
    pub seeds: Vec<Arc<str>>,
    /// The bound on repetition.
    pub retry_budget: RetryBudgetConfig,
    /// Instances that share that bound while no more are known.
    pub min_instances: usize,
    /// Time from being told to stop until the process is killed.
    pub grace: Duration,
    /// Bytes that callers' bodies may take up together.
    pub body_memory: usize,
    /// Its processor's share, in thousandths of a core.
    pub millicores: u32,
    /// File of the operators' policy; without one the built-in rules decide.
    pub policy: Option<Arc<str>>,
    /// Connections of callers at the most.
    pub connections: usize,
}
