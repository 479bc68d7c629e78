//! One instance with two endpoints; tests submit requests and reply to its calls.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    document::{Document, Pipeline, Pool, PoolKind, Stage, Team},
    instance::{
        Instance,
        action::{Action, Call},
        input::{CallEvent, CallFailure, Identity, Input},
        settings::Settings,
    },
    model::{CallerId, EndpointEntry, Incarnation, Listing, Presence, Request, RequestId},
    record::{Batch, ConfigRecord, Entry, Publish},
};

/// Calls that teach an instance how long a stage usually takes.
const SAMPLES: u64 = 25;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A team without a maximum of running requests.
pub fn team(name: &str, weight: u32) -> Team {
    Team { name: name.into(), weight, max_running: None }
}

fn document(teams: Vec<Team>, kind: PoolKind) -> Document {
    let pool = Pool { name: "pool".into(), kind, cost: 1.0, fenced: false };
    let stage =
        Stage { name: "stage".into(), pool: "pool".into(), repeatable: true, max_tokens: None };
    let pipeline = Pipeline {
        name: "pipeline".into(),
        max_deadline_ms: 12_000,
        objective: 0.99,
        policy: None,
        stages: vec![stage],
    };
    Document { pools: vec![pool], pipelines: vec![pipeline], teams, policies: Vec::new() }
}

fn endpoint(name: &str, software: &str) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        pool: "pool".into(),
        addr: "10.0.0.1:9000".into(),
        data_centre: "east".into(),
        incarnation: Incarnation(1),
        presence: Presence::Live,
        software: software.into(),
    }
}

pub struct World {
    instance: Instance,
    now: Duration,
    next_id: u64,
}

impl World {
    /// An instance with two endpoints, whose calls took 10 ms each so far.
    pub fn new() -> World {
        World::with_teams(vec![team("team", 1)])
    }

    pub fn with_teams(teams: Vec<Team>) -> World {
        let mut world = World::with_endpoints(teams, PoolKind::Service, &[("a", ""), ("b", "")]);
        for _ in 0..SAMPLES {
            let call = world.submit().expect("an idle pool takes the call");
            world.now += ms(10);
            world.reply(&call);
        }
        world
    }

    /// An instance with endpoints of these names and versions of software.
    pub fn with_endpoints(teams: Vec<Team>, kind: PoolKind, endpoints: &[(&str, &str)]) -> World {
        let identity = Identity {
            name: "own".into(),
            incarnation: Incarnation(1),
            data_centre: "east".into(),
        };
        let instance = Instance::new(identity, Settings::default(), 1);
        let mut world = World { instance, now: ms(1000), next_id: 0 };
        let publish = Publish {
            id: "first".into(),
            base: 0,
            author: "operator".into(),
            document: Arc::new(document(teams, kind)),
        };
        let record = ConfigRecord::Publish(publish);
        let entries = vec![Entry { offset: 0, time_ms: 0, record }];
        let read = Batch { from: 0, earliest: 0, next: 1, now_ms: 0, entries };
        world.feed(Input::ConfigRead(read));
        let end = Batch { from: 1, earliest: 0, next: 1, now_ms: 0, entries: Vec::new() };
        world.feed(Input::ConfigRead(end));
        world.list(endpoints, None);
        world
    }

    /// The platform lists these endpoints; those of the version `leaving` leave.
    pub fn list(&mut self, endpoints: &[(&str, &str)], leaving: Option<&str>) -> Vec<Call> {
        let listed = endpoints.iter().map(|(name, software)| {
            let is_leaving = leaving == Some(*software);
            let presence = if is_leaving { Presence::Leaving } else { Presence::Live };
            EndpointEntry { presence, ..endpoint(name, software) }
        });
        let endpoints = listed.collect();
        self.feed(Input::Listed(Listing { instances: Vec::new(), endpoints }))
    }

    /// A piece of a call's output arrives.
    pub fn piece(&mut self, call: &Call, index: u32) -> Vec<Call> {
        let event = CallEvent::Chunk { echo: call.echo.clone(), index, text: "piece".into() };
        self.feed(Input::Call { call: call.id, event })
    }

    /// A call is interrupted.
    pub fn cut(&mut self, call: &Call) -> Vec<Call> {
        let event = CallEvent::Failed(CallFailure::Cut);
        self.feed(Input::Call { call: call.id, event })
    }

    fn feed(&mut self, input: Input) -> Vec<Call> {
        let actions = self.instance.handle(self.now, input);
        let calls = actions.into_iter().filter_map(|action| match action {
            Action::Call(call) => Some(call),
            _ => None,
        });
        calls.collect()
    }

    /// Submits a request; returns its call unless it has to wait for a slot.
    pub fn submit(&mut self) -> Option<Call> {
        self.submit_as("team")
    }

    /// The same for a request of another team.
    pub fn submit_as(&mut self, team: &str) -> Option<Call> {
        self.next_id += 1;
        let request = Request {
            id: RequestId { team: team.into(), id: self.next_id.to_string().into() },
            pipeline: "pipeline".into(),
            deadline: ms(1000),
            idempotent: true,
            repeat: false,
            stream: false,
            input: "input".into(),
        };
        let caller = CallerId(self.next_id);
        self.feed(Input::Submit { caller, request }).pop()
    }

    pub fn reply(&mut self, call: &Call) -> Vec<Call> {
        let echo = call.echo.clone();
        let event = CallEvent::Reply { echo, output: Some("out".into()), tokens: None, load: None };
        self.feed(Input::Call { call: call.id, event })
    }

    /// Lets time pass in steps of 10 ms; returns the calls sent meanwhile.
    pub fn advance(&mut self, by: Duration) -> Vec<Call> {
        let until = self.now + by;
        let mut calls = Vec::new();
        while self.now < until {
            self.now += ms(10);
            calls.extend(self.feed(Input::Tick));
        }
        calls
    }
}
