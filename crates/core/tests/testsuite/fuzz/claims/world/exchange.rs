//! Appends of processes to the log, and reads from it.

use peatdeck_core::{
    claims::{ClaimDecision, Verdict},
    instance::input::Identity,
    record::{Batch, ClaimBatch, ClaimFact},
};

use super::{Append, Packet, READ_ALL, State, World, claim_nonce, process_mut};
use crate::fuzz::claims::Fault;

impl World {
    pub(super) fn append(&mut self, idx: usize) {
        let now = self.now(idx);
        let process = process_mut(&mut self.processes, idx);
        let Some(mut facts) = process.claims.flush(now) else { return };
        assert!(
            process.append.is_none(),
            "a process sends an append before the previous one has ended"
        );
        assert!(!facts.is_empty(), "an append without facts");
        if self.setup.fault == Fault::DropsVoids {
            facts.retain(|fact| !matches!(fact, ClaimFact::Void { .. }));
        }
        let nonces = facts.iter().filter_map(claim_nonce).collect();
        let id = self.next_id;
        self.next_id += 1;
        process.append = Some(Append { id, nonces, is_stored: false });
        let Identity { name, incarnation, .. } = process.identity.clone();
        let batch = ClaimBatch { instance: name, incarnation, facts };
        self.packets.push(Packet { incarnation: incarnation.0, append: id, batch });
    }

    pub(super) fn deliver(&mut self, packet: usize, keeps_copy: bool) {
        if self.packets.is_empty() {
            return;
        }
        let idx = packet % self.packets.len();
        if !self.log.append(self.packets[idx].batch.clone()) {
            return;
        }
        let Packet { incarnation, append, .. } = self.packets[idx];
        let sender =
            self.processes.iter_mut().flatten().find(|p| p.identity.incarnation.0 == incarnation);
        let in_flight = sender.and_then(|process| process.append.as_mut());
        if let Some(in_flight) = in_flight.filter(|in_flight| in_flight.id == append) {
            in_flight.is_stored = true;
        }
        if !keeps_copy {
            self.packets.remove(idx);
        }
    }

    /// Ends an append. The acknowledgement of a stored append may be lost, but an append that
    /// was not stored is never acknowledged.
    pub(super) fn ack(&mut self, idx: usize, ok: bool) {
        let now = self.now(idx);
        let process = process_mut(&mut self.processes, idx);
        let Some(append) = process.append.take() else { return };
        let ok = ok && append.is_stored;
        process.claims.append_ended(now, ok);
        for attempt in &mut process.attempts {
            if !append.nonces.contains(&attempt.nonce) || attempt.state != State::Waiting {
                continue;
            }
            if ok && self.setup.fault == Fault::TrustsAck {
                attempt.state = State::Won;
            }
            if !ok && self.setup.fault == Fault::TrustsFailedAppend {
                self.oracle.record_refusal(attempt.nonce);
            }
        }
    }

    pub(super) fn fetch(&mut self, idx: usize, max: usize) -> Option<Batch<ClaimBatch>> {
        let claims = &mut process_mut(&mut self.processes, idx).claims;
        let Some(mut batch) = self.log.read(claims.next_offset(), max) else {
            claims.read_failed();
            return None;
        };
        if self.setup.fault == Fault::HidesGaps {
            batch.earliest = batch.earliest.min(batch.from);
        }
        Some(batch)
    }

    pub(super) fn read(&mut self, idx: usize, max: usize) {
        if let Some(batch) = self.fetch(idx, max) {
            self.apply_batch(idx, &batch);
        }
    }

    pub(super) fn deliver_read(&mut self, idx: usize, batch: usize, keeps_copy: bool) {
        let late_reads = &mut process_mut(&mut self.processes, idx).late_reads;
        if late_reads.is_empty() {
            return;
        }
        let which = batch % late_reads.len();
        let batch = if keeps_copy { late_reads[which].clone() } else { late_reads.remove(which) };
        self.apply_batch(idx, &batch);
    }

    pub(super) fn apply_batch(&mut self, idx: usize, batch: &Batch<ClaimBatch>) {
        let now = self.now(idx);
        let before = process_mut(&mut self.processes, idx).claims.next_offset();
        let decisions = process_mut(&mut self.processes, idx).claims.read(now, batch);
        assert!(
            process_mut(&mut self.processes, idx).claims.next_offset() >= before,
            "the next offset decreased"
        );
        for ClaimDecision { nonce, verdict, .. } in decisions {
            self.apply_decision(idx, nonce, verdict);
        }
    }

    pub(super) fn apply_decision(&mut self, idx: usize, nonce: u64, verdict: Verdict) {
        let mut attempts = process_mut(&mut self.processes, idx).attempts.iter_mut();
        let attempt =
            attempts.find(|attempt| attempt.nonce == nonce).expect("the claim was requested");
        if self.setup.fault == Fault::TrustsAck && attempt.state != State::Waiting {
            return;
        }
        assert_eq!(attempt.state, State::Waiting, "{nonce} is decided twice");
        attempt.state = if verdict == Verdict::Won { State::Won } else { State::Ended };
        match verdict {
            Verdict::Won => {}
            Verdict::Waiting => panic!("the decision on {nonce} is to wait"),
            Verdict::Lost(holder) => {
                assert_ne!(holder.nonce, nonce, "a claim has lost to itself");
                self.oracle.check_holder(holder.nonce, holder.finished);
                self.oracle.record_refusal(nonce);
            }
            Verdict::Mismatch | Verdict::Unready(_) => self.oracle.record_refusal(nonce),
        }
    }

    pub(super) fn round(&mut self, idx: usize) {
        self.append(idx);
        let in_flight =
            process_mut(&mut self.processes, idx).append.as_ref().map(|append| append.id);
        if let Some(packet) = self.packets.iter().position(|p| Some(p.append) == in_flight) {
            self.deliver(packet, false);
        }
        self.ack(idx, true);
        let fetched = (0..4).map_while(|_| {
            self.read(idx, READ_ALL);
            (!self.log.is_out).then_some(())
        });
        fetched.count();
    }
}
