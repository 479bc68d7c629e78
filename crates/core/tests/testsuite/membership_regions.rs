//! Liveness of instances in several regions, in virtual time with the latencies of the links.

#![allow(clippy::unwrap_used)]

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use peatdeck_core::{
    instance::input::Identity,
    membership::{ConfigMark, Envelope, Gossip, LocalState, Members, Settings},
    model::{Incarnation, InstanceEntry, InstanceName, Presence},
    relay::region::RegionMap,
};

/// As the relay sets them.
const TICK: Duration = Duration::from_millis(400);
const DEAD_AFTER: Duration = Duration::from_millis(2400);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// By this time all instances are known everywhere.
const WARM_UP: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(15);
/// How long the detection of a stopped instance is observed.
const DETECTION_LIMIT: Duration = Duration::from_secs(10);

/// Longest time until the last counter of an instance has reached all others.
const SPREAD_TIME: Duration = Duration::from_millis(1600);

/// Greatest share of samples that take a running instance of 300 for dead. With one region it is
/// about 0.0001.
const MAX_MISTAKES: f64 = 0.000_15;

/// Time of a message within a region, and between two regions.
const NEAR: Duration = Duration::from_micros(1400);
const REMOTE: Duration = Duration::from_millis(30);

enum Event {
    Tick,
    Message(Gossip),
    Sample,
}

struct Instance {
    members: Members,
    region: usize,
    is_running: bool,
}

struct World {
    instances: Vec<Instance>,
    by_name: HashMap<InstanceName, usize>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    /// Messages between regions.
    crossed: u64,
    /// How often an instance considered a running one dead, after the warm-up.
    mistakes: u64,
    /// For each instance, the last time at which it considered the stopped one alive.
    last_alive: Vec<Duration>,
    stopped: Option<usize>,
}

fn local() -> LocalState<'static> {
    LocalState {
        mark: ConfigMark::default(),
        snapshot: None,
        ready: true,
        leaving: &[],
        endpoints: &[],
    }
}

fn entry(idx: usize, regions: usize) -> InstanceEntry {
    InstanceEntry {
        name: Arc::from(format!("edge-{idx}")),
        peer_addr: Arc::from(format!("edge-{idx}:1")),
        http_addr: Arc::from(format!("edge-{idx}:2")),
        data_centre: Arc::from(format!("dc-{}", idx % regions)),
        presence: Presence::Live,
    }
}

impl World {
    /// Instances spread evenly over regions. With `is_split` unset, the map has one region.
    fn new(count: usize, regions: usize, is_split: bool) -> World {
        let entries: Vec<_> = (0..count).map(|idx| entry(idx, regions)).collect();
        let region = |idx: usize| Arc::from(format!("r-{}", if is_split { idx } else { 0 }));
        let map = (0..regions).map(|idx| (Arc::from(format!("dc-{idx}")), region(idx))).collect();
        let regions_map = RegionMap::new(map);
        let instance = |(idx, entry): (usize, &InstanceEntry)| {
            let (name, data_centre) = (entry.name.clone(), entry.data_centre.clone());
            let identity = Identity { name, incarnation: Incarnation(1), data_centre };
            let settings = Settings {
                tick: TICK,
                dead_after: DEAD_AFTER,
                regions: regions_map.clone(),
                ..Settings::default()
            };
            let mut members = Members::new(identity, settings, 7 + idx as u64);
            members.apply_listing(Duration::ZERO, &entries);
            Instance { members, region: idx % regions, is_running: true }
        };
        let instances: Vec<_> = entries.iter().enumerate().map(instance).collect();
        let names = entries.iter().enumerate().map(|(idx, entry)| (entry.name.clone(), idx));
        let mut world = World {
            instances,
            by_name: names.collect(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            crossed: 0,
            mistakes: 0,
            last_alive: vec![Duration::ZERO; count],
            stopped: None,
        };
        for idx in 0..count {
            world.push(TICK.mul_f64(idx as f64 / count as f64), idx, Event::Tick);
        }
        world.push(WARM_UP, 0, Event::Sample);
        world
    }

    fn push(&mut self, at: Duration, instance: usize, event: Event) {
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event, instance)));
        self.next_event += 1;
    }

    fn run(&mut self, until: Duration) {
        while self.queue.peek().is_some_and(|next| next.0.0 < until) {
            let Reverse((at, event, idx)) = self.queue.pop().unwrap();
            let event = self.events.remove(&event).unwrap();
            match event {
                Event::Sample => {
                    self.sample(at);
                    self.push(at + SAMPLE_INTERVAL, 0, Event::Sample);
                }
                _ if !self.instances[idx].is_running => {}
                Event::Tick => {
                    let envelopes = self.instances[idx].members.tick(at, &local());
                    envelopes.into_iter().for_each(|envelope| self.send(at, idx, envelope));
                    let next = self.instances[idx].members.next_wake().unwrap();
                    self.push(next, idx, Event::Tick);
                }
                Event::Message(message) => {
                    let reply = self.instances[idx].members.receive(at, &message, &local());
                    reply.into_iter().for_each(|envelope| self.send(at, idx, envelope));
                }
            }
        }
    }

    fn send(&mut self, at: Duration, from: usize, envelope: Envelope) {
        let to = self.by_name[&envelope.to];
        let is_remote = self.instances[from].region != self.instances[to].region;
        self.crossed += u64::from(is_remote && at >= WARM_UP);
        let delay = if is_remote { REMOTE } else { NEAR };
        self.push(at + delay, to, Event::Message(envelope.message));
    }

    fn sample(&mut self, at: Duration) {
        let running = self.instances.iter().filter(|instance| instance.is_running).count();
        let observers = self.instances.iter().enumerate();
        for (idx, instance) in observers.filter(|(_, instance)| instance.is_running) {
            let alive = instance.members.alive(at);
            let stopped = self.stopped.map(|idx| format!("edge-{idx}"));
            let has_stopped = stopped.is_some_and(|name| alive.iter().any(|it| **it == *name));
            if has_stopped {
                self.last_alive[idx] = at;
            }
            let known = alive.len() - usize::from(has_stopped);
            self.mistakes += (running - 1 - known) as u64;
        }
    }

    /// Stops an instance. Returns how long it takes until half of the others, and all of them,
    /// consider it dead.
    fn detection_times(&mut self, now: Duration) -> (Duration, Duration) {
        self.instances[3].is_running = false;
        self.stopped = Some(3);
        self.run(now + DETECTION_LIMIT);
        let mut times = self.last_alive.clone();
        times.sort_unstable();
        let [half, all] = [times.len() / 2, times.len() - 1];
        (times[half].saturating_sub(now), times[all].saturating_sub(now))
    }
}

/// What is measured of a deployment.
struct Measurement {
    /// Share of the samples, of each pair of instances, that took a running one for dead.
    mistakes: f64,
    /// Messages between regions per second.
    crossed: f64,
    /// Time until half of the instances, and all of them, have detected a stopped one.
    detection: (Duration, Duration),
}

/// Runs one deployment.
fn measure(count: usize, regions: usize, is_split: bool) -> Measurement {
    let mut world = World::new(count, regions, is_split);
    world.run(END);
    let time = (END - WARM_UP).as_secs_f64();
    let samples = time / SAMPLE_INTERVAL.as_secs_f64() * (count * (count - 1)) as f64;
    let mistakes = world.mistakes as f64 / samples;
    let crossed = world.crossed as f64 / time;
    let detection = world.detection_times(END);
    println!(
        "{count} instances, {regions} regions, split {is_split}: {mistakes:.6} mistaken, \
         {crossed:.0} messages/s between regions, detected by half in {} ms, by all in {} ms",
        detection.0.as_millis(),
        detection.1.as_millis()
    );
    Measurement { mistakes, crossed, detection }
}

/// Checks the time until a stopped instance is detected, and the messages between regions.
fn check(count: usize, regions: usize, is_split: bool) -> Measurement {
    let measured = measure(count, regions, is_split);
    if is_split {
        // Each instance sends two messages every 400 ms, and each has a reply.
        let all = count as f64 * 2.0 * 2.5 * 2.0;
        assert!(measured.crossed < all / 6.5, "{} of {all} messages/s", measured.crossed);
    }
    measured
}

/// Checks a deployment where the counters of all instances fit into two messages.
fn check_75(regions: usize, is_split: bool) {
    let Measurement { mistakes, detection, .. } = check(75, regions, is_split);
    assert!(mistakes == 0.0, "{mistakes}");
    assert!(detection.1 <= DEAD_AFTER + SPREAD_TIME, "{detection:?}");
}

/// Checks a deployment whose counters do not fit. There, a few samples are mistaken with one
/// region too, and the last instances detect a stopped one late.
fn check_300(regions: usize) {
    let dead_after = DEAD_AFTER.mul_f64(300.0 / 128.0);
    let Measurement { mistakes, detection, .. } = check(300, regions, true);
    assert!(mistakes < MAX_MISTAKES, "{mistakes}");
    assert!(detection.0 <= dead_after + SPREAD_TIME, "{detection:?}");
}

// Guards against instances of another region that are taken for dead since their counters arrive
// more rarely: their work would move, and return a moment later.
#[test]
fn no_running_instance_of_75_in_two_regions_is_considered_dead() {
    check_75(2, true);
    check_75(2, false);
}

#[test]
fn no_running_instance_of_75_in_five_regions_is_considered_dead() {
    check_75(5, true);
}

#[test]
fn running_instances_of_300_in_two_regions_are_considered_alive() {
    check_300(2);
}

#[test]
fn running_instances_of_300_in_five_regions_are_considered_alive() {
    check_300(5);
}
