//! Endpoints that this instance cannot connect to: peers are asked about them, and calls to
//! those that a peer reaches go through a peer.

use std::{sync::Arc, time::Duration};

use rand::seq::IndexedRandom;

use crate::{
    model::InstanceName,
    relay::{
        exchange::CallPurpose,
        machine::Relay,
        model::{Action, CallKey, EndpointId, EndpointKey, Failure, ProbeResult},
        paths::{Detour, Reach},
        pool::Pool,
    },
};

/// Peers that are asked about an endpoint at the same time; others may be cut off too.
const WITNESSES: usize = 3;

impl Relay {
    /// Number of endpoints that this instance could not connect to when it last tried.
    pub fn unreachable_count(&self) -> usize {
        self.paths.unreachable_count()
    }

    /// Whether this instance probably reaches no endpoint.
    pub fn is_cut_off(&self) -> bool {
        self.paths.is_cut_off()
    }

    /// A new connection to an address was opened, or could not be. Addresses of no endpoint are
    /// ignored.
    pub fn on_connect(&mut self, now: Duration, addr: &str, is_open: bool) {
        if !is_open || !self.paths.has_silent() {
            self.on_connection(now, addr, is_open);
        }
    }

    /// A new connection to an address served a call, or could not be opened. Addresses of no
    /// endpoint are ignored.
    pub fn on_connection(&mut self, now: Duration, addr: &str, is_open: bool) {
        let Some(endpoint) = self.directory.at_addr(addr) else { return };
        if is_open {
            self.record_connected(now, endpoint);
            return;
        }
        self.directory.doubt(now, endpoint);
        self.record_unreachable(now, endpoint);
        if self.paths.take_question(now, endpoint) {
            self.ask_peers(now, endpoint, ProbeResult::Unknown);
        }
    }

    /// The endpoint at an address has closed a connection that no call used, before the time
    /// until which it keeps such connections.
    pub fn on_idle_closed(&mut self, now: Duration, addr: &str) {
        if let Some(endpoint) = self.directory.at_addr(addr) {
            self.directory.doubt(now, endpoint);
            if self.directory.is_doubted(endpoint) {
                self.on_cut(now, endpoint, Vec::new());
            }
        }
    }

    /// An attempt to connect to an unreachable endpoint has ended.
    pub fn on_path_check(&mut self, now: Duration, endpoint: EndpointKey, is_open: bool) {
        if self.paths.record_check(now, endpoint, is_open) {
            self.record_connected(now, endpoint);
            if self.directory.mark_found(endpoint) {
                self.search(now);
                self.dispatch_all(now);
            }
        }
    }

    /// Peers answered whether they can connect to an endpoint to which this instance's own
    /// attempt ended with `own`.
    pub fn on_path_answers(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        own: ProbeResult,
        answers: &[(InstanceName, Reach)],
    ) {
        for (peer, reach) in answers {
            match reach {
                Reach::Reached => self.paths.record_help(now, peer, true),
                Reach::CutOff => self.paths.record_help(now, peer, false),
                Reach::Unreached | Reach::Unknown | Reach::Answered => {}
            }
        }
        let has = |wanted| answers.iter().any(|(_, reach)| *reach == wanted);
        if has(Reach::Reached) {
            self.directory.mark_connected(now, endpoint);
            self.clear_cut_runs(endpoint);
            self.interrupt_path(now, endpoint);
        } else if has(Reach::Unreached) {
            self.conclude_probe(now, endpoint, own);
        } else {
            // Peers that are cut off themselves cannot tell a crash from an interruption.
            self.conclude_probe(now, endpoint, ProbeResult::Unknown);
        }
    }

    /// Asks peers whether they can connect to an endpoint. Returns whether there are any.
    pub(super) fn ask_peers(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        own: ProbeResult,
    ) -> bool {
        let Some(id) = self.directory.get(endpoint).map(|known| known.id()) else { return false };
        let candidates = self.detour_peers(now, endpoint);
        let peers: Vec<_> = candidates.choose_multiple(&mut self.rng, WITNESSES).cloned().collect();
        if peers.is_empty() {
            return false;
        }
        self.actions.push(Action::AskPeers { endpoint, id, own, peers });
        true
    }

    /// The same as `detour_to`, for an address and a call that is not tracked.
    pub fn detour_to_addr(&mut self, now: Duration, addr: &str) -> Option<Detour> {
        let endpoint = self.directory.at_addr(addr)?;
        self.choose_detour(now, endpoint)
    }

    /// The peer through which a call to an endpoint is made; `None` if it is made directly, or
    /// no peer is left.
    pub(super) fn detour_to(&mut self, now: Duration, endpoint: EndpointKey) -> Option<Detour> {
        let detour = self.choose_detour(now, endpoint)?;
        self.paths.record_sent(&detour.peer);
        Some(detour)
    }

    fn choose_detour(&mut self, now: Duration, endpoint: EndpointKey) -> Option<Detour> {
        if !self.paths.is_interrupted(endpoint) {
            return None;
        }
        let id = self.directory.get(endpoint)?.id();
        let mut peers = self.detour_peers(now, endpoint);
        if self.paths.has_silent() && peers.iter().any(|peer| self.paths.is_proved(peer)) {
            // The connections of others may carry nothing either, without their knowing it yet.
            peers.retain(|peer| self.paths.is_proved(peer));
        }
        let (one, other) = (peers.choose(&mut self.rng)?, peers.choose(&mut self.rng)?);
        let peer = self.paths.better(one, other).clone();
        Some(Detour { peer, endpoint: id })
    }

    /// A peer did not make a call, for a reason that does not concern the endpoint. Nothing
    /// was sent.
    pub fn on_detour_refused(&mut self, now: Duration, call: CallKey) {
        let Some(state) = self.calls.get(call) else { return };
        let (endpoint, purpose) = (state.endpoint, state.purpose);
        if let Some(detour) = state.via.clone() {
            self.paths.record_help(now, &detour.peer, false);
        }
        match purpose {
            CallPurpose::Exchange(key) => {
                if let Some(exchange) = self.exchanges.get_mut(key) {
                    exchange.tried.retain(|tried| *tried != endpoint);
                }
                self.on_call_failure(now, call, Failure::Unsent);
            }
            CallPurpose::Pieces => self.on_pieces_failure(now, call, Failure::Unsent, false),
        }
        if let Some(known) = self.directory.get_mut(endpoint) {
            known.clear_failures();
        }
    }

    /// Where a call of a peer to an endpoint is sent; `None` if this instance does not send
    /// it, since it uses the endpoint no more or reaches it no better.
    pub fn detour_target(&self, now: Duration, id: &EndpointId) -> Option<Arc<str>> {
        let endpoint = self.directory.by_id(id)?;
        let known = self.directory.get(endpoint)?;
        let pool = self.directory.pool_of(known);
        let pool = Pool { track: self.directory.track_of(known), ..pool.pool() };
        let is_usable = self.directory.usable(now, pool).contains(&endpoint);
        let is_reached = !self.paths.is_interrupted(endpoint);
        (is_usable && is_reached).then(|| known.entry.addr.clone())
    }

    /// The address of another endpoint, to find out whether this instance reaches any.
    pub fn another_endpoint(&mut self, addr: &str) -> Option<Arc<str>> {
        let others = self.directory.all().filter(|it| it.is_ready() && *it.entry.addr != *addr);
        let others: Vec<_> = others.map(|it| it.entry.addr.clone()).collect();
        others.choose(&mut self.rng).cloned()
    }

    /// Endpoints that can be called neither directly nor through a peer now.
    pub(super) fn unreachable_of(&self, now: Duration, pool: Pool<'_>) -> Vec<EndpointKey> {
        let usable = self.directory.usable(now, pool).into_iter();
        let interrupted = usable.filter(|key| self.paths.is_interrupted(*key));
        interrupted.filter(|key| self.detour_peers(now, *key).is_empty()).collect()
    }

    /// Tries to connect to an unreachable endpoint, if it is time to.
    pub(super) fn check_paths(&mut self, now: Duration) {
        let Some(endpoint) = self.paths.take_check(now) else { return };
        if let Some(known) = self.directory.get(endpoint) {
            let (addr, is_silent) = (known.entry.addr.clone(), self.paths.is_silent(endpoint));
            self.actions.push(Action::CheckPath { endpoint, addr, is_silent });
        }
    }

    /// Drops the paths to endpoints that accept no work any more.
    pub(super) fn forget_paths(&mut self) {
        let directory = &self.directory;
        self.paths.retain(|key| directory.is_expected(key));
    }

    /// Peers that may call an endpoint for this instance: those in its region, so that a
    /// request stays where it may be served.
    pub(super) fn detour_peers(&self, now: Duration, endpoint: EndpointKey) -> Vec<InstanceName> {
        let Some(known) = self.directory.get(endpoint) else { return Vec::new() };
        let region = self.directory.regions().work_region(&known.entry.data_centre);
        let peers = self.peers_in(region.as_deref());
        let names = peers.map(|peer| &peer.name);
        names.filter(|name| self.paths.is_available(now, name)).cloned().collect()
    }

    pub(super) fn record_connected(&mut self, now: Duration, endpoint: EndpointKey) {
        self.directory.mark_connected(now, endpoint);
        let was_cut_off = self.paths.is_cut_off();
        if self.paths.record_connected(now, endpoint) {
            self.report_path(endpoint, true);
        }
        if was_cut_off {
            self.actions.push(Action::CutOff(false));
        }
    }

    fn record_unreachable(&mut self, now: Duration, endpoint: EndpointKey) {
        if self.paths.record_failure(now, endpoint) {
            self.report_path(endpoint, false);
        }
    }

    /// A peer reaches an endpoint that this instance cannot connect to. What its failures
    /// taught does not count, and its idle connections may be dead.
    fn interrupt_path(&mut self, now: Duration, endpoint: EndpointKey) {
        self.record_unreachable(now, endpoint);
        let mut affected = vec![endpoint];
        if self.paths.record_interruption(now, endpoint) {
            self.actions.push(Action::CutOff(true));
            affected = self.directory.keys().collect();
        } else if !self.paths.is_cut_off() && !self.paths.has_silent() {
            self.probe_another(endpoint);
        }
        for key in affected {
            let Some(known) = self.directory.get_mut(key) else { continue };
            known.clear_failures();
            self.actions.push(Action::Disconnect(known.entry.addr.clone()));
        }
        self.search(now);
        self.dispatch_all(now);
    }

    /// The same for a path whose connections open and carry nothing.
    pub(super) fn interrupt_silent_path(&mut self, now: Duration, endpoint: EndpointKey) {
        self.paths.record_silence(now, endpoint);
        self.interrupt_path(now, endpoint);
    }

    /// Finds out whether the path to another endpoint is interrupted too.
    fn probe_another(&mut self, endpoint: EndpointKey) {
        let is_open = |key: &EndpointKey| *key != endpoint && !self.paths.is_interrupted(*key);
        let others: Vec<_> = self.directory.ready_keys().filter(is_open).collect();
        let Some(&other) = others.choose(&mut self.rng) else { return };
        if let Some(known) = self.directory.get(other) {
            let addr = known.entry.addr.clone();
            self.cut_runs.entry(other).or_default().mark_probed();
            self.actions.push(Action::Probe { endpoint: other, addr });
        }
    }

    fn report_path(&mut self, endpoint: EndpointKey, is_open: bool) {
        let Some(known) = self.directory.get(endpoint) else { return };
        let endpoint = known.entry.name.clone();
        let (unreachable, ready) = (self.paths.unreachable_count(), self.directory.ready_count());
        self.actions.push(Action::PathChanged { endpoint, is_open, unreachable, ready });
    }
}
