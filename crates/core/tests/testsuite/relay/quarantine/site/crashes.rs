//! What endpoints and instances of the site do as endpoints crash and come back.

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    model::Incarnation,
    relay::model::{Call, CallKey},
};
use rand::Rng;

use super::{
    EVENT_INTERVAL, Load, MAX_ENTRY_DELAY_MS, Site, TIME_TO_ANSWER, TIME_TO_CRASH, events::Event,
};
use crate::relay::fixture::{head, ms};

impl Site {
    pub(super) fn begin(&mut self, from: usize, call: &Call) {
        let (now, number) = (self.now, self.sequence);
        let endpoint = self.endpoints.get_mut(&call.endpoint).unwrap();
        if !endpoint.is_up {
            let addr = call.addr.clone();
            self.after(ms(1), Event::Unsent { to: from, call: call.key, addr });
            return;
        }
        let directory = self.relays[from].directory();
        let expected = directory.by_name(&call.endpoint).and_then(|key| directory.get(key));
        if expected.map(|it| it.id().incarnation) != Some(endpoint.entry.incarnation) {
            self.after(ms(1), Event::WrongIncarnation { to: from, call: call.key });
            return;
        }
        endpoint.runs.insert((from, number), call.key);
        let load = self.loads.get(&(from, call.exchange)).copied();
        let (key, endpoint) = (call.key, call.endpoint.clone());
        if load.is_some_and(Load::is_deadly) {
            let crash = Event::CrashRun { from, call: key, endpoint: endpoint.clone() };
            self.schedule(now + TIME_TO_ANSWER + TIME_TO_CRASH, crash);
        }
        let last = match load {
            Some(Load::Repeated) => 1,
            _ => self.rng.random_range(3..35),
        };
        self.after(TIME_TO_ANSWER, Event::Stream { from, call: key, endpoint, number: 1, last });
    }

    fn is_running(&self, from: usize, call: CallKey, endpoint: &str) -> bool {
        let runs = &self.endpoints[endpoint].runs;
        runs.iter().any(|((instance, _), key)| *instance == from && *key == call)
    }

    pub(super) fn stream(
        &mut self,
        from: usize,
        call: CallKey,
        endpoint: Arc<str>,
        number: u64,
        last: u64,
    ) {
        if !self.is_running(from, call, &endpoint) {
            return;
        }
        let now = self.now;
        if number > last {
            let runs = &mut self.endpoints.get_mut(&endpoint).unwrap().runs;
            runs.retain(|(instance, _), key| *instance != from || *key != call);
            self.with_relay(from, |relay| relay.on_stream_end(now, call));
            return;
        }
        self.with_relay(from, |relay| {
            if number == 1 {
                relay.on_reply_head(now, call, &head(200));
            }
            relay.on_stream_event(now, call, Some(number));
        });
        let number = number + 1;
        self.after(EVENT_INTERVAL, Event::Stream { from, call, endpoint, number, last });
    }

    /// A deadly request crashes its endpoint and is answered by none.
    pub(super) fn crash_run(&mut self, from: usize, call: CallKey, endpoint: Arc<str>) {
        if !self.is_running(from, call, &endpoint) {
            return;
        }
        self.outcome.crashed.push(self.now);
        self.crash(&endpoint);
        let back = ms(1500).mul_f64(1.0 + self.rng.random::<f64>());
        self.after(back, Event::Return { endpoint });
    }

    pub(super) fn crash(&mut self, name: &str) {
        let endpoint = self.endpoints.get_mut(name).unwrap();
        endpoint.is_up = false;
        let runs = std::mem::take(&mut endpoint.runs);
        for ((to, _), call) in runs {
            let delay = Duration::from_micros(self.rng.random_range(100..3000));
            self.after(delay, Event::Cut { to, call });
        }
    }

    pub(super) fn bring_back(&mut self, name: &str) {
        let endpoint = self.endpoints.get_mut(name).unwrap();
        if endpoint.is_up {
            return;
        }
        endpoint.is_up = true;
        endpoint.entry.incarnation = Incarnation(endpoint.entry.incarnation.0 + 1);
        let entry = endpoint.entry.clone();
        for to in 0..self.relays.len() {
            let delay = ms(self.rng.random_range(1..MAX_ENTRY_DELAY_MS));
            self.after(delay, Event::Put { to, entry: entry.clone() });
        }
    }
}
