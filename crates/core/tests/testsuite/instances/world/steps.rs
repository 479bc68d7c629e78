//! What happens: events, and what instances ask for.

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    instance::{
        Instance,
        action::{Action, Call},
        admit,
        input::Input,
    },
    model::{AppendId, Incarnation, InstanceEntry, Listing, Presence},
    record::Stream,
};
use rand::Rng;

use super::{
    APPEND_TIMEOUT, DRAIN_BOUND, Event, INFORM_BOUND, LIST_LAG, NODES, POLL, World, millis, name,
    number,
};
use crate::instances::{endpoints::Endpoint, oracle::Life};

impl World {
    pub(super) fn happen(&mut self, event: Event) {
        match event {
            Event::Deliver(life, input) => self.deliver(life, input),
            Event::Wake(life) => self.deliver(life, Input::Tick),
            Event::PollConfig(life) => self.poll(life, Stream::Config),
            Event::PollClaims(life) => self.poll(life, Stream::Claims),
            Event::PollList(life) => self.poll_list(life),
            Event::LandConfig { life, append, record } => {
                let out = self.log.is_out;
                if !out {
                    self.log.config.append(millis(self.now), record);
                }
                self.appended(life, append, out);
            }
            Event::LandClaims { life, append, batch } => {
                let out = self.log.is_out;
                if !out {
                    self.log.claims.append(millis(self.now), batch);
                }
                self.appended(life, append, out);
            }
            Event::CallArrives { life, call } => self.call_arrives(life, call),
            Event::Reply { life, call, event } => {
                self.deliver(life, Input::Call { call, event });
            }
            Event::Told { question, answer } => {
                let Some((life, key, peer)) = self.questions.remove(&question) else { return };
                let told = Input::OutcomeTold { key, peer: name(peer), answer: Some(answer) };
                self.deliver(life, told);
            }
            Event::RefreshList => self.refresh_list(),
        }
    }

    pub(super) fn deliver(&mut self, life: Life, input: Input) {
        let node = &mut self.nodes[life.0];
        if node.life != life.1 || node.machine.is_none() {
            return;
        }
        if node.frozen.is_some() {
            node.inbox.push_back(input);
            return;
        }
        self.feed(life, input);
    }

    pub(super) fn feed(&mut self, life: Life, input: Input) {
        let node = &mut self.nodes[life.0];
        let Some(machine) = node.machine.as_mut().filter(|_| node.life == life.1) else { return };
        let mut known = leaving(machine);
        let local = self.now.saturating_sub(node.born);
        let actions = machine.handle(local, input);
        let version = machine.status().version;
        // A listing may bring a new life of an endpoint in the same step.
        known.retain(|endpoint| leaving(machine).contains(endpoint));
        let document = machine.in_force().map(|snapshot| snapshot.document.clone());
        let wake = machine.next_wake().map(|at| node.born + at);
        self.oracle.version(life, version);
        if let Some(document) = document.filter(|_| version > 0) {
            let chain = self.log.chain();
            assert_eq!(document, chain[version as usize - 1], "{life:?} has another chain");
        }
        if let Some(at) = wake.filter(|at| node.wake.is_none_or(|set| *at < set || set <= self.now))
        {
            self.nodes[life.0].wake = Some(at);
            self.at(at.max(self.now), Event::Wake(life));
        }
        for action in actions {
            if let Action::Call(call) = &action {
                assert!(
                    !known.iter().any(|(name, _)| *name == call.endpoint),
                    "{life:?} calls a leaving endpoint"
                );
            }
            self.carry_out(life, action);
        }
    }

    pub(super) fn carry_out(&mut self, life: Life, action: Action) {
        let delay = self.delay();
        match action {
            Action::Answer { caller, outcome } => self.oracle.answered(self.now, caller, outcome),
            Action::Stream { caller, text } => self.oracle.streamed(caller, &text),
            Action::Call(call) => {
                self.check_drained(life, &call);
                self.after(delay, Event::CallArrives { life, call });
            }
            Action::Cancel(_) => {}
            Action::AppendConfig { append, record } => {
                self.after(delay, Event::LandConfig { life, append, record });
            }
            Action::AppendClaims { append, batch } => {
                if self.rng.random_bool(0.05) {
                    let (late, batch) = (self.delay() + 400, batch.clone());
                    let append = AppendId(u64::MAX);
                    self.after(late, Event::LandClaims { life, append, batch });
                }
                self.after(delay, Event::LandClaims { life, append, batch });
            }
            Action::Gossip { to, message, .. } => {
                let peer = number(&to);
                let input = if self.reaches(life.0, peer) {
                    Event::Deliver(self.life(peer), Input::Gossip(message))
                } else {
                    Event::Deliver(life, Input::PeerFailed(to))
                };
                self.after(delay, input);
            }
            Action::AskOutcome { to, key, .. } => {
                let peer = number(&to);
                self.last += 1;
                let question = self.last;
                let event = if self.reaches(life.0, peer) {
                    self.questions.insert(question, (life, key.clone(), peer));
                    Event::Deliver(self.life(peer), Input::OutcomeAsked { question, key })
                } else {
                    Event::Deliver(life, Input::OutcomeTold { key, peer: to, answer: None })
                };
                self.after(delay, event);
            }
            Action::TellOutcome { question, answer } => {
                self.after(delay, Event::Told { question, answer });
            }
            Action::Exit => {
                self.close(life);
                self.oracle.exited(life);
                self.nodes[life.0].machine = None;
            }
        }
    }

    /// What a process that exits tells those whose requests it has not read yet.
    pub(super) fn close(&mut self, life: Life) {
        for input in std::mem::take(&mut self.nodes[life.0].inbox) {
            if let Input::Submit { caller, request } = input {
                self.oracle.answered(self.now, caller, admit::outcome_after_exit(&request));
            }
        }
    }

    /// A sound instance that saw the list since calls no leaving endpoint.
    pub(super) fn check_drained(&self, life: Life, call: &Call) {
        let endpoint = self.endpoint(&call.endpoint);
        let Some(since) = endpoint.leaving else { return };
        let node = &self.nodes[life.0];
        let since = since.max(node.thawed).max(node.born);
        assert!(
            self.now <= since + DRAIN_BOUND,
            "{} gets work {:?} after it began to leave",
            call.endpoint,
            self.now - since
        );
    }

    /// A configuration reaches a started instance from its peers, too.
    pub(super) fn check_informed(&self) {
        let sound = self.nodes.iter().filter(|node| {
            let since = node.thawed.max(self.healed);
            node.frozen.is_none() && self.now.saturating_sub(INFORM_BOUND) > since
        });
        let versions = sound.filter_map(|node| Some(node.machine.as_ref()?.status().version));
        let versions: Vec<u64> = versions.collect();
        let informed = versions.iter().filter(|version| **version > 0).count();
        assert!(informed == 0 || informed == versions.len(), "only some are told: {versions:?}");
    }

    pub(super) fn endpoint(&self, name: &str) -> &Endpoint {
        let mut all = self.endpoints.iter();
        all.find(|endpoint| &*endpoint.entry.name == name).expect("calls go to known endpoints")
    }

    pub(super) fn reaches(&self, from: usize, to: usize) -> bool {
        self.nodes[to].machine.is_some() && !self.cuts.contains(&(from, to))
    }

    pub(super) fn appended(&mut self, life: Life, append: AppendId, out: bool) {
        if append == AppendId(u64::MAX) {
            return;
        }
        let lost = out || self.log.loses_answer();
        if lost {
            let wait = APPEND_TIMEOUT.as_millis() as u64;
            return self.after(wait, Event::Deliver(life, Input::AppendFailed(append)));
        }
        let delay = self.delay();
        self.after(delay, Event::Deliver(life, Input::Appended { append, offset: 0 }));
    }

    pub(super) fn call_arrives(&mut self, life: Life, call: Call) {
        let effect = self.endpoint(&call.endpoint).call(&call);
        if effect.runs
            && let Some(caller) = self.oracle.caller_of(life, &call)
        {
            self.oracle.runs(caller, &call);
        }
        for (after, event) in effect.events {
            let at = self.now + after;
            self.at(at, Event::Reply { life, call: call.id, event });
        }
    }

    pub(super) fn poll(&mut self, life: Life, stream: Stream) {
        let node = &self.nodes[life.0];
        let Some(machine) = node.machine.as_ref().filter(|_| node.life == life.1) else { return };
        let now_ms = millis(self.now);
        let input = match stream {
            _ if self.log.is_out => Input::ReadFailed(stream),
            Stream::Config => {
                Input::ConfigRead(self.log.config.read(machine.next_config_offset(), now_ms))
            }
            Stream::Claims => {
                Input::ClaimsRead(self.log.claims.read(machine.next_claims_offset(), now_ms))
            }
        };
        let delay = self.delay();
        self.after(delay, Event::Deliver(life, input));
        let next = match stream {
            Stream::Config => Event::PollConfig(life),
            Stream::Claims => Event::PollClaims(life),
        };
        self.at(self.now + POLL + Duration::from_millis(delay), next);
    }

    pub(super) fn poll_list(&mut self, life: Life) {
        self.deliver(life, Input::Listed(self.listing.clone()));
        if self.nodes[life.0].life == life.1 {
            self.at(self.now + POLL * 5, Event::PollList(life));
        }
    }

    pub(super) fn refresh_list(&mut self) {
        let instances = (0..NODES).map(|node| InstanceEntry {
            name: name(node),
            peer_addr: name(node),
            http_addr: name(node),
            data_centre: "north".into(),
            presence: Presence::Live,
        });
        self.listing = Listing {
            instances: instances.collect(),
            endpoints: self.endpoints.iter().map(|endpoint| endpoint.entry.clone()).collect(),
        };
        self.at(self.now + LIST_LAG, Event::RefreshList);
    }
}

/// The endpoints that an instance knows to be leaving, with their lives.
fn leaving(machine: &Instance) -> Vec<(Arc<str>, Incarnation)> {
    let endpoints = machine.status().endpoints.into_iter();
    let leaving = endpoints.filter(|known| known.state.name() == "leaving");
    leaving.map(|known| (known.name, known.incarnation)).collect()
}
