//! The history of changes to the configuration, from the records of the log.
//!
//! [`History`] applies each batch after the [`ConfigReader`] has read it. It
//! performs no I/O and reads no clock. Repeated records of the same publish
//! count once, as in [`ConfigReader`]; the first one is kept.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use peatdeck_core::{
    config_log::{ConfigReader, Verdict},
    record::{Batch, ConfigRecord, Drain, Entry, Evacuation, Offset, Publish, Snapshot, Version},
};
use peatdeck_wire::admin::{HistoryEntry, HistoryReply, OperatorAction, PublishVerdict};
use xxhash_rust::xxh3;

/// Maximum number of entries kept; the oldest are dropped first. This holds ten
/// days of 2,000 changes each.
const MAX_ENTRIES: usize = 20_000;

/// The changes that operators have made to the configuration, oldest first.
#[derive(Debug, Default)]
pub struct History {
    entries: VecDeque<HistoryEntry>,
    publishes: HashMap<Arc<str>, PublishSummary>,
    /// Offsets of publishes that the [`ConfigReader`] has not decided yet.
    undecided: Vec<Offset>,
    earliest: Offset,
}

/// Distinguishes a repeated publish from another one with the same id.
#[derive(Debug, Clone, Copy)]
struct PublishSummary {
    offset: Offset,
    digest: u64,
}

impl History {
    /// Applies a batch that `config` has just read.
    pub fn apply(&mut self, batch: &Batch<ConfigRecord>, config: &ConfigReader) {
        self.earliest = batch.earliest;
        for entry in &batch.entries {
            match &entry.record {
                ConfigRecord::Publish(publish) => self.add_publish(entry, publish),
                ConfigRecord::Drain(drain) => self.add_drain(entry, drain),
                ConfigRecord::Evacuation(order) => self.add_evacuation(entry, order),
                ConfigRecord::Snapshot(snapshot) => self.add_restore(entry, snapshot),
            }
        }
        self.decide(config);
        while self.entries.len() > MAX_ENTRIES {
            self.drop_oldest();
        }
    }

    /// Returns at most `limit` entries, starting at offset `from`.
    pub fn page(&self, from: Offset, limit: usize) -> HistoryReply {
        let start = self.entries.partition_point(|entry| entry.offset < from);
        let end = start.saturating_add(limit).min(self.entries.len());
        HistoryReply {
            acts: self.entries.range(start..end).cloned().collect(),
            next: self.entries.get(end).map(|entry| entry.offset),
            earliest: self.earliest,
        }
    }

    /// The entry of a publish; `None` if its record has not been read.
    pub fn entry(&self, id: &str) -> Option<&HistoryEntry> {
        let known = self.publishes.get(id)?;
        let idx = self.entries.binary_search_by_key(&known.offset, |entry| entry.offset).ok()?;
        self.entries.get(idx)
    }

    /// The verdict on a publish; `None` if its record has not been read or decided.
    pub fn verdict(&self, id: &str) -> Option<PublishVerdict> {
        match &self.entry(id)?.what {
            OperatorAction::Publish { verdict: PublishVerdict::Forgotten, .. } => None,
            OperatorAction::Publish { verdict, .. } => Some(verdict.clone()),
            OperatorAction::Restore { .. }
            | OperatorAction::Drain { .. }
            | OperatorAction::Evacuation { .. } => None,
        }
    }

    /// Whether the publish recorded under this id is the same one; `None` if
    /// none is recorded.
    pub fn is_same(&self, publish: &Publish) -> Option<bool> {
        self.publishes.get(&publish.id).map(|known| known.digest == digest(publish))
    }

    /// Id and author of the publish or restore that created a version; `None` if
    /// the history does not contain it.
    pub fn origin(&self, wanted: Version) -> Option<(Arc<str>, Arc<str>)> {
        self.entries.iter().rev().find_map(|entry| match &entry.what {
            OperatorAction::Publish {
                id, verdict: PublishVerdict::Accepted { version }, ..
            } if *version == wanted => Some((Arc::clone(id), Arc::clone(&entry.author))),
            OperatorAction::Restore { id, version } if *version == wanted => {
                Some((Arc::clone(id), Arc::clone(&entry.author)))
            }
            _ => None,
        })
    }

    fn add_publish(&mut self, entry: &Entry<ConfigRecord>, publish: &Publish) {
        if self.publishes.contains_key(&publish.id) {
            return;
        }
        let known = PublishSummary { offset: entry.offset, digest: digest(publish) };
        self.publishes.insert(Arc::clone(&publish.id), known);
        self.undecided.push(entry.offset);
        let what = OperatorAction::Publish {
            id: Arc::clone(&publish.id),
            base: publish.base,
            verdict: PublishVerdict::Forgotten,
        };
        self.push(entry, &publish.author, what);
    }

    fn add_drain(&mut self, entry: &Entry<ConfigRecord>, drain: &Drain) {
        let what = OperatorAction::Drain {
            endpoint: Arc::clone(&drain.endpoint),
            incarnation: drain.incarnation,
        };
        self.push(entry, &drain.author, what);
    }

    fn add_evacuation(&mut self, entry: &Entry<ConfigRecord>, order: &Evacuation) {
        let what = OperatorAction::Evacuation {
            data_centre: Arc::clone(&order.data_centre),
            is_over: order.is_over,
        };
        self.push(entry, &order.author, what);
    }

    /// Adds a restore. Later snapshots of the same state carry the restore's id
    /// too, so a known id is skipped.
    fn add_restore(&mut self, entry: &Entry<ConfigRecord>, snapshot: &Snapshot) {
        let (Some(author), Some(id)) = (&snapshot.restorer, &snapshot.publish) else { return };
        let is_known = |entry: &HistoryEntry| {
            matches!(
                &entry.what,
                OperatorAction::Restore { id: known, .. } if known == id
            )
        };
        if self.entries.iter().any(is_known) {
            return;
        }
        let what = OperatorAction::Restore { id: Arc::clone(id), version: snapshot.version };
        self.push(entry, author, what);
    }

    fn push(&mut self, entry: &Entry<ConfigRecord>, author: &Arc<str>, what: OperatorAction) {
        let author = Arc::clone(author);
        self.entries.push_back(HistoryEntry {
            offset: entry.offset,
            time_ms: entry.time_ms,
            author,
            what,
        });
    }

    /// Copies verdicts that `config` has reached since. A [`ConfigReader`] that
    /// has missed records reaches none until a snapshot covers the gap.
    fn decide(&mut self, config: &ConfigReader) {
        let entries = &mut self.entries;
        self.undecided.retain(|offset| {
            let Ok(idx) = entries.binary_search_by_key(offset, |e| e.offset) else { return false };
            let OperatorAction::Publish { id, verdict, .. } = &mut entries[idx].what else {
                return false;
            };
            let Some(decided) = config.verdict(id) else { return true };
            *verdict = to_wire(decided);
            false
        });
    }

    fn drop_oldest(&mut self) {
        let Some(entry) = self.entries.pop_front() else { return };
        if let OperatorAction::Publish { id, .. } = entry.what {
            self.publishes.remove(&id);
        }
    }
}

fn to_wire(verdict: Verdict) -> PublishVerdict {
    match verdict {
        Verdict::Accepted { version } => PublishVerdict::Accepted { version },
        Verdict::Conflict { current } => PublishVerdict::Conflict { current },
    }
}

fn digest(publish: &Publish) -> u64 {
    let json = serde_json::to_vec(publish).unwrap_or_default();
    xxh3::xxh3_64(&json)
}
