//! What is known of each endpoint.
//!
//! The platform's directory says which endpoints there are; what their calls
//! brought says how they fare. Leaving is sticky: an endpoint that was seen to
//! leave gets nothing more in this life, whatever an older record says. An
//! entry that vanished without a word may only have lapsed while the platform
//! was away, so it stays a last resort for a moment; where most entries of a
//! service vanished together they are used on as long.
//!
//! An endpoint may start again under its name. Each of its lives, told apart by
//! their incarnations, is an [`Endpoint`] with a key of its own, so nothing that
//! was learned of one is taken for another: neither its load and speed nor what
//! its memory holds.

mod endpoint;

use std::{
    cmp::Ordering,
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use peatdeck_macros::data;
use slotmap::SlotMap;

use crate::{
    model::{DataCentre, EndpointName, Incarnation},
    relay::{
        directory::endpoint::State,
        model::{EndpointId, EndpointKey, ServiceName},
    },
};

pub use endpoint::Endpoint;

/// An endpoint that is gone is remembered for so long, so that an old record
/// cannot bring it back.
const REMEMBERED: Duration = Duration::from_secs(60);

/// An endpoint as the platform's directory names it.
#[data]
pub struct Entry {
    /// Its name, which it may keep when it starts again.
    pub name: EndpointName,
    /// Which of its lives this is; a later one has a larger number.
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens, `ip:port`.
    pub addr: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Calls that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// How much longer it is cold; `None` if it does not say.
    pub cold_left: Option<Duration>,
}

/// A change of the directory.
#[data]
pub enum Change {
    /// An entry is new or changed.
    Put(Entry),
    /// An entry is not there any more.
    Removed(EndpointName),
    /// What is written under the name is no endpoint's entry.
    Unreadable(EndpointName),
}

/// What a change came to.
#[data]
#[derive(Copy, Default)]
pub struct Changed {
    /// Whether it said anything new.
    pub is_new: bool,
    /// The life that is over, since the endpoint has started again.
    pub ended: Option<Ended>,
    /// Whether the endpoint was not known to be cold before, and is.
    pub has_cooled: bool,
}

/// A life of an endpoint that is over.
#[data]
#[derive(Copy)]
pub struct Ended {
    /// The life.
    pub endpoint: EndpointKey,
    /// Whether it had given notice, or its entry was gone before.
    pub is_planned: bool,
}

/// All endpoints that are or were lately known.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_name: HashMap<EndpointName, EndpointKey>,
    by_service: HashMap<ServiceName, Vec<EndpointKey>>,
    /// Data centres whose endpoints get nothing, by the operators' order.
    evacuated: BTreeSet<DataCentre>,
}

impl Directory {
    /// Takes in a change.
    pub fn change(&mut self, now: Duration, change: Change) -> Changed {
        match change {
            Change::Put(entry) => self.put(now, entry),
            Change::Removed(name) => self.lose(&name, State::Missing(now)),
            Change::Unreadable(name) => self.lose(&name, State::Hidden(now)),
        }
    }

    /// The endpoint, if it is still remembered.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// All that are remembered.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// The same, to forget what is old.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.values_mut()
    }

    /// The endpoint, to note what its calls bring.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// The endpoints of a data centre get nothing from now on. False if that is so
    /// already.
    pub fn evacuate(&mut self, data_centre: DataCentre) -> bool {
        self.evacuated.insert(data_centre)
    }

    /// The endpoints of a data centre are used again. False if they were not
    /// evacuated.
    pub fn restore(&mut self, data_centre: &str) -> bool {
        self.evacuated.remove(data_centre)
    }

    /// Data centres that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentre> {
        self.evacuated.iter()
    }

    /// How many endpoints a data centre has that take new work.
    pub fn ready_count_in(&self, data_centre: &str) -> usize {
        let in_it = |it: &&Endpoint| *it.entry.data_centre == *data_centre && it.is_ready();
        self.endpoints.values().filter(in_it).count()
    }

    /// Whether a service has endpoints that would take new work, all of them in
    /// data centres that are evacuated, and no last resort elsewhere.
    pub fn is_evacuated(&self, now: Duration, service: &str) -> bool {
        if self.evacuated.is_empty() {
            return false;
        }
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let endpoints = keys.iter().map(|key| &self.endpoints[*key]);
        let mut ready = endpoints.filter(|endpoint| endpoint.is_ready()).peekable();
        let are_all = ready.peek().is_some() && ready.all(|it| self.is_in_evacuated(it));
        are_all && self.usable(now, service).is_empty()
    }

    /// Whether an endpoint's data centre is evacuated.
    fn is_in_evacuated(&self, endpoint: &Endpoint) -> bool {
        self.evacuated.contains(&endpoint.entry.data_centre)
    }

    /// The endpoints of a service that take new work. Where more than half of
    /// those that there were vanished together, they have only lapsed, and are
    /// meant too: the few whose entries are back first would drown in the
    /// calls of all.
    pub fn usable(&self, now: Duration, service: &str) -> Vec<EndpointKey> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let keys = keys.iter().filter(|key| !self.is_in_evacuated(&self.endpoints[**key]));
        let is_ready = |key: &EndpointKey| self.endpoints[*key].is_ready();
        let has_lapsed = |key: &EndpointKey| self.endpoints[*key].is_last_resort(now);
        let ready = keys.clone().filter(|key| is_ready(key)).count();
        let lapsed = keys.clone().filter(|key| has_lapsed(key)).count();
        let is_usable = |key: &&EndpointKey| is_ready(key) || (lapsed > ready && has_lapsed(key));
        keys.filter(is_usable).copied().collect()
    }

    /// The service of an endpoint that listens at an address.
    pub fn service_at(&self, addr: &str) -> Option<ServiceName> {
        let mut endpoints = self.endpoints.values();
        let endpoint = endpoints.find(|endpoint| *endpoint.entry.addr == *addr)?;
        Some(endpoint.entry.service.clone())
    }

    /// The newest life of the endpoint that a name belongs to.
    pub fn by_name(&self, name: &str) -> Option<EndpointKey> {
        self.by_name.get(name).copied()
    }

    /// The service of the newest life of an endpoint.
    pub fn service_of(&self, name: &str) -> Option<&ServiceName> {
        Some(&self.endpoints[self.by_name(name)?].entry.service)
    }

    /// That life of an endpoint, if no newer one is known.
    pub fn by_life(&self, life: &EndpointId) -> Option<EndpointKey> {
        let key = self.by_name(&life.name)?;
        (self.endpoints[key].entry.incarnation == life.incarnation).then_some(key)
    }

    /// The data centre that a result lies in: that of the endpoint that made
    /// it, or that of the address its handle begins with.
    pub fn place_of(&self, handle: &str, maker: Option<EndpointKey>) -> Option<DataCentre> {
        let (addr, _) = handle.split_once('/')?;
        let maker = maker.and_then(|key| self.endpoints.get(key));
        let at_addr = |endpoint: &&Endpoint| *endpoint.entry.addr == *addr;
        let endpoint = maker.or_else(|| self.endpoints.values().find(at_addr))?;
        Some(endpoint.entry.data_centre.clone())
    }

    /// How many endpoints of a service take new work.
    pub fn ready_count_of(&self, service: &str) -> usize {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter(|key| self.endpoints[**key].is_ready()).count()
    }

    /// How many endpoints take new work.
    pub fn ready_count(&self) -> usize {
        self.endpoints.values().filter(|endpoint| endpoint.is_ready()).count()
    }

    /// An endpoint said itself that it leaves, or that another one has its
    /// address now.
    pub fn leaves(&mut self, now: Duration, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.entry.is_leaving = true;
            if !matches!(endpoint.state, State::Leaving(_)) {
                endpoint.state = State::Leaving(now);
            }
        }
    }

    /// Nothing listens at an endpoint's address any more: it gets nothing until its
    /// entry is written anew. Its entry lapses some two seconds later only, and each
    /// of 18 engines that ended was called two or three times more meanwhile.
    pub fn is_gone(&mut self, now: Duration, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(key).filter(|known| known.is_ready()) {
            endpoint.state = State::Hidden(now);
        }
    }

    /// Forgets endpoints that have been gone for long.
    pub fn forget(&mut self, now: Duration) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.engine.expire_runs(now);
        }
        let by_name = &mut self.by_name;
        let by_service = &mut self.by_service;
        self.endpoints.retain(|key, endpoint| {
            let since = match endpoint.state {
                State::Ready => return true,
                State::Missing(since) | State::Hidden(since) | State::Leaving(since) => since,
            };
            let is_kept = endpoint.in_flight > 0 || now < since + REMEMBERED;
            if !is_kept {
                if by_name.get(&endpoint.entry.name) == Some(&key) {
                    by_name.remove(&endpoint.entry.name);
                }
                if let Some(keys) = by_service.get_mut(&endpoint.entry.service) {
                    keys.retain(|other| *other != key);
                }
            }
            is_kept
        });
    }

    fn put(&mut self, now: Duration, entry: Entry) -> Changed {
        let Some(&key) = self.by_name.get(&entry.name) else {
            return self.insert(now, entry);
        };
        match entry.incarnation.cmp(&self.endpoints[key].entry.incarnation) {
            Ordering::Less => Changed::default(),
            // A life stays in its service: somebody else wrote this.
            Ordering::Equal if entry.service != self.endpoints[key].entry.service => {
                self.lose(&entry.name, State::Hidden(now))
            }
            Ordering::Equal => self.update(now, key, entry),
            Ordering::Greater => {
                let is_planned = !self.endpoints[key].is_ready();
                self.leaves(now, key);
                let changed = self.insert(now, entry);
                Changed { ended: Some(Ended { endpoint: key, is_planned }), ..changed }
            }
        }
    }

    /// Takes in a further record of the same life.
    fn update(&mut self, now: Duration, key: EndpointKey, entry: Entry) -> Changed {
        let endpoint = &mut self.endpoints[key];
        if matches!(endpoint.state, State::Leaving(_)) {
            return Changed::default();
        }
        let was_ready = endpoint.is_ready();
        endpoint.state = if entry.is_leaving { State::Leaving(now) } else { State::Ready };
        let has_cooled = entry.cold_left.is_some_and(|left| endpoint.cools(now, left));
        endpoint.entry = entry;
        let is_new = was_ready != endpoint.is_ready();
        Changed { is_new, ended: None, has_cooled }
    }

    fn insert(&mut self, now: Duration, entry: Entry) -> Changed {
        let (name, service) = (entry.name.clone(), entry.service.clone());
        let mut endpoint = Endpoint::new(now, entry);
        if endpoint.entry.is_leaving {
            endpoint.state = State::Leaving(now);
        }
        let has_cooled = endpoint.is_cold(now);
        let key = self.endpoints.insert(endpoint);
        self.by_name.insert(name, key);
        self.by_service.entry(service).or_default().push(key);
        Changed { is_new: true, ended: None, has_cooled }
    }

    /// An endpoint that was ready has no entry of its own any more.
    fn lose(&mut self, name: &str, state: State) -> Changed {
        let Some(&key) = self.by_name.get(name) else { return Changed::default() };
        let endpoint = &mut self.endpoints[key];
        let was_ready = endpoint.is_ready();
        if was_ready {
            endpoint.state = state;
        }
        Changed { is_new: was_ready, ..Changed::default() }
    }
}
