//! What processes append to the log and read from it.

use peatdeck_core::{
    claims::{ClaimDecision, Verdict},
    instance::input::Identity,
    record::{Batch, ClaimBatch, ClaimFact},
};

use super::{Append, Packet, READ_ALL, State, World, at, claim_nonce};
use crate::fuzz::claims::Fault;

impl World {
    pub(super) fn append(&mut self, idx: usize) {
        let now = self.now(idx);
        let process = at(&mut self.processes, idx);
        let Some(mut facts) = process.claims.flush(now) else { return };
        assert!(process.append.is_none(), "two appends of one process at once");
        assert!(!facts.is_empty(), "an append of nothing");
        if self.setup.fault == Fault::DropsVoids {
            facts.retain(|fact| !matches!(fact, ClaimFact::Void { .. }));
        }
        let nonces = facts.iter().filter_map(claim_nonce).collect();
        let life = self.next_life;
        self.next_life += 1;
        process.append = Some(Append { life, nonces, taken: false });
        let Identity { name, incarnation, .. } = process.identity.clone();
        let batch = ClaimBatch { instance: name, incarnation, facts };
        self.packets.push(Packet { life: incarnation.0, append: life, batch });
    }

    pub(super) fn deliver(&mut self, packet: usize, again: bool) {
        if self.packets.is_empty() {
            return;
        }
        let idx = packet % self.packets.len();
        if !self.log.append(self.packets[idx].batch.clone()) {
            return;
        }
        let Packet { life, append, .. } = self.packets[idx];
        let sender = self.processes.iter_mut().flatten().find(|p| p.identity.incarnation.0 == life);
        let under_way = sender.and_then(|process| process.append.as_mut());
        if let Some(under_way) = under_way.filter(|under_way| under_way.life == append) {
            under_way.taken = true;
        }
        if !again {
            self.packets.remove(idx);
        }
    }

    /// The answer to an append, which may be lost, but never lies.
    pub(super) fn ack(&mut self, idx: usize, ok: bool) {
        let now = self.now(idx);
        let process = at(&mut self.processes, idx);
        let Some(append) = process.append.take() else { return };
        let ok = ok && append.taken;
        process.claims.append_ended(now, ok);
        for attempt in &mut process.attempts {
            if !append.nonces.contains(&attempt.nonce) || attempt.state != State::Waiting {
                continue;
            }
            if ok && self.setup.fault == Fault::AckIsProof {
                attempt.state = State::Won;
            }
            if !ok && self.setup.fault == Fault::FailureIsDisproof {
                self.oracle.refused(attempt.nonce);
            }
        }
    }

    pub(super) fn fetch(&mut self, idx: usize, max: usize) -> Option<Batch<ClaimBatch>> {
        let claims = &mut at(&mut self.processes, idx).claims;
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
            self.take_in(idx, &batch);
        }
    }

    pub(super) fn arrive(&mut self, idx: usize, batch: usize, again: bool) {
        let late = &mut at(&mut self.processes, idx).late;
        if late.is_empty() {
            return;
        }
        let which = batch % late.len();
        let batch = if again { late[which].clone() } else { late.remove(which) };
        self.take_in(idx, &batch);
    }

    pub(super) fn take_in(&mut self, idx: usize, batch: &Batch<ClaimBatch>) {
        let now = self.now(idx);
        let before = at(&mut self.processes, idx).claims.next_offset();
        let decided = at(&mut self.processes, idx).claims.read(now, batch);
        assert!(
            at(&mut self.processes, idx).claims.next_offset() >= before,
            "the reader went back"
        );
        for ClaimDecision { nonce, verdict, .. } in decided {
            self.decide(idx, nonce, verdict);
        }
    }

    pub(super) fn decide(&mut self, idx: usize, nonce: u64, verdict: Verdict) {
        let mut attempts = at(&mut self.processes, idx).attempts.iter_mut();
        let attempt = attempts.find(|attempt| attempt.nonce == nonce).expect("it was asked for");
        if self.setup.fault == Fault::AckIsProof && attempt.state != State::Waiting {
            return;
        }
        assert_eq!(attempt.state, State::Waiting, "{nonce} is decided twice");
        attempt.state = if verdict == Verdict::Won { State::Won } else { State::Over };
        match verdict {
            Verdict::Won => {}
            Verdict::Waiting => panic!("{nonce} is decided to wait"),
            Verdict::Lost(holder) => {
                assert_ne!(holder.nonce, nonce, "a claim has lost to itself");
                self.oracle.told_holder(holder.nonce, holder.finished);
                self.oracle.refused(nonce);
            }
            Verdict::Mismatch | Verdict::Unready(_) => self.oracle.refused(nonce),
        }
    }

    pub(super) fn round(&mut self, idx: usize) {
        self.append(idx);
        let under_way = at(&mut self.processes, idx).append.as_ref().map(|append| append.life);
        if let Some(packet) = self.packets.iter().position(|p| Some(p.append) == under_way) {
            self.deliver(packet, false);
        }
        self.ack(idx, true);
        let fetched = (0..4).map_while(|_| {
            self.read(idx, READ_ALL);
            (!self.log.out).then_some(())
        });
        fetched.count();
    }
}
