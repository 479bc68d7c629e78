//! Processes that claim keys through a simulated log.

#![allow(clippy::unwrap_used)]

mod exchange;
mod settle;

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    claims::{Claims, Settings, Verdict, settings::MIN_HORIZON},
    instance::input::Identity,
    model::{Incarnation, RequestId},
    record::{Batch, ClaimBatch, ClaimFact},
};

use super::{Fault, Op, Setup, oracle::Oracle};
use crate::fuzz::log::Log;

const NAMES: [&str; 3] = ["a", "b", "c"];
/// Number of processes that can run at the same time.
pub const SLOTS: usize = 4;
const KEYS: usize = 2;
/// Time after the request until which an attempt may start to run.
const DEADLINE: Duration = Duration::from_secs(10);
/// Retention longer than the horizon.
const LONG_RETENTION: Duration = Duration::from_secs(3_600);
/// Retention shorter than the horizon.
const SHORT_RETENTION: Duration = Duration::from_secs(900);
/// Number of rounds within which all facts are appended and read once there are no faults.
const HEAL_ROUNDS: usize = 20;
const HEAL_STEP_MS: u64 = 2_500;
const READ_ALL: usize = 1_000;

pub struct World {
    setup: Setup,
    clock_ms: u64,
    log: Log<ClaimBatch>,
    processes: [Option<Process>; SLOTS],
    packets: Vec<Packet>,
    oracle: Oracle,
    next_nonce: u64,
    /// Id of the next incarnation of a process or append.
    next_id: u64,
}

struct Process {
    identity: Identity,
    claims: Claims,
    started_ms: u64,
    /// The end of the stream when the process started.
    end_at_start: u64,
    is_paused: bool,
    attempts: Vec<Attempt>,
    /// The append that has not been acknowledged yet.
    append: Option<Append>,
    late_reads: Vec<Batch<ClaimBatch>>,
}

struct Append {
    id: u64,
    nonces: Vec<u64>,
    is_stored: bool,
}

/// An append in flight.
struct Packet {
    incarnation: u64,
    /// The [`Append`] of its process.
    append: u64,
    batch: ClaimBatch,
}

struct Attempt {
    key: usize,
    nonce: u64,
    requested_at: Duration,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    Won,
    Running,
    Ended,
}

impl World {
    pub fn new(setup: Setup) -> World {
        let retention = if setup.has_short_retention { SHORT_RETENTION } else { LONG_RETENTION };
        let mut world = World {
            log: Log::new(millis(retention)),
            setup,
            clock_ms: 0,
            processes: [const { None }; SLOTS],
            packets: Vec::new(),
            oracle: Oracle::default(),
            next_nonce: 1,
            next_id: 1,
        };
        for slot in 0..SLOTS {
            world.spawn(slot, slot);
            world.round(slot);
        }
        world
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Request { process, key, body } => self.with_running(process, |world, idx| {
                world.request(idx, key, body);
            }),
            Op::RequestAll { key } => {
                for process in self.occupied_slots() {
                    self.with_running(process, |world, idx| world.request(idx, key, 0));
                }
            }
            Op::GiveUp { process, attempt } => self.with_running(process, |world, idx| {
                let open = [State::Waiting, State::Won];
                world.with_attempt(idx, attempt, &open, World::give_up);
            }),
            Op::Start { process, attempt } => self.with_running(process, |world, idx| {
                world.with_attempt(idx, attempt, &[State::Won], World::start);
            }),
            Op::Finish { process, attempt, answered } => {
                self.with_running(process, |world, idx| {
                    world.with_attempt(idx, attempt, &[State::Running], |world, idx, attempt| {
                        world.finish(idx, attempt, answered);
                    });
                })
            }
            Op::Append { process } => self.with_running(process, World::append),
            Op::LoseAck { process } => self.with_running(process, |world, idx| {
                world.append(idx);
                world.ack(idx, false);
            }),
            Op::Deliver { packet, keeps_copy } => self.deliver(packet, keeps_copy),
            Op::Drop { packet } => {
                if !self.packets.is_empty() {
                    self.packets.remove(packet % self.packets.len());
                }
            }
            Op::Ack { process, ok } => self.with_running(process, |world, idx| world.ack(idx, ok)),
            Op::Read { process, max } => {
                self.with_running(process, |world, idx| world.read(idx, max))
            }
            Op::ReadLate { process, max } => self.with_running(process, |world, idx| {
                if let Some(batch) = world.fetch(idx, max) {
                    process_mut(&mut world.processes, idx).late_reads.push(batch);
                }
            }),
            Op::DeliverRead { process, batch, keeps_copy } => {
                self.with_running(process, |world, idx| {
                    world.deliver_read(idx, batch, keeps_copy);
                })
            }
            Op::Round { process } => self.with_running(process, World::round),
            Op::Advance { ms } => self.advance(ms),
            Op::Pause { process } => self.set_paused(process, true),
            Op::Resume { process } => self.set_paused(process, false),
            Op::Crash { process } => self.processes[process] = None,
            Op::Spawn { process, name } => self.spawn(process, name),
            Op::Outage { is_out } => self.log.is_out = is_out,
        }
    }

    fn occupied_slots(&self) -> Vec<usize> {
        (0..SLOTS).filter(|&idx| self.processes[idx].is_some()).collect()
    }

    /// Runs a step of a process that exists and is not paused.
    fn with_running(&mut self, process: usize, step: impl FnOnce(&mut World, usize)) {
        let is_up = self.processes[process].as_ref().is_some_and(|process| !process.is_paused);
        if is_up {
            step(self, process);
        }
    }

    fn with_attempt(
        &mut self,
        idx: usize,
        attempt: usize,
        states: &[State],
        step: impl FnOnce(&mut World, usize, usize),
    ) {
        let attempts = process_mut(&mut self.processes, idx).attempts.iter().enumerate();
        let open = attempts.filter(|(_, attempt)| states.contains(&attempt.state));
        let open: Vec<usize> = open.map(|(idx, _)| idx).collect();
        if !open.is_empty() {
            step(self, idx, open[attempt % open.len()]);
        }
    }

    fn now(&self, idx: usize) -> Duration {
        let started_ms = self.processes[idx].as_ref().expect("the slot is occupied").started_ms;
        Duration::from_millis(self.clock_ms - started_ms)
    }

    fn advance(&mut self, ms: u64) {
        self.clock_ms += ms;
        self.log.advance(ms);
    }

    fn set_paused(&mut self, process: usize, is_paused: bool) {
        if let Some(process) = &mut self.processes[process] {
            process.is_paused = is_paused;
        }
    }

    fn spawn(&mut self, idx: usize, name: usize) {
        let identity = Identity {
            name: Arc::from(NAMES[name % NAMES.len()]),
            incarnation: Incarnation(self.next_id),
            data_centre: Arc::from("dc"),
        };
        self.next_id += 1;
        let retention =
            if self.setup.has_short_retention { SHORT_RETENTION } else { LONG_RETENTION };
        let mut settings = Settings::default().with_horizon(MIN_HORIZON).with_retention(retention);
        settings.linger = Duration::ZERO;
        settings.interval = Duration::ZERO;
        settings.max_facts = 3;
        let mut claims = Claims::new(identity.clone(), settings);
        if self.setup.fault == Fault::StartsAtEnd {
            skip_to_end(&mut claims, &self.log);
        }
        self.processes[idx] = Some(Process {
            identity,
            claims,
            started_ms: self.clock_ms,
            end_at_start: self.log.all.len() as u64,
            is_paused: false,
            attempts: Vec::new(),
            append: None,
            late_reads: Vec::new(),
        });
    }

    fn request(&mut self, idx: usize, key: usize, body: u64) {
        let now = self.now(idx);
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        let process = process_mut(&mut self.processes, idx);
        let verdict = process.claims.request(now, request_id(key), body, nonce);
        match verdict {
            Verdict::Waiting => {
                let has_read = process.claims.next_offset() >= process.end_at_start;
                let skips_history = self.setup.fault == Fault::StartsAtEnd;
                assert!(
                    has_read || skips_history,
                    "{nonce} is claimed before the end of the stream was read"
                );
                let state = State::Waiting;
                process.attempts.push(Attempt { key, nonce, requested_at: now, state });
            }
            Verdict::Won => panic!("{nonce} has won without a read"),
            Verdict::Lost(holder) => {
                self.oracle.check_holder(holder.nonce, holder.finished);
                self.oracle.record_refusal(nonce);
            }
            Verdict::Mismatch | Verdict::Unready(_) => self.oracle.record_refusal(nonce),
        }
    }

    fn give_up(&mut self, idx: usize, attempt: usize) {
        let now = self.now(idx);
        let process = process_mut(&mut self.processes, idx);
        let attempt = &mut process.attempts[attempt];
        attempt.state = State::Ended;
        process.claims.give_up(now, &request_id(attempt.key), attempt.nonce);
        self.oracle.record_refusal(attempt.nonce);
    }

    fn start(&mut self, idx: usize, attempt: usize) {
        let is_late = self.now(idx)
            - process_mut(&mut self.processes, idx).attempts[attempt].requested_at
            > DEADLINE;
        if is_late && self.setup.fault != Fault::IgnoresDeadline {
            self.give_up(idx, attempt);
            return;
        }
        let attempt = &mut process_mut(&mut self.processes, idx).attempts[attempt];
        attempt.state = State::Running;
        let min_gap_ms = millis(MIN_HORIZON - DEADLINE);
        self.oracle.record_run(attempt.key, attempt.nonce, self.clock_ms, min_gap_ms);
    }

    fn finish(&mut self, idx: usize, attempt: usize, answered: bool) {
        let now = self.now(idx);
        let process = process_mut(&mut self.processes, idx);
        let attempt = &mut process.attempts[attempt];
        attempt.state = State::Ended;
        self.oracle.record_finish(attempt.nonce, answered);
        process.claims.finished(now, &request_id(attempt.key), attempt.nonce, answered);
    }
}

fn process_mut(processes: &mut [Option<Process>], idx: usize) -> &mut Process {
    processes[idx].as_mut().expect("the slot is occupied")
}

/// Makes a process start to read at the end of the stream ([`Fault::StartsAtEnd`]).
fn skip_to_end(claims: &mut Claims, log: &Log<ClaimBatch>) {
    let next = log.all.len() as u64;
    let now_ms = log.now_ms();
    for from in [0, next] {
        let batch = Batch { from, earliest: 0, next, now_ms, entries: Vec::new() };
        claims.read(Duration::ZERO, &batch);
    }
}

fn claim_nonce(fact: &ClaimFact) -> Option<u64> {
    match fact {
        ClaimFact::Claim { nonce, .. } => Some(*nonce),
        _ => None,
    }
}

fn void_nonce(fact: &ClaimFact) -> Option<u64> {
    match fact {
        ClaimFact::Void { nonce, .. } => Some(*nonce),
        _ => None,
    }
}

fn request_id(key: usize) -> RequestId {
    RequestId { team: Arc::from("team"), id: Arc::from(format!("key-{key}")) }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("small")
}
