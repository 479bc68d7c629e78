//! Counts replies to requests and pieces of services that are being rolled out.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::relay::{
    machine::Relay,
    model::{CallKey, EndpointId, Failure, PieceFailure, PieceResult, ReplyHead, ServiceName},
    pool::Track,
    rollout::{
        Evidence, Phase, Version,
        counting::{Ending, Reply},
        progress::Rollout,
    },
};

/// A call of a service that is being rolled out.
struct CountedCall {
    service: ServiceName,
    endpoint: EndpointId,
    track: Track,
    first: Option<Duration>,
    total: Duration,
}

impl Relay {
    /// Counts a reply that was read whole.
    pub(super) fn count_reply(&mut self, now: Duration, call: CallKey, head: &ReplyHead) {
        if head.is_not_run || head.status == 421 {
            return;
        }
        let is_success = (200..300).contains(&head.status);
        let has_failed = head.status >= 500 || (is_success && !head.is_sealed);
        self.count_ending(now, call, if has_failed { Ending::Failed } else { Ending::Complete });
    }

    /// Counts a call that brought no complete reply.
    pub(super) fn count_failure(&mut self, now: Duration, call: CallKey, failure: Failure) {
        let Some(key) = self.exchange_of(call) else { return };
        let content = self.exchanges[key].content;
        let is_counted = match failure {
            Failure::Unsent => false,
            Failure::Foreign => true,
            Failure::Cut => {
                let is_first = |rollout: &mut Rollout| rollout.replies.is_first_cut(content);
                let rollout = self.counted_call(now, call).map(|counted| counted.service);
                let rollout = rollout.and_then(|service| self.rollouts.get_mut(&service));
                rollout.is_some_and(is_first) && self.quarantine.get(content).is_none()
            }
        };
        if is_counted {
            self.count_ending(now, call, Ending::Failed);
        }
    }

    /// Counts how a call of an exchange ended, unless it was counted before.
    pub(super) fn count_ending(&mut self, now: Duration, call: CallKey, ending: Ending) {
        let Some(key) = self.exchange_of(call) else { return };
        let Some(counted) = self.counted_call(now, call) else { return };
        if let (Ending::Complete, Some(rollout)) = (ending, self.rollouts.get_mut(&counted.service))
        {
            rollout.replies.record_answer(self.exchanges[key].content);
        }
        let route = self.exchanges[key].route.name.clone();
        let is_stream = self.exchanges[key].route.kind.is_stream();
        let first = counted.first.filter(|_| is_stream);
        let is_counted = self.count(now, &CountedCall { first, ..counted }, &route, ending);
        if let Some(state) = self.calls.get_mut(call) {
            state.is_counted |= is_counted;
        }
    }

    /// Counts the calls that have not ended and are slow already.
    pub(super) fn count_open_calls(&mut self, now: Duration, service: &str) {
        for call in self.calls_of(service) {
            self.count_ending(now, call, Ending::Open);
        }
    }

    /// Counts the results of a call for pieces: one for each stage of a request. A call that was
    /// slow counts once, since its pieces were slow for the same reason.
    pub(super) fn count_piece_results(
        &mut self,
        now: Duration,
        call: CallKey,
        results: &[PieceResult],
    ) {
        let Some(counted) = self.counted_call(now, call) else { return };
        let pieces = self.batcher.running_pieces(call);
        let expected = self.batcher.expected_time(call).unwrap_or_default();
        let mut groups = BTreeMap::new();
        for (piece, result) in pieces.into_iter().zip(results) {
            let has_failed = match result {
                Ok(_) => false,
                Err(PieceFailure::Failed) => true,
                Err(_) => continue,
            };
            if let Some(piece) = piece {
                *groups.entry(piece).or_insert(false) |= has_failed;
            }
        }
        // Calls differ in their numbers of pieces, so their times are compared per expected second.
        let total = counted.total.div_f64(expected.as_secs_f64().max(1e-3));
        let counted = CountedCall { total, first: None, ..counted };
        for ((route, content), has_failed) in groups {
            let ending = if has_failed { Ending::Failed } else { Ending::Complete };
            if let (false, Some(rollout)) = (has_failed, self.rollouts.get_mut(&counted.service)) {
                rollout.replies.record_answer(content);
            }
            let is_slow = self.is_slow(now, &counted, &route);
            self.count(now, &counted, &route, ending);
            if is_slow {
                break;
            }
        }
    }

    /// Counts a call for pieces that brought no results.
    pub(super) fn count_piece_failure(&mut self, now: Duration, call: CallKey, failure: Failure) {
        let Some(counted) = self.counted_call(now, call) else { return };
        let mut pieces: Vec<_> = self.batcher.running_pieces(call).into_iter().flatten().collect();
        pieces.sort_unstable();
        pieces.dedup();
        let Some((route, _)) = pieces.first().cloned() else { return };
        let is_counted = match failure {
            Failure::Unsent => false,
            Failure::Foreign => true,
            Failure::Cut => pieces.iter().all(|(_, content)| {
                let rollout = self.rollouts.get_mut(&counted.service);
                let is_first = rollout.is_some_and(|it| it.replies.is_first_cut(*content));
                is_first && self.quarantine.get(*content).is_none()
            }),
        };
        if is_counted {
            self.count(now, &counted, &route, Ending::Failed);
        }
    }

    fn is_slow(&mut self, now: Duration, counted: &CountedCall, route: &Arc<str>) -> bool {
        let rollout = self.rollouts.get_mut(&counted.service);
        rollout.is_some_and(|it| it.replies.is_slow(now, route, counted.total))
    }

    fn count(
        &mut self,
        now: Duration,
        counted: &CountedCall,
        route: &Arc<str>,
        ending: Ending,
    ) -> bool {
        let CountedCall { service, endpoint, track, first, total } = counted;
        let Some(rollout) = self.rollouts.get_mut(service) else { return false };
        let reply = Reply { route, track: *track, endpoint, first: *first, total: *total, ending };
        let bad = rollout.replies.bad_canaries();
        let is_counted = rollout.replies.count(now, reply);
        if rollout.replies.bad_canaries() > bad {
            self.test_own_replies(now, service);
        }
        is_counted
    }

    /// The call, if its reply counts: its service is being rolled out, its endpoint was not cold
    /// when it began, and it was not counted before.
    fn counted_call(&self, now: Duration, call: CallKey) -> Option<CountedCall> {
        let state = self.calls.get(call).filter(|state| !state.is_counted)?;
        let endpoint = self.directory.get(state.endpoint)?;
        let service = &endpoint.entry.service;
        let rollout = self.rollouts.get(service).filter(|it| !it.phase.is_final())?;
        let since = |at: Duration| at.saturating_sub(state.started_at);
        let is_canary = endpoint.entry.version == rollout.order.destination;
        (!endpoint.is_cold(state.started_at)).then(|| CountedCall {
            service: service.clone(),
            endpoint: endpoint.id(),
            track: if is_canary { Track::Canary } else { Track::Stable },
            first: Some(since(state.answered_at.unwrap_or(now))),
            total: since(now),
        })
    }

    /// The calls that run at endpoints of a service.
    fn calls_of(&self, service: &str) -> Vec<CallKey> {
        let is_of =
            |call: &CallKey| self.pool_of_call(*call).is_some_and(|it| *it.service == *service);
        self.calls.keys().filter(is_of).collect()
    }

    /// What this instance has counted since the order for a service.
    pub(super) fn evidence(&self, now: Duration, service: &str) -> Option<Evidence> {
        let rollout = self.rollouts.get(service)?;
        let is_ramp = rollout.phase == Phase::Shifting && !rollout.has_shifted(now);
        Some(Evidence {
            service: rollout.order.service.clone(),
            order: rollout.order.position,
            content: rollout.order.content(),
            age: rollout.age(now),
            // Calls still start on old endpoints during the ramp.
            phase: if is_ramp { Phase::Canary } else { rollout.phase },
            is_halted: rollout.is_halted(),
            old_calls: self.old_calls(service, &rollout.order.destination),
            routes: rollout.replies.routes(),
            endpoints: rollout.replies.endpoints().to_vec(),
        })
    }

    /// The calls that run on endpoints of another version than the destination.
    fn old_calls(&self, service: &str, destination: &Version) -> u32 {
        let endpoints = self.calls.values().filter_map(|state| self.directory.get(state.endpoint));
        let running = endpoints.filter(|endpoint| {
            *endpoint.entry.service == *service && endpoint.entry.version != *destination
        });
        u32::try_from(running.count()).unwrap_or(u32::MAX)
    }
}
