//! A process of a system, and its entry in the list.

use std::sync::Arc;

use peatdeck_core::{
    document::PoolKind,
    model::{EndpointEntry, Incarnation, InstanceEntry, Presence},
};

use crate::{
    error::Result,
    process::{Process, Spec},
};

/// Prefix of the line in which a process prints the address it serves on.
const LISTENING: &str = "listening ";
/// Prefix of the line in which an entry prints the address for its peers.
const PEERS: &str = "peers ";

/// A running process with its command line and address.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) spec: Spec,
    pub(super) process: Process,
    pub(super) addr: String,
}

#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) node: Node,
    pub(super) pool: Arc<str>,
    pub(super) kind: PoolKind,
    pub(super) incarnation: u64,
    pub(super) presence: Presence,
    pub(super) data_centre: Arc<str>,
}

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) node: Node,
    pub(super) peer_addr: String,
    pub(super) presence: Presence,
    pub(super) data_centre: Arc<str>,
}

impl Node {
    pub(super) fn start(spec: Spec) -> Result<Node> {
        let mut process = Process::start(&spec)?;
        let addr = process.line(LISTENING)?;
        Ok(Node { spec, process, addr })
    }
}

impl Endpoint {
    pub(super) fn start(
        spec: Spec,
        pool: Arc<str>,
        kind: PoolKind,
        incarnation: u64,
        data_centre: Arc<str>,
    ) -> Result<Endpoint> {
        let text = incarnation.to_string();
        let node = Node::start(spec.env("PEATDECK_INCARNATION", &text))?;
        Ok(Endpoint { node, pool, kind, incarnation, presence: Presence::Live, data_centre })
    }

    pub(super) fn listed(&self, name: &str) -> EndpointEntry {
        EndpointEntry {
            name: name.into(),
            pool: self.pool.clone(),
            addr: self.node.addr.as_str().into(),
            data_centre: self.data_centre.clone(),
            incarnation: Incarnation(self.incarnation),
            presence: self.presence,
            software: Arc::default(),
        }
    }
}

impl Entry {
    pub(super) fn start(spec: Spec, data_centre: Arc<str>) -> Result<Entry> {
        let mut node = Node::start(spec)?;
        let peer_addr = node.process.line(PEERS)?;
        Ok(Entry { node, peer_addr, presence: Presence::Live, data_centre })
    }

    pub(super) fn listed(&self, name: &str) -> InstanceEntry {
        InstanceEntry {
            name: name.into(),
            peer_addr: self.peer_addr.as_str().into(),
            http_addr: self.node.addr.as_str().into(),
            data_centre: self.data_centre.clone(),
            presence: self.presence,
        }
    }
}
