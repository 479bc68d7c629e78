//! Handling of events, and of the actions that instances request.

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
    APPEND_TIMEOUT, CONFIG_BOUND, DRAIN_BOUND, Event, LISTING_INTERVAL, NODES, POLL, World, millis,
    name, number,
};
use crate::instances::{endpoints::Endpoint, oracle::Process};

impl World {
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver(process, input) => self.deliver(process, input),
            Event::Wake(process) => self.deliver(process, Input::Tick),
            Event::PollConfig(process) => self.poll(process, Stream::Config),
            Event::PollClaims(process) => self.poll(process, Stream::Claims),
            Event::PollListing(process) => self.poll_listing(process),
            Event::AppendConfig { process, append, record } => {
                let is_out = self.log.is_out;
                if !is_out {
                    self.log.config.append(millis(self.now), record);
                }
                self.end_append(process, append, is_out);
            }
            Event::AppendClaims { process, append, batch } => {
                let is_out = self.log.is_out;
                if !is_out {
                    self.log.claims.append(millis(self.now), batch);
                }
                self.end_append(process, append, is_out);
            }
            Event::DeliverCall { process, call } => self.deliver_call(process, call),
            Event::Reply { process, call, event } => {
                self.deliver(process, Input::Call { call, event });
            }
            Event::OutcomeReply { query, answer } => {
                let Some((process, key, peer)) = self.outcome_queries.remove(&query) else {
                    return;
                };
                let reply = Input::OutcomeTold { key, peer: name(peer), answer: Some(answer) };
                self.deliver(process, reply);
            }
            Event::RefreshListing => self.refresh_listing(),
        }
    }

    pub(super) fn deliver(&mut self, process: Process, input: Input) {
        let node = &mut self.nodes[process.0];
        if node.incarnation != process.1 || node.instance.is_none() {
            return;
        }
        if node.paused_at.is_some() {
            node.inbox.push_back(input);
            return;
        }
        self.handle_input(process, input);
    }

    pub(super) fn handle_input(&mut self, process: Process, input: Input) {
        let node = &mut self.nodes[process.0];
        let Some(instance) = node.instance.as_mut().filter(|_| node.incarnation == process.1)
        else {
            return;
        };
        let mut leaving_before = leaving(instance);
        let local = self.now.saturating_sub(node.started_at);
        let actions = instance.handle(local, input);
        let version = instance.status().version;
        // A listing may contain a new incarnation of an endpoint in the same step.
        leaving_before.retain(|endpoint| leaving(instance).contains(endpoint));
        let document = instance.in_force().map(|snapshot| snapshot.document.clone());
        let wake_at = instance.next_wake().map(|at| node.started_at + at);
        self.oracle.record_version(process, version);
        if let Some(document) = document.filter(|_| version > 0) {
            let versions = self.log.versions();
            assert_eq!(
                document,
                versions[version as usize - 1],
                "{process:?} has another document for this version"
            );
        }
        if let Some(at) =
            wake_at.filter(|at| node.wake_at.is_none_or(|set| *at < set || set <= self.now))
        {
            self.nodes[process.0].wake_at = Some(at);
            self.schedule(at.max(self.now), Event::Wake(process));
        }
        for action in actions {
            if let Action::Call(call) = &action {
                assert!(
                    !leaving_before.iter().any(|(name, _)| *name == call.endpoint),
                    "{process:?} calls a leaving endpoint"
                );
            }
            self.handle_action(process, action);
        }
    }

    pub(super) fn handle_action(&mut self, process: Process, action: Action) {
        let delay = self.delay();
        match action {
            Action::Answer { caller, outcome } => {
                self.oracle.record_outcome(self.now, caller, outcome)
            }
            Action::Stream { caller, text } => self.oracle.record_text(caller, &text),
            Action::Call(call) => {
                self.check_drained(process, &call);
                self.schedule_in(delay, Event::DeliverCall { process, call });
            }
            Action::Cancel(_) => {}
            Action::AppendConfig { append, record } => {
                self.schedule_in(delay, Event::AppendConfig { process, append, record });
            }
            Action::AppendClaims { append, batch } => {
                if self.rng.random_bool(0.05) {
                    let (late, batch) = (self.delay() + 400, batch.clone());
                    let append = AppendId(u64::MAX);
                    self.schedule_in(late, Event::AppendClaims { process, append, batch });
                }
                self.schedule_in(delay, Event::AppendClaims { process, append, batch });
            }
            Action::Gossip { to, message, .. } => {
                let peer = number(&to);
                let input = if self.can_reach(process.0, peer) {
                    Event::Deliver(self.process(peer), Input::Gossip(message))
                } else {
                    Event::Deliver(process, Input::PeerFailed(to))
                };
                self.schedule_in(delay, input);
            }
            Action::AskOutcome { to, key, .. } => {
                let peer = number(&to);
                self.last_id += 1;
                let query = self.last_id;
                let event = if self.can_reach(process.0, peer) {
                    self.outcome_queries.insert(query, (process, key.clone(), peer));
                    Event::Deliver(self.process(peer), Input::OutcomeAsked { question: query, key })
                } else {
                    Event::Deliver(process, Input::OutcomeTold { key, peer: to, answer: None })
                };
                self.schedule_in(delay, event);
            }
            Action::TellOutcome { question, answer } => {
                self.schedule_in(delay, Event::OutcomeReply { query: question, answer });
            }
            Action::Exit => {
                self.answer_unread(process);
                self.oracle.check_exit(process);
                self.nodes[process.0].instance = None;
            }
        }
    }

    /// Answers the requests that an exiting process has received but not read.
    pub(super) fn answer_unread(&mut self, process: Process) {
        for input in std::mem::take(&mut self.nodes[process.0].inbox) {
            if let Input::Submit { caller, request } = input {
                self.oracle.record_outcome(self.now, caller, admit::outcome_after_exit(&request));
            }
        }
    }

    /// Checks that a process does not call an endpoint that has been leaving for longer than
    /// [`DRAIN_BOUND`], counted from when the process started or resumed if that is later.
    pub(super) fn check_drained(&self, process: Process, call: &Call) {
        let endpoint = self.endpoint(&call.endpoint);
        let Some(since) = endpoint.leaving else { return };
        let node = &self.nodes[process.0];
        let since = since.max(node.resumed_at).max(node.started_at);
        assert!(
            self.now <= since + DRAIN_BOUND,
            "{} receives a call {:?} after it began to leave",
            call.endpoint,
            self.now - since
        );
    }

    /// Checks that either all or none of the processes that have been running and connected for
    /// [`CONFIG_BOUND`] have a configuration, which they can receive from peers.
    pub(super) fn check_configured(&self) {
        let stable = self.nodes.iter().filter(|node| {
            let since = node.resumed_at.max(self.healed_at);
            node.paused_at.is_none() && self.now.saturating_sub(CONFIG_BOUND) > since
        });
        let versions = stable.filter_map(|node| Some(node.instance.as_ref()?.status().version));
        let versions: Vec<u64> = versions.collect();
        let configured = versions.iter().filter(|version| **version > 0).count();
        assert!(
            configured == 0 || configured == versions.len(),
            "only some have a configuration: {versions:?}"
        );
    }

    pub(super) fn endpoint(&self, name: &str) -> &Endpoint {
        let mut all = self.endpoints.iter();
        all.find(|endpoint| &*endpoint.entry.name == name)
            .expect("calls are sent to listed endpoints")
    }

    pub(super) fn can_reach(&self, from: usize, to: usize) -> bool {
        self.nodes[to].instance.is_some() && !self.disconnected.contains(&(from, to))
    }

    pub(super) fn end_append(&mut self, process: Process, append: AppendId, is_out: bool) {
        // The second copy of a repeated append, of which the instance expects no acknowledgement.
        if append == AppendId(u64::MAX) {
            return;
        }
        let is_lost = is_out || self.log.loses_ack();
        if is_lost {
            let wait = APPEND_TIMEOUT.as_millis() as u64;
            return self.schedule_in(wait, Event::Deliver(process, Input::AppendFailed(append)));
        }
        let delay = self.delay();
        self.schedule_in(delay, Event::Deliver(process, Input::Appended { append, offset: 0 }));
    }

    pub(super) fn deliver_call(&mut self, process: Process, call: Call) {
        let effect = self.endpoint(&call.endpoint).call(&call);
        if effect.runs
            && let Some(caller) = self.oracle.caller_of(process, &call)
        {
            self.oracle.record_run(caller, &call);
        }
        for (after, event) in effect.events {
            let at = self.now + after;
            self.schedule(at, Event::Reply { process, call: call.id, event });
        }
    }

    pub(super) fn poll(&mut self, process: Process, stream: Stream) {
        let node = &self.nodes[process.0];
        let Some(instance) = node.instance.as_ref().filter(|_| node.incarnation == process.1)
        else {
            return;
        };
        let now_ms = millis(self.now);
        let input = match stream {
            _ if self.log.is_out => Input::ReadFailed(stream),
            Stream::Config => {
                Input::ConfigRead(self.log.config.read(instance.next_config_offset(), now_ms))
            }
            Stream::Claims => {
                Input::ClaimsRead(self.log.claims.read(instance.next_claims_offset(), now_ms))
            }
        };
        let delay = self.delay();
        self.schedule_in(delay, Event::Deliver(process, input));
        let next = match stream {
            Stream::Config => Event::PollConfig(process),
            Stream::Claims => Event::PollClaims(process),
        };
        self.schedule(self.now + POLL + Duration::from_millis(delay), next);
    }

    pub(super) fn poll_listing(&mut self, process: Process) {
        self.deliver(process, Input::Listed(self.listing.clone()));
        if self.nodes[process.0].incarnation == process.1 {
            self.schedule(self.now + POLL * 5, Event::PollListing(process));
        }
    }

    pub(super) fn refresh_listing(&mut self) {
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
        self.schedule(self.now + LISTING_INTERVAL, Event::RefreshListing);
    }
}

/// The endpoints that an instance considers leaving, with their incarnations.
fn leaving(instance: &Instance) -> Vec<(Arc<str>, Incarnation)> {
    let endpoints = instance.status().endpoints.into_iter();
    let leaving = endpoints.filter(|known| known.state.name() == "leaving");
    leaving.map(|known| (known.name, known.incarnation)).collect()
}
