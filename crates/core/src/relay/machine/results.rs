//! Results at endpoints are given up as soon as nothing needs them.

use std::sync::Arc;

use crate::relay::{
    batch::Finished,
    config::Route,
    machine::Relay,
    model::{Action, ExchangeKey, Handle, ServiceName},
};

impl Relay {
    pub(super) fn free_results(&mut self, key: ExchangeKey) {
        let exchange = &mut self.exchanges[key];
        let (route, held) = (exchange.route.clone(), exchange.graph.take_all());
        self.free(&route, held);
    }

    pub(super) fn free_stray(&mut self, one: Finished) {
        if let Ok(handle) = one.result {
            self.free_at(&one.piece.service, vec![handle]);
        }
    }

    /// Gives up results of an exchange's stages.
    pub(super) fn free(&mut self, route: &Route, results: Vec<(usize, Handle)>) {
        let mut by_service: Vec<(ServiceName, Vec<Handle>)> = Vec::new();
        for (stage, handle) in results {
            let service = &route.stages[stage].service;
            match by_service.iter_mut().find(|(known, _)| known == service) {
                Some((_, handles)) => handles.push(handle),
                None => by_service.push((service.clone(), vec![handle])),
            }
        }
        for (service, handles) in by_service {
            self.free_at(&service, handles);
        }
    }

    /// Gives results up through the instance that batches their service, so
    /// that it knows how much room its endpoints have.
    pub(super) fn free_at(&mut self, service: &str, handles: Vec<Handle>) {
        match self.owner(service) {
            Some(peer) => self.actions.push(Action::FreeThrough { peer, handles }),
            None => self.free_here(handles),
        }
    }

    /// Gives results up at the endpoints that hold them.
    pub fn free_here(&mut self, handles: Vec<Handle>) {
        self.batches.freed(&handles);
        self.has_room = true;
        let mut by_addr: Vec<(Arc<str>, Vec<Handle>)> = Vec::new();
        for handle in handles {
            let Some(addr) = holder(&handle) else { continue };
            match by_addr.iter_mut().find(|(known, _)| **known == *addr) {
                Some((_, list)) => list.push(handle),
                None => by_addr.push((Arc::from(addr), vec![handle.clone()])),
            }
        }
        let actions = by_addr.into_iter().map(|(addr, handles)| Action::Free { addr, handles });
        self.actions.extend(actions);
    }
}

/// The address of the endpoint that holds a result: a handle begins with it.
fn holder(handle: &str) -> Option<&str> {
    handle.split_once('/').map(|(addr, _)| addr)
}
