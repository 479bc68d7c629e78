//! Settings of a relay instance.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use peatdeck_core::{
    model::Incarnation,
    relay::{allowance::RetryBudgetConfig, region::RegionMap, rollout},
};
use peatdeck_macros::data;

/// Assumed capacity of the link between two regions, in Mbit/s; the platform does not state it.
pub const DEFAULT_LINK_MBPS: u32 = 60;

/// The settings that a relay instance reads at its start.
#[data]
pub struct Settings {
    /// Name of the instance, unique among all instances.
    pub name: Arc<str>,
    /// Incarnation of the process; larger than that of any earlier one of this name.
    pub incarnation: Incarnation,
    /// Data centre that the instance runs in.
    pub data_centre: Arc<str>,
    /// The regions of the deployment.
    pub regions: RegionMap,
    /// Capacity of the link between two regions, in Mbit/s in each direction.
    pub link_mbps: u32,
    /// Limits of rollouts; `None` if the deployment has none, and versions are ignored.
    pub rollout: Option<rollout::Limits>,
    /// Address that callers connect to.
    pub front: SocketAddr,
    /// Address of the balancer's readiness checks.
    pub ready: SocketAddr,
    /// Address that serves metrics and operators' requests.
    pub metrics: SocketAddr,
    /// Address that peers connect to.
    pub peers: SocketAddr,
    /// Addresses of peers to contact while none is known, `ip:port`.
    pub seeds: Vec<Arc<str>>,
    /// Limits of the retry budget, shared by all instances.
    pub retry_budget: RetryBudgetConfig,
    /// How often endpoints write their entries in the directory at least.
    pub entry_interval: Duration,
    /// Number of instances assumed to share the retry budget while fewer are known.
    pub min_instances: usize,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Most bytes that the bodies of all active requests may occupy together.
    pub body_memory: usize,
    /// CPU share of the instance, in thousandths of a core.
    pub millicores: u32,
    /// Path of the operators' policy; without one the built-in rules apply.
    pub policy: Option<Arc<str>>,
    /// Most simultaneous connections of callers.
    pub connections: usize,
}
