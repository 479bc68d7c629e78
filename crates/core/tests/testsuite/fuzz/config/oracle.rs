//! The configuration in force after each record, computed from the whole history.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use peatdeck_core::{
    config_log::Verdict,
    record::{ConfigRecord, Entry, Offset, Snapshot, Version},
};

/// The configuration in force after a record.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigState {
    /// The version in force.
    pub version: Version,
    /// The id of the publish that created it.
    pub publish: Option<String>,
    /// The newest drained incarnation of each endpoint.
    pub drains: BTreeMap<String, u64>,
}

impl ConfigState {
    /// The state that a snapshot contains.
    pub fn of(snapshot: &Snapshot) -> ConfigState {
        let drains = snapshot.drains.iter();
        ConfigState {
            version: snapshot.version,
            publish: snapshot.publish.as_ref().map(|id| id.to_string()),
            drains: drains.map(|d| (d.endpoint.to_string(), d.incarnation.0)).collect(),
        }
    }
}

/// Applies the records of the log from the first one on.
#[derive(Default)]
pub struct Oracle {
    states: Vec<ConfigState>,
    verdicts: BTreeMap<String, Verdict>,
}

impl Oracle {
    /// Applies the records that were appended since the last call.
    pub fn follow(&mut self, all: &[Entry<ConfigRecord>]) {
        for entry in &all[self.states.len()..] {
            let state = self.next(&entry.record);
            self.states.push(state);
        }
    }

    /// The state after a record.
    pub fn as_of(&self, offset: Option<Offset>) -> ConfigState {
        offset.map_or_else(ConfigState::default, |offset| self.states[offset as usize].clone())
    }

    /// The state after the last record.
    pub fn newest(&self) -> ConfigState {
        self.states.last().cloned().unwrap_or_default()
    }

    /// The verdict on each publish in the log.
    pub fn verdicts(&self) -> &BTreeMap<String, Verdict> {
        &self.verdicts
    }

    fn next(&mut self, record: &ConfigRecord) -> ConfigState {
        let mut state = self.newest();
        match record {
            ConfigRecord::Publish(publish) => {
                let mut verdict = Verdict::Conflict { current: state.version };
                if publish.base == state.version {
                    state.version += 1;
                    state.publish = Some(publish.id.to_string());
                    verdict = Verdict::Accepted { version: state.version };
                }
                self.verdicts.entry(publish.id.to_string()).or_insert(verdict);
            }
            ConfigRecord::Drain(drain) => {
                let incarnation = state.drains.entry(drain.endpoint.to_string()).or_default();
                *incarnation = drain.incarnation.0.max(*incarnation);
            }
            ConfigRecord::Snapshot(_) | ConfigRecord::Evacuation(_) => {}
        }
        state
    }
}
