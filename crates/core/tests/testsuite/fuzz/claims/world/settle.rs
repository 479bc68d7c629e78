//! Invariants once all faults have ended.

use std::collections::HashSet;

use peatdeck_core::{claims::settings::MIN_HORIZON, model::Incarnation, record::ClaimFact};

use super::{
    HEAL_ROUNDS, HEAL_STEP_MS, KEYS, State, World, claim_nonce, millis, process_mut, request_id,
    void_nonce,
};

impl World {
    /// Ends all faults, then checks that all facts are appended and that a key whose claims are all
    /// void can be claimed again.
    pub fn heal_and_check(mut self) {
        self.log.is_out = false;
        self.spawn(0, 0);
        for idx in self.occupied_slots() {
            process_mut(&mut self.processes, idx).is_paused = false;
            self.end_attempts(idx);
        }
        while !self.packets.is_empty() {
            self.deliver(0, false);
        }
        for idx in self.occupied_slots() {
            self.ack(idx, false);
        }
        for _ in 0..HEAL_ROUNDS {
            self.advance(HEAL_STEP_MS);
            for idx in self.occupied_slots() {
                self.round(idx);
                self.end_attempts(idx);
            }
        }
        for process in self.processes.iter().flatten() {
            assert!(process.claims.is_flushed(), "{:?} is not flushed", process.identity);
        }
        self.check_voids();
        for key in 0..KEYS {
            self.check_free(0, key);
        }
    }

    /// Checks that each claim in the log either has run or is void, if its process still exists.
    fn check_voids(&self) {
        let running: HashSet<Incarnation> =
            self.processes.iter().flatten().map(|process| process.identity.incarnation).collect();
        let records = self.log.all.iter().map(|entry| &entry.record);
        let facts = records.filter(|batch| running.contains(&batch.incarnation));
        let facts: Vec<_> = facts.flat_map(|batch| &batch.facts).collect();
        let voids: HashSet<u64> = facts.iter().filter_map(|fact| void_nonce(fact)).collect();
        for nonce in facts.iter().filter_map(|fact| claim_nonce(fact)) {
            let is_consistent = self.oracle.has_run(nonce) != voids.contains(&nonce);
            assert!(is_consistent, "{nonce} must either have run or be void");
        }
    }

    fn check_free(&mut self, idx: usize, key: usize) {
        if process_mut(&mut self.processes, idx).claims.unready().is_some() {
            return;
        }
        let (end, now_ms) = (self.log.all.len(), self.log.now_ms());
        let nonce = self.next_nonce;
        self.request(idx, key, 0);
        self.round(idx);
        let won = process_mut(&mut self.processes, idx)
            .attempts
            .iter()
            .any(|a| a.nonce == nonce && a.state == State::Won);
        let horizon_ms = now_ms - millis(MIN_HORIZON);
        let is_blocked = self.has_open_claim(key, end, horizon_ms, 0);
        assert!(!(won && is_blocked), "key {key} is won although another claim is open");
        let may_be_blocked = self.has_open_claim(key, end, horizon_ms, horizon_ms);
        assert!(won || may_be_blocked, "key {key} is not free although no claim is open");
        self.end_attempts(idx);
    }

    /// Whether the records before `end` contain a claim later than `claims_ms` that no record later
    /// than `voids_ms` has voided.
    fn has_open_claim(&self, key: usize, end: usize, claims_ms: u64, voids_ms: u64) -> bool {
        let facts_since = |since_ms| {
            let records = self.log.all[..end].iter().filter(move |e| e.time_ms > since_ms);
            records.flat_map(|entry| &entry.record.facts)
        };
        let is_void = |nonce: u64| {
            let mut facts = facts_since(voids_ms);
            facts.any(|fact| matches!(fact, ClaimFact::Void { nonce: void, .. } if *void == nonce))
        };
        facts_since(claims_ms).any(|fact| match fact {
            ClaimFact::Claim { key: claimed, nonce, .. } => {
                *claimed == request_id(key) && !is_void(*nonce)
            }
            _ => false,
        })
    }

    pub(super) fn end_attempts(&mut self, idx: usize) {
        for attempt in 0..process_mut(&mut self.processes, idx).attempts.len() {
            match process_mut(&mut self.processes, idx).attempts[attempt].state {
                State::Waiting | State::Won => self.give_up(idx, attempt),
                State::Running => self.finish(idx, attempt, true),
                State::Ended => {}
            }
        }
    }
}
