//! Processes that claim, and a log that they agree through.

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
/// Places for processes.
pub const PLACES: usize = 4;
const KEYS: usize = 2;
/// No attempt runs later than this after its request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Retention that is long enough for the horizon, and one that is not.
const LONG_KEEP: Duration = Duration::from_secs(3_600);
const SHORT_KEEP: Duration = Duration::from_secs(900);
/// Rounds within which everything settles once nothing fails.
const HEAL_ROUNDS: usize = 20;
const HEAL_STEP_MS: u64 = 2_500;
const READ_ALL: usize = 1_000;

pub struct World {
    setup: Setup,
    clock_ms: u64,
    log: Log<ClaimBatch>,
    processes: [Option<Process>; PLACES],
    packets: Vec<Packet>,
    oracle: Oracle,
    next_nonce: u64,
    next_life: u64,
}

struct Process {
    identity: Identity,
    claims: Claims,
    born_ms: u64,
    /// Where the stream ended when the process started.
    born_end: u64,
    frozen: bool,
    attempts: Vec<Attempt>,
    /// The append under way, and whether the log took it.
    append: Option<Append>,
    late: Vec<Batch<ClaimBatch>>,
}

struct Append {
    life: u64,
    nonces: Vec<u64>,
    taken: bool,
}

struct Packet {
    life: u64,
    append: u64,
    batch: ClaimBatch,
}

struct Attempt {
    key: usize,
    nonce: u64,
    asked_at: Duration,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    Won,
    Running,
    Over,
}

impl World {
    pub fn new(setup: Setup) -> World {
        let keep = if setup.keeps_short { SHORT_KEEP } else { LONG_KEEP };
        let mut world = World {
            log: Log::new(millis(keep)),
            setup,
            clock_ms: 0,
            processes: [const { None }; PLACES],
            packets: Vec::new(),
            oracle: Oracle::default(),
            next_nonce: 1,
            next_life: 1,
        };
        for place in 0..PLACES {
            world.spawn(place, place);
            world.round(place);
        }
        world
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Request { process, key, body } => self.on(process, |world, idx| {
                world.request(idx, key, body);
            }),
            Op::RequestAll { key } => {
                for process in self.places() {
                    self.on(process, |world, idx| world.request(idx, key, 0));
                }
            }
            Op::GiveUp { process, attempt } => self.on(process, |world, idx| {
                let open = [State::Waiting, State::Won];
                world.with_attempt(idx, attempt, &open, World::give_up);
            }),
            Op::Start { process, attempt } => self.on(process, |world, idx| {
                world.with_attempt(idx, attempt, &[State::Won], World::start);
            }),
            Op::Finish { process, attempt, answered } => self.on(process, |world, idx| {
                world.with_attempt(idx, attempt, &[State::Running], |world, idx, attempt| {
                    world.finish(idx, attempt, answered);
                });
            }),
            Op::Append { process } => self.on(process, World::append),
            Op::LoseAnswer { process } => self.on(process, |world, idx| {
                world.append(idx);
                world.ack(idx, false);
            }),
            Op::Deliver { packet, again } => self.deliver(packet, again),
            Op::Drop { packet } => {
                if !self.packets.is_empty() {
                    self.packets.remove(packet % self.packets.len());
                }
            }
            Op::Ack { process, ok } => self.on(process, |world, idx| world.ack(idx, ok)),
            Op::Read { process, max } => self.on(process, |world, idx| world.read(idx, max)),
            Op::ReadLate { process, max } => self.on(process, |world, idx| {
                if let Some(batch) = world.fetch(idx, max) {
                    at(&mut world.processes, idx).late.push(batch);
                }
            }),
            Op::Arrive { process, batch, again } => self.on(process, |world, idx| {
                world.arrive(idx, batch, again);
            }),
            Op::Round { process } => self.on(process, World::round),
            Op::Advance { ms } => self.advance(ms),
            Op::Freeze { process } => self.set_frozen(process, true),
            Op::Thaw { process } => self.set_frozen(process, false),
            Op::Kill { process } => self.processes[process] = None,
            Op::Spawn { process, name } => self.spawn(process, name),
            Op::Outage { out } => self.log.out = out,
        }
    }

    fn places(&self) -> Vec<usize> {
        (0..PLACES).filter(|&idx| self.processes[idx].is_some()).collect()
    }

    /// Runs a step of the process that an index means, unless it is paused.
    fn on(&mut self, process: usize, step: impl FnOnce(&mut World, usize)) {
        let is_up = self.processes[process].as_ref().is_some_and(|process| !process.frozen);
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
        let attempts = at(&mut self.processes, idx).attempts.iter().enumerate();
        let open = attempts.filter(|(_, attempt)| states.contains(&attempt.state));
        let open: Vec<usize> = open.map(|(idx, _)| idx).collect();
        if !open.is_empty() {
            step(self, idx, open[attempt % open.len()]);
        }
    }

    fn now(&self, idx: usize) -> Duration {
        let born_ms = self.processes[idx].as_ref().expect("the place is taken").born_ms;
        Duration::from_millis(self.clock_ms - born_ms)
    }

    fn advance(&mut self, ms: u64) {
        self.clock_ms += ms;
        self.log.advance(ms);
    }

    fn set_frozen(&mut self, process: usize, frozen: bool) {
        if let Some(process) = &mut self.processes[process] {
            process.frozen = frozen;
        }
    }

    fn spawn(&mut self, idx: usize, name: usize) {
        let identity = Identity {
            name: Arc::from(NAMES[name % NAMES.len()]),
            incarnation: Incarnation(self.next_life),
            data_centre: Arc::from("dc"),
        };
        self.next_life += 1;
        let keep = if self.setup.keeps_short { SHORT_KEEP } else { LONG_KEEP };
        let mut settings = Settings::default().with_horizon(MIN_HORIZON).with_retention(keep);
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
            born_ms: self.clock_ms,
            born_end: self.log.all.len() as u64,
            frozen: false,
            attempts: Vec::new(),
            append: None,
            late: Vec::new(),
        });
    }

    fn request(&mut self, idx: usize, key: usize, body: u64) {
        let now = self.now(idx);
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        let process = at(&mut self.processes, idx);
        let verdict = process.claims.request(now, request_id(key), body, nonce);
        match verdict {
            Verdict::Waiting => {
                let has_read = process.claims.next_offset() >= process.born_end;
                let skips = self.setup.fault == Fault::StartsAtEnd;
                assert!(has_read || skips, "{nonce} is claimed before the end was reached");
                let state = State::Waiting;
                process.attempts.push(Attempt { key, nonce, asked_at: now, state });
            }
            Verdict::Won => panic!("{nonce} has won without a read"),
            Verdict::Lost(holder) => {
                self.oracle.told_holder(holder.nonce, holder.finished);
                self.oracle.refused(nonce);
            }
            Verdict::Mismatch | Verdict::Unready(_) => self.oracle.refused(nonce),
        }
    }

    fn give_up(&mut self, idx: usize, attempt: usize) {
        let now = self.now(idx);
        let process = at(&mut self.processes, idx);
        let attempt = &mut process.attempts[attempt];
        attempt.state = State::Over;
        process.claims.give_up(now, &request_id(attempt.key), attempt.nonce);
        self.oracle.refused(attempt.nonce);
    }

    fn start(&mut self, idx: usize, attempt: usize) {
        let late =
            self.now(idx) - at(&mut self.processes, idx).attempts[attempt].asked_at > DEADLINE;
        if late && self.setup.fault != Fault::IgnoresDeadline {
            self.give_up(idx, attempt);
            return;
        }
        let attempt = &mut at(&mut self.processes, idx).attempts[attempt];
        attempt.state = State::Running;
        let apart_ms = millis(MIN_HORIZON - DEADLINE);
        self.oracle.runs(attempt.key, attempt.nonce, self.clock_ms, apart_ms);
    }

    fn finish(&mut self, idx: usize, attempt: usize, answered: bool) {
        let now = self.now(idx);
        let process = at(&mut self.processes, idx);
        let attempt = &mut process.attempts[attempt];
        attempt.state = State::Over;
        self.oracle.finishes(attempt.nonce, answered);
        process.claims.finished(now, &request_id(attempt.key), attempt.nonce, answered);
    }
}

fn at(processes: &mut [Option<Process>], idx: usize) -> &mut Process {
    processes[idx].as_mut().expect("the place is taken")
}

/// The fault of a process that takes the stream's end for its start.
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
