//! What the instance may do, derived from what its endpoints and its peer did.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::RequestKind,
        fingerprint::Fingerprint,
        model::{Action, CallKey, ExchangeKey, HandoverKey, Piece, RunNumber, Step::Answered},
        paths::Reach,
        rollout::Version,
        terms::Rate,
    },
};

use crate::relay::fixture::{Batch, World, ms};

pub const DATA_CENTRES: [&str; 3] = ["east", "west", "north"];

/// The data centre of an endpoint, derived from its name.
pub fn data_centre_of(name: &str) -> &'static str {
    DATA_CENTRES[name.bytes().last().map_or(0, usize::from) % DATA_CENTRES.len()]
}

#[derive(Default)]
pub struct Oracle {
    pub open: HashMap<ExchangeKey, RequestKind>,
    /// Exchanges whose request may have run, at least in part.
    pub ran: HashSet<ExchangeKey>,
    pub calls: Vec<(CallKey, ExchangeKey)>,
    pub endpoint_of: HashMap<CallKey, String>,
    pub incarnations: HashMap<String, u64>,
    pub batches: Vec<Batch>,
    pub leaving: HashSet<String>,
    pub next_event: HashMap<ExchangeKey, u64>,
    pub contents: HashMap<ExchangeKey, Fingerprint>,
    pub quarantined: HashSet<Fingerprint>,
    pub evacuated: HashSet<&'static str>,
    /// Until when an endpoint is cold, and when it was last called while cold.
    pub cold: HashMap<String, (Duration, Option<Duration>)>,
    /// Until when an endpoint is on hold.
    pub on_hold: HashMap<String, Duration>,
    /// The limit that an endpoint states, and the times of its calls since then.
    pub limited: HashMap<String, (Rate, Vec<Duration>)>,
    /// The exchange of each request id.
    pub exchange_of_id: HashMap<Arc<str>, ExchangeKey>,
    /// Exchanges of which pieces may have been made.
    pub made: HashSet<ExchangeKey>,
    /// When the entries of engines disappeared from the directory.
    pub gone: HashMap<String, Duration>,
    /// Requests to the placer. Answered ones stay: an answer may come twice.
    pub placements: Vec<ExchangeKey>,
    /// The number of the last placement.
    pub last_number: RunNumber,
    /// Numbers of placements that the placer has not been told the end of.
    pub placed: HashSet<RunNumber>,
    /// Pieces handed over to the peer. Returned ones stay: an answer may come twice.
    pub handovers: Vec<(HandoverKey, Vec<Piece>)>,
    /// Pieces that the peer handed over and that have not been returned.
    pub tickets: BTreeSet<u64>,
    /// The first attempt of each exchange's stream.
    pub first_attempts: HashMap<ExchangeKey, String>,
    /// The version that wrote the events of each stream, and the last event.
    pub streams: BTreeMap<String, (Version, u64)>,
    /// The version of each call's endpoint.
    pub software: HashMap<CallKey, Version>,
}

/// What the peers answer, by the name of the endpoint.
const REACHES: [Reach; 4] = [Reach::Unreached, Reach::Reached, Reach::CutOff, Reach::Unknown];

/// Time between two calls of a cold endpoint.
pub const COLD_INTERVAL: Duration = Duration::from_millis(150);

impl Oracle {
    pub fn check(&mut self, world: &mut World) {
        let (mut queries, mut asked, mut checks) = (Vec::new(), Vec::new(), Vec::new());
        let (mut answers, mut witnesses) = (Vec::new(), Vec::new());
        for action in std::mem::take(&mut world.actions) {
            match action {
                Action::Quarantined { content, .. } => drop(self.quarantined.insert(content)),
                Action::Released(content) => drop(self.quarantined.remove(&content)),
                Action::QueryAnswered { content, .. } => queries.push(content),
                Action::AskPeers { endpoint, id, own, peers } => {
                    let number = id.name.bytes().map(usize::from).sum::<usize>();
                    let answers = peers.into_iter().map(|peer| (peer, REACHES[number % 4]));
                    asked.push((endpoint, own, answers.collect::<Vec<_>>()));
                }
                Action::CheckPath { endpoint, .. } => checks.push(endpoint),
                Action::CheckAnswer { endpoint, addr } => answers.push((endpoint, addr)),
                Action::AskAnswered { endpoint, peers, .. } => witnesses.push((endpoint, peers)),
                Action::Send(call) => {
                    let content = self.contents.get(&call.exchange);
                    let is_quarantined =
                        content.is_some_and(|content| self.quarantined.contains(content));
                    assert!(!is_quarantined, "sent although it is quarantined");
                    assert!(!self.leaving.contains(&*call.endpoint), "sent to a leaving endpoint");
                    let kind = self.open.get(&call.exchange);
                    let is_repeat = self.ran.contains(&call.exchange);
                    let may_repeat = kind.is_none_or(|kind| kind.is_repeatable());
                    assert!(may_repeat || !is_repeat, "{kind:?} was called again");
                    assert!(call.remaining > Duration::ZERO, "sent although no time is left");
                    assert!(self.open.contains_key(&call.exchange), "sent for an ended exchange");
                    self.check_target(world.now, &call.endpoint);
                    self.endpoint_of.insert(call.key, call.endpoint.to_string());
                    self.software.insert(call.key, call.software.clone());
                    self.calls.push((call.key, call.exchange));
                }
                Action::MakePieces { call, endpoint, addr, pieces, .. } => {
                    let is_quarantined =
                        pieces.iter().any(|piece| self.quarantined.contains(&piece.content));
                    assert!(!is_quarantined, "run although it is quarantined");
                    assert!(!self.leaving.contains(&*endpoint), "run at a leaving endpoint");
                    self.check_target(world.now, &endpoint);
                    self.batches.push(Batch { call, endpoint, addr, pieces });
                }
                Action::Cancel(call) => {
                    self.forget(call);
                    self.batches.retain(|batch| batch.call != call);
                }
                Action::Answer { exchange, .. }
                | Action::FinishStream(exchange)
                | Action::AbortStream(exchange) => self.end(exchange),
                Action::Refuse { exchange, refusal, .. } => {
                    let states_not_run = refusal.status() == 503;
                    assert!(
                        !states_not_run || !self.ran.contains(&exchange),
                        "refused as not run although it may have run"
                    );
                    assert!(
                        !states_not_run || !self.made.contains(&exchange),
                        "refused as not run although pieces may have been made"
                    );
                    assert!(
                        !states_not_run || !self.has_running_pieces(exchange),
                        "refused as not run although pieces are running"
                    );
                    self.end(exchange);
                }
                Action::RequestPlacement { exchange, .. } => {
                    assert!(self.open.contains_key(&exchange), "placed for an ended exchange");
                    self.placements.push(exchange);
                }
                Action::ReportProgress { progress, .. } => {
                    let ended = progress.into_iter().filter(|it| !matches!(it.step, Answered(_)));
                    for it in ended {
                        self.placed.remove(&it.number);
                    }
                }
                Action::HandOverPieces { key, pieces, .. } => self.handovers.push((key, pieces)),
                Action::ReturnResults { ticket, .. } => {
                    assert!(self.tickets.remove(&ticket), "pieces of the peer were returned twice");
                }
                _ => {}
            }
        }
        for (endpoint, own, answers) in asked {
            world.relay.on_path_answers(world.now, endpoint, own, &answers);
            world.collect();
            self.check(world);
        }
        for (endpoint, addr) in answers {
            let has_answered = addr.bytes().map(usize::from).sum::<usize>() % 2 == 0;
            world.relay.on_answer_check(world.now, endpoint, has_answered);
            world.collect();
            self.check(world);
        }
        for (endpoint, peers) in witnesses {
            world.relay.on_silence_answers(world.now, endpoint, &peers);
            world.collect();
            self.check(world);
        }
        for endpoint in checks {
            world.relay.on_path_check(world.now, endpoint, true);
            world.collect();
            self.check(world);
        }
        for content in queries {
            let was_answered = content.0 % 2 == 0;
            world.relay.on_query_result(world.now, content, was_answered);
            world.collect();
            self.check(world);
        }
    }

    /// Checks that an endpoint may be sent something now.
    fn check_target(&mut self, now: Duration, name: &str) {
        assert!(!self.gone.contains_key(name), "sent to an engine that is gone");
        assert!(!self.evacuated.contains(data_centre_of(name)), "sent to an evacuated data centre");
        assert!(
            self.on_hold.get(name).is_none_or(|until| now >= *until),
            "sent to an endpoint on hold"
        );
        if let Some((rate, calls)) = self.limited.get_mut(name) {
            calls.push(now);
            let recent = calls.iter().filter(|at| **at + ms(4000) > now).count();
            // This instance is the only caller, and may make up for one missed slot.
            assert!(recent as f64 <= 4.0 * rate.calls() + 2.0, "{recent} calls at {rate:?}");
        }
        let Some((until, last)) = self.cold.get_mut(name).filter(|(until, _)| now < *until) else {
            return;
        };
        assert!(
            last.is_none_or(|last| now >= last + COLD_INTERVAL),
            "sent to a cold endpoint too early: {until:?}"
        );
        *last = Some(now);
    }

    /// An event is passed on to the caller of an exchange.
    pub fn record_event(&mut self, call: CallKey, exchange: ExchangeKey, event: u64) {
        let Some(first) = self.first_attempts.get(&exchange).cloned() else { return };
        let version = &self.software[&call];
        let (known, last) = self.streams.entry(first).or_insert((version.clone(), 0));
        assert_eq!(known, version, "a stream went on at another version");
        *last = event;
    }

    /// A stream that has brought events, and the last one.
    pub fn stream(&self, pick: u8) -> Option<(String, u64)> {
        let count = self.streams.len().max(1);
        let (first, (_, last)) = self.streams.iter().nth(usize::from(pick) % count)?;
        Some((first.clone(), *last))
    }

    /// The instance ends, and another one takes its place.
    pub fn replace_instance(&mut self) {
        // The other instance uses the same keys again.
        self.open.clear();
        self.ran.clear();
        self.made.clear();
        self.first_attempts.clear();
        self.calls.clear();
        self.batches.clear();
        self.next_event.clear();
        self.exchange_of_id.clear();
        self.on_hold.clear();
        self.limited.clear();
    }

    /// The open calls to an endpoint.
    pub fn calls_at(&self, name: &str) -> Vec<(CallKey, ExchangeKey)> {
        self.calls.iter().filter(|(call, _)| self.endpoint_of[call] == name).copied().collect()
    }

    /// An endpoint restarts; everything that it was sent may have run.
    pub fn restart(&mut self, name: &str) {
        self.leaving.remove(name);
        self.on_hold.remove(name);
        self.limited.remove(name);
        *self.incarnations.entry(name.to_owned()).or_insert(1) += 1;
        let open = self.calls.iter().filter(|(call, _)| self.endpoint_of[call] == name);
        self.ran.extend(open.map(|(_, exchange)| *exchange));
    }

    fn end(&mut self, exchange: ExchangeKey) {
        assert!(self.open.remove(&exchange).is_some(), "an exchange ended twice");
    }

    pub fn call(&self, pick: u8) -> Option<(CallKey, ExchangeKey)> {
        let count = self.calls.len().max(1);
        self.calls.get(usize::from(pick) % count).copied()
    }

    pub fn forget(&mut self, call: CallKey) {
        self.calls.retain(|(other, _)| *other != call);
    }

    /// Records that pieces may have been made.
    pub fn record_made<'a>(&mut self, pieces: impl IntoIterator<Item = &'a Piece>) {
        let exchanges = pieces.into_iter().filter_map(|it| self.exchange_of_id.get(&it.request));
        self.made.extend(exchanges);
    }

    /// Whether pieces of an exchange are at an endpoint.
    fn has_running_pieces(&self, exchange: ExchangeKey) -> bool {
        let pieces = self.batches.iter().flat_map(|batch| &batch.pieces);
        let mut exchanges = pieces.filter_map(|it| self.exchange_of_id.get(&it.request));
        exchanges.any(|key| *key == exchange)
    }

    /// The current incarnation of an endpoint.
    pub fn incarnation(&self, name: &str) -> Incarnation {
        Incarnation(self.incarnations.get(name).copied().unwrap_or(1))
    }
}
