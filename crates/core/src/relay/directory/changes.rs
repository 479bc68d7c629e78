//! Changes of the directory: entries that are written and removed, and what calls show of their
//! endpoints.

use std::{cmp::Ordering, time::Duration};

use crate::relay::{
    directory::{Change, ChangeEffect, Directory, EndedEndpoint, Endpoint, Entry, endpoint::State},
    model::EndpointKey,
};

/// How long an endpoint that is gone is kept, so that an old record cannot make it
/// usable again.
const RETENTION: Duration = Duration::from_secs(60);

/// So many entries may have followed one that the store executes late, by seconds.
const MAX_LAG_ENTRIES: u64 = 64;

impl Directory {
    /// Applies a change.
    pub fn apply_change(&mut self, now: Duration, change: Change) -> ChangeEffect {
        match change {
            Change::Put(entry) => self.put(now, entry),
            Change::Removed(name) => self.mark_lost(&name, State::Missing(now)),
            Change::Unreadable(name) => self.mark_lost(&name, State::Suspended(now)),
        }
    }

    /// Marks an endpoint as leaving: it stated so, another one answers at its address, or
    /// it has restarted.
    pub fn mark_leaving(&mut self, now: Duration, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.entry.is_leaving = true;
            if !matches!(endpoint.state, State::Leaving(_)) {
                endpoint.state = State::Leaving(now);
            }
        }
    }

    /// Marks an endpoint at whose address nothing listens any more: it receives no calls
    /// until its entry is written again, or a connection is accepted there. The entry itself
    /// expires only some two seconds later, and each of 18 engines that crashed was called two or
    /// three more times meanwhile.
    pub fn mark_gone(&mut self, now: Duration, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key).filter(|known| known.is_ready()) {
            endpoint.state = State::Gone(now);
        }
    }

    /// A connection was accepted at the address of an endpoint. Returns whether that makes it
    /// usable again.
    pub fn mark_found(&mut self, key: EndpointKey) -> bool {
        let gone = self.endpoints.get_mut(key);
        let Some(endpoint) = gone.filter(|known| matches!(known.state, State::Gone(_))) else {
            return false;
        };
        endpoint.state = State::Ready;
        true
    }

    /// Whether an endpoint accepts new work, or would if something listened at its address.
    pub fn is_expected(&self, key: EndpointKey) -> bool {
        let state = self.endpoints.get(key).map(|endpoint| endpoint.state);
        matches!(state, Some(State::Ready | State::Gone(_)))
    }

    /// Forgets endpoints that have been gone for long.
    pub fn forget(&mut self, now: Duration) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.engine.expire_runs(now);
        }
        let by_name = &mut self.by_name;
        let by_service = &mut self.by_service;
        let versions = &mut self.versions;
        self.endpoints.retain(|key, endpoint| {
            let since = match endpoint.state {
                State::Ready => return true,
                State::Missing(since)
                | State::Suspended(since)
                | State::Gone(since)
                | State::Unproven(since)
                | State::Leaving(since) => since,
            };
            let is_kept = endpoint.in_flight > 0 || now < since + RETENTION;
            if !is_kept {
                if by_name.get(&endpoint.entry.name) == Some(&key) {
                    by_name.remove(&endpoint.entry.name);
                }
                if let Some(keys) = by_service.get_mut(&endpoint.entry.service) {
                    keys.retain(|other| *other != key);
                }
                versions.remove(&endpoint.entry);
            }
            is_kept
        });
    }

    fn put(&mut self, now: Duration, entry: Entry) -> ChangeEffect {
        let Some(&key) = self.by_name.get(&entry.name) else {
            return self.insert(now, entry);
        };
        match entry.incarnation.cmp(&self.endpoints[key].entry.incarnation) {
            Ordering::Less => ChangeEffect::default(),
            Ordering::Equal if self.is_late(key, &entry) => ChangeEffect::default(),
            // An incarnation never changes its service, so another process wrote this entry.
            Ordering::Equal if entry.service != self.endpoints[key].entry.service => {
                self.mark_lost(&entry.name, State::Suspended(now))
            }
            Ordering::Equal => self.update(now, key, entry),
            Ordering::Greater => {
                let is_planned = !self.endpoints[key].is_ready();
                self.mark_leaving(now, key);
                let changed = self.insert(now, entry);
                ChangeEffect { ended: Some(EndedEndpoint { endpoint: key, is_planned }), ..changed }
            }
        }
    }

    /// Whether an entry was written before the newest one that is known of its incarnation, and
    /// says no more. That its endpoint is leaving stays true. Where the numbers are too far apart
    /// for that, another process wrote the one that is known.
    fn is_late(&self, key: EndpointKey, entry: &Entry) -> bool {
        let lag = self.endpoints[key].entry.number.saturating_sub(entry.number);
        (1..=MAX_LAG_ENTRIES).contains(&lag) && !entry.is_leaving
    }

    /// Applies a further entry of the same incarnation.
    fn update(&mut self, now: Duration, key: EndpointKey, entry: Entry) -> ChangeEffect {
        let endpoint = &mut self.endpoints[key];
        if matches!(endpoint.state, State::Leaving(_)) {
            return ChangeEffect::default();
        }
        let was_ready = endpoint.is_ready();
        let has_advanced = entry.number > endpoint.entry.number;
        endpoint.has_advanced |= has_advanced;
        endpoint.is_proven |= has_advanced;
        let is_proven = endpoint.is_proven;
        let state = match entry.is_leaving {
            true => State::Leaving(now),
            false => self.state_of_ready(now, is_proven),
        };
        let region = self.regions.region_name(&entry.data_centre);
        let endpoint = &mut self.endpoints[key];
        endpoint.region = region;
        endpoint.state = state;
        let is_newly_cold = entry.cold_left.is_some_and(|left| endpoint.set_cold(now, left));
        let is_new_version = self.versions.add(&entry);
        self.versions.remove(&endpoint.entry);
        endpoint.entry = entry;
        let is_new = was_ready != endpoint.is_ready();
        ChangeEffect { is_new, ended: None, is_newly_cold, is_new_version }
    }

    fn insert(&mut self, now: Duration, entry: Entry) -> ChangeEffect {
        if let Some(gates) = &mut self.gates {
            gates.record_endpoint(now, &entry.service, entry.incarnation, &entry.version);
        }
        self.known_since.get_or_insert(now);
        let is_new_version = self.versions.add(&entry);
        let (name, service) = (entry.name.clone(), entry.service.clone());
        let region = self.regions.region_name(&entry.data_centre);
        let is_proven = Directory::is_first(&entry);
        let state = match entry.is_leaving {
            true => State::Leaving(now),
            false => self.state_of_ready(now, is_proven),
        };
        let is_new = !matches!(state, State::Unproven(_));
        let mut endpoint = Endpoint::new(now, entry, region);
        endpoint.state = state;
        endpoint.is_proven = is_proven;
        let is_newly_cold = endpoint.is_cold(now);
        let key = self.endpoints.insert(endpoint);
        self.by_name.insert(name, key);
        self.by_service.entry(service).or_default().push(key);
        ChangeEffect { is_new, ended: None, is_newly_cold, is_new_version }
    }

    /// Sets the state of an endpoint that was ready and has no valid entry any more.
    fn mark_lost(&mut self, name: &str, state: State) -> ChangeEffect {
        let Some(&key) = self.by_name.get(name) else { return ChangeEffect::default() };
        let endpoint = &mut self.endpoints[key];
        let was_ready = endpoint.is_ready();
        if was_ready || matches!(endpoint.state, State::Unproven(_)) {
            endpoint.state = state;
        }
        ChangeEffect { is_new: was_ready, ..ChangeEffect::default() }
    }
}
