//! Gossip as instances run it: the state machine of `peatdeck-core`, with encoded
//! messages.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use capnp::{
    message::{self, ReaderOptions},
    serialize,
};
use peatdeck_core::{
    instance::input::Identity,
    membership::{ConfigMark, EndpointState, Envelope, Gossip, LocalState, Members, Settings},
    model::{Incarnation, InstanceEntry, Load, Presence},
};
use peatdeck_wire::{peer, peer_capnp};
use rand::{Rng, rngs::SmallRng};

use crate::{
    DEAD_AFTER, MEASURED, WARM_UP,
    network::{Event, Network},
    report::Figures,
};

/// Interval at which the members' views of each other are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs `count` members that each report the state of `endpoints` endpoints.
pub fn run(count: usize, endpoints: usize) -> Figures {
    let mut simulation = Simulation::new(count, endpoints);
    let mut next_check = WARM_UP;
    while let Some((member, event)) = simulation.network.next() {
        match event {
            Event::Tick => simulation.tick(member),
            Event::Message(bytes) => simulation.receive(member, &bytes),
        }
        if simulation.network.now >= next_check {
            next_check = simulation.network.now + CHECK_INTERVAL;
            simulation.check_views();
        }
    }
    simulation.figures.wrong_short = simulation.wrong_short.len();
    simulation.figures.wrong_long = simulation.wrong_long.len();
    simulation.figures
}

struct Simulation {
    network: Network<Vec<u8>>,
    members: Vec<Members>,
    endpoints: Vec<EndpointState>,
    figures: Figures,
    wrong_short: HashSet<(usize, usize)>,
    wrong_long: HashSet<(usize, usize)>,
}

impl Simulation {
    fn new(count: usize, endpoints: usize) -> Simulation {
        let entries: Vec<_> = (0..count).map(entry).collect();
        let member = |idx: usize| {
            let identity = Identity {
                name: name(idx),
                incarnation: Incarnation(1),
                data_centre: Arc::from("dc"),
            };
            let mut members = Members::new(identity, Settings::default(), idx as u64);
            members.apply_listing(Duration::ZERO, &entries);
            members
        };
        let state = |idx| EndpointState {
            endpoint: Arc::from(format!("endpoint-{idx}")),
            in_flight: 0,
            load: None,
        };
        Simulation {
            network: Network::new(count),
            members: (0..count).map(member).collect(),
            endpoints: (0..endpoints).map(state).collect(),
            figures: Figures { detected: vec![None; count - 1], ..Figures::default() },
            wrong_short: HashSet::new(),
            wrong_long: HashSet::new(),
        }
    }

    fn is_measured(&self) -> bool {
        (WARM_UP..WARM_UP + MEASURED).contains(&self.network.now)
    }

    fn tick(&mut self, member: usize) {
        shuffle(&mut self.network.rng, &mut self.endpoints);
        let started = Instant::now();
        let now = self.network.now;
        let envelopes = self.members[member].tick(now, &local(&self.endpoints));
        let bytes: Vec<_> = envelopes.iter().map(encode).collect();
        self.add_processor_time(started);
        for bytes in bytes {
            self.send(bytes);
        }
        let wake = self.members[member].next_wake().expect("there is a next round");
        self.network.wake(wake.max(now), member);
    }

    fn receive(&mut self, member: usize, bytes: &[u8]) {
        let started = Instant::now();
        let now = self.network.now;
        let gossip = decode(bytes);
        let reply = self.members[member].receive(now, &gossip, &local(&self.endpoints));
        let reply = reply.as_ref().map(encode);
        self.add_processor_time(started);
        if let Some(reply) = reply {
            self.send(reply);
        }
    }

    fn send(&mut self, (to, bytes): (usize, Vec<u8>)) {
        if self.is_measured() {
            self.figures.record_sent(bytes.len());
        }
        self.network.send(to, bytes);
    }

    fn add_processor_time(&mut self, started: Instant) {
        if self.is_measured() {
            self.figures.processor += started.elapsed();
        }
    }

    /// Records which members are considered dead by others, correctly or not.
    fn check_views(&mut self) {
        let now = self.network.now;
        for (observer, members) in self.members.iter().enumerate() {
            if !self.network.is_running(observer) {
                continue;
            }
            let alive: HashSet<_> = members.alive(now).into_iter().collect();
            for other in (0..self.members.len()).filter(|&other| other != observer) {
                if alive.contains(&name(other)) {
                    continue;
                }
                if other == self.network.crashing_member && now >= self.network.crashes_at {
                    self.figures.detected[observer].get_or_insert(now - self.network.crashes_at);
                } else if self.network.is_healthy(other, DEAD_AFTER) {
                    self.wrong_short.insert((observer, other));
                } else {
                    self.wrong_long.insert((observer, other));
                }
            }
        }
    }
}

/// Randomises the in-flight counts and loads, as traffic would change them.
fn shuffle(rng: &mut SmallRng, endpoints: &mut [EndpointState]) {
    for endpoint in endpoints {
        endpoint.in_flight = rng.random_range(0..4);
        endpoint.load =
            Some(Load { running: rng.random_range(0..8), queued: 0, places: 8, age_ms: 300 });
    }
}

fn local(endpoints: &[EndpointState]) -> LocalState<'_> {
    let mark = ConfigMark { version: 3, offset: Some(9) };
    LocalState { mark, snapshot: None, ready: true, leaving: &[], endpoints }
}

/// Receiver and encoded message of an envelope.
fn encode(envelope: &Envelope) -> (usize, Vec<u8>) {
    let mut message = message::Builder::new_default();
    peer::write_gossip(&envelope.message, message.init_root())
        .expect("a message without a snapshot can be encoded");
    let to =
        envelope.to.trim_start_matches("instance-").parse().expect("the name ends in a number");
    (to, serialize::write_message_to_words(&message))
}

fn decode(mut bytes: &[u8]) -> Gossip {
    let options = ReaderOptions::new();
    let message = serialize::read_message_from_flat_slice(&mut bytes, options)
        .expect("the message is complete");
    let root =
        message.get_root::<peer_capnp::gossip::Reader<'_>>().expect("the message is valid gossip");
    peer::read_gossip(root).expect("the message is valid gossip")
}

fn name(idx: usize) -> Arc<str> {
    Arc::from(format!("instance-{idx}"))
}

fn entry(idx: usize) -> InstanceEntry {
    InstanceEntry {
        name: name(idx),
        peer_addr: Arc::from("10.0.0.1:7000"),
        http_addr: Arc::from("10.0.0.1:7001"),
        data_centre: Arc::from("dc"),
        presence: Presence::Live,
    }
}
