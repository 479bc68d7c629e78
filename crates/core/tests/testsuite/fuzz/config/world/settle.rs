//! What holds once every failure has ended.

use std::sync::Arc;

use peatdeck_core::{config_log::ConfigReader, model::InstanceName};

use super::{
    HEAL_ROUNDS, HEAL_STEP_MS, KEEP, NAMES, PLACES, Process, READ_ALL, START_STEPS, World, at,
    millis, take,
};
use crate::fuzz::config::oracle::Truth;

impl World {
    /// Ends every failure. Then all instances have the newest version, unless
    /// what is in force was lost with every instance that knew it.
    pub fn heal_and_check(mut self) {
        self.log.out = false;
        self.cut.clear();
        self.spawn(0);
        let knows = self.processes.iter().flatten().any(|process| self.can_go_on(process));
        let knows = knows || self.can_start();
        for idx in self.places() {
            at(&mut self.processes, idx).frozen = false;
        }
        for _ in 0..HEAL_ROUNDS {
            self.advance(HEAL_STEP_MS);
            for idx in self.places() {
                self.round(idx);
                self.gossip(idx);
            }
            while let Some(message) = take(&mut self.messages, 0, false) {
                self.hear(message);
            }
            self.oracle.follow(&self.log.all);
            self.check();
        }
        self.check_alive();
        if knows {
            self.check_newest();
            self.check_start();
        }
    }

    /// Whether a process knows what is in force up to where the log goes on.
    fn can_go_on(&self, process: &Process) -> bool {
        let is_joined = !process.fold.is_gapped();
        let next = process.fold.next_offset();
        let known = process.fold.current().is_some();
        let read = self.log.read(next, 1).expect("the log is not out");
        is_joined && known && read.earliest <= next
    }

    /// Whether the log alone tells what is in force.
    fn can_start(&self) -> bool {
        let mut fold = ConfigReader::new();
        for _ in 0..2 {
            let batch = self.log.read(fold.next_offset(), READ_ALL).expect("the log is not out");
            fold.read(&batch);
        }
        fold.current().is_some()
    }

    fn check_newest(&self) {
        let newest = self.oracle.newest();
        for (name, process) in NAMES.iter().zip(&self.processes) {
            let Some(process) = process else { continue };
            assert!(!process.fold.is_gapped(), "{name} still has a gap");
            let current = process.fold.current().expect("it has read the log");
            assert_eq!(Truth::of(current), newest, "{name} is behind");
        }
    }

    /// However long nothing is published, the log alone tells a new process.
    fn check_start(&mut self) {
        for _ in 0..2 * START_STEPS {
            self.advance(millis(KEEP) / START_STEPS);
            for idx in self.places() {
                self.round(idx);
            }
        }
        self.processes = [const { None }; PLACES];
        self.spawn(0);
        self.round(0);
        self.oracle.follow(&self.log.all);
        self.check_newest();
    }

    fn check_alive(&self) {
        let up = self.places();
        for &idx in &up {
            let process = self.processes[idx].as_ref().expect("it is up");
            let mut alive = process.members.alive(self.now(idx));
            alive.sort();
            let others = up.iter().filter(|&&other| other != idx);
            let others: Vec<InstanceName> = others.map(|&other| Arc::from(NAMES[other])).collect();
            assert_eq!(alive, others, "{} is wrong on its peers", NAMES[idx]);
        }
    }
}
