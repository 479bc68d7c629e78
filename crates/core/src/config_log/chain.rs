//! The pure function that applies one record of the stream to a state of the configuration.

use std::sync::Arc;

use crate::{
    config_log::Verdict,
    document::Document,
    record::{
        ConfigRecord, Drain, Entry, Evacuated, Evacuation, Offset, Publish, Snapshot, Version,
    },
};

/// The most drains that a state holds. When it is full, the oldest one is dropped.
pub const MAX_DRAINS: usize = 4096;

/// The most evacuated data centres that a state holds. Further ones are ignored: dropping an older
/// order instead would end that evacuation without notice.
pub const MAX_EVACUATED: usize = 1024;

/// The state before the first record.
pub fn empty_state() -> Snapshot {
    Snapshot {
        as_of: None,
        version: 0,
        publish: None,
        document: Arc::new(Document::default()),
        drains: Vec::new(),
        evacuated: Vec::new(),
        restorer: None,
    }
}

/// The first offset that a state does not cover.
pub fn first_uncovered(state: &Snapshot) -> Offset {
    state.as_of.map_or(0, |offset| offset + 1)
}

/// The snapshot in a record; `None` if it claims to cover its own offset.
pub fn snapshot_in(entry: &Entry<ConfigRecord>) -> Option<&Snapshot> {
    match &entry.record {
        ConfigRecord::Snapshot(snapshot) if first_uncovered(snapshot) <= entry.offset => {
            Some(snapshot)
        }
        _ => None,
    }
}

/// Whether two drains apply to the same incarnation of the same endpoint.
pub fn is_same_incarnation(a: &Drain, b: &Drain) -> bool {
    a.endpoint == b.endpoint && a.incarnation == b.incarnation
}

/// A publish and the verdict on it.
pub struct DecidedPublish {
    /// The id of the publish.
    pub id: Arc<str>,
    /// The version it was made from.
    pub base: Version,
    /// Whether it was accepted.
    pub verdict: Verdict,
}

/// Applies one record to the state. Returns the verdict if the record is a publish.
pub fn apply(state: &mut Snapshot, entry: &Entry<ConfigRecord>) -> Option<DecidedPublish> {
    state.as_of = Some(entry.offset);
    match &entry.record {
        ConfigRecord::Publish(publish) => {
            let verdict = decide(state, publish);
            Some(DecidedPublish { id: publish.id.clone(), base: publish.base, verdict })
        }
        ConfigRecord::Drain(drain) => {
            add_drain(&mut state.drains, drain);
            None
        }
        ConfigRecord::Evacuation(evacuation) => {
            apply_evacuation(&mut state.evacuated, evacuation);
            None
        }
        ConfigRecord::Snapshot(_) => None,
    }
}

fn decide(state: &mut Snapshot, publish: &Publish) -> Verdict {
    if publish.base != state.version {
        return Verdict::Conflict { current: state.version };
    }
    state.version += 1;
    state.publish = Some(publish.id.clone());
    state.document = publish.document.clone();
    state.restorer = None;
    Verdict::Accepted { version: state.version }
}

/// Applies an order to evacuate or to end an evacuation; the newest order for a data centre counts.
fn apply_evacuation(evacuated: &mut Vec<Evacuated>, order: &Evacuation) {
    let Evacuation { data_centre, is_over, author } = order;
    let is_same = |known: &Evacuated| known.data_centre == *data_centre;
    if *is_over {
        evacuated.retain(|known| !is_same(known));
    } else if !evacuated.iter().any(is_same) && evacuated.len() < MAX_EVACUATED {
        evacuated.push(Evacuated { data_centre: data_centre.clone(), author: author.clone() });
    }
}

/// Keeps one drain for each endpoint, that of its newest incarnation.
fn add_drain(drains: &mut Vec<Drain>, drain: &Drain) {
    let known = drains.iter().position(|known| known.endpoint == drain.endpoint);
    if let Some(idx) = known {
        if drains[idx].incarnation >= drain.incarnation {
            return;
        }
        drains.remove(idx);
    }
    if drains.len() == MAX_DRAINS {
        drains.remove(0);
    }
    drains.push(drain.clone());
}
