//! Results at endpoints, which are freed as soon as nothing needs them.

use std::{sync::Arc, time::Duration};

use crate::relay::{
    batch::{FinishedPiece, queue::LARGE_RESULT_BYTES},
    config::Route,
    machine::Relay,
    model::{Action, ExchangeKey, Handle, ServiceName},
    pool::{Pool, PoolKey},
};

/// How long after the start of a call an engine has probably read its inputs, until an engine
/// shows otherwise. An engine reads them before anything else, and ten large results take 12
/// ms on a shared link of 10 Gbit/s. Freeing results then, and not at the first token, frees
/// memory some 200 ms sooner, for which a burst of pieces may be waiting.
pub(super) const INITIAL_READ_DELAY: Duration = Duration::from_millis(60);
/// Upper bound of that delay: the first token has come by then.
const MAX_READ_DELAY: Duration = Duration::from_secs(2);

impl Relay {
    /// Makes an exchange's results evictable some time after `begins`, when the engine starts
    /// to read them. If engines are the bottleneck, results are thus kept for longer, and
    /// pieces wait for result memory in their queue, in order of urgency, instead of at an
    /// engine.
    pub(super) fn schedule_eviction(&mut self, begins: Duration, key: ExchangeKey) {
        if !self.exchanges[key].route.stages.is_empty() {
            self.evictable_at.insert((begins + self.read_delay, key));
        }
    }

    /// Reports large results that engines have probably read to the batchers of their
    /// services.
    pub(super) fn report_evictable(&mut self, now: Duration) {
        while let Some(&(at, key)) = self.evictable_at.first()
            && at <= now
        {
            self.evictable_at.remove(&(at, key));
            let Some(exchange) = self.exchanges.get_mut(key) else { continue };
            if exchange.call.is_none() || exchange.has_sent_head {
                continue;
            }
            let route = exchange.route.clone();
            let results = exchange.graph.unfreed(&route, LARGE_RESULT_BYTES);
            exchange.has_evictable_results |= !results.is_empty();
            let region = exchange.region.clone();
            for (service, handles) in by_service(&route, results) {
                let pool = Pool { region: region.as_deref(), ..Pool::of(&service) };
                self.mark_evictable_at_batcher(pool, handles);
            }
        }
    }

    /// Reports results that calls for pieces have read to the batchers of their services, if
    /// pieces wait there. Elsewhere nothing needs these reports, some 40 messages a second
    /// with 86 instances.
    pub(super) fn report_read_inputs(&mut self, now: Duration) {
        let mut by_pool: Vec<(PoolKey, Vec<Handle>)> = Vec::new();
        let mut known: Option<(Arc<str>, PoolKey)> = None;
        // Handles are sorted, so those of one endpoint are adjacent.
        for handle in self.batcher.take_read(now) {
            let Some(addr) = holder_addr(&handle) else { continue };
            if known.as_ref().is_none_or(|(last, _)| **last != *addr) {
                let pool = self.directory.pool_at(addr);
                known = pool.map(|pool| (Arc::from(addr), pool));
            }
            let Some((_, pool)) = &known else { continue };
            match by_pool.iter_mut().find(|(other, _)| other == pool) {
                Some((_, handles)) => handles.push(handle),
                None => by_pool.push((pool.clone(), vec![handle])),
            }
        }
        for (pool, handles) in by_pool {
            if self.is_backlogged(now, &pool.service) {
                self.mark_evictable_at_batcher(pool.pool(), handles);
            }
        }
    }

    /// Reports evictable results to the batcher of their pool.
    fn mark_evictable_at_batcher(&mut self, pool: Pool<'_>, handles: Vec<Handle>) {
        match self.batcher_peer(pool) {
            Some(peer) => {
                let is_evictable = true;
                self.actions.push(Action::FreeViaPeer { peer, handles, is_evictable });
            }
            None => self.mark_evictable(handles),
        }
    }

    /// Marks results of calls that this instance made as evictable.
    pub fn mark_evictable(&mut self, handles: Vec<Handle>) {
        self.batcher.mark_evictable(&handles);
        self.has_freed_memory = true;
    }

    /// Doubles the delay until results become evictable, after an engine lacked results that
    /// may have been freed too early.
    pub(super) fn extend_read_delay(&mut self, key: ExchangeKey) {
        if std::mem::take(&mut self.exchanges[key].has_evictable_results) {
            self.read_delay = (self.read_delay * 2).min(MAX_READ_DELAY);
        }
    }

    pub(super) fn free_results(&mut self, key: ExchangeKey) {
        let exchange = &mut self.exchanges[key];
        let (route, region) = (exchange.route.clone(), exchange.region.clone());
        let unfreed = exchange.graph.take_unfreed();
        self.free(&route, region.as_deref(), unfreed);
    }

    pub(super) fn free_unclaimed(&mut self, outcome: FinishedPiece) {
        if let Ok(handle) = outcome.result {
            self.free_through_batcher(PoolKey::of(&outcome.piece).pool(), vec![handle]);
        }
    }

    /// Frees results of an exchange's stages, which ran in a region.
    pub(super) fn free(
        &mut self,
        route: &Route,
        region: Option<&str>,
        results: Vec<(usize, Handle)>,
    ) {
        for (service, handles) in by_service(route, results) {
            self.free_through_batcher(Pool { region, ..Pool::of(&service) }, handles);
        }
    }

    /// Frees results through the batcher of their pool, which keeps account of the free
    /// result memory of its endpoints.
    pub(super) fn free_through_batcher(&mut self, pool: Pool<'_>, handles: Vec<Handle>) {
        match self.batcher_peer(pool) {
            Some(peer) => {
                let is_evictable = false;
                self.actions.push(Action::FreeViaPeer { peer, handles, is_evictable });
            }
            None => self.free_at_endpoints(handles),
        }
    }

    /// Frees results at the endpoints that hold them.
    pub fn free_at_endpoints(&mut self, handles: Vec<Handle>) {
        self.batcher.record_freed(&handles);
        self.has_freed_memory = true;
        let mut by_addr: Vec<(Arc<str>, Vec<Handle>)> = Vec::new();
        for handle in handles {
            let Some(addr) = holder_addr(&handle) else { continue };
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

/// Groups results, given with their stages, by the services of these.
fn by_service(route: &Route, results: Vec<(usize, Handle)>) -> Vec<(ServiceName, Vec<Handle>)> {
    let mut groups: Vec<(ServiceName, Vec<Handle>)> = Vec::new();
    for (stage, handle) in results {
        let service = &route.stages[stage].service;
        match groups.iter_mut().find(|(known, _)| known == service) {
            Some((_, handles)) => handles.push(handle),
            None => groups.push((service.clone(), vec![handle])),
        }
    }
    groups
}

/// The address of the endpoint that holds a result: the handle's first part.
fn holder_addr(handle: &str) -> Option<&str> {
    handle.split_once('/').map(|(addr, _)| addr)
}
