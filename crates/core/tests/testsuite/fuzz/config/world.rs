//! Instances that follow the configuration, a log and a network of peers.

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
    oracle::{Oracle, Truth},
};
use crate::fuzz::log::Log;

/// Places for processes.
pub const PLACES: usize = 4;
const NAMES: [&str; PLACES] = ["a", "b", "c", "d"];
const KEEP: Duration = Duration::from_secs(3_600);
/// Rounds within which all agree once nothing fails.
const HEAL_ROUNDS: usize = 60;
const HEAL_STEP_MS: u64 = 600;
/// Rounds of each process within the retention, when nothing fails.
const START_STEPS: u64 = 8;
const READ_ALL: usize = 1_000;

pub struct World {
    setup: Setup,
    clock_ms: u64,
    log: Log<ConfigRecord>,
    processes: [Option<Process>; PLACES],
    packets: Vec<ConfigRecord>,
    messages: Vec<Message>,
    cut: HashSet<(usize, usize)>,
    oracle: Oracle,
    next_id: u64,
    next_life: u64,
}

struct Process {
    fold: ConfigReader,
    members: Members,
    born_ms: u64,
    frozen: bool,
    late: Vec<Batch<ConfigRecord>>,
    /// The newest version that the log held when the process started.
    born_version: Version,
    in_force: Option<Version>,
    as_of: Option<Offset>,
    /// Publishes that the operator here was told to be accepted.
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
            log: Log::new(millis(KEEP)),
            processes: [const { None }; PLACES],
            packets: Vec::new(),
            messages: Vec::new(),
            cut: HashSet::new(),
            oracle: Oracle::default(),
            next_id: 1,
            next_life: 1,
        };
        world.spawn(0);
        world.spawn(1);
        world
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Publish { process, behind } => self.on(process, |world, idx| {
                world.publish(idx, behind);
            }),
            Op::Drain { endpoint, life } => self.packets.push(ConfigRecord::Drain(Drain {
                endpoint: Arc::from(format!("endpoint-{endpoint}")),
                incarnation: Incarnation(life),
                author: Arc::from("operator"),
            })),
            Op::Snapshot { process } => self.on(process, World::snapshot),
            Op::Deliver { packet, again } => self.deliver(packet, again),
            Op::Drop { packet } => drop(take(&mut self.packets, packet, false)),
            Op::Read { process, max } => self.on(process, |world, idx| world.read(idx, max)),
            Op::ReadLate { process, max } => self.on(process, |world, idx| {
                if let Some(batch) = world.fetch(idx, max) {
                    at(&mut world.processes, idx).late.push(batch);
                }
            }),
            Op::Arrive { process, batch, again } => self.on(process, |world, idx| {
                let late = &mut at(&mut world.processes, idx).late;
                if let Some(batch) = take(late, batch, again) {
                    world.take_in(idx, &batch);
                }
            }),
            Op::Round { process } => self.on(process, World::round),
            Op::Gossip { process } => self.on(process, World::gossip),
            Op::Hear { message, again } => {
                if let Some(message) = take(&mut self.messages, message, again) {
                    self.hear(message);
                }
            }
            Op::Lose { message } => drop(take(&mut self.messages, message, false)),
            Op::Cut { one, other, cut } => self.set_cut(one, other, cut),
            Op::Advance { ms } => self.advance(ms),
            Op::Freeze { process } => self.set_frozen(process, true),
            Op::Thaw { process } => self.set_frozen(process, false),
            Op::Kill { process } => self.processes[process] = None,
            Op::Spawn { process } => self.spawn(process),
            Op::Outage { out } => self.log.out = out,
        }
        self.oracle.follow(&self.log.all);
    }

    /// Every instance is somewhere on the one chain, and every operator was
    /// told the truth.
    pub fn check(&self) {
        for process in self.processes.iter().flatten() {
            if let Some(current) = process.fold.current() {
                let truth = self.oracle.as_of(current.as_of);
                assert_eq!(Truth::of(current), truth, "not on the chain");
                assert_eq!(document_of(current), truth.publish, "not the version's document");
            }
            for (publish, truth) in self.oracle.verdicts() {
                let verdict = process.fold.verdict(publish);
                assert!(verdict.is_none_or(|verdict| verdict == *truth), "wrong on {publish}");
            }
            for publish in &process.accepted {
                let truth = self.oracle.verdicts().get(&**publish);
                let is_accepted = matches!(truth, Some(Verdict::Accepted { .. }));
                assert!(is_accepted, "{publish} was called accepted");
            }
        }
    }

    fn places(&self) -> Vec<usize> {
        (0..PLACES).filter(|&idx| self.processes[idx].is_some()).collect()
    }

    /// Runs a step of a process that is up and not paused.
    fn on(&mut self, process: usize, step: impl FnOnce(&mut World, usize)) {
        let is_up = self.processes[process].as_ref().is_some_and(|process| !process.frozen);
        if is_up {
            step(self, process);
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

    fn set_cut(&mut self, one: usize, other: usize, cut: bool) {
        for pair in [(one, other), (other, one)] {
            if cut {
                self.cut.insert(pair);
            } else {
                self.cut.remove(&pair);
            }
        }
    }

    fn spawn(&mut self, idx: usize) {
        let identity = Identity {
            name: Arc::from(NAMES[idx]),
            incarnation: Incarnation(self.next_life),
            data_centre: Arc::from("dc"),
        };
        let mut members = Members::new(identity, Settings::default(), self.next_life);
        self.next_life += 1;
        members.apply_listing(Duration::ZERO, &listing());
        self.oracle.follow(&self.log.all);
        let born_version = self.oracle.newest().version;
        self.processes[idx] = Some(Process {
            fold: ConfigReader::new(),
            members,
            born_ms: self.clock_ms,
            frozen: false,
            late: Vec::new(),
            born_version,
            in_force: None,
            as_of: None,
            accepted: Vec::new(),
        });
    }

    fn publish(&mut self, idx: usize, behind: u64) {
        let process = at(&mut self.processes, idx);
        let Some(current) = process.fold.current() else { return };
        let id: Arc<str> = Arc::from(format!("publish-{}", self.next_id));
        self.next_id += 1;
        let team = Team { name: id.clone(), weight: 1, max_running: None };
        let document = Arc::new(Document { teams: vec![team], ..Document::default() });
        let base = current.version.saturating_sub(behind);
        let author = Arc::from("operator");
        if self.setup.fault == Fault::AckIsProof && !self.log.out {
            process.accepted.push(id.clone());
        }
        let publish = ConfigRecord::Publish(Publish { id, base, author, document });
        if self.setup.fault == Fault::AckIsProof {
            self.log.append(publish);
        } else {
            self.packets.push(publish);
        }
    }

    fn snapshot(&mut self, idx: usize) {
        if self.setup.fault == Fault::SkipsSnapshots {
            return;
        }
        let fold = &at(&mut self.processes, idx).fold;
        if let Some(snapshot) = fold.snapshot_due(self.log.now_ms(), KEEP, 0) {
            self.packets.push(ConfigRecord::Snapshot(snapshot));
        }
    }

    fn deliver(&mut self, packet: usize, again: bool) {
        if let Some(record) = take(&mut self.packets, packet, again) {
            self.log.append(record);
        }
    }

    fn fetch(&mut self, idx: usize, max: usize) -> Option<Batch<ConfigRecord>> {
        let from = at(&mut self.processes, idx).fold.next_offset();
        let mut batch = self.log.read(from, max)?;
        if self.setup.fault == Fault::HidesGaps {
            batch.earliest = batch.earliest.min(batch.from);
        }
        Some(batch)
    }

    fn read(&mut self, idx: usize, max: usize) {
        if let Some(batch) = self.fetch(idx, max) {
            self.take_in(idx, &batch);
        }
    }

    fn take_in(&mut self, idx: usize, batch: &Batch<ConfigRecord>) {
        let process = at(&mut self.processes, idx);
        let before = process.fold.next_offset();
        let knew_none = process.fold.current().is_none();
        let changes = process.fold.read(batch);
        let known = process.fold.current().filter(|_| knew_none);
        let is_new = known.is_none_or(|known| known.version >= process.born_version);
        assert!(is_new, "the first version in force is older than the log at the start");
        assert!(process.fold.next_offset() >= before, "the reader went back");
        process.note(&changes);
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
        let process = at(&mut self.processes, idx);
        let envelopes = process.members.tick(now, &local(&process.fold));
        for envelope in envelopes {
            self.send(idx, envelope);
        }
    }

    fn send(&mut self, from: usize, envelope: Envelope) {
        let to = NAMES.iter().position(|name| **name == *envelope.to).expect("a known name");
        self.messages.push(Message { from, to, gossip: envelope.message });
    }

    fn hear(&mut self, message: Message) {
        let Message { from, to, gossip } = message;
        let is_up = self.processes[to].as_ref().is_some_and(|process| !process.frozen);
        if !is_up || self.cut.contains(&(from, to)) {
            return;
        }
        let now = self.now(to);
        let process = at(&mut self.processes, to);
        if let Some(snapshot) = &gossip.snapshot {
            if self.setup.fault == Fault::AdoptsOlder {
                process.fold = ConfigReader::new();
            }
            let changes = process.fold.adopt(snapshot);
            process.note(&changes);
        }
        let reply = process.members.receive(now, &gossip, &local(&process.fold));
        if let Some(reply) = reply {
            self.send(to, reply);
        }
    }
}

impl Process {
    /// Notes what changed. Nothing may go back.
    fn note(&mut self, changes: &[Change]) {
        for change in changes {
            let Change::InForce(_, version) = change else { continue };
            let is_newer = self.in_force.is_none_or(|old| old < *version);
            assert!(is_newer, "{version} comes into force after {:?}", self.in_force);
            self.in_force = Some(*version);
        }
        let current = self.fold.current();
        assert_eq!(self.in_force, current.map(|current| current.version), "a change went untold");
        let as_of = current.and_then(|current| current.as_of);
        assert!(as_of >= self.as_of, "went back from {:?} to {as_of:?}", self.as_of);
        self.as_of = as_of;
    }
}

fn local(fold: &ConfigReader) -> LocalState<'_> {
    LocalState {
        mark: fold.mark(),
        snapshot: fold.shared(),
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

/// Takes the item that an index means, or a copy of it.
fn take<T: Clone>(items: &mut Vec<T>, idx: usize, again: bool) -> Option<T> {
    let idx = idx.checked_rem(items.len())?;
    Some(if again { items[idx].clone() } else { items.remove(idx) })
}

fn at(processes: &mut [Option<Process>], idx: usize) -> &mut Process {
    processes[idx].as_mut().expect("the place is taken")
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("small")
}
