//! Several instances and one pool in virtual time: requests that share parts of their prompts,
//! endpoints that crash at one moment and come back, and requests that crash what runs them.

mod crashes;
mod events;
mod messages;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use peatdeck_core::relay::{
    Relay,
    config::{Config, RequestKind},
    directory::Entry,
    fingerprint::Fingerprint,
    model::{Arrival, CallKey, ExchangeKey, Part, Prompt},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use events::Event;

use super::{arrival, entry, ms, route};
use crate::relay::fixture::{ConfigBuilder, settings};

/// How often instances compare their copy of the directory with the store's.
const READ_INTERVAL: Duration = Duration::from_millis(450);
/// Parts that the requests of each kind share.
pub const SHARED: [u64; 3] = [0xa1, 0xa2, 0xa3];
/// The part that crashes what runs it.
pub const DEADLY: u64 = 0xbad;
/// Time from the first byte of an answer until the request crashes its endpoint.
const TIME_TO_CRASH: Duration = Duration::from_millis(60);
/// When all endpoints are back after the last common crash of a test.
const LATE: Duration = Duration::from_secs(10);
const TIME_TO_ANSWER: Duration = Duration::from_millis(20);
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Longest delay of an entry of the directory.
const MAX_ENTRY_DELAY_MS: u64 = 400;

/// What a request asks for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// One of a kind, by index; each has a content of its own.
    Kind(usize),
    /// The same content each time, which is sound.
    Repeated,
    /// A content of its own with the deadly part.
    DeadlyPart,
    /// The same content each time, which crashes what runs it.
    DeadlyContent,
}

impl Load {
    fn is_deadly(self) -> bool {
        matches!(self, Load::DeadlyPart | Load::DeadlyContent)
    }
}

struct Endpoint {
    entry: Entry,
    is_up: bool,
    runs: BTreeMap<(usize, u64), CallKey>,
}

/// What a run of the site showed.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Contents and parts that any instance quarantined.
    pub quarantined: BTreeSet<u128>,
    /// Sound requests that were refused, or stopped, for a quarantine.
    pub sound_refused: usize,
    /// Sound requests that were answered whole.
    pub sound_served: usize,
    /// When deadly requests crashed endpoints.
    pub crashed: Vec<Duration>,
    /// Those that were answered when all endpoints had time to come back.
    pub served_late: usize,
    /// Times that an instance counted crashes at one moment as one.
    pub combined: usize,
}

pub struct Site {
    now: Duration,
    rng: StdRng,
    relays: Vec<Relay>,
    alive: Vec<bool>,
    endpoints: BTreeMap<Arc<str>, Endpoint>,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    wakes: Vec<Option<Duration>>,
    loads: HashMap<(usize, ExchangeKey), Load>,
    recorded: BTreeSet<u128>,
    asked: BTreeMap<(usize, u128), bool>,
    max_delay: Duration,
    outcome: Outcome,
}

impl Site {
    pub fn new(instances: usize, endpoints: usize, seed: u64) -> Site {
        let relays: Vec<_> = (0..instances).map(relay).collect();
        let entries = (0..endpoints).map(|idx| entry(&format!("d{idx}"), "desk"));
        let entries = entries.map(|entry| Entry { slots: 64, ..entry });
        let endpoint = |entry: Entry| Endpoint { entry, is_up: true, runs: BTreeMap::new() };
        let mut site = Site {
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            alive: vec![true; instances],
            wakes: vec![None; instances],
            relays,
            endpoints: entries.map(|entry| (entry.name.clone(), endpoint(entry))).collect(),
            events: BTreeMap::new(),
            sequence: 0,
            loads: HashMap::new(),
            recorded: BTreeSet::new(),
            asked: BTreeMap::new(),
            max_delay: ms(100),
            outcome: Outcome::default(),
        };
        for idx in 0..instances {
            site.read_directory(idx);
        }
        site.set_peers();
        site
    }

    /// The longest delay of a message between instances.
    pub fn max_delay(mut self, delay: Duration) -> Site {
        self.max_delay = delay;
        self
    }

    /// Requests of a load arrive at random times, at this rate, at any instance.
    pub fn arrivals(mut self, load: Load, per_second: f64, from: Duration, to: Duration) -> Site {
        let mut at = from;
        loop {
            at += Duration::from_secs_f64(-self.rng.random::<f64>().ln() / per_second);
            if at >= to {
                return self;
            }
            let idx = self.rng.random_range(0..self.relays.len());
            self.schedule(at, Event::Arrive { at: idx, load });
        }
    }

    /// The first `count` endpoints crash at random times within a span and come back.
    pub fn crash_first(
        mut self,
        count: usize,
        at: Duration,
        span: Duration,
        down: Duration,
    ) -> Site {
        let names: Vec<_> = self.endpoints.keys().take(count).cloned().collect();
        for endpoint in names {
            let crash = at + span.mul_f64(self.rng.random());
            self.schedule(crash, Event::Crash { endpoint: endpoint.clone() });
            let back = crash + down.mul_f64(1.0 + self.rng.random::<f64>() / 2.0);
            self.schedule(back, Event::Return { endpoint });
        }
        self
    }

    /// The last instance is absent and starts at a time.
    pub fn late_instance(mut self, at: Duration) -> Site {
        let idx = self.relays.len() - 1;
        self.alive[idx] = false;
        self.set_peers();
        self.schedule(at, Event::Start(idx));
        self
    }

    pub fn run(mut self, until: Duration) -> Outcome {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > until {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.outcome
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.schedule(self.now + delay, event);
    }

    fn submit(&mut self, at: usize, load: Load) {
        let number = self.sequence;
        self.sequence += 1;
        let parts = match load {
            Load::Kind(kind) => vec![SHARED[kind]],
            Load::DeadlyPart => vec![SHARED[0], DEADLY],
            Load::Repeated | Load::DeadlyContent => Vec::new(),
        };
        let body = match load {
            Load::Repeated => "repeated".to_owned(),
            Load::DeadlyContent => "deadly".to_owned(),
            _ => number.to_string(),
        };
        let parts = parts.into_iter().chain([0x1_0000 + number]);
        let parts = parts.map(|id| Part { id, tokens: 100 }).collect();
        let arrival = Arrival {
            prompt: Some(Prompt { parts, input: 300, output: 50 }),
            content: content_of(&body),
            deadline: Some(ms(8000)),
            ..arrival(&number.to_string(), "r")
        };
        let now = self.now;
        if !self.alive[at] {
            return;
        }
        let Ok(key) = self.relays[at].on_request(now, arrival) else { return };
        self.loads.insert((at, key), load);
        self.with_relay(at, |_| ());
    }

    fn with_relay<T>(&mut self, idx: usize, run: impl FnOnce(&mut Relay) -> T) {
        if !self.alive[idx] {
            return;
        }
        // The directory is read anew at this interval.
        let age = Duration::from_nanos((self.now.as_nanos() % READ_INTERVAL.as_nanos()) as u64);
        self.relays[idx].mark_directory_read(self.now - age);
        run(&mut self.relays[idx]);
        for action in self.relays[idx].take_actions() {
            self.perform(idx, action);
        }
        let wake = self.relays[idx].next_wake(self.now).max(self.now + ms(1));
        if self.wakes[idx].is_none_or(|known| wake < known) {
            self.wakes[idx] = Some(wake);
            self.schedule(wake, Event::Tick(idx));
        }
    }

    fn delay(&mut self) -> Duration {
        ms(1) + self.max_delay.mul_f64(self.rng.random())
    }

    fn is_up(&self, name: &str) -> bool {
        self.endpoints[name].is_up
    }
}

fn name(idx: usize) -> Arc<str> {
    Arc::from(format!("n{idx}"))
}

fn config() -> Arc<Config> {
    let config = ConfigBuilder::new(1).service("desk");
    config.route(route("r", RequestKind::Resumable, "desk")).build()
}

fn relay(idx: usize) -> Relay {
    let mut relay = Relay::new(settings(&name(idx)), idx as u64 + 1);
    relay.configure(config());
    relay.mark_quarantine_read();
    relay
}

/// The fingerprint of the content that crashes what runs it.
pub fn deadly_content() -> Fingerprint {
    content_of("deadly").for_team(None)
}

fn content_of(body: &str) -> Fingerprint {
    Fingerprint::of("POST", "fleet.example", "/r/x", body.as_bytes())
}
