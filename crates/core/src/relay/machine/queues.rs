//! Reports of backlogs between batchers.
//!
//! Where pieces wait, result memory is scarce, and the instances that use results help by
//! reporting early which of them have been read. Elsewhere these reports would only be
//! traffic, so each batcher tells the batchers of the other services while pieces wait at its
//! own.

use std::time::Duration;

use crate::{
    model::InstanceName,
    relay::{
        machine::Relay,
        model::{Action, ServiceName},
        pool::{Pool, PoolKey},
    },
};

/// Interval between two backlog reports. Each batcher sends them to two peers: twenty
/// messages of some hundred bytes a second, and only while pieces wait.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// How long a backlog report is valid: three successive ones may be lost.
const REPORT_VALIDITY: Duration = Duration::from_millis(400);
/// Shorter waits are not reported: a third of a call, within which result memory is freed
/// anyway.
const MIN_BACKLOG: Duration = Duration::from_millis(100);

impl Relay {
    /// The batcher of a service reports that pieces wait there.
    pub fn on_backlog_notice(&mut self, now: Duration, service: ServiceName) {
        self.backlogs.insert(service, now);
    }

    /// Whether pieces wait at a service for long enough to matter.
    pub(super) fn is_backlogged(&self, now: Duration, service: &ServiceName) -> bool {
        self.backlogs.get(service).is_some_and(|reported| now <= *reported + REPORT_VALIDITY)
    }

    /// Reports backlogs of this instance's queues to the batchers of the other services.
    pub(super) fn report_backlogs(&mut self, now: Duration) {
        if now < self.next_backlog {
            return;
        }
        self.next_backlog = now + REPORT_INTERVAL;
        let backlogged: Vec<_> = self
            .batcher
            .waiting_pools()
            .into_iter()
            .filter(|it| self.has_backlog(now, it))
            .collect();
        if backlogged.is_empty() {
            return;
        }
        for PoolKey { service, region } in backlogged {
            self.on_backlog_notice(now, service.clone());
            let peers = self.other_batchers(region.as_deref());
            let announcements = peers
                .iter()
                .map(|peer| Action::AnnounceQueue { peer: peer.clone(), service: service.clone() });
            self.actions.extend(announcements);
        }
    }

    fn has_backlog(&self, now: Duration, pool: &PoolKey) -> bool {
        let Some(config) = self.piece_config(&pool.service) else { return false };
        let wait = self.batcher.backlog(now, pool, &config, &self.directory);
        wait.is_some_and(|wait| wait >= MIN_BACKLOG)
    }

    /// The peers that batch any service in a region.
    fn other_batchers(&self, region: Option<&str>) -> Vec<InstanceName> {
        let Some(config) = &self.config else { return Vec::new() };
        let batched = config.services.iter().filter(|(_, service)| service.pieces.is_some());
        let batcher =
            |service: &ServiceName| self.batcher_peer(Pool { region, ..Pool::of(service) });
        let mut peers: Vec<_> = batched.filter_map(|(name, _)| batcher(name)).collect();
        peers.sort_unstable();
        peers.dedup();
        peers
    }
}
