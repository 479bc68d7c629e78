//! Where pieces wait for their turn.
//!
//! Where pieces wait, room for results is scarce: whoever makes something of them gives
//! room back early by telling which he has read. Where none wait that is only traffic,
//! so who batches a service says so to those who batch the others, while pieces wait.

use std::time::Duration;

use crate::{
    model::InstanceName,
    relay::{
        machine::Relay,
        model::{Action, ServiceName},
    },
};

/// Pause between two words on the queues. Two peers are told by each batcher, twenty
/// messages of some hundred bytes a second, and only while pieces wait.
const PAUSE: Duration = Duration::from_millis(100);
/// A word is reckoned with for so long: three of them may be lost.
const VALID: Duration = Duration::from_millis(400);
/// Shorter waits are not told: a third of a call, in which room becomes free anyway.
const NOTABLE: Duration = Duration::from_millis(100);

impl Relay {
    /// Whoever batches a service says that pieces wait there.
    pub fn on_backlog_notice(&mut self, now: Duration, service: ServiceName) {
        self.queues.insert(service, now);
    }

    /// Whether pieces wait notably long at a service.
    pub(super) fn is_waited_for(&self, now: Duration, service: &ServiceName) -> bool {
        self.queues.get(service).is_some_and(|told| now <= *told + VALID)
    }

    /// Tells whoever batches the other services where pieces wait.
    pub(super) fn tell_queues(&mut self, now: Duration) {
        if now < self.next_word {
            return;
        }
        self.next_word = now + PAUSE;
        let waited_for: Vec<_> = self
            .batches
            .waiting_services()
            .into_iter()
            .filter(|it| self.has_backlog(now, it))
            .collect();
        if waited_for.is_empty() {
            return;
        }
        let peers = self.other_batchers();
        for service in waited_for {
            self.on_backlog_notice(now, service.clone());
            let words = peers
                .iter()
                .map(|peer| Action::AnnounceQueue { peer: peer.clone(), service: service.clone() });
            self.actions.extend(words);
        }
    }

    fn has_backlog(&self, now: Duration, service: &str) -> bool {
        let Some(shape) = self.shape(service) else { return false };
        let wait = self.batches.backlog(now, service, &shape, &self.directory);
        wait.is_some_and(|wait| wait >= NOTABLE)
    }

    /// The peers that batch any service.
    fn other_batchers(&self) -> Vec<InstanceName> {
        let Some(config) = &self.config else { return Vec::new() };
        let makers = config.services.iter().filter(|(_, service)| service.pieces.is_some());
        let mut peers: Vec<_> = makers.filter_map(|(name, _)| self.owner(name)).collect();
        peers.sort_unstable();
        peers.dedup();
        peers
    }
}
