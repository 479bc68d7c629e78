//! Carries out the actions of instances.

use peatdeck_core::relay::model::Action;

use super::{Event, Fleet, setup::index_of};

impl Fleet {
    pub(super) fn perform(&mut self, idx: usize, action: Action) {
        match action {
            Action::MakePieces { call, addr, pieces, .. } => {
                self.outcome.batchers.insert(idx);
                self.after_hop(Event::RunPieces { from: idx, call, addr, pieces });
            }
            Action::HandOverPieces { key, peer, pieces } => {
                self.after_hop(Event::HandOver { to: index_of(&peer), from: idx, key, pieces });
            }
            Action::ReturnResults { ticket, results } => {
                let (to, key) =
                    self.tickets.remove(&ticket).expect("the ticket belongs to a handover");
                self.after_hop(Event::Return { to, key, results });
            }
            Action::FreeViaPeer { peer, handles, is_evictable } => {
                self.after_hop(Event::FreeViaPeer {
                    to: index_of(&peer),
                    handles,
                    is_deferred: is_evictable,
                });
            }
            Action::FreeResults { addr, handles } => self.after_hop(Event::Free { addr, handles }),
            Action::RequestPlacement { exchange, peer, request } => {
                let (to, key) = (index_of(&peer), exchange);
                self.after_hop(Event::Place { to, from: idx, key, placement_request: request });
            }
            Action::Disconnect(_) => {}
            Action::ListParts { endpoint, .. } => {
                self.after_hop(Event::PartsListed { to: idx, endpoint });
            }
            Action::CheckAnswer { endpoint, .. } => {
                self.after_hop(Event::PathChecked { to: idx, endpoint });
            }
            Action::AnnounceQueue { peer, service } => {
                self.after_hop(Event::Backlog { to: index_of(&peer), service });
            }
            Action::ReportProgress { peer, progress, notices } => {
                self.after_hop(Event::Report { to: index_of(&peer), from: idx, progress, notices });
            }
            Action::Send(call) => self.after_hop(Event::Send { from: idx, call }),
            Action::BeginStream { exchange, .. } => self.record_answer(idx, exchange),
            Action::Refuse { exchange, refusal, .. } => {
                self.record_refusal(idx, exchange, refusal.status())
            }
            Action::AbortStream(exchange) => self.record_refusal(idx, exchange, 502),
            Action::FinishStream(_)
            | Action::Answer { .. }
            | Action::Cancel(_)
            | Action::EndpointLimit { .. }
            | Action::EndpointsSuspended(_)
            | Action::EndpointLeaving { .. }
            | Action::ListVersions { .. }
            | Action::ReadVersions
            | Action::RecallPieces(_) => {}
            // No endpoint of this fleet crashes or is cut off, nothing is rolled out, and all
            // endpoints have one version.
            Action::RecordStreams { .. }
            | Action::AskOrigin { .. }
            | Action::ReadOrigins
            | Action::LogStreams(_)
            | Action::PruneVersions { .. }
            | Action::OriginKnown { .. }
            | Action::Probe { .. }
            | Action::AskPeers { .. }
            | Action::AskAnswered { .. }
            | Action::CheckPath { .. }
            | Action::CutOff(_)
            | Action::PathChanged { .. }
            | Action::EndpointCrashed { .. }
            | Action::ReportCrashes { .. }
            | Action::QueryAnswered { .. }
            | Action::SuspicionCleared(_)
            | Action::CrashesCombined { .. }
            | Action::Quarantined { .. }
            | Action::QuarantineHit { .. }
            | Action::AnnounceQuarantine { .. }
            | Action::WriteQuarantine { .. }
            | Action::DeleteQuarantine(_)
            | Action::Released(_)
            | Action::ReportEvidence { .. }
            | Action::WriteRollout(_)
            | Action::RolloutHalted { .. } => unreachable!("{action:?}"),
        }
    }
}
