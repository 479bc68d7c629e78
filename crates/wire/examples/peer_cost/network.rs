//! A simulated network in virtual time, with pauses of members and one crash.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{MEASURED, TICK, WARM_UP};

const SEED: u64 = 7;
const MIN_LATENCY: Duration = Duration::from_micros(500);
const MAX_LATENCY: Duration = Duration::from_millis(2);
/// One in this many members gets a short pause, and one in this many a long pause.
const PAUSED_ONE_IN: usize = 8;
/// A pause that must not be detected as a crash.
const SHORT_PAUSE: Duration = Duration::from_secs(3);
/// A pause that cannot be distinguished from a crash while it lasts.
const LONG_PAUSE: Duration = Duration::from_secs(8);

/// An event at a member.
pub enum Event<M> {
    /// Its timer fires.
    Tick,
    /// A message arrives.
    Message(M),
}

/// Pending events of the members, and the faults that are injected.
pub struct Network<M> {
    /// The virtual time.
    pub now: Duration,
    /// Random numbers with a fixed seed.
    pub rng: SmallRng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, (usize, Event<M>)>,
    next_event: u64,
    pauses: Vec<Vec<(Duration, Duration)>>,
    /// The member that crashes.
    pub crashing_member: usize,
    /// The time at which it crashes.
    pub crashes_at: Duration,
}

impl<M> Network<M> {
    /// Creates a network and starts the members' timers with random phases.
    pub fn new(members: usize) -> Network<M> {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let pauses = pauses(&mut rng, members);
        let mut network = Network {
            now: Duration::ZERO,
            rng,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            pauses,
            crashing_member: members - 1,
            crashes_at: WARM_UP + MEASURED + MEASURED,
        };
        for member in 0..members {
            let phase = network.rng.random_range(Duration::ZERO..TICK);
            network.push(phase, member, Event::Tick);
        }
        network
    }

    /// The end of the simulation.
    pub fn end(&self) -> Duration {
        self.crashes_at + MEASURED
    }

    /// Sends a message, which arrives after a random latency.
    pub fn send(&mut self, to: usize, message: M) {
        let at = self.now + self.rng.random_range(MIN_LATENCY..MAX_LATENCY);
        self.push(at, to, Event::Message(message));
    }

    /// Sets a member's timer.
    pub fn wake(&mut self, at: Duration, member: usize) {
        self.push(at, member, Event::Tick);
    }

    /// The next event, delayed while its member is paused; events of the crashed
    /// member are dropped. `None` at the end of the simulation.
    pub fn next(&mut self) -> Option<(usize, Event<M>)> {
        loop {
            let Reverse((at, id)) = self.queue.pop()?;
            if at > self.end() {
                return None;
            }
            let (member, event) = self.events.remove(&id).expect("it was queued");
            self.now = at;
            if member == self.crashing_member && at >= self.crashes_at {
                continue;
            }
            match self.paused_until(member, at) {
                Some(until) => self.push(until, member, event),
                None => return Some((member, event)),
            }
        }
    }

    /// Whether considering the member dead would be wrong: it has not crashed and
    /// is not in a long pause, nor was it within the time `recent`.
    pub fn is_healthy(&self, member: usize, recent: Duration) -> bool {
        let has_crashed = member == self.crashing_member && self.now >= self.crashes_at;
        let pauses = self.pauses[member].iter();
        let mut long = pauses.filter(|(from, until)| *until - *from > SHORT_PAUSE);
        !has_crashed && !long.any(|&(from, until)| from <= self.now && self.now < until + recent)
    }

    /// Whether the member has not crashed and is not paused.
    pub fn is_running(&self, member: usize) -> bool {
        let has_crashed = member == self.crashing_member && self.now >= self.crashes_at;
        !has_crashed && self.paused_until(member, self.now).is_none()
    }

    fn paused_until(&self, member: usize, at: Duration) -> Option<Duration> {
        let mut pauses = self.pauses[member].iter();
        pauses.find(|(from, until)| (*from..*until).contains(&at)).map(|&(_, until)| until)
    }

    fn push(&mut self, at: Duration, member: usize, event: Event<M>) {
        let id = self.next_event;
        self.next_event += 1;
        self.events.insert(id, (member, event));
        self.queue.push(Reverse((at, id)));
    }
}

/// Chooses the pauses, in the period after the one in which the cost is measured.
fn pauses(rng: &mut SmallRng, members: usize) -> Vec<Vec<(Duration, Duration)>> {
    let start = WARM_UP + MEASURED;
    let mut pauses = vec![Vec::new(); members];
    for lasting in [SHORT_PAUSE, LONG_PAUSE] {
        for _ in 0..members.div_ceil(PAUSED_ONE_IN) {
            let member = rng.random_range(0..members);
            let from = start + rng.random_range(Duration::ZERO..MEASURED - 2 * LONG_PAUSE);
            pauses[member].push((from, from + lasting));
        }
    }
    pauses
}
