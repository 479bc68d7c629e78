//! What endpoints report of themselves in each reply: limits, holds, cold starts and leaving.
//! Peers are notified.

use std::time::Duration;

use rand::Rng;

use crate::{
    model::InstanceName,
    relay::{
        directory::Endpoint,
        machine::Relay,
        model::{Action, CallKey, EndpointKey, ReplyHead},
        terms::{LimitReport, Notice},
    },
};

/// How long peers are notified of a change: a notice reaches hundreds of instances within a
/// few rounds of gossip.
const NOTICE_VALIDITY: Duration = Duration::from_secs(15);
/// Maximum number of notices in a message, of some 50 bytes each.
const MAX_NOTICES: usize = 32;

impl Relay {
    /// Takes in the head of a reply. What the endpoint reports of itself holds however the
    /// call ends, unless another endpoint answered at its address.
    pub fn on_reply_terms(&mut self, now: Duration, call: CallKey, head: &ReplyHead) {
        self.record_heard(now, call);
        if head.status == 421 {
            return;
        }
        let Some(state) = self.calls.get(call) else { return };
        let (key, placer) = (state.endpoint, state.placer.clone());
        let instances = self.instance_count() as u32;
        let Some(endpoint) = self.directory.get_mut(key) else { return };
        if let Some(cold_left) = head.terms.cold_left {
            endpoint.set_cold(now, cold_left);
        }
        if let Some(hold) = head.terms.hold {
            endpoint.extend_hold(now, hold);
        }
        endpoint.set_max_refusals(now, head.terms.max_refusals);
        if head.is_refusal() {
            endpoint.avoid_refusals(now, instances);
        }
        let is_news = endpoint.update_limit(LimitReport { limit: head.terms.limit, at: now });
        let is_notable = is_news || endpoint.limit().is_some() || head.terms.is_leaving;
        if let (Some((peer, _)), true) = (placer, is_notable) {
            let notice = Notice { is_leaving: head.terms.is_leaving, ..endpoint.notice(now) };
            self.pending_notices.entry(peer).or_default().push(notice);
        }
        if is_news {
            self.report_limit(now, key, None);
        }
        if head.terms.hold.is_some() || head.terms.max_refusals.is_some() {
            self.pace_pieces(now, key);
        }
        if head.terms.is_leaving {
            self.mark_leaving(now, key, None);
        }
    }

    /// Notices on endpoints for the next message to a peer.
    pub fn peer_notices(&mut self, now: Duration) -> Vec<Notice> {
        let is_fresh = |at: Duration| now < at + NOTICE_VALIDITY;
        let is_news = |endpoint: &&Endpoint| {
            let is_leaving = endpoint.leaving_at.is_some_and(is_fresh);
            let is_reported = endpoint.limit_report.is_some_and(|word| is_fresh(word.at));
            endpoint.limit().is_some() || is_leaving || is_reported
        };
        let news = self.directory.all().filter(is_news);
        let mut notices: Vec<_> = news.map(|endpoint| endpoint.notice(now)).collect();
        while notices.len() > MAX_NOTICES {
            // The others are sent with later messages.
            let idx = self.rng.random_range(0..notices.len());
            notices.swap_remove(idx);
        }
        notices
    }

    /// Takes in a peer's notices on endpoints.
    pub fn on_peer_notices(&mut self, now: Duration, peer: &InstanceName, notices: &[Notice]) {
        for notice in notices {
            let Some(key) = self.directory.by_id(&notice.endpoint) else { continue };
            let Some(endpoint) = self.directory.get_mut(key) else { continue };
            if endpoint.update_limit(notice.limit_report(now)) {
                self.report_limit(now, key, Some(peer.clone()));
            }
            if notice.is_leaving {
                self.mark_leaving(now, key, Some(peer.clone()));
            }
        }
    }

    fn report_limit(&mut self, now: Duration, key: EndpointKey, source: Option<InstanceName>) {
        self.pace_pieces(now, key);
        let Some(endpoint) = self.directory.get(key) else { return };
        let (name, limit) = (endpoint.entry.name.clone(), endpoint.limit());
        self.actions.push(Action::EndpointLimit { endpoint: name, limit, source });
    }

    /// Marks an endpoint as leaving after it announced that, whatever the directory states.
    /// The directory may be unreachable or late, and endpoints stop soon after the
    /// announcement.
    fn mark_leaving(&mut self, now: Duration, key: EndpointKey, source: Option<InstanceName>) {
        let Some(endpoint) = self.directory.get_mut(key).filter(|it| it.leaving_at.is_none())
        else {
            return;
        };
        endpoint.leaving_at = Some(now);
        let name = endpoint.entry.name.clone();
        self.directory.mark_leaving(now, key);
        self.actions.push(Action::EndpointLeaving { endpoint: name, source });
    }
}
