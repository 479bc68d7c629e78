//! What an instance knows of each endpoint.
//!
//! Three sources feed a [`Table`]: the platform's list, which lags and may
//! flap; marks that an endpoint is leaving, from whoever learnt it first; and
//! the instance's own calls. Four rules hold whatever order they come in:
//!
//! - **Leaving is sticky for one incarnation.** Once marked, an endpoint gets
//!   no call until a larger incarnation of it is listed. A mark may come
//!   before the endpoint is listed at all; it is kept until then.
//! - **An incarnation never goes back.** A list that shows an older one is
//!   behind and changes nothing.
//! - **An evacuated data centre's endpoints get nothing**, listed before or after, until
//!   the order is taken back.
//! - **Absence counts only when it lasts.** An endpoint missing from the list
//!   for a moment stays; the list must miss it over a span of time.
//!
//! Map: [`marks`] remembers who is leaving, [`health`] ejects outliers and
//! lets them back after one probe, [`entry`] is one endpoint.

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
    /// An endpoint's place in a table.
    struct Key;
}

/// How a table behaves.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How long the list must miss an endpoint before it counts as gone.
    pub absent_after: Duration,
    /// Leaving marks remembered for endpoints that aren't listed.
    pub max_marks: usize,
    /// Time in which a new endpoint's limit grows to its full value.
    pub slow_start: Duration,
    /// When outliers are ejected.
    pub health: health::Settings,
    /// How limits adapt.
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
    /// From sending to the end.
    pub took: Duration,
    /// In what way.
    pub result: CallResult,
    /// Tokens generated, by an engine.
    pub tokens: Option<u32>,
}

/// In what way a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// With a whole reply.
    Ok,
    /// The endpoint didn't run it.
    Refused(RefuseReason),
    /// Without a whole reply.
    Failed,
    /// We cancelled it.
    Cancelled,
    /// With a reply that belongs to another call.
    Mismatched,
}

/// All endpoints of all pools.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    slots: SlotMap<Key, Endpoint>,
    names: HashMap<EndpointName, Key>,
    pools: HashMap<PoolName, Vec<Key>>,
    marks: Marks,
    /// Data centres whose endpoints get no new work.
    evacuated: BTreeSet<DataCentre>,
    /// Whether a list with an endpoint was seen.
    seen: bool,
    now: Duration,
}

impl Table {
    /// A table that knows no endpoint.
    pub fn new(settings: Settings) -> Table {
        let marks = Marks::new(settings.max_marks);
        Table {
            settings,
            slots: SlotMap::with_key(),
            names: HashMap::new(),
            pools: HashMap::new(),
            marks,
            evacuated: BTreeSet::new(),
            seen: false,
            now: Duration::ZERO,
        }
    }

    /// Takes in the platform's list.
    pub fn apply_listing(&mut self, now: Duration, entries: &[EndpointEntry]) {
        self.tick(now);
        for entry in entries {
            if entry.presence == Presence::Leaving {
                self.mark_leaving(&entry.name, entry.incarnation);
            }
            self.list_one(now, entry);
        }
        let names: HashSet<&str> = entries.iter().map(|entry| &*entry.name).collect();
        let after = self.settings.absent_after;
        for endpoint in self.slots.values_mut() {
            endpoint.set_listed(now, names.contains(&*endpoint.name), after);
        }
        self.note_evacuated();
        self.forget_gone();
        self.seen |= !entries.is_empty();
    }

    /// Marks an endpoint as leaving, for this and every earlier incarnation.
    /// True if that wasn't known.
    pub fn mark_leaving(&mut self, endpoint: &str, incarnation: Incarnation) -> bool {
        let listed = self.names.get(endpoint).copied();
        let is_new = self.marks.add(endpoint, incarnation, listed.is_some());
        if let Some(key) = listed {
            self.slots[key].mark_leaving(incarnation);
        }
        is_new
    }

    /// Just the endpoints of these data centres get no new work until it is said anew.
    pub fn evacuate(&mut self, data_centres: Vec<DataCentre>) {
        self.evacuated = data_centres.into_iter().collect();
        self.note_evacuated();
    }

    /// The data centres whose endpoints get no new work.
    pub fn evacuated(&self) -> &BTreeSet<DataCentre> {
        &self.evacuated
    }

    fn note_evacuated(&mut self) {
        for endpoint in self.slots.values_mut() {
            endpoint.set_evacuated(self.evacuated.contains(&endpoint.data_centre));
        }
    }

    /// All marks, for peers.
    pub fn leaving_marks(&self) -> Vec<LeavingMark> {
        self.marks.all()
    }

    /// The endpoint of that name.
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.names.get(name).map(|key| &self.slots[*key])
    }

    /// Counts a call that was sent.
    pub fn call_started(&mut self, now: Duration, name: &str) {
        self.tick(now);
        if let Some(endpoint) = self.endpoint_mut(name) {
            endpoint.started(now);
        }
    }

    /// Counts the end of a call.
    pub fn call_ended(&mut self, now: Duration, name: &str, end: CallEnd) {
        self.tick(now);
        let Some(key) = self.names.get(name).copied() else { return };
        let pool = self.pool_view(key);
        self.slots[key].ended(now, &end, pool);
        if end.result == CallResult::Refused(RefuseReason::Leaving) {
            let incarnation = self.slots[key].incarnation;
            self.mark_leaving(name, incarnation);
        }
        self.forget_gone();
    }

    /// Takes in a load report, the endpoint's own or one through a peer.
    pub fn load_reported(&mut self, now: Duration, name: &str, load: Load) {
        self.tick(now);
        if let Some(endpoint) = self.endpoint_mut(name) {
            endpoint.reported(now, load);
        }
    }

    /// What peers should know.
    pub fn states(&self, now: Duration) -> Vec<EndpointState> {
        let known = self.slots.values().filter(|endpoint| endpoint.is_worth_telling());
        known.map(|endpoint| endpoint.told(now)).collect()
    }

    /// Every endpoint.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.slots.values()
    }

    /// The endpoints of a pool, in a stable order.
    pub fn pool(&self, pool: &str) -> impl Iterator<Item = &Endpoint> {
        self.pools.get(pool).into_iter().flatten().map(|key| &self.slots[*key])
    }

    /// Places free under the limits of a pool's usable endpoints.
    pub fn pool_free_slots(&self, now: Duration, pool: &str) -> u32 {
        self.pool(pool).map(|endpoint| endpoint.free(now)).sum()
    }

    /// Places under the limits of a pool's usable endpoints, free or not.
    pub fn pool_slots(&self, now: Duration, pool: &str) -> u32 {
        let well = self.pool(pool).filter(|endpoint| endpoint.state() == State::Usable);
        well.map(|endpoint| endpoint.limit(now)).sum()
    }

    /// Endpoints of a pool that may get calls now.
    pub fn pool_usable(&self, now: Duration, pool: &str) -> usize {
        self.pool(pool).filter(|endpoint| endpoint.is_usable(now)).count()
    }

    /// Lets time pass. Every other call with a time does so too.
    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// When an endpoint next changes by time alone: an ejection ends, or a
    /// slow start frees a place.
    pub fn next_wake(&self) -> Option<Duration> {
        self.slots.values().filter_map(|endpoint| endpoint.next_wake(self.now)).min()
    }

    fn endpoint_mut(&mut self, name: &str) -> Option<&mut Endpoint> {
        self.names.get(name).map(|key| &mut self.slots[*key])
    }

    fn list_one(&mut self, now: Duration, entry: &EndpointEntry) {
        let Some(key) = self.names.get(&entry.name).copied() else {
            self.insert(now, entry);
            return;
        };
        let old_pool = self.slots[key].pool.clone();
        self.slots[key].list(now, entry, &self.settings);
        if let Some(mark) = self.marks.incarnation(&entry.name) {
            self.slots[key].mark_leaving(mark);
        }
        let pool = self.slots[key].pool.clone();
        if pool != old_pool {
            self.leave_pool(&old_pool, key);
            self.pools.entry(pool).or_default().push(key);
        }
    }

    fn insert(&mut self, now: Duration, entry: &EndpointEntry) {
        let mut endpoint = Endpoint::new(now, entry, &self.settings);
        if let Some(mark) = self.marks.incarnation(&entry.name) {
            endpoint.mark_leaving(mark);
        }
        if !self.seen {
            endpoint.skip_slow_start();
        }
        let key = self.slots.insert(endpoint);
        self.names.insert(entry.name.clone(), key);
        self.pools.entry(entry.pool.clone()).or_default().push(key);
        self.marks.set_listed(&entry.name, true);
    }

    fn pool_view(&self, key: Key) -> PoolView {
        let pool = &self.slots[key].pool;
        let mut times: Vec<Duration> = self.pool(pool).filter_map(Endpoint::call_latency).collect();
        times.sort_unstable();
        PoolView { may_eject: self.may_eject(key), usual: times.get(times.len() / 2).copied() }
    }

    /// Whether ejecting one more endpoint leaves enough of its pool.
    fn may_eject(&self, key: Key) -> bool {
        let pool = &self.slots[key].pool;
        let present = self.pool(pool).filter(|endpoint| endpoint.state() != State::Leaving);
        let (mut total, mut ejected) = (0_u32, 0_u32);
        for endpoint in present {
            total += 1;
            ejected += u32::from(endpoint.state() == State::Ejected);
        }
        let most = f64::from(total) * self.settings.health.max_share;
        f64::from(ejected + 1) <= most
    }

    fn forget_gone(&mut self) {
        let gone = self.slots.iter().filter(|(_, endpoint)| endpoint.is_forgettable());
        let keys: Vec<Key> = gone.map(|(key, _)| key).collect();
        for key in keys {
            let Some(endpoint) = self.slots.remove(key) else { continue };
            self.names.remove(&endpoint.name);
            self.leave_pool(&endpoint.pool, key);
            self.marks.set_listed(&endpoint.name, false);
        }
    }

    fn leave_pool(&mut self, pool: &PoolName, key: Key) {
        let Some(keys) = self.pools.get_mut(pool) else { return };
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            self.pools.remove(pool);
        }
    }
}
