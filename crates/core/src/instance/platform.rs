//! Handles reads and appends of the platform's log, and its list.

use std::{rc::Rc, sync::Arc};

use crate::{
    config_log::Change,
    document::Document,
    instance::{AppendKind, Instance, action::Action, plan::Plan},
    model::{AppendId, Incarnation, Listing},
    record::{Batch, ConfigRecord, Stream, Version},
    subset::{self, Params},
};

impl Instance {
    pub(super) fn on_config_read(&mut self, batch: &Batch<ConfigRecord>) {
        self.last_log_read = Some(self.now);
        let changes = self.config_reader.read(batch);
        self.apply(changes);
        self.append_snapshot(batch.now_ms);
    }

    /// Applies changes of the configuration in order.
    pub(super) fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::InForce(document, version) => self.install_config(document, version),
                Change::Drained(drain) => self.mark_leaving(&drain.endpoint, drain.incarnation),
                Change::Evacuated(data_centres) => self.table.evacuate(data_centres),
            }
        }
    }

    fn install_config(&mut self, document: Arc<Document>, version: Version) {
        self.counters.versions += 1;
        match Plan::new(version, document) {
            Ok(plan) => {
                self.plan = Some(Rc::new(plan));
                self.plan_error = None;
            }
            Err(error) => {
                self.plan_error =
                    Some(format!("version {version} does not compile: {error}").into());
            }
        }
    }

    /// Appends a snapshot of the configuration if one is due, before its records expire.
    fn append_snapshot(&mut self, now_ms: u64) {
        if self.pending_appends.values().any(|append| *append == AppendKind::Snapshot) {
            return;
        }
        let rank = self.snapshot_rank();
        let Some(snapshot) = self.config_reader.snapshot_due(now_ms, self.settings.retention, rank)
        else {
            return;
        };
        let append = self.next_append(AppendKind::Snapshot);
        self.actions
            .push(Action::AppendConfig { append, record: ConfigRecord::Snapshot(snapshot) });
    }

    /// Number of live peers that append snapshots before this instance does.
    fn snapshot_rank(&self) -> u32 {
        let alive = self.members.alive(self.now);
        let before = alive.iter().filter(|peer| **peer < self.identity.name).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    pub(super) fn on_read_failure(&mut self, stream: Stream) {
        self.counters.log_read_failures += 1;
        if stream == Stream::Claims {
            self.claims.read_failed();
        }
    }

    pub(super) fn on_append_end(&mut self, append: AppendId, ok: bool) {
        self.counters.append_failures += u64::from(!ok);
        if self.pending_appends.remove(&append) == Some(AppendKind::Claims) {
            self.claims.append_ended(self.now, ok);
        }
    }

    pub(super) fn on_listing(&mut self, listing: &Listing) {
        self.has_listing = true;
        self.members.apply_listing(self.now, &listing.instances);
        let before = self.table.leaving_marks().len();
        let params = Params {
            name: &self.identity.name,
            data_centre: &self.identity.data_centre,
            size: self.settings.subset,
            evacuated: self.table.evacuated(),
        };
        let endpoints = subset::choose(params, &listing.endpoints);
        self.table.apply_listing(self.now, &endpoints);
        let after = self.table.leaving_marks().len();
        self.counters.leaving_learnt += after.saturating_sub(before) as u64;
    }

    pub(super) fn mark_leaving(&mut self, endpoint: &str, incarnation: Incarnation) {
        let new = self.table.mark_leaving(endpoint, incarnation);
        self.counters.leaving_learnt += u64::from(new);
    }

    /// Whether requests are accepted, since the configuration in force is known.
    pub(super) fn is_serving(&self) -> bool {
        self.plan.is_some() && self.plan_error.is_none() && !self.is_isolated()
    }

    /// Whether a newer configuration may be in force because neither the log nor a peer was reached
    /// recently.
    pub(super) fn is_isolated(&self) -> bool {
        let last_contact = self.last_log_read.max(self.members.last_received());
        let is_silent =
            last_contact.is_none_or(|at| self.now.saturating_sub(at) > self.settings.isolation);
        is_silent && self.members.has_listed_peers()
    }

    /// Reasons why the instance is not ready; empty if it is ready.
    pub fn unready_reasons(&self) -> Vec<Arc<str>> {
        let mut reasons: Vec<Arc<str>> = Vec::new();
        if self.stopping.is_some() {
            reasons.push("the instance is stopping".into());
        }
        if let Some(error) = &self.plan_error {
            reasons.push(error.clone());
        }
        if self.plan.is_none() && self.plan_error.is_none() {
            reasons.push("no configuration is known; publish one, or check the log".into());
        }
        if !self.has_listing {
            reasons.push("no endpoint is known; the platform's list was not read yet".into());
        }
        if self.is_isolated() {
            reasons.push("neither the log nor a peer was heard lately; check the network".into());
        }
        reasons
    }
}
