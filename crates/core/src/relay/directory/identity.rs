//! Whether the process at an endpoint's address is still the one that its entry describes.
//!
//! An endpoint that states its incarnation may restart under its name, with another version of its
//! software. Its new entry is read up to half a second after its new process accepts calls. After a
//! sign that its process may have ended, the endpoint is therefore *doubted*, until a connection to
//! it has opened and the directory has been read long enough after that: a process writes its entry
//! when it starts. One whose name is new with each start refuses calls to the earlier name.

use std::time::Duration;

use crate::{
    model::Incarnation,
    relay::{
        directory::{Directory, Entry},
        model::EndpointKey,
    },
};

/// A process that accepts connections has written its entry within this time.
const ENTRY_DELAY: Duration = Duration::from_millis(300);
/// The incarnation of an endpoint whose entry states none.
const UNSTATED: Incarnation = Incarnation(0);
/// How long an endpoint to which no connection opens is doubted. Its entry expires meanwhile.
const MAX_DOUBT: Duration = Duration::from_secs(5);

/// Whether it is known which process is at an endpoint's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Identity {
    /// The one of its entry.
    #[default]
    Known,
    /// That one may have ended.
    Doubted(Duration),
    /// That one may have ended, and a connection has opened since.
    Found(Duration),
}

impl Directory {
    /// The process of an endpoint may have ended.
    pub fn doubt(&mut self, now: Duration, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        if keeps_name(&endpoint.entry) {
            endpoint.identity = Identity::Doubted(now);
            self.has_doubts = true;
        }
    }

    /// A connection to an endpoint has opened.
    pub fn mark_connected(&mut self, now: Duration, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        if matches!(endpoint.identity, Identity::Doubted(_)) {
            endpoint.identity = Identity::Found(now);
        }
    }

    /// Whether another process than that of its entry may be at an endpoint's address.
    pub fn is_doubted(&self, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|it| it.identity != Identity::Known)
    }

    /// The directory has been read at time `at`: endpoints whose entries would be others by now if
    /// they had restarted are doubted no longer. Returns whether there are any.
    pub fn settle_doubts(&mut self, at: Duration) -> bool {
        if !std::mem::take(&mut self.has_doubts) {
            return false;
        }
        let mut is_settled = false;
        for endpoint in self.endpoints.values_mut() {
            let until = match endpoint.identity {
                Identity::Known => continue,
                Identity::Doubted(since) => since + MAX_DOUBT,
                Identity::Found(since) => since + ENTRY_DELAY,
            };
            match at >= until {
                true => endpoint.identity = Identity::Known,
                false => self.has_doubts = true,
            }
            is_settled |= at >= until;
        }
        is_settled
    }
}

/// Whether an endpoint may restart under the name of its entry.
fn keeps_name(entry: &Entry) -> bool {
    entry.incarnation != UNSTATED
}
