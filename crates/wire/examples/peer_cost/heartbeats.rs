//! The two ways that gossip is compared with: heartbeats to everybody, and
//! around a ring.
//!
//! In the ring each member sends to its successor and watches its predecessor;
//! a suspicion goes to everybody and the next one back is watched, as in the
//! one-to-all variant of "Communication-optimal eventually perfect failure
//! detection in partially synchronous systems" (Lafuente, Larrea, Soraluze,
//! Cortiñas, 2014). The relay of a suspicion by each receiver, which makes the
//! broadcast reliable there, is left out: it adds a burst of members² messages
//! a suspicion. Timeouts do not grow after a wrong suspicion either.

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

/// Heartbeats written and read to find the time that one takes.
const TIMED_HEARTBEATS: u32 = 50_000;
/// A step of a member's timer over more than this is a pause of its own.
const OWN_PAUSE: Duration = Duration::from_secs(2);

/// Each member sends to every other.
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

/// Each member sends to the next one that it does not suspect.
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
                    // The next one back has a whole timeout to show itself.
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
            // A member that is suspected goes on sending to its successor,
            // which then takes the suspicion back.
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

    /// As gossip does: one's own pause does not count against the others.
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

    /// The next member in a direction that is not suspected.
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

/// Bytes of a heartbeat, and the time to write and read one.
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
        peer::write_gossip(&heartbeat, message.init_root()).expect("no snapshot to fail");
        let bytes = serialize::write_message_to_words(&message);
        size = bytes.len();
        let options = ReaderOptions::new();
        let message =
            serialize::read_message_from_flat_slice(&mut &bytes[..], options).expect("whole");
        let root = message.get_root::<peer_capnp::gossip::Reader<'_>>().expect("a gossip");
        peer::read_gossip(root).expect("a gossip");
    }
    (size, started.elapsed() / TIMED_HEARTBEATS)
}
