//! What is in force after each record, worked out from the whole history.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use peatdeck_core::{
    config_log::Verdict,
    record::{ConfigRecord, Entry, Offset, Snapshot, Version},
};

/// The chain of versions, as of a record.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Truth {
    /// The version in force.
    pub version: Version,
    /// The publish that made it.
    pub publish: Option<String>,
    /// The newest drained life of each endpoint.
    pub drains: BTreeMap<String, u64>,
}

impl Truth {
    /// What a snapshot says.
    pub fn of(snapshot: &Snapshot) -> Truth {
        let drains = snapshot.drains.iter();
        Truth {
            version: snapshot.version,
            publish: snapshot.publish.as_ref().map(|id| id.to_string()),
            drains: drains.map(|d| (d.endpoint.to_string(), d.incarnation.0)).collect(),
        }
    }
}

/// Follows the history from its first record.
#[derive(Default)]
pub struct Oracle {
    truths: Vec<Truth>,
    verdicts: BTreeMap<String, Verdict>,
}

impl Oracle {
    /// Follows the records that are new.
    pub fn follow(&mut self, all: &[Entry<ConfigRecord>]) {
        for entry in &all[self.truths.len()..] {
            let truth = self.next(&entry.record);
            self.truths.push(truth);
        }
    }

    /// What is in force after a record.
    pub fn as_of(&self, offset: Option<Offset>) -> Truth {
        offset.map_or_else(Truth::default, |offset| self.truths[offset as usize].clone())
    }

    /// What is in force after the last record.
    pub fn newest(&self) -> Truth {
        self.truths.last().cloned().unwrap_or_default()
    }

    /// What became of each publish that the log took.
    pub fn verdicts(&self) -> &BTreeMap<String, Verdict> {
        &self.verdicts
    }

    fn next(&mut self, record: &ConfigRecord) -> Truth {
        let mut truth = self.newest();
        match record {
            ConfigRecord::Publish(publish) => {
                let mut verdict = Verdict::Conflict { current: truth.version };
                if publish.base == truth.version {
                    truth.version += 1;
                    truth.publish = Some(publish.id.to_string());
                    verdict = Verdict::Accepted { version: truth.version };
                }
                self.verdicts.entry(publish.id.to_string()).or_insert(verdict);
            }
            ConfigRecord::Drain(drain) => {
                let life = truth.drains.entry(drain.endpoint.to_string()).or_default();
                *life = drain.incarnation.0.max(*life);
            }
            ConfigRecord::Snapshot(_) | ConfigRecord::Evacuation(_) => {}
        }
        truth
    }
}
