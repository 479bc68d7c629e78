//! What happens at the site, in the order of time.

use std::{sync::Arc, time::Duration};

use peatdeck_core::relay::{
    directory::{Change, Entry},
    fingerprint::Fingerprint,
    model::{
        Call, CallKey, EndpointId, EndpointKey, ExchangeKey, Failure, Placement, PlacementRequest,
        ProbeResult, Progress,
    },
    paths::Reach,
    quarantine::Crash,
    terms::Notice,
};

use super::{Load, Site, name};
use crate::relay::fixture::not_run;

/// What happens at the site at some time.
pub(super) enum Event {
    Arrive {
        at: usize,
        load: Load,
    },
    Tick(usize),
    Start(usize),
    Run {
        from: usize,
        call: Call,
    },
    Stream {
        from: usize,
        call: CallKey,
        endpoint: Arc<str>,
        number: u64,
        last: u64,
    },
    CrashRun {
        from: usize,
        call: CallKey,
        endpoint: Arc<str>,
    },
    Crash {
        endpoint: Arc<str>,
    },
    Return {
        endpoint: Arc<str>,
    },
    Put {
        to: usize,
        entry: Entry,
    },
    Cut {
        to: usize,
        call: CallKey,
    },
    WrongIncarnation {
        to: usize,
        call: CallKey,
    },
    Unsent {
        to: usize,
        call: CallKey,
        addr: Arc<str>,
    },
    Probed {
        to: usize,
        endpoint: EndpointKey,
        id: EndpointId,
    },
    Reached {
        to: usize,
        endpoint: EndpointKey,
        id: EndpointId,
        own: ProbeResult,
        by: Vec<Arc<str>>,
    },
    PathChecked {
        to: usize,
        endpoint: EndpointKey,
    },
    Place {
        to: usize,
        from: usize,
        exchange: ExchangeKey,
        request: PlacementRequest,
    },
    Placed {
        to: usize,
        by: usize,
        exchange: ExchangeKey,
        placement: Option<Placement>,
    },
    Progress {
        to: usize,
        from: usize,
        progress: Vec<Progress>,
        notices: Vec<Notice>,
    },
    Report {
        to: usize,
        crashes: Vec<Crash>,
    },
    Ask {
        to: usize,
        from: usize,
        content: Fingerprint,
        age: Duration,
    },
    Answered {
        to: usize,
        content: Fingerprint,
    },
    Announce {
        to: usize,
        content: Fingerprint,
        crashes: u32,
    },
}

impl Site {
    pub(super) fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive { at, load } => self.submit(at, load),
            Event::Tick(idx) => {
                self.wakes[idx] = None;
                self.with_relay(idx, |relay| relay.tick(now));
            }
            Event::Start(idx) => self.start(idx),
            Event::Run { from, call } => self.begin(from, &call),
            Event::Stream { from, call, endpoint, number, last } => {
                self.stream(from, call, endpoint, number, last);
            }
            Event::CrashRun { from, call, endpoint } => self.crash_run(from, call, endpoint),
            Event::Crash { endpoint } => self.crash(&endpoint),
            Event::Return { endpoint } => self.bring_back(&endpoint),
            Event::Put { to, entry } => {
                self.with_relay(to, |relay| relay.apply_change(now, Change::Put(entry)));
            }
            Event::Cut { to, call } => {
                self.with_relay(to, |relay| relay.on_call_failure(now, call, Failure::Cut));
            }
            Event::WrongIncarnation { to, call } => {
                self.with_relay(to, |relay| relay.on_reply(now, call, &not_run(421)));
            }
            Event::Unsent { to, call, addr } => self.with_relay(to, |relay| {
                relay.on_connect(now, &addr, false);
                relay.on_call_failure(now, call, Failure::Unsent);
            }),
            Event::Probed { to, endpoint, id } => {
                let result = match self.is_up(&id.name) {
                    true => ProbeResult::There,
                    false => ProbeResult::Gone,
                };
                self.with_relay(to, |relay| relay.on_probe(now, endpoint, result));
            }
            Event::Reached { to, endpoint, id, own, by } => {
                let reach = match self.is_up(&id.name) {
                    true => Reach::Reached,
                    false => Reach::Unreached,
                };
                let answers: Vec<_> = by.into_iter().map(|peer| (peer, reach)).collect();
                self.with_relay(to, |relay| relay.on_path_answers(now, endpoint, own, &answers));
            }
            Event::PathChecked { to, endpoint } => {
                let known = self.relays[to].directory().get(endpoint).map(|it| it.id());
                let is_open = known.is_some_and(|id| self.is_up(&id.name));
                self.with_relay(to, |relay| relay.on_path_check(now, endpoint, is_open));
            }
            Event::Place { to, from, exchange, request } => {
                self.place(to, from, exchange, &request);
            }
            Event::Placed { to, by, exchange, placement } => self.with_relay(to, |relay| {
                relay.on_placement(now, exchange, &name(by), placement);
            }),
            Event::Progress { to, from, progress, notices } => self.with_relay(to, |relay| {
                relay.on_peer_notices(now, &name(from), &notices);
                for one in progress {
                    relay.on_progress(now, one);
                }
            }),
            Event::Report { to, crashes } => self.with_relay(to, |relay| {
                for crash in &crashes {
                    relay.on_crash(now, crash);
                }
            }),
            Event::Ask { to, from, content, age } => self.ask(to, from, content, age),
            Event::Answered { to, content } => self.conclude(to, content),
            Event::Announce { to, content, crashes } => {
                self.with_relay(to, |relay| relay.quarantine_content(now, content, crashes));
            }
        }
    }
}
