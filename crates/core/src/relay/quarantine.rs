//! Quarantine of requests that crash the endpoints that run them.
//!
//! Some content crashes each endpoint that begins to run it (a *poison request*). Its
//! callers retry it, at this and other instances, each time under a new id. What is
//! learned in one exchange must therefore outlive it, and is stored per content
//! ([`Fingerprint`]):
//!
//! 1. A run that was interrupted because its endpoint crashed is a [`Crash`]. Each is
//!    reported to the two *collectors* of its content, instances chosen by a hash that
//!    all instances compute alike, so that crashes seen at different instances are
//!    counted together.
//! 2. A collector that has received enough crashes asks all instances whether an endpoint
//!    has answered the content meanwhile. A single answer clears it.
//! 3. Otherwise the content is quarantined: it is announced to all instances and recorded
//!    in the platform's table. An instance that starts, or was disconnected, reads the
//!    table before it sends anything.
//! 4. Content that no caller has sent for a while is released; operators can release it
//!    earlier.
//!
//! What crashes endpoints may also be a part that many prompts share, whatever else they hold.
//! The parts of interrupted runs go the same way under fingerprints of their own. The other
//! parts of the same requests are cleared by the answers to sound requests that share them.
//!
//! Pitfalls:
//!
//! - An interrupted run is not yet a crash: connections fail, and endpoints stop as
//!   planned. Only an incarnation that is known to have ended without notice counts, and
//!   each incarnation only once.
//! - All runs at an endpoint end with it, and at most one of them caused the crash, so a
//!   single crash is weak evidence against any of them. Frequent content is part of many
//!   crashes by chance, but it is also answered meanwhile.
//! - Endpoints that crash at one moment have a common cause. They count as one against content
//!   that was answered lately. All count against content that nobody has answered, which may be
//!   the cause of some of them.

mod common;
mod suspicion;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use peatdeck_macros::{data, id};

use crate::relay::{
    fingerprint::Fingerprint,
    model::EndpointId,
    quarantine::{
        common::CrashTimes,
        suspicion::{EARLY_WEIGHT, LATE_WEIGHT, SeenCrash, Suspicion},
    },
};

/// A crash is late in a run if the endpoint's answer began longer ago than this. The runs
/// that crashed engines did so 42 to 95 ms after their first byte.
pub const EARLY_PERIOD: Duration = Duration::from_secs(1);
/// How long crashes count, and how long content stays quarantined after it was last sent:
/// long enough for callers that retry every few minutes.
pub const WINDOW: Duration = Duration::from_secs(600);
/// The range of the random delay of a release, so that one instance releases a content
/// first, and thereby for all.
const RELEASE_SPREAD: Duration = Duration::from_secs(60);
/// The most contents and parts whose crashes are stored. An endpoint that crashes has some 30
/// runs with up to three parts each, so this covers more than a hundred crashes, in some 2 MB.
const MAX_SUSPECTS: usize = 16384;
/// The most quarantined contents. Each costs a record of some 100 bytes at each instance,
/// and more of them would indicate a fault of another kind.
const MAX_QUARANTINED: usize = 1024;
/// The most answers that are stored: those of two minutes at the 62 requests per second
/// that an instance is designed for, in some 0.6 MB.
const MAX_ANSWERS: usize = 8192;

/// A run that was interrupted because its endpoint crashed.
#[data]
pub struct Crash {
    /// The content that was run.
    pub content: Fingerprint,
    /// The incarnation of the endpoint that crashed.
    pub endpoint: EndpointId,
    /// How long ago the run was interrupted.
    pub age: Duration,
    /// Whether it is weak evidence: the answer had begun more than [`EARLY_PERIOD`] before, or,
    /// for a part of prompts, had not begun.
    pub is_late: bool,
    /// Whether `content` identifies a part of prompts.
    pub is_part: bool,
}

/// A content that is to be quarantined unless an endpoint has answered it.
#[data]
#[derive(Copy)]
pub struct Suspect {
    /// The content.
    pub content: Fingerprint,
    /// The time since which an answer matters: that of the first of its crashes, or earlier.
    pub since: Duration,
}

/// The state of a quarantined content.
#[data]
#[derive(Copy)]
pub struct QuarantineEntry {
    /// When this instance quarantined it.
    pub since: Duration,
    /// When it is released unless it is sent again.
    pub until: Duration,
    /// The number of endpoints known to have crashed while they ran it.
    pub crashes: u32,
    /// Requests for it that this instance refused.
    pub refused: u64,
    /// When its record was last written here or an announcement of it received.
    renewed: Duration,
    /// Whether the platform's table contains it.
    pub is_recorded: bool,
}

/// What the crashes of a content show.
#[data]
#[derive(Copy)]
pub enum Evidence {
    /// Too little to suspect it, or peers are being queried already.
    Weak,
    /// Too little, since crashes of this many endpoints count as one. Stated once.
    Combined(u32),
    /// Enough to quarantine it unless an endpoint has answered it.
    Enough(Suspect),
}

/// How a query for answers to a content ended.
#[id]
#[derive(Copy)]
pub enum QueryOutcome {
    /// Nobody had asked.
    Unasked,
    /// An answer clears it.
    Cleared,
    /// An answer that may be older than the crashes: they are to be weighed again.
    Deferred,
    /// It is to be quarantined: the number of endpoints that it crashed.
    Guilty(u32),
}

/// Suspected and quarantined contents, and the evidence for and against them.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspicion>,
    crash_times: CrashTimes,
    /// Contents about which all instances are being queried.
    queried: HashSet<Fingerprint>,
    entries: HashMap<Fingerprint, QuarantineEntry>,
    answers: HashMap<Fingerprint, Duration>,
    /// The same by the time of their first answer, or of the one that was known when they were
    /// last looked at; each content once.
    answer_log: VecDeque<(Duration, Fingerprint)>,
}

impl Quarantine {
    /// Records a crash, and returns what it shows together with those before it.
    pub fn add_crash(&mut self, now: Duration, crash: &Crash) -> Evidence {
        let Crash { content, endpoint, age, is_late, is_part } = crash;
        let is_known = *content != Fingerprint::UNKNOWN;
        if !is_known || self.entries.contains_key(content) || *age > WINDOW {
            return Evidence::Weak;
        }
        let at = now.saturating_sub(*age);
        self.crash_times.add(endpoint, at);
        let weight = if *is_late { LATE_WEIGHT } else { EARLY_WEIGHT };
        let suspicion = self.suspects.entry(*content).or_default();
        suspicion.is_part = *is_part;
        let seen = &mut suspicion.crashes;
        seen.retain(|seen| now < seen.at + WINDOW);
        match seen.iter_mut().find(|seen| seen.endpoint == *endpoint) {
            Some(known) => known.weight = known.weight.max(weight),
            None => seen.push(SeenCrash { endpoint: endpoint.clone(), at, weight }),
        }
        self.bound_suspects();
        self.evidence(now, *content)
    }

    /// What the crashes of a content show. If they are enough, peers are to be queried.
    pub fn evidence(&mut self, now: Duration, content: Fingerprint) -> Evidence {
        let Some(suspicion) = self.suspects.get_mut(&content) else { return Evidence::Weak };
        if !suspicion.is_enough(&self.crash_times) {
            let is_combined = suspicion.is_enough_singly();
            return match is_combined && !std::mem::replace(&mut suspicion.is_combined, true) {
                true => Evidence::Combined(suspicion.crashes.len() as u32),
                false => Evidence::Weak,
            };
        }
        let since = suspicion.since(now);
        let has_room = self.entries.len() < MAX_QUARANTINED;
        match has_room && self.queried.insert(content) {
            true => Evidence::Enough(Suspect { content, since }),
            false => Evidence::Weak,
        }
    }

    /// Ends the query for answers to a content.
    pub fn finish_query(&mut self, content: Fingerprint, was_answered: bool) -> QueryOutcome {
        if !self.queried.remove(&content) {
            return QueryOutcome::Unasked;
        }
        let suspicion = self.suspects.get_mut(&content);
        match suspicion {
            Some(suspicion) if was_answered && !suspicion.is_known => {
                suspicion.is_known = true;
                QueryOutcome::Deferred
            }
            // Further crashes at the same moment were reported while the peers were asked.
            Some(suspicion) if !was_answered && !suspicion.is_enough(&self.crash_times) => {
                QueryOutcome::Deferred
            }
            Some(suspicion) if !was_answered => {
                QueryOutcome::Guilty(suspicion.crashes.len() as u32)
            }
            // It was answered, also here while the peers were asked.
            _ => {
                self.suspects.remove(&content);
                QueryOutcome::Cleared
            }
        }
    }

    /// Records that an endpoint has answered a content.
    pub fn record_answer(&mut self, now: Duration, content: Fingerprint) {
        self.suspects.remove(&content);
        if self.answers.insert(content, now).is_none() {
            self.answer_log.push_back((now, content));
        }
        while self.answers.len() > MAX_ANSWERS
            && let Some((at, oldest)) = self.answer_log.pop_front()
        {
            match self.answers.get(&oldest) {
                // It was answered again and goes behind the others.
                Some(newest) if *newest != at => self.answer_log.push_back((*newest, oldest)),
                _ => drop(self.answers.remove(&oldest)),
            }
        }
    }

    /// Whether an endpoint has answered a content since a time.
    pub fn was_answered(&self, content: Fingerprint, since: Duration) -> bool {
        self.answers.get(&content).is_some_and(|at| *at >= since)
    }

    /// Quarantines a content, or renews its quarantine. `jitter`, below 1, spreads the
    /// instances' releases over time. Returns whether it was not quarantined before.
    pub fn add(&mut self, now: Duration, content: Fingerprint, crashes: u32, jitter: f64) -> bool {
        let until = now + WINDOW + RELEASE_SPREAD.mul_f64(jitter);
        let known = self.entries.get(&content).copied();
        let entry = known.unwrap_or(QuarantineEntry {
            since: now,
            until,
            crashes,
            refused: 0,
            renewed: now,
            is_recorded: false,
        });
        let crashes = crashes.max(entry.crashes);
        self.entries.insert(content, QuarantineEntry { until, crashes, renewed: now, ..entry });
        known.is_none()
    }

    /// Records that the platform's table contains a quarantined content.
    pub fn note_recorded(&mut self, content: Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&content) {
            entry.is_recorded = true;
        }
    }

    /// Releases a content and discards its crashes. Returns its state if it was quarantined.
    pub fn release(&mut self, content: Fingerprint) -> Option<QuarantineEntry> {
        self.suspects.remove(&content);
        self.entries.remove(&content)
    }

    /// The state of a quarantined content; `None` if it is not quarantined.
    pub fn get(&self, content: Fingerprint) -> Option<&QuarantineEntry> {
        self.entries.get(&content)
    }

    /// All quarantined contents.
    pub fn all(&self) -> impl Iterator<Item = (Fingerprint, &QuarantineEntry)> {
        self.entries.iter().map(|(content, entry)| (*content, entry))
    }

    /// Records that a request was refused because its content is quarantined. Returns the
    /// number of endpoints that it crashed if its record is to be renewed, because callers
    /// still send it and the record is old.
    pub fn record_refusal(&mut self, now: Duration, content: Fingerprint) -> Option<u32> {
        let entry = self.entries.get_mut(&content)?;
        entry.refused += 1;
        entry.until = entry.until.max(now + WINDOW);
        if now < entry.renewed + WINDOW / 2 {
            return None;
        }
        entry.renewed = now;
        Some(entry.crashes)
    }

    /// Expires contents that have not been sent for long enough. Releases those that the
    /// platform's table does not contain, and returns the others, which stay quarantined
    /// until their records are removed.
    pub fn expire(&mut self, now: Duration) -> Vec<Fingerprint> {
        self.crash_times.expire(now.saturating_sub(WINDOW));
        self.suspects.retain(|_, it| it.crashes.iter().any(|seen| now < seen.at + WINDOW));
        let expired = self.entries.iter().filter(|(_, entry)| entry.until <= now);
        let expired: Vec<_> =
            expired.map(|(content, entry)| (*content, entry.is_recorded)).collect();
        let mut recorded = Vec::new();
        for (content, is_recorded) in expired {
            if !is_recorded {
                self.entries.remove(&content);
                continue;
            }
            if let Some(entry) = self.entries.get_mut(&content) {
                entry.until = now + RELEASE_SPREAD;
            }
            recorded.push(content);
        }
        recorded
    }

    fn bound_suspects(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let newest = |it: &Suspicion| it.crashes.iter().map(|seen| seen.at).max();
        let oldest = self.suspects.iter().min_by_key(|(_, suspicion)| newest(suspicion));
        if let Some(content) = oldest.map(|(content, _)| *content) {
            self.suspects.remove(&content);
        }
    }
}
