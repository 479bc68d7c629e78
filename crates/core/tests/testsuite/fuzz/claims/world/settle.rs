//! What holds once every failure has ended.

use std::collections::HashSet;

use peatdeck_core::{claims::settings::MIN_HORIZON, model::Incarnation, record::ClaimFact};

use super::{
    HEAL_ROUNDS, HEAL_STEP_MS, KEYS, State, World, at, claim_nonce, millis, request_id, void_nonce,
};

impl World {
    /// Ends every failure. Then every fact gets out, and a key whose claims are
    /// all void is free again.
    pub fn heal_and_check(mut self) {
        self.log.out = false;
        self.spawn(0, 0);
        for idx in self.places() {
            at(&mut self.processes, idx).frozen = false;
            self.end_attempts(idx);
        }
        while !self.packets.is_empty() {
            self.deliver(0, false);
        }
        for idx in self.places() {
            self.ack(idx, false);
        }
        for _ in 0..HEAL_ROUNDS {
            self.advance(HEAL_STEP_MS);
            for idx in self.places() {
                self.round(idx);
                self.end_attempts(idx);
            }
        }
        for process in self.processes.iter().flatten() {
            assert!(process.claims.is_flushed(), "{:?} is not settled", process.identity);
        }
        self.check_voids();
        for key in 0..KEYS {
            self.check_free(0, key);
        }
    }

    /// Each claim in the log that never ran is void, if its process lives.
    fn check_voids(&self) {
        let living: HashSet<Incarnation> =
            self.processes.iter().flatten().map(|process| process.identity.incarnation).collect();
        let records = self.log.all.iter().map(|entry| &entry.record);
        let facts = records.filter(|batch| living.contains(&batch.incarnation));
        let facts: Vec<_> = facts.flat_map(|batch| &batch.facts).collect();
        let voids: HashSet<u64> = facts.iter().filter_map(|fact| void_nonce(fact)).collect();
        for nonce in facts.iter().filter_map(|fact| claim_nonce(fact)) {
            let is_right = self.oracle.has_run(nonce) != voids.contains(&nonce);
            assert!(is_right, "{nonce} ran, or else is void: not so");
        }
    }

    fn check_free(&mut self, idx: usize, key: usize) {
        if at(&mut self.processes, idx).claims.unready().is_some() {
            return;
        }
        let (end, now_ms) = (self.log.all.len(), self.log.now_ms());
        let nonce = self.next_nonce;
        self.request(idx, key, 0);
        self.round(idx);
        let won = at(&mut self.processes, idx)
            .attempts
            .iter()
            .any(|a| a.nonce == nonce && a.state == State::Won);
        let horizon_ms = now_ms - millis(MIN_HORIZON);
        let blocked = self.has_open_claim(key, end, horizon_ms, 0);
        assert!(!(won && blocked), "key {key} is won though a claim stands");
        let may_be_blocked = self.has_open_claim(key, end, horizon_ms, horizon_ms);
        assert!(won || may_be_blocked, "key {key} is not free though no claim stands");
        self.end_attempts(idx);
    }

    /// Whether among the records before `end`, a claim since one time stands
    /// that its process has not voided since another.
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
        for attempt in 0..at(&mut self.processes, idx).attempts.len() {
            match at(&mut self.processes, idx).attempts[attempt].state {
                State::Waiting | State::Won => self.give_up(idx, attempt),
                State::Running => self.finish(idx, attempt, true),
                State::Over => {}
            }
        }
    }
}
