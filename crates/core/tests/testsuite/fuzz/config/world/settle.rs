//! Invariants once all faults have ended.

use std::sync::Arc;

use peatdeck_core::{config_log::ConfigReader, model::InstanceName};

use super::{
    HEAL_ROUNDS, HEAL_STEP_MS, NAMES, Process, READ_ALL, RETENTION, SLOTS, START_STEPS, World,
    millis, process_mut, take,
};
use crate::fuzz::config::oracle::ConfigState;

impl World {
    /// Ends all faults, then checks that all processes have the newest version in force, unless its
    /// records have expired and all processes that had it have crashed.
    pub fn heal_and_check(mut self) {
        self.log.is_out = false;
        self.cuts.clear();
        self.spawn(0);
        let is_recoverable =
            self.processes.iter().flatten().any(|process| self.can_continue(process));
        let is_recoverable = is_recoverable || self.can_start();
        for idx in self.occupied_slots() {
            process_mut(&mut self.processes, idx).is_paused = false;
        }
        for _ in 0..HEAL_ROUNDS {
            self.advance(HEAL_STEP_MS);
            for idx in self.occupied_slots() {
                self.round(idx);
                self.gossip(idx);
            }
            while let Some(message) = take(&mut self.messages, 0, false) {
                self.deliver_gossip(message);
            }
            self.oracle.follow(&self.log.all);
            self.check();
        }
        self.check_alive();
        if is_recoverable {
            self.check_newest();
            self.check_start();
        }
    }

    /// Whether a process has a version in force and can continue to read where it stopped.
    fn can_continue(&self, process: &Process) -> bool {
        let is_joined = !process.reader.is_gapped();
        let next = process.reader.next_offset();
        let has_version = process.reader.current().is_some();
        let read = self.log.read(next, 1).expect("the log is not out");
        is_joined && has_version && read.earliest <= next
    }

    /// Whether a new process can compute the version in force from the log alone.
    fn can_start(&self) -> bool {
        let mut reader = ConfigReader::new();
        for _ in 0..2 {
            let batch = self.log.read(reader.next_offset(), READ_ALL).expect("the log is not out");
            reader.read(&batch);
        }
        reader.current().is_some()
    }

    fn check_newest(&self) {
        let newest = self.oracle.newest();
        for (name, process) in NAMES.iter().zip(&self.processes) {
            let Some(process) = process else { continue };
            assert!(!process.reader.is_gapped(), "{name} still has a gap");
            let current = process.reader.current().expect("the log was read");
            assert_eq!(ConfigState::of(current), newest, "{name} is behind");
        }
    }

    /// Checks that a new process can compute the version in force from the log alone, however long
    /// ago the last publish was.
    fn check_start(&mut self) {
        for _ in 0..2 * START_STEPS {
            self.advance(millis(RETENTION) / START_STEPS);
            for idx in self.occupied_slots() {
                self.round(idx);
            }
        }
        self.processes = [const { None }; SLOTS];
        self.spawn(0);
        self.round(0);
        self.oracle.follow(&self.log.all);
        self.check_newest();
    }

    fn check_alive(&self) {
        let running = self.occupied_slots();
        for &idx in &running {
            let process = self.processes[idx].as_ref().expect("the slot is occupied");
            let mut alive = process.members.alive(self.now(idx));
            alive.sort();
            let others = running.iter().filter(|&&other| other != idx);
            let others: Vec<InstanceName> = others.map(|&other| Arc::from(NAMES[other])).collect();
            assert_eq!(alive, others, "{} has a wrong list of alive peers", NAMES[idx]);
        }
    }
}
