//! Results at endpoints are given up as soon as nothing needs them.

use std::{sync::Arc, time::Duration};

use crate::relay::{
    batch::{FinishedPiece, queue::LARGE_RESULT_BYTES},
    config::Route,
    machine::Relay,
    model::{Action, ExchangeKey, Handle, ServiceName},
};

/// How long after its call an engine has probably read its inputs, as long as no
/// engine has shown otherwise: an engine reads them before anything else, and
/// ten large results take 12 ms on a link of 10 Gbit/s, which others use too.
/// Results that are given up then, and not with the first token, free room some
/// 200 ms sooner where a burst waits for nothing but room.
pub(super) const FIRST_READ_TIME: Duration = Duration::from_millis(60);
/// The longest such time: the first token has come by then.
const LONGEST_READ_TIME: Duration = Duration::from_secs(2);

impl Relay {
    /// An engine that is called with an exchange's results comes to them at that
    /// time: they are spare a while later. Where engines are what is scarce the
    /// results are so held for longer, and what cannot be read in time waits for
    /// room, where the most urgent goes first, and not at an engine.
    pub(super) fn spare_later(&mut self, begins: Duration, key: ExchangeKey) {
        if !self.exchanges[key].route.stages.is_empty() {
            self.spare_at.insert((begins + self.read_time, key));
        }
    }

    /// Tells who batches their services that large results are spare by now.
    pub(super) fn spare_results(&mut self, now: Duration) {
        while let Some(&(at, key)) = self.spare_at.first()
            && at <= now
        {
            self.spare_at.remove(&(at, key));
            let Some(exchange) = self.exchanges.get_mut(key) else { continue };
            if exchange.call.is_none() || exchange.has_sent_head {
                continue;
            }
            let route = exchange.route.clone();
            let results = exchange.graph.unfreed(&route, LARGE_RESULT_BYTES);
            exchange.has_evictable_results |= !results.is_empty();
            for (service, handles) in by_service(&route, results) {
                self.spare_at_owner(&service, handles);
            }
        }
    }

    /// Tells who batches their services of results that calls for pieces have read,
    /// where pieces wait: elsewhere it is traffic that nobody needs, some 40 messages a
    /// second with 86 instances.
    pub(super) fn spare_inputs(&mut self, now: Duration) {
        let mut by_service: Vec<(ServiceName, Vec<Handle>)> = Vec::new();
        let mut known: Option<(Arc<str>, ServiceName)> = None;
        // They are sorted, so those of one endpoint follow each other.
        for handle in self.batches.take_read(now) {
            let Some(addr) = holder(&handle) else { continue };
            if known.as_ref().is_none_or(|(last, _)| **last != *addr) {
                let service = self.directory.service_at(addr);
                known = service.map(|service| (Arc::from(addr), service));
            }
            let Some((_, service)) = &known else { continue };
            match by_service.iter_mut().find(|(name, _)| name == service) {
                Some((_, handles)) => handles.push(handle),
                None => by_service.push((service.clone(), vec![handle])),
            }
        }
        for (service, handles) in by_service {
            if self.is_waited_for(now, &service) {
                self.spare_at_owner(&service, handles);
            }
        }
    }

    /// Tells who batches a service that results are spare.
    fn spare_at_owner(&mut self, service: &str, handles: Vec<Handle>) {
        match self.owner(service) {
            Some(peer) => {
                let is_spare = true;
                self.actions.push(Action::FreeViaPeer { peer, handles, is_evictable: is_spare });
            }
            None => self.mark_evictable(handles),
        }
    }

    /// Results that this instance's calls made are spare.
    pub fn mark_evictable(&mut self, handles: Vec<Handle>) {
        self.batches.mark_evictable(&handles);
        self.has_room = true;
    }

    /// An engine missed results that may have been given up too early: from now
    /// on they are held twice as long.
    pub(super) fn note_early_spare(&mut self, key: ExchangeKey) {
        if std::mem::take(&mut self.exchanges[key].has_evictable_results) {
            self.read_time = (self.read_time * 2).min(LONGEST_READ_TIME);
        }
    }

    pub(super) fn free_results(&mut self, key: ExchangeKey) {
        let exchange = &mut self.exchanges[key];
        let (route, held) = (exchange.route.clone(), exchange.graph.take_unfreed());
        self.free(&route, held);
    }

    pub(super) fn free_stray(&mut self, one: FinishedPiece) {
        if let Ok(handle) = one.result {
            self.free_at(&one.piece.service, vec![handle]);
        }
    }

    /// Gives up results of an exchange's stages.
    pub(super) fn free(&mut self, route: &Route, results: Vec<(usize, Handle)>) {
        for (service, handles) in by_service(route, results) {
            self.free_at(&service, handles);
        }
    }

    /// Gives results up through the instance that batches their service, so
    /// that it knows how much room its endpoints have.
    pub(super) fn free_at(&mut self, service: &str, handles: Vec<Handle>) {
        match self.owner(service) {
            Some(peer) => {
                let is_spare = false;
                self.actions.push(Action::FreeViaPeer { peer, handles, is_evictable: is_spare });
            }
            None => self.free_at_endpoints(handles),
        }
    }

    /// Gives results up at the endpoints that hold them.
    pub fn free_at_endpoints(&mut self, handles: Vec<Handle>) {
        self.batches.record_freed(&handles);
        self.has_room = true;
        let mut by_addr: Vec<(Arc<str>, Vec<Handle>)> = Vec::new();
        for handle in handles {
            let Some(addr) = holder(&handle) else { continue };
            match by_addr.iter_mut().find(|(known, _)| **known == *addr) {
                Some((_, list)) => list.push(handle),
                None => by_addr.push((Arc::from(addr), vec![handle.clone()])),
            }
        }
        let actions =
            by_addr.into_iter().map(|(addr, handles)| Action::FreeResults { addr, handles });
        self.actions.extend(actions);
    }
}

/// Results with their stages, by the services of these.
fn by_service(route: &Route, results: Vec<(usize, Handle)>) -> Vec<(ServiceName, Vec<Handle>)> {
    let mut sorted: Vec<(ServiceName, Vec<Handle>)> = Vec::new();
    for (stage, handle) in results {
        let service = &route.stages[stage].service;
        match sorted.iter_mut().find(|(known, _)| known == service) {
            Some((_, handles)) => handles.push(handle),
            None => sorted.push((service.clone(), vec![handle])),
        }
    }
    sorted
}

/// The address of the endpoint that holds a result: a handle begins with it.
fn holder(handle: &str) -> Option<&str> {
    handle.split_once('/').map(|(addr, _)| addr)
}
