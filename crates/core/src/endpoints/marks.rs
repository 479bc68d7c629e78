//! Marks of endpoints that are leaving, including endpoints that aren't listed.
//!
//! Since the list lags, a mark often arrives before the endpoint is listed or stays after it has
//! disappeared. Marks of listed endpoints are always kept; of the others only the newest ones are,
//! up to a bound.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    membership::LeavingMark,
    model::{EndpointName, Incarnation},
};

/// The leaving marks by endpoint.
#[derive(Debug)]
pub struct Marks {
    max_unlisted: usize,
    marks: BTreeMap<EndpointName, Mark>,
    /// Endpoints that aren't listed, oldest mark first.
    unlisted: VecDeque<EndpointName>,
}

#[derive(Debug)]
struct Mark {
    incarnation: Incarnation,
    is_listed: bool,
}

impl Marks {
    /// No marks. `max_unlisted` bounds the marks of endpoints that aren't listed.
    pub fn new(max_unlisted: usize) -> Marks {
        Marks { max_unlisted, marks: BTreeMap::new(), unlisted: VecDeque::new() }
    }

    /// Adds a mark. Returns `true` if it is new or covers a larger incarnation.
    pub fn add(&mut self, endpoint: &str, incarnation: Incarnation, is_listed: bool) -> bool {
        if let Some(mark) = self.marks.get_mut(endpoint) {
            let is_new = incarnation > mark.incarnation;
            mark.incarnation = mark.incarnation.max(incarnation);
            return is_new;
        }
        let name = EndpointName::from(endpoint);
        self.marks.insert(name.clone(), Mark { incarnation, is_listed });
        if !is_listed {
            self.add_unlisted(name);
        }
        true
    }

    /// The newest incarnation for which an endpoint is marked.
    pub fn incarnation(&self, endpoint: &str) -> Option<Incarnation> {
        self.marks.get(endpoint).map(|mark| mark.incarnation)
    }

    /// Records whether an endpoint is listed.
    pub fn set_listed(&mut self, endpoint: &str, is_listed: bool) {
        let Some((name, mark)) = self.marks.get_key_value(endpoint) else { return };
        if mark.is_listed == is_listed {
            return;
        }
        let name = name.clone();
        if let Some(mark) = self.marks.get_mut(endpoint) {
            mark.is_listed = is_listed;
        }
        if is_listed {
            self.unlisted.retain(|other| *other != name);
        } else {
            self.add_unlisted(name);
        }
    }

    /// All marks, ordered by the endpoint's name.
    pub fn all(&self) -> Vec<LeavingMark> {
        let marks = self.marks.iter();
        let told = marks.map(|(name, mark)| LeavingMark {
            endpoint: name.clone(),
            incarnation: mark.incarnation,
        });
        told.collect()
    }

    fn add_unlisted(&mut self, name: EndpointName) {
        self.unlisted.push_back(name);
        if self.unlisted.len() <= self.max_unlisted {
            return;
        }
        if let Some(oldest) = self.unlisted.pop_front() {
            self.marks.remove(&oldest);
        }
    }
}
