//! Carries out the actions of the state machine.

use std::rc::Rc;

use futures::future::{AbortHandle, Abortable};
use peatdeck_core::relay::{
    Relay,
    model::{Action, CallKey},
};

use crate::{
    calls, decisions,
    driver::{Driver, ReplyPart},
    origins, records, rollouts,
};

impl Driver {
    pub(super) fn perform(self: &Rc<Self>, action: Action) {
        self.log(&action);
        match action {
            Action::Send(call) => {
                let key = call.key;
                self.spawn(key, calls::run(self.clone(), call));
            }
            Action::Cancel(call) => {
                self.metrics.count("relay.cancelled", 1);
                self.replies.borrow_mut().remove(&call);
                if let Some(task) = self.calls.borrow_mut().remove(call) {
                    task.abort();
                }
            }
            Action::Answer { exchange, call } => {
                let reply = self.replies.borrow_mut().remove(&call);
                let reply = reply.expect("the machine answers while it handles the reply");
                self.metrics.count("relay.answered", 1);
                self.end(exchange, ReplyPart::Whole(reply));
            }
            Action::BeginStream { exchange, call } => {
                if let Some(head) = self.replies.borrow_mut().remove(&call) {
                    self.send(exchange, ReplyPart::Head(head));
                }
            }
            Action::FinishStream(exchange) => {
                self.metrics.count("relay.answered", 1);
                self.end(exchange, ReplyPart::End);
            }
            Action::AbortStream(exchange) => {
                self.metrics.count("relay.broken", 1);
                self.end(exchange, ReplyPart::Broken);
            }
            Action::Refuse { exchange, refusal, retry_after } => {
                self.count_refusal(refusal);
                self.end(exchange, ReplyPart::Refused { refusal, retry_after });
            }
            Action::MakePieces { call, endpoint, addr, via, pieces } => {
                self.metrics.count("relay.piece_calls", 1);
                self.metrics.count("relay.pieces", pieces.len() as u64);
                let task = calls::run_pieces(self.clone(), call, endpoint, addr, via, pieces);
                self.spawn(call, task);
            }
            Action::FreeResults { addr, handles } => {
                ntex::rt::spawn(calls::free_results(self.clone(), addr, handles));
            }
            Action::Disconnect(addr) => self.pool.disconnect(&addr),
            Action::ListParts { endpoint, addr } => {
                ntex::rt::spawn(calls::list_parts(self.clone(), endpoint, addr));
            }
            Action::HandOverPieces { key, peer, pieces } => {
                self.metrics.count("relay.handed_over", pieces.len() as u64);
                self.peers.hand_over(self, key, peer, pieces);
            }
            Action::FreeViaPeer { peer, handles, is_evictable } => {
                self.peers.free_via_peer(self, peer, handles, is_evictable);
            }
            Action::RequestPlacement { exchange, peer, request } => {
                self.metrics.count("relay.placements_asked", 1);
                self.peers.request_placement(self, exchange, peer, request);
            }
            Action::AnnounceQueue { peer, service } => {
                self.peers.announce_queue(self, peer, service)
            }
            Action::ReportProgress { peer, progress, notices } => {
                self.peers.report_progress(self, peer, progress, notices);
            }
            Action::RecordStreams { peer, records } => {
                self.peers.record_streams(self, peer, records);
            }
            Action::AskOrigin { exchange, stream, service, peers } => {
                self.peers.ask_origin(self, exchange, stream, service, peers);
            }
            Action::ReadOrigins => {
                ntex::rt::spawn(origins::read(self.clone()));
            }
            Action::ReadVersions => {
                ntex::rt::spawn(origins::read_list(self.clone()));
            }
            Action::LogStreams(records) => {
                ntex::rt::spawn(origins::append(self.clone(), records));
            }
            Action::ListVersions { service, versions, delay } => {
                ntex::rt::spawn(origins::list(self.clone(), service, versions, delay));
            }
            Action::PruneVersions { service, versions } => {
                ntex::rt::spawn(origins::prune(self.clone(), service, versions));
            }
            Action::OriginKnown { source, .. } => {
                self.metrics.count(&format!("relay.origins_known.{}", source.name()), 1);
            }
            Action::Probe { endpoint, addr } => {
                ntex::rt::spawn(calls::probe(self.clone(), endpoint, addr));
            }
            Action::AskPeers { endpoint, id, own, peers } => {
                self.peers.ask_reach(self, endpoint, id, own, peers);
            }
            Action::CheckAnswer { endpoint, addr } => {
                ntex::rt::spawn(calls::check_answer(self.clone(), endpoint, addr));
            }
            Action::AskAnswered { endpoint, id, peers } => {
                self.peers.ask_answered(self, endpoint, id, peers);
            }
            Action::CheckPath { endpoint, addr, is_silent } => {
                ntex::rt::spawn(calls::check_path(self.clone(), endpoint, addr, is_silent));
            }
            Action::CutOff(is_cut_off) => {
                self.metrics.gauge("relay.cut_off", u64::from(is_cut_off));
            }
            Action::PathChanged { unreachable, .. } => {
                self.metrics.gauge("relay.endpoints_unreachable", unreachable as u64);
            }
            Action::EndpointCrashed { crashes, .. } => {
                self.metrics.count("relay.crashed_runs", crashes.len() as u64);
            }
            Action::ReportCrashes { peer, crashes } => {
                self.peers.report_crashes(self, peer, crashes)
            }
            Action::QueryAnswered { content, since } => {
                self.peers.query_answered(self, content, since)
            }
            Action::AnnounceQuarantine { content, crashes } => {
                self.metrics.count("relay.quarantines_raised", 1);
                self.peers.announce_quarantine(self, content, crashes);
                ntex::rt::spawn(records::write(self.clone(), content, Some(crashes)));
            }
            Action::WriteQuarantine { content, crashes } => {
                ntex::rt::spawn(records::write(self.clone(), content, Some(crashes)));
            }
            Action::DeleteQuarantine(content) => {
                ntex::rt::spawn(records::write(self.clone(), content, None));
            }
            Action::Quarantined { .. } | Action::Released(_) => {
                let count = self.inspect(|machine| machine.quarantined().count());
                self.metrics.gauge("relay.quarantined", count as u64);
            }
            Action::QuarantineHit { .. } => {}
            Action::CrashesCombined { .. } => self.metrics.count("relay.crashes_combined", 1),
            Action::SuspicionCleared(_) => self.metrics.count("relay.quarantines_dropped", 1),
            Action::EndpointsSuspended(names) => {
                self.metrics.count("relay.endpoints_suspended", names.len() as u64);
            }
            Action::EndpointLeaving { .. } => self.metrics.count("relay.endpoints_leaving", 1),
            Action::EndpointLimit { .. } => {
                let limited = self.inspect(Relay::limited_count);
                self.metrics.gauge("relay.endpoints_limited", limited as u64);
            }
            Action::ReportEvidence { peer, evidence } => {
                self.rollouts.on_report(&self.settings.name, &evidence);
                self.peers.report_evidence(self, peer, evidence);
            }
            Action::WriteRollout(record) => rollouts::write(self, record),
            Action::RolloutHalted { service, reason } => {
                self.metrics.count("relay.rollouts_halted", 1);
                self.rollouts.on_halted(&service, reason);
                rollouts::log_evidence(self, &service);
            }
            Action::RecallPieces(key) => self.peers.recall(key),
            Action::ReturnResults { ticket, results } => self.peers.return_results(ticket, results),
        }
    }

    fn spawn(self: &Rc<Self>, call: CallKey, task: impl Future<Output = ()> + 'static) {
        let (abort, registration) = AbortHandle::new_pair();
        self.calls.borrow_mut().insert(call, abort);
        ntex::rt::spawn(Abortable::new(task, registration));
    }

    fn log(&self, action: &Action) {
        let exchange = match action {
            Action::Send(call) => Some(call.exchange),
            Action::Answer { exchange, .. }
            | Action::BeginStream { exchange, .. }
            | Action::Refuse { exchange, .. }
            | Action::OriginKnown { exchange, .. }
            | Action::QuarantineHit { exchange, .. }
            | Action::FinishStream(exchange)
            | Action::AbortStream(exchange) => Some(*exchange),
            _ => None,
        };
        let request = exchange.and_then(|key| self.request_of(key));
        let id = match action {
            Action::HandOverPieces { pieces, .. } => {
                pieces.first().map(|piece| piece.request.clone())
            }
            _ => request.map(|request| request.id.clone()),
        };
        decisions::log_action(action, id.as_deref().unwrap_or_default(), self.config_state());
    }
}
