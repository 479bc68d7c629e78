//! Which endpoints have shown that they still write their entries.
//!
//! The store may execute a write seconds after later ones, also after the removal of its key, and
//! an instance that has started in between has seen neither. An entry that is first seen with
//! another number than an incarnation's first is therefore *unproven* until the next one follows,
//! which only a process that still runs writes, or until it has outlived the time after which the
//! platform removes silent ones. An instance that has just begun to follow the directory sees all
//! entries for the first time, so it uses them all the same for as long as the next ones may take.
//! A directory may hold back entries in which only the number changes. If most endpoints show no
//! further one, their silence says nothing, and all of them are used.

use std::time::Duration;

use crate::{
    model::EndpointName,
    relay::{
        directory::{Directory, Entry, endpoint::State},
        model::EndpointKey,
        pool::Pool,
    },
};

/// The number of the first entry of an incarnation.
const FIRST_NUMBER: u64 = 1;
/// For how many intervals between two entries the directory is followed before unproven endpoints
/// are not used any more. Entries are read up to half a second after they were written.
const PROOF_INTERVALS: f64 = 1.6;
/// The platform removes entries after three intervals of silence; those that are older are in use.
const EXPIRY_INTERVALS: f64 = 3.5;
/// If the copy of the directory was not compared with the store for this long, entries may have
/// been missed, and the time to prove themselves begins anew for all endpoints.
const MAX_READ_GAP: Duration = Duration::from_secs(2);

/// Since when the directory has been followed without a gap.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Observation {
    /// How long endpoints may take to prove themselves.
    proof_time: Duration,
    /// How long an entry outlives its process at most.
    expiry_time: Duration,
    /// When the copy was first and last compared with the store, without a gap in between.
    span: Option<(Duration, Duration)>,
    /// Whether endpoints are used that are unproven.
    has_trials: bool,
    /// Whether endpoints are suspended because they are unproven.
    has_suspended: bool,
    /// Whether most endpoints have shown further entries.
    carries_numbers: bool,
}

impl Observation {
    /// Whether unproven endpoints are used, since the directory has not been followed for long.
    fn is_trial(&self) -> bool {
        self.span.is_none_or(|(first, last)| last < first + self.proof_time)
    }
}

impl Directory {
    /// Sets how often endpoints write their entries at least.
    pub fn set_entry_interval(&mut self, interval: Duration) {
        self.observation.proof_time = interval.mul_f64(PROOF_INTERVALS);
        self.observation.expiry_time = interval.mul_f64(EXPIRY_INTERVALS);
    }

    /// The copy of the directory was the same as the store's at this time.
    pub fn mark_read(&mut self, at: Duration) {
        let span = &mut self.observation.span;
        *span = match *span {
            Some((first, last)) if at <= last + MAX_READ_GAP => Some((first, last.max(at))),
            _ => Some((at, at)),
        };
    }

    /// Stops using the endpoints that have not proven themselves in time, if most others have.
    /// Returns their names.
    pub fn suspend_unproven(&mut self, now: Duration) -> Vec<EndpointName> {
        if !self.observation.has_trials || self.observation.is_trial() {
            return Vec::new();
        }
        let ready = self.endpoints.values().filter(|it| it.is_ready());
        let (advanced, silent): (Vec<_>, Vec<_>) = ready.partition(|it| it.has_advanced);
        self.observation.carries_numbers = advanced.len() > silent.len();
        self.observation.has_trials = false;
        let carries_numbers = self.observation.carries_numbers;
        let unproven = self.endpoints.values_mut().filter(|it| !it.is_proven && it.is_ready());
        let mut suspended = Vec::new();
        for endpoint in unproven {
            if carries_numbers {
                endpoint.state = State::Unproven(now);
                suspended.push(endpoint.entry.name.clone());
            } else {
                endpoint.is_proven = true;
            }
        }
        self.observation.has_suspended |= !suspended.is_empty();
        suspended
    }

    /// Uses the unproven endpoints again whose entries would have been removed by now if their
    /// processes had ended. Returns whether there are any.
    pub fn release_unproven(&mut self) -> bool {
        let Observation { span, expiry_time, has_suspended, .. } = self.observation;
        let Some((_, last)) = span.filter(|_| has_suspended) else { return false };
        let (mut is_released, mut is_left) = (false, false);
        for endpoint in self.endpoints.values_mut() {
            let State::Unproven(since) = endpoint.state else { continue };
            if last < since + expiry_time {
                is_left = true;
                continue;
            }
            endpoint.state = State::Ready;
            endpoint.is_proven = true;
            is_released = true;
        }
        self.observation.has_suspended = is_left;
        is_released
    }

    /// The usable endpoints of a pool that are unproven, if it has others.
    pub fn unproven_beside_others(&self, now: Duration, pool: Pool<'_>) -> Vec<EndpointKey> {
        if !self.observation.has_trials {
            return Vec::new();
        }
        let usable = self.usable(now, pool).into_iter();
        let (proven, unproven): (Vec<_>, Vec<_>) =
            usable.partition(|key| self.endpoints[*key].is_proven);
        if proven.is_empty() { Vec::new() } else { unproven }
    }

    /// Whether an entry that is seen for the first time shows that its process runs.
    pub(super) fn is_first(entry: &Entry) -> bool {
        entry.number <= FIRST_NUMBER
    }

    /// The state of an endpoint that accepts new work, unless it has to prove itself first.
    pub(super) fn state_of_ready(&mut self, now: Duration, is_proven: bool) -> State {
        if is_proven {
            return State::Ready;
        }
        if self.observation.is_trial() {
            self.observation.has_trials = true;
            return State::Ready;
        }
        if !self.observation.carries_numbers {
            return State::Ready;
        }
        self.observation.has_suspended = true;
        State::Unproven(now)
    }
}
