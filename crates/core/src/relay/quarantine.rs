//! Requests that crash whatever runs them, and are held back.
//!
//! Some content ends each endpoint that begins to run it (a *poison request*). Its
//! callers send it again, here and at other instances, each time under a new id, so
//! what one exchange learns must outlive it. What is learned is kept by the content
//! ([`Fingerprint`]):
//!
//! 1. A run that was cut because its endpoint's life ended is a [`Crash`]. Each is
//!    told to the two *keepers* of its content, instances that all agree on, so that
//!    crashes seen at different instances meet.
//! 2. A keeper that knows of enough crashes asks all instances whether they had the
//!    content answered meanwhile. One answer acquits it.
//! 3. Otherwise it is held back: all instances are told, and the platform's table
//!    keeps it: whoever starts, or was cut off, reads it there before it sends
//!    anything.
//! 4. Content that nobody sends any more is released after a while, or by an
//!    operator.
//!
//! Traps:
//!
//! - A cut is no crash. Networks cut, endpoints stop as planned. Only a life that is
//!   known to have ended without notice counts, and each life only once.
//! - All runs at an endpoint end with it, and all but one are bystanders. A single
//!   crash says little of any of them. Content that is common is in many crashes by
//!   chance, but it is also answered meanwhile.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use peatdeck_macros::data;

use crate::relay::{fingerprint::Fingerprint, model::EndpointId};

/// What the crashes of a content must weigh for it to be held back. Three lives that
/// ended at the beginning of its run: one crash happens to any bystander, and with
/// 18 engines that end every four seconds 37 of 146 requests that were cut were so
/// twice, on four teams, where one team's request was to blame as far as is known.
const ENOUGH: u32 = 3 * EARLY;
/// Weight of a crash near the beginning of a run.
const EARLY: u32 = 2;
/// Weight of a crash of a run that had gone on for a while. What ends an endpoint as
/// it begins has done so by then; what does so later is found with twice the crashes.
const LATE: u32 = 1;
/// A run that was answered so long before its endpoint ended had gone on for a
/// while. The runs that ended engines did so 42 to 95 ms after their first byte.
pub const BEGINNING: Duration = Duration::from_secs(1);
/// How long crashes count, and how long content is held back after it was last sent.
/// Callers that send it every few minutes are still recognized.
pub const WINDOW: Duration = Duration::from_secs(600);
/// Instances release content one after the other, the first for all.
const RELEASE_SPREAD: Duration = Duration::from_secs(60);
/// Contents in crashes that are remembered. An endpoint that ends has some 30 runs,
/// so this is what a hundred of them leave, in some 0.5 MB.
const MOST_SUSPECTS: usize = 4096;
/// Contents that are held back at the most: each costs a record of some 100 bytes at
/// each instance, and more of them would be a fault of another kind.
const MOST_HELD: usize = 1024;
/// Answers that are remembered: those of two minutes at the 62 requests a second that
/// an instance is designed for, in some 0.6 MB.
const MOST_ANSWERS: usize = 8192;

/// A run that ended with its endpoint.
#[data]
pub struct Crash {
    /// What was run.
    pub content: Fingerprint,
    /// The life of the endpoint that ended.
    pub life: EndpointId,
    /// How long ago.
    pub age: Duration,
    /// Whether the run had gone on for longer than [`BEGINNING`].
    pub is_late: bool,
}

/// A content that is to be held back, unless somebody had it answered.
#[data]
#[derive(Copy)]
pub struct Suspicion {
    /// The content.
    pub content: Fingerprint,
    /// When the first of its crashes happened.
    pub since: Duration,
}

/// Content that is held back.
#[data]
#[derive(Copy)]
pub struct Hold {
    /// Since when this instance holds it back.
    pub since: Duration,
    /// Until when, if nobody sends it any more.
    pub until: Duration,
    /// Endpoints that ended under it, as far as is known.
    pub crashes: u32,
    /// Requests that were refused for it here.
    pub refused: u64,
    /// When its record was last written or heard of.
    renewed: Duration,
    /// Whether the platform's table has it.
    pub is_recorded: bool,
}

#[derive(Debug)]
struct Seen {
    life: EndpointId,
    at: Duration,
    weight: u32,
}

/// What is known of contents that crash what runs them.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Vec<Seen>>,
    /// Contents of which peers are being asked whether they had them answered.
    asked: HashSet<Fingerprint>,
    held: HashMap<Fingerprint, Hold>,
    answers: HashMap<Fingerprint, Duration>,
    /// The same by time, oldest first. One that was answered again is there twice.
    answered: VecDeque<(Duration, Fingerprint)>,
}

impl Quarantine {
    /// Takes in a crash. Returns the content's suspicion once its crashes are enough.
    pub fn crashed(&mut self, now: Duration, crash: &Crash) -> Option<Suspicion> {
        let Crash { content, life, age, is_late } = crash;
        let is_known = *content != Fingerprint::UNKNOWN;
        if !is_known || self.held.contains_key(content) || *age > WINDOW {
            return None;
        }
        let weight = if *is_late { LATE } else { EARLY };
        let seen = self.suspects.entry(*content).or_default();
        seen.retain(|seen| now < seen.at + WINDOW);
        match seen.iter_mut().find(|seen| seen.life == *life) {
            Some(known) => known.weight = known.weight.max(weight),
            None => seen.push(Seen { life: life.clone(), at: now.saturating_sub(*age), weight }),
        }
        let total: u32 = seen.iter().map(|seen| seen.weight).sum();
        let since = seen.iter().map(|seen| seen.at).min().unwrap_or(now);
        self.bound_suspects();
        let has_room = self.held.len() < MOST_HELD;
        let is_asked = total >= ENOUGH && has_room && self.asked.insert(*content);
        is_asked.then_some(Suspicion { content: *content, since })
    }

    /// Peers have been asked for a content. Returns how many lives ended under it if
    /// it is to be held back.
    pub fn consulted(&mut self, content: Fingerprint, was_answered: bool) -> Option<u32> {
        if !self.asked.remove(&content) {
            return None;
        }
        if was_answered {
            self.suspects.remove(&content);
            return None;
        }
        Some(self.crashes_of(content))
    }

    /// How many lives are known to have ended under a content.
    fn crashes_of(&self, content: Fingerprint) -> u32 {
        self.suspects.get(&content).map_or(0, |seen| seen.len() as u32)
    }

    /// An endpoint has run a content to an answer of its own.
    pub fn note_answer(&mut self, now: Duration, content: Fingerprint) {
        self.suspects.remove(&content);
        self.answers.insert(content, now);
        self.answered.push_back((now, content));
        if self.answered.len() > MOST_ANSWERS
            && let Some((at, oldest)) = self.answered.pop_front()
            && self.answers.get(&oldest) == Some(&at)
        {
            self.answers.remove(&oldest);
        }
    }

    /// Whether a content was answered since a time.
    pub fn was_answered(&self, content: Fingerprint, since: Duration) -> bool {
        self.answers.get(&content).is_some_and(|at| *at >= since)
    }

    /// Holds a content back. `jitter`, below 1, spreads the end of holds over the
    /// instances. Returns whether it was not held back before.
    pub fn hold(&mut self, now: Duration, content: Fingerprint, crashes: u32, jitter: f64) -> bool {
        let until = now + WINDOW + RELEASE_SPREAD.mul_f64(jitter);
        let known = self.held.get(&content).copied();
        let hold = known.unwrap_or(Hold {
            since: now,
            until,
            crashes,
            refused: 0,
            renewed: now,
            is_recorded: false,
        });
        let crashes = crashes.max(hold.crashes);
        self.held.insert(content, Hold { until, crashes, renewed: now, ..hold });
        known.is_none()
    }

    /// The platform's table has a record of a content that is held back.
    pub fn note_recorded(&mut self, content: Fingerprint) {
        if let Some(hold) = self.held.get_mut(&content) {
            hold.is_recorded = true;
        }
    }

    /// Releases a content, and forgets its crashes. Returns what it was held by.
    pub fn release(&mut self, content: Fingerprint) -> Option<Hold> {
        self.suspects.remove(&content);
        self.held.remove(&content)
    }

    /// What holds a content back, if anything does.
    pub fn held(&self, content: Fingerprint) -> Option<&Hold> {
        self.held.get(&content)
    }

    /// Everything that is held back.
    pub fn all(&self) -> impl Iterator<Item = (Fingerprint, &Hold)> {
        self.held.iter().map(|(content, hold)| (*content, hold))
    }

    /// A request was refused since its content is held back. Returns how many
    /// endpoints ended under it if its record is to be written anew: it has got old,
    /// and whoever sends it still does.
    pub fn note_refused(&mut self, now: Duration, content: Fingerprint) -> Option<u32> {
        let hold = self.held.get_mut(&content)?;
        hold.refused += 1;
        hold.until = hold.until.max(now + WINDOW);
        if now < hold.renewed + WINDOW / 2 {
            return None;
        }
        hold.renewed = now;
        Some(hold.crashes)
    }

    /// The contents whose time is over. Those that the platform's table has are held
    /// on until their records are removed; the others are released.
    pub fn take_old(&mut self, now: Duration) -> Vec<Fingerprint> {
        self.suspects.retain(|_, seen| seen.iter().any(|seen| now < seen.at + WINDOW));
        let over = self.held.iter().filter(|(_, hold)| hold.until <= now);
        let over: Vec<_> = over.map(|(content, hold)| (*content, hold.is_recorded)).collect();
        let mut recorded = Vec::new();
        for (content, is_recorded) in over {
            if !is_recorded {
                self.held.remove(&content);
                continue;
            }
            if let Some(hold) = self.held.get_mut(&content) {
                hold.until = now + RELEASE_SPREAD;
            }
            recorded.push(content);
        }
        recorded
    }

    fn bound_suspects(&mut self) {
        if self.suspects.len() <= MOST_SUSPECTS {
            return;
        }
        let newest = |seen: &Vec<Seen>| seen.iter().map(|seen| seen.at).max();
        let oldest = self.suspects.iter().min_by_key(|(_, seen)| newest(seen));
        if let Some(content) = oldest.map(|(content, _)| *content) {
            self.suspects.remove(&content);
        }
    }
}
