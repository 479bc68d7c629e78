//! The state of each endpoint, as seen by one instance.
//!
//! A [`Table`] has three sources: the platform's list, which lags and may flap; marks that an
//! endpoint is leaving, from whichever process detects it first; and the results of the instance's
//! own calls. Four rules hold in whatever order they arrive:
//!
//! - **Leaving is permanent for an incarnation.** Once marked, an endpoint gets no call until a
//!   larger incarnation of it is listed. A mark may arrive before the endpoint is listed at all; it
//!   is kept until then.
//! - **An incarnation never decreases.** A list that shows an older one is outdated, and its entry
//!   for the endpoint changes nothing.
//! - **The endpoints of an evacuated data centre get no calls** until the order is withdrawn,
//!   whether they are listed before or after it.
//! - **Absence counts only when it lasts.** An endpoint that is missing from the list for a moment
//!   stays; it is removed once it has been missing for a span of time.
//!
//! Submodules: [`marks`] stores which endpoints are leaving, [`health`] ejects outliers and
//! readmits them after one probe, [`entry`] is one endpoint.

pub mod entry;
pub mod health;
pub mod marks;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    time::Duration,
};

use slotmap::SlotMap;

pub use self::entry::{Endpoint, State};
use self::{entry::PoolView, marks::Marks};
use crate::{
    instance::input::RefuseReason,
    limits,
    membership::{EndpointState, LeavingMark},
    model::{DataCentre, EndpointEntry, EndpointName, Incarnation, Load, PoolName, Presence},
};

slotmap::new_key_type! {
    /// An endpoint's key in a table.
    struct Key;
}

/// Settings of a table.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How long an endpoint must be missing from the list before it counts as gone.
    pub absent_after: Duration,
    /// The most leaving marks that are kept for endpoints that aren't listed.
    pub max_marks: usize,
    /// The time in which a new endpoint's limit grows to its full value.
    pub slow_start: Duration,
    /// When outliers are ejected, and for how long.
    pub health: health::Settings,
    /// How the limits of concurrent calls adapt.
    pub limit: limits::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            absent_after: Duration::from_secs(15),
            max_marks: 4096,
            slow_start: Duration::from_secs(10),
            health: health::Settings::default(),
            limit: limits::Settings::default(),
        }
    }
}

/// How a call to an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallEnd {
    /// The time from sending the call to its end.
    pub took: Duration,
    /// Whether it succeeded.
    pub result: CallResult,
    /// The number of tokens that an engine generated; `None` if it reported none.
    pub tokens: Option<u32>,
}

/// Whether a call succeeded, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The endpoint sent a complete reply.
    Ok,
    /// The endpoint refused the call and didn't run it.
    Refused(RefuseReason),
    /// The call ended without a complete reply.
    Failed,
    /// This instance cancelled the call.
    Cancelled,
    /// The endpoint sent the reply of another call.
    Mismatched,
}

/// All known endpoints of all pools.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    endpoints: SlotMap<Key, Endpoint>,
    by_name: HashMap<EndpointName, Key>,
    pools: HashMap<PoolName, Vec<Key>>,
    marks: Marks,
    /// Data centres whose endpoints get no new work.
    evacuated: BTreeSet<DataCentre>,
    /// Whether a list with at least one endpoint was applied.
    has_listing: bool,
    now: Duration,
}

impl Table {
    /// A table without endpoints.
    pub fn new(settings: Settings) -> Table {
        let marks = Marks::new(settings.max_marks);
        Table {
            settings,
            endpoints: SlotMap::with_key(),
            by_name: HashMap::new(),
            pools: HashMap::new(),
            marks,
            evacuated: BTreeSet::new(),
            has_listing: false,
            now: Duration::ZERO,
        }
    }

    /// Applies the platform's list.
    pub fn apply_listing(&mut self, now: Duration, entries: &[EndpointEntry]) {
        self.tick(now);
        for entry in entries {
            if entry.presence == Presence::Leaving {
                self.mark_leaving(&entry.name, entry.incarnation);
            }
            self.apply_entry(now, entry);
        }
        let names: HashSet<&str> = entries.iter().map(|entry| &*entry.name).collect();
        let after = self.settings.absent_after;
        for endpoint in self.endpoints.values_mut() {
            endpoint.set_listed(now, names.contains(&*endpoint.name), after);
        }
        self.update_evacuated();
        self.remove_gone();
        self.has_listing |= !entries.is_empty();
    }

    /// Marks an endpoint as leaving, for this and every earlier incarnation. Returns `true` if the
    /// mark is new.
    pub fn mark_leaving(&mut self, endpoint: &str, incarnation: Incarnation) -> bool {
        let listed = self.by_name.get(endpoint).copied();
        let is_new = self.marks.add(endpoint, incarnation, listed.is_some());
        if let Some(key) = listed {
            self.endpoints[key].mark_leaving(incarnation);
        }
        is_new
    }

    /// Replaces the list of data centres whose endpoints get no new work.
    pub fn evacuate(&mut self, data_centres: Vec<DataCentre>) {
        self.evacuated = data_centres.into_iter().collect();
        self.update_evacuated();
    }

    /// The data centres whose endpoints get no new work.
    pub fn evacuated(&self) -> &BTreeSet<DataCentre> {
        &self.evacuated
    }

    fn update_evacuated(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.set_evacuated(self.evacuated.contains(&endpoint.data_centre));
        }
    }

    /// All leaving marks, for gossip to peers.
    pub fn leaving_marks(&self) -> Vec<LeavingMark> {
        self.marks.all()
    }

    /// The endpoint of the given name; `None` if it is not in the table.
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.by_name.get(name).map(|key| &self.endpoints[*key])
    }

    /// Records that a call was sent.
    pub fn call_started(&mut self, now: Duration, name: &str) {
        self.tick(now);
        if let Some(endpoint) = self.endpoint_mut(name) {
            endpoint.started(now);
        }
    }

    /// Records the end of a call.
    pub fn call_ended(&mut self, now: Duration, name: &str, end: CallEnd) {
        self.tick(now);
        let Some(key) = self.by_name.get(name).copied() else { return };
        let pool = self.pool_view(key);
        self.endpoints[key].ended(now, &end, pool);
        if end.result == CallResult::Refused(RefuseReason::Leaving) {
            let incarnation = self.endpoints[key].incarnation;
            self.mark_leaving(name, incarnation);
        }
        self.remove_gone();
    }

    /// Applies a load report, from the endpoint itself or through a peer.
    pub fn load_reported(&mut self, now: Duration, name: &str, load: Load) {
        self.tick(now);
        if let Some(endpoint) = self.endpoint_mut(name) {
            endpoint.reported(now, load);
        }
    }

    /// The states of endpoints, for gossip to peers.
    pub fn states(&self, now: Duration) -> Vec<EndpointState> {
        let with_news = self.endpoints.values().filter(|endpoint| endpoint.has_news());
        with_news.map(|endpoint| endpoint.to_state(now)).collect()
    }

    /// All endpoints, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// The endpoints of a pool, in a stable order.
    pub fn pool(&self, pool: &str) -> impl Iterator<Item = &Endpoint> {
        self.pools.get(pool).into_iter().flatten().map(|key| &self.endpoints[*key])
    }

    /// The free slots for calls under the limits of a pool's usable endpoints.
    pub fn pool_free_slots(&self, now: Duration, pool: &str) -> u32 {
        self.pool(pool).map(|endpoint| endpoint.free(now)).sum()
    }

    /// All slots for calls under the limits of a pool's usable endpoints, free or not.
    pub fn pool_slots(&self, now: Duration, pool: &str) -> u32 {
        let usable = self.pool(pool).filter(|endpoint| endpoint.state() == State::Usable);
        usable.map(|endpoint| endpoint.limit(now)).sum()
    }

    /// The number of a pool's endpoints that may get calls now.
    pub fn pool_usable(&self, now: Duration, pool: &str) -> usize {
        self.pool(pool).filter(|endpoint| endpoint.is_usable(now)).count()
    }

    /// Advances the table's clock. Every other method that takes a time and changes the table does
    /// so too.
    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// When an endpoint next changes by time alone: an ejection ends, or a slow start frees a slot.
    pub fn next_wake(&self) -> Option<Duration> {
        self.endpoints.values().filter_map(|endpoint| endpoint.next_wake(self.now)).min()
    }

    fn endpoint_mut(&mut self, name: &str) -> Option<&mut Endpoint> {
        self.by_name.get(name).map(|key| &mut self.endpoints[*key])
    }

    fn apply_entry(&mut self, now: Duration, entry: &EndpointEntry) {
        let Some(key) = self.by_name.get(&entry.name).copied() else {
            self.insert(now, entry);
            return;
        };
        let old_pool = self.endpoints[key].pool.clone();
        self.endpoints[key].update(now, entry, &self.settings);
        if let Some(mark) = self.marks.incarnation(&entry.name) {
            self.endpoints[key].mark_leaving(mark);
        }
        let pool = self.endpoints[key].pool.clone();
        if pool != old_pool {
            self.remove_from_pool(&old_pool, key);
            self.pools.entry(pool).or_default().push(key);
        }
    }

    fn insert(&mut self, now: Duration, entry: &EndpointEntry) {
        let mut endpoint = Endpoint::new(now, entry, &self.settings);
        if let Some(mark) = self.marks.incarnation(&entry.name) {
            endpoint.mark_leaving(mark);
        }
        if !self.has_listing {
            endpoint.skip_slow_start();
        }
        let key = self.endpoints.insert(endpoint);
        self.by_name.insert(entry.name.clone(), key);
        self.pools.entry(entry.pool.clone()).or_default().push(key);
        self.marks.set_listed(&entry.name, true);
    }

    fn pool_view(&self, key: Key) -> PoolView {
        let pool = &self.endpoints[key].pool;
        let mut times: Vec<Duration> = self.pool(pool).filter_map(Endpoint::call_latency).collect();
        times.sort_unstable();
        PoolView {
            may_eject: self.may_eject(key),
            median_latency: times.get(times.len() / 2).copied(),
        }
    }

    /// Whether the share of ejected endpoints in the pool stays within its limit if one more is
    /// ejected.
    fn may_eject(&self, key: Key) -> bool {
        let pool = &self.endpoints[key].pool;
        let present = self.pool(pool).filter(|endpoint| endpoint.state() != State::Leaving);
        let (mut total, mut ejected) = (0_u32, 0_u32);
        for endpoint in present {
            total += 1;
            ejected += u32::from(endpoint.state() == State::Ejected);
        }
        let max_ejected = f64::from(total) * self.settings.health.max_share;
        f64::from(ejected + 1) <= max_ejected
    }

    fn remove_gone(&mut self) {
        let gone = self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_removable());
        let keys: Vec<Key> = gone.map(|(key, _)| key).collect();
        for key in keys {
            let Some(endpoint) = self.endpoints.remove(key) else { continue };
            self.by_name.remove(&endpoint.name);
            self.remove_from_pool(&endpoint.pool, key);
            self.marks.set_listed(&endpoint.name, false);
        }
    }

    fn remove_from_pool(&mut self, pool: &PoolName, key: Key) {
        let Some(keys) = self.pools.get_mut(pool) else { return };
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            self.pools.remove(pool);
        }
    }
}
