//! The two algorithms that gossip is compared with: heartbeats from all members
//! to all, and heartbeats around a ring.
//!
//! In the ring each member sends to its successor and monitors its predecessor.
//! A suspicion is broadcast, and the predecessor's predecessor is monitored
//! instead, as in the one-to-all variant of "Communication-optimal eventually
//! perfect failure detection in partially synchronous systems" (Lafuente,
//! Larrea, Soraluze, Cortiñas, 2014). There, each receiver forwards the
//! suspicion to make the broadcast reliable; this is left out, since it adds a
//! burst of members² messages per suspicion. Timeouts do not grow after a wrong
//! suspicion either.

use std::{collections::HashSet, sync::Arc, time::Duration, time::Instant};

use capnp::{
    message::{self, ReaderOptions},
    serialize,
};
use peatdeck_core::{
    membership::{ConfigMark, Gossip, MemberState},
    model::Incarnation,
};
use peatdeck_wire::{peer, peer_capnp};

use crate::{
    DEAD_AFTER, MEASURED, TICK, WARM_UP,
    network::{Event, Network},
    report::Figures,
};

/// Number of heartbeats encoded and decoded to measure the time of one.
const TIMED_HEARTBEATS: u32 = 50_000;
/// A member whose timer fires later than this after the last time was itself paused.
const OWN_PAUSE: Duration = Duration::from_secs(2);

/// Each member sends heartbeats to every other.
pub fn all_to_all(count: usize) -> Figures {
    let mut simulation = Simulation::new(count);
    while let Some((member, event)) = simulation.network.next() {
        match event {
            Event::Tick => {
                simulation.discount_own_pause(member);
                for to in (0..count).filter(|&to| to != member) {
                    simulation.send(to, Message::Heartbeat(member));
                }
                for other in (0..count).filter(|&other| other != member) {
                    if simulation.is_silent(member, other) {
                        simulation.suspect(member, other);
                    }
                }
                simulation.wake(member);
            }
            Event::Message(Message::Heartbeat(from)) => simulation.receive(member, from),
            Event::Message(_) => {}
        }
    }
    simulation.finish()
}

/// Each member sends heartbeats to its successor, the next member that it does not
/// suspect.
pub fn ring(count: usize) -> Figures {
    let mut simulation = Simulation::new(count);
    while let Some((member, event)) = simulation.network.next() {
        match event {
            Event::Tick => {
                simulation.discount_own_pause(member);
                let next = simulation.neighbour(member, 1);
                simulation.send(next, Message::Heartbeat(member));
                let previous = simulation.neighbour(member, count - 1);
                if previous != member && simulation.is_silent(member, previous) {
                    simulation.suspect(member, previous);
                    simulation.broadcast(member, Message::Suspect(previous));
                    // The newly monitored member has a full timeout to send a heartbeat.
                    let watched = simulation.neighbour(member, count - 1);
                    simulation.received_at[member][watched] = simulation.network.now;
                }
                simulation.wake(member);
            }
            Event::Message(Message::Heartbeat(from)) => {
                if simulation.suspects[member].contains(&from) {
                    simulation.broadcast(member, Message::Trust(from));
                }
                simulation.receive(member, from);
            }
            Event::Message(Message::Suspect(who)) if who != member => {
                simulation.suspect(member, who)
            }
            // A suspected member continues to send to its successor, which then
            // withdraws the suspicion.
            Event::Message(Message::Suspect(_)) => {}
            Event::Message(Message::Trust(who)) => simulation.receive(member, who),
        }
    }
    simulation.finish()
}

#[derive(Clone, Copy)]
enum Message {
    Heartbeat(usize),
    Suspect(usize),
    Trust(usize),
}

struct Simulation {
    network: Network<Message>,
    received_at: Vec<Vec<Duration>>,
    ticked_at: Vec<Duration>,
    suspects: Vec<HashSet<usize>>,
    wrong_short: HashSet<(usize, usize)>,
    wrong_long: HashSet<(usize, usize)>,
    figures: Figures,
    size: usize,
    cost: Duration,
}

impl Simulation {
    fn new(count: usize) -> Simulation {
        let (size, cost) = heartbeat_cost();
        Simulation {
            network: Network::new(count),
            received_at: vec![vec![Duration::ZERO; count]; count],
            ticked_at: vec![Duration::ZERO; count],
            suspects: vec![HashSet::new(); count],
            wrong_short: HashSet::new(),
            wrong_long: HashSet::new(),
            figures: Figures { detected: vec![None; count - 1], ..Figures::default() },
            size,
            cost,
        }
    }

    fn send(&mut self, to: usize, message: Message) {
        if (WARM_UP..WARM_UP + MEASURED).contains(&self.network.now) {
            self.figures.record_sent(self.size);
            self.figures.processor += self.cost;
        }
        self.network.send(to, message);
    }

    fn broadcast(&mut self, from: usize, message: Message) {
        for to in (0..self.received_at.len()).filter(|&to| to != from) {
            self.send(to, message);
        }
    }

    fn wake(&mut self, member: usize) {
        self.network.wake(self.network.now + TICK, member);
    }

    fn receive(&mut self, member: usize, from: usize) {
        self.received_at[member][from] = self.network.now;
        self.suspects[member].remove(&from);
    }

    /// Excludes a pause of the member itself from the silence of the others, as
    /// gossip does.
    fn discount_own_pause(&mut self, member: usize) {
        let step = self.network.now - self.ticked_at[member];
        if step > OWN_PAUSE {
            for received_at in &mut self.received_at[member] {
                *received_at += step;
            }
        }
        self.ticked_at[member] = self.network.now;
    }

    fn is_silent(&self, member: usize, other: usize) -> bool {
        self.network.now.saturating_sub(self.received_at[member][other]) > DEAD_AFTER
    }

    /// The next member that is not suspected: the successor for a `step` of 1, the
    /// predecessor for a `step` of one less than the number of members.
    fn neighbour(&self, member: usize, step: usize) -> usize {
        let count = self.received_at.len();
        let mut next = (member + step) % count;
        while self.suspects[member].contains(&next) {
            next = (next + step) % count;
        }
        next
    }

    fn suspect(&mut self, member: usize, other: usize) {
        let now = self.network.now;
        self.suspects[member].insert(other);
        if other == self.network.crashing_member && now >= self.network.crashes_at {
            self.figures.detected[member].get_or_insert(now - self.network.crashes_at);
        } else if self.network.is_healthy(other, DEAD_AFTER) {
            self.wrong_short.insert((member, other));
        } else {
            self.wrong_long.insert((member, other));
        }
    }

    fn finish(mut self) -> Figures {
        self.figures.wrong_short = self.wrong_short.len();
        self.figures.wrong_long = self.wrong_long.len();
        self.figures
    }
}

/// Size of a heartbeat in bytes, and the time to encode and decode it.
fn heartbeat_cost() -> (usize, Duration) {
    let state = MemberState {
        name: Arc::from("instance-100"),
        incarnation: Incarnation(1),
        heartbeat: 1_000,
        version: 3,
        ready: true,
    };
    let heartbeat = Gossip {
        from: state.name.clone(),
        wants_reply: false,
        mark: ConfigMark { version: 3, offset: Some(9) },
        snapshot: None,
        wants_snapshot: false,
        members: vec![state],
        leaving: Vec::new(),
        endpoints: Vec::new(),
    };
    let started = Instant::now();
    let mut size = 0;
    for _ in 0..TIMED_HEARTBEATS {
        let mut message = message::Builder::new_default();
        peer::write_gossip(&heartbeat, message.init_root())
            .expect("a message without a snapshot can be encoded");
        let bytes = serialize::write_message_to_words(&message);
        size = bytes.len();
        let options = ReaderOptions::new();
        let message = serialize::read_message_from_flat_slice(&mut &bytes[..], options)
            .expect("the message is complete");
        let root = message
            .get_root::<peer_capnp::gossip::Reader<'_>>()
            .expect("the message is valid gossip");
        peer::read_gossip(root).expect("the message is valid gossip");
    }
    (size, started.elapsed() / TIMED_HEARTBEATS)
}
