//! Processes that follow the configuration through a simulated log and through gossip.

#![allow(clippy::unwrap_used)]

mod settle;

use std::{collections::HashSet, sync::Arc, time::Duration};

use peatdeck_core::{
    config_log::{Change, ConfigReader, Verdict},
    document::{Document, Team},
    instance::input::Identity,
    membership::{Envelope, Gossip, LocalState, Members, Settings},
    model::{Incarnation, InstanceEntry, Presence},
    record::{Batch, ConfigRecord, Drain, Offset, Publish, Snapshot, Version},
};

use super::{
    Fault, Op, Setup,
    oracle::{ConfigState, Oracle},
};
use crate::fuzz::log::Log;

/// Number of processes that can run at the same time.
pub const SLOTS: usize = 4;
const NAMES: [&str; SLOTS] = ["a", "b", "c", "d"];
const RETENTION: Duration = Duration::from_secs(3_600);
/// Number of rounds within which all processes agree once there are no faults.
const HEAL_ROUNDS: usize = 60;
const HEAL_STEP_MS: u64 = 600;
/// Number of rounds of each process during the retention time, without faults.
const START_STEPS: u64 = 8;
const READ_ALL: usize = 1_000;

pub struct World {
    setup: Setup,
    clock_ms: u64,
    log: Log<ConfigRecord>,
    processes: [Option<Process>; SLOTS],
    packets: Vec<ConfigRecord>,
    messages: Vec<Message>,
    cuts: HashSet<(usize, usize)>,
    oracle: Oracle,
    next_id: u64,
    next_incarnation: u64,
}

struct Process {
    reader: ConfigReader,
    members: Members,
    started_ms: u64,
    is_paused: bool,
    late_reads: Vec<Batch<ConfigRecord>>,
    /// The newest version in the log when the process started.
    version_at_start: Version,
    /// The version in force as of the last change.
    in_force: Option<Version>,
    /// The offset of the last record that the state in force includes.
    as_of: Option<Offset>,
    /// Publishes that were reported to the operator as accepted.
    accepted: Vec<Arc<str>>,
}

#[derive(Clone)]
struct Message {
    from: usize,
    to: usize,
    gossip: Gossip,
}

impl World {
    pub fn new(setup: Setup) -> World {
        let mut world = World {
            setup,
            clock_ms: 0,
            log: Log::new(millis(RETENTION)),
            processes: [const { None }; SLOTS],
            packets: Vec::new(),
            messages: Vec::new(),
            cuts: HashSet::new(),
            oracle: Oracle::default(),
            next_id: 1,
            next_incarnation: 1,
        };
        world.spawn(0);
        world.spawn(1);
        world
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Publish { process, behind } => self.with_running(process, |world, idx| {
                world.publish(idx, behind);
            }),
            Op::Drain { endpoint, incarnation } => self.packets.push(ConfigRecord::Drain(Drain {
                endpoint: Arc::from(format!("endpoint-{endpoint}")),
                incarnation: Incarnation(incarnation),
                author: Arc::from("operator"),
            })),
            Op::Snapshot { process } => self.with_running(process, World::snapshot),
            Op::Deliver { packet, keeps_copy } => self.deliver(packet, keeps_copy),
            Op::Drop { packet } => drop(take(&mut self.packets, packet, false)),
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
                    let late_reads = &mut process_mut(&mut world.processes, idx).late_reads;
                    if let Some(batch) = take(late_reads, batch, keeps_copy) {
                        world.apply_batch(idx, &batch);
                    }
                })
            }
            Op::Round { process } => self.with_running(process, World::round),
            Op::Gossip { process } => self.with_running(process, World::gossip),
            Op::DeliverGossip { message, keeps_copy } => {
                if let Some(message) = take(&mut self.messages, message, keeps_copy) {
                    self.deliver_gossip(message);
                }
            }
            Op::DropGossip { message } => drop(take(&mut self.messages, message, false)),
            Op::Cut { one, other, is_cut } => self.set_cut(one, other, is_cut),
            Op::Advance { ms } => self.advance(ms),
            Op::Pause { process } => self.set_paused(process, true),
            Op::Resume { process } => self.set_paused(process, false),
            Op::Crash { process } => self.processes[process] = None,
            Op::Spawn { process } => self.spawn(process),
            Op::Outage { is_out } => self.log.is_out = is_out,
        }
        self.oracle.follow(&self.log.all);
    }

    /// Checks that the state of every process is one that the log has had, and that operators
    /// received correct verdicts.
    pub fn check(&self) {
        for process in self.processes.iter().flatten() {
            if let Some(current) = process.reader.current() {
                let expected = self.oracle.as_of(current.as_of);
                assert_eq!(ConfigState::of(current), expected, "not a version of the log");
                assert_eq!(
                    document_of(current),
                    expected.publish,
                    "not the document of the version"
                );
            }
            for (publish, expected) in self.oracle.verdicts() {
                let verdict = process.reader.verdict(publish);
                assert!(
                    verdict.is_none_or(|verdict| verdict == *expected),
                    "wrong verdict on {publish}"
                );
            }
            for publish in &process.accepted {
                let expected = self.oracle.verdicts().get(&**publish);
                let is_accepted = matches!(expected, Some(Verdict::Accepted { .. }));
                assert!(is_accepted, "{publish} was reported as accepted");
            }
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

    fn set_cut(&mut self, one: usize, other: usize, is_cut: bool) {
        for pair in [(one, other), (other, one)] {
            if is_cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
    }

    fn spawn(&mut self, idx: usize) {
        let identity = Identity {
            name: Arc::from(NAMES[idx]),
            incarnation: Incarnation(self.next_incarnation),
            data_centre: Arc::from("dc"),
        };
        let mut members = Members::new(identity, Settings::default(), self.next_incarnation);
        self.next_incarnation += 1;
        members.apply_listing(Duration::ZERO, &listing());
        self.oracle.follow(&self.log.all);
        let version_at_start = self.oracle.newest().version;
        self.processes[idx] = Some(Process {
            reader: ConfigReader::new(),
            members,
            started_ms: self.clock_ms,
            is_paused: false,
            late_reads: Vec::new(),
            version_at_start,
            in_force: None,
            as_of: None,
            accepted: Vec::new(),
        });
    }

    fn publish(&mut self, idx: usize, behind: u64) {
        let process = process_mut(&mut self.processes, idx);
        let Some(current) = process.reader.current() else { return };
        let id: Arc<str> = Arc::from(format!("publish-{}", self.next_id));
        self.next_id += 1;
        let team = Team { name: id.clone(), weight: 1, max_running: None };
        let document = Arc::new(Document { teams: vec![team], ..Document::default() });
        let base = current.version.saturating_sub(behind);
        let author = Arc::from("operator");
        if self.setup.fault == Fault::TrustsAck && !self.log.is_out {
            process.accepted.push(id.clone());
        }
        let publish = ConfigRecord::Publish(Publish { id, base, author, document });
        if self.setup.fault == Fault::TrustsAck {
            self.log.append(publish);
        } else {
            self.packets.push(publish);
        }
    }

    fn snapshot(&mut self, idx: usize) {
        if self.setup.fault == Fault::SkipsSnapshots {
            return;
        }
        let reader = &process_mut(&mut self.processes, idx).reader;
        if let Some(snapshot) = reader.snapshot_due(self.log.now_ms(), RETENTION, 0) {
            self.packets.push(ConfigRecord::Snapshot(snapshot));
        }
    }

    fn deliver(&mut self, packet: usize, keeps_copy: bool) {
        if let Some(record) = take(&mut self.packets, packet, keeps_copy) {
            self.log.append(record);
        }
    }

    fn fetch(&mut self, idx: usize, max: usize) -> Option<Batch<ConfigRecord>> {
        let from = process_mut(&mut self.processes, idx).reader.next_offset();
        let mut batch = self.log.read(from, max)?;
        if self.setup.fault == Fault::HidesGaps {
            batch.earliest = batch.earliest.min(batch.from);
        }
        Some(batch)
    }

    fn read(&mut self, idx: usize, max: usize) {
        if let Some(batch) = self.fetch(idx, max) {
            self.apply_batch(idx, &batch);
        }
    }

    fn apply_batch(&mut self, idx: usize, batch: &Batch<ConfigRecord>) {
        let process = process_mut(&mut self.processes, idx);
        let before = process.reader.next_offset();
        let had_none = process.reader.current().is_none();
        let changes = process.reader.read(batch);
        let known = process.reader.current().filter(|_| had_none);
        let is_recent = known.is_none_or(|known| known.version >= process.version_at_start);
        assert!(is_recent, "the first version in force is older than the newest one at the start");
        assert!(process.reader.next_offset() >= before, "the next offset decreased");
        process.record_changes(&changes);
    }

    fn round(&mut self, idx: usize) {
        for _ in 0..3 {
            self.read(idx, READ_ALL);
        }
        let packets = self.packets.len();
        self.snapshot(idx);
        if self.packets.len() > packets {
            self.deliver(packets, false);
            self.read(idx, READ_ALL);
        }
    }

    fn gossip(&mut self, idx: usize) {
        let now = self.now(idx);
        let process = process_mut(&mut self.processes, idx);
        let envelopes = process.members.tick(now, &local(&process.reader));
        for envelope in envelopes {
            self.send(idx, envelope);
        }
    }

    fn send(&mut self, from: usize, envelope: Envelope) {
        let to = NAMES.iter().position(|name| **name == *envelope.to).expect("a known name");
        self.messages.push(Message { from, to, gossip: envelope.message });
    }

    fn deliver_gossip(&mut self, message: Message) {
        let Message { from, to, gossip } = message;
        let is_up = self.processes[to].as_ref().is_some_and(|process| !process.is_paused);
        if !is_up || self.cuts.contains(&(from, to)) {
            return;
        }
        let now = self.now(to);
        let process = process_mut(&mut self.processes, to);
        if let Some(snapshot) = &gossip.snapshot {
            if self.setup.fault == Fault::AdoptsOlder {
                process.reader = ConfigReader::new();
            }
            let changes = process.reader.adopt(snapshot);
            process.record_changes(&changes);
        }
        let reply = process.members.receive(now, &gossip, &local(&process.reader));
        if let Some(reply) = reply {
            self.send(to, reply);
        }
    }
}

impl Process {
    /// Records changes, and checks that neither the version nor the offset decreases.
    fn record_changes(&mut self, changes: &[Change]) {
        for change in changes {
            let Change::InForce(_, version) = change else { continue };
            let is_newer = self.in_force.is_none_or(|old| old < *version);
            assert!(is_newer, "{version} comes into force after {:?}", self.in_force);
            self.in_force = Some(*version);
        }
        let current = self.reader.current();
        assert_eq!(
            self.in_force,
            current.map(|current| current.version),
            "a change was not reported"
        );
        let as_of = current.and_then(|current| current.as_of);
        assert!(as_of >= self.as_of, "the offset went back from {:?} to {as_of:?}", self.as_of);
        self.as_of = as_of;
    }
}

fn local(reader: &ConfigReader) -> LocalState<'_> {
    LocalState {
        mark: reader.mark(),
        snapshot: reader.shared(),
        ready: true,
        leaving: &[],
        endpoints: &[],
    }
}

fn listing() -> Vec<InstanceEntry> {
    let entry = |name: &str| InstanceEntry {
        name: Arc::from(name),
        peer_addr: Arc::from(format!("{name}:1")),
        http_addr: Arc::from(format!("{name}:2")),
        data_centre: Arc::from("dc"),
        presence: Presence::Live,
    };
    NAMES.into_iter().map(entry).collect()
}

fn document_of(snapshot: &Snapshot) -> Option<String> {
    snapshot.document.teams.first().map(|team| team.name.to_string())
}

/// Takes the item at an index, modulo the number of items; `keeps_copy` leaves a copy of it.
fn take<T: Clone>(items: &mut Vec<T>, idx: usize, keeps_copy: bool) -> Option<T> {
    let idx = idx.checked_rem(items.len())?;
    Some(if keeps_copy { items[idx].clone() } else { items.remove(idx) })
}

fn process_mut(processes: &mut [Option<Process>], idx: usize) -> &mut Process {
    processes[idx].as_mut().expect("the slot is occupied")
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("small")
}
