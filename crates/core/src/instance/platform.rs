//! The platform's log and list, from the instance's side.

use std::{rc::Rc, sync::Arc};

use crate::{
    config_log::Change,
    document::Document,
    instance::{Append, Instance, action::Action, plan::Plan},
    model::{AppendId, Incarnation, Listing},
    record::{Batch, ConfigRecord, Stream, Version},
    subset::{self, Params},
};

impl Instance {
    pub(super) fn config_read(&mut self, batch: &Batch<ConfigRecord>) {
        self.last_read = Some(self.now);
        let changes = self.fold.read(batch);
        self.apply(changes);
        self.keep_snapshot(batch.now_ms);
    }

    /// Takes configuration changes into force, in order.
    pub(super) fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::InForce(document, version) => self.install(document, version),
                Change::Drained(drain) => self.mark_leaving(&drain.endpoint, drain.incarnation),
                Change::Evacuated(places) => self.table.evacuate(places),
            }
        }
    }

    fn install(&mut self, document: Arc<Document>, version: Version) {
        self.counters.versions += 1;
        match Plan::new(version, document) {
            Ok(plan) => {
                self.plan = Some(Rc::new(plan));
                self.broken = None;
            }
            Err(error) => {
                self.broken = Some(format!("version {version} does not compile: {error}").into());
            }
        }
    }

    /// Appends the folded configuration again before its records expire.
    fn keep_snapshot(&mut self, now_ms: u64) {
        if self.appends.values().any(|append| *append == Append::Snapshot) {
            return;
        }
        let rank = self.rank();
        let Some(snapshot) = self.fold.snapshot_due(now_ms, self.settings.retention, rank) else {
            return;
        };
        let append = self.next_append(Append::Snapshot);
        self.actions
            .push(Action::AppendConfig { append, record: ConfigRecord::Snapshot(snapshot) });
    }

    /// How many live peers come before this instance in keeping snapshots.
    fn rank(&self) -> u32 {
        let alive = self.members.alive(self.now);
        let before = alive.iter().filter(|peer| **peer < self.identity.name).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    pub(super) fn read_failed(&mut self, stream: Stream) {
        self.counters.log_read_failures += 1;
        if stream == Stream::Claims {
            self.claims.read_failed();
        }
    }

    pub(super) fn append_ended(&mut self, append: AppendId, ok: bool) {
        self.counters.append_failures += u64::from(!ok);
        if self.appends.remove(&append) == Some(Append::Claims) {
            self.claims.append_ended(self.now, ok);
        }
    }

    pub(super) fn listed(&mut self, listing: &Listing) {
        self.was_listed = true;
        self.members.apply_listing(self.now, &listing.instances);
        let before = self.table.leaving_marks().len();
        let chooser = Params {
            name: &self.identity.name,
            data_centre: &self.identity.data_centre,
            size: self.settings.subset,
            evacuated: self.table.evacuated(),
        };
        let endpoints = subset::choose(chooser, &listing.endpoints);
        self.table.apply_listing(self.now, &endpoints);
        let after = self.table.leaving_marks().len();
        self.counters.leaving_learnt += after.saturating_sub(before) as u64;
    }

    pub(super) fn mark_leaving(&mut self, endpoint: &str, incarnation: Incarnation) {
        let new = self.table.mark_leaving(endpoint, incarnation);
        self.counters.leaving_learnt += u64::from(new);
    }

    /// Whether requests are taken: the configuration in force is known.
    pub(super) fn is_serving(&self) -> bool {
        self.plan.is_some() && self.broken.is_none() && !self.is_isolated()
    }

    /// Whether a newer configuration could be in force without a chance to know.
    pub(super) fn is_isolated(&self) -> bool {
        let heard = self.last_read.max(self.members.last_received());
        let silent = heard.is_none_or(|at| self.now.saturating_sub(at) > self.settings.isolation);
        silent && self.members.has_listed_peers()
    }

    /// Reasons for not being ready; empty when ready.
    pub fn unready_reasons(&self) -> Vec<Arc<str>> {
        let mut reasons: Vec<Arc<str>> = Vec::new();
        if self.stopping.is_some() {
            reasons.push("the instance is stopping".into());
        }
        if let Some(broken) = &self.broken {
            reasons.push(broken.clone());
        }
        if self.plan.is_none() && self.broken.is_none() {
            reasons.push("no configuration is known; publish one, or check the log".into());
        }
        if !self.was_listed {
            reasons.push("no endpoint is known; the platform's list was not read yet".into());
        }
        if self.is_isolated() {
            reasons.push("neither the log nor a peer was heard lately; check the network".into());
        }
        reasons
    }
}
