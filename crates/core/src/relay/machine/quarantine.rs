//! Requests that crash what runs them: their crashes are noticed, told to the
//! content's keepers, and end in nobody sending them any more.

use std::{cmp::Reverse, time::Duration};

use rand::Rng;
use xxhash_rust::xxh3;

use crate::{
    model::InstanceName,
    relay::{
        exchange::{CallPurpose, Exchange},
        fingerprint::Fingerprint,
        machine::Relay,
        model::{Action, CallKey, EndpointKey, ExchangeKey, ProbeResult, Refusal},
        quarantine::{self, Crash, QuarantineEntry, Suspect},
    },
};

/// Instances that the crashes of one content are told to: one may be gone.
const KEEPERS: usize = 2;
/// Cuts are remembered for so long: by then the directory has told whether the
/// endpoint has started again, where the address itself did not show it.
const REMEMBERED: Duration = Duration::from_secs(5);

/// Runs that were cut at one life of an endpoint.
#[derive(Debug, Default)]
pub(super) struct Cuts {
    runs: Vec<Cut>,
    /// Whether the endpoint is being asked whether it is there.
    is_probed: bool,
    /// When it was found to have ended.
    gone: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Cut {
    content: Fingerprint,
    at: Duration,
    is_late: bool,
}

impl Cuts {
    /// Whether the endpoint has just ended: what is cut there now ended with it.
    fn is_gone(&self, now: Duration) -> bool {
        self.gone.is_some_and(|at| now < at + REMEMBERED)
    }

    fn add(&mut self, now: Duration, runs: Vec<Run>) {
        let cut = |run: Run| Cut { content: run.content, at: now, is_late: run.is_late };
        self.runs.extend(runs.into_iter().map(cut));
    }
}

impl Relay {
    /// The platform's table of contents that are held back has been read: requests
    /// may be sent.
    pub fn mark_quarantine_read(&mut self) {
        self.knows_quarantine = true;
    }

    /// Everything that is held back.
    pub fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, &QuarantineEntry)> {
        self.quarantine.all()
    }

    /// The runs that a call is for: one, or those of all whose pieces it has.
    pub(super) fn runs_of(&self, now: Duration, call: CallKey) -> Vec<Run> {
        let Some(state) = self.calls.get(call) else { return Vec::new() };
        let is_late = state.answered_at.is_some_and(|at| now >= at + quarantine::EARLY_PERIOD);
        let run = |content| Run { content, is_late };
        match state.exchange {
            CallPurpose::Pieces => self.batches.contents_of(call).into_iter().map(run).collect(),
            CallPurpose::Exchange(key) => {
                self.exchanges.get(key).map(|it| run(it.content)).into_iter().collect()
            }
        }
    }

    /// Runs were cut at an endpoint. Whether it has ended or only lost connections is
    /// found out next. One that is leaving may end as planned.
    pub(super) fn note_cut(&mut self, now: Duration, endpoint: EndpointKey, runs: Vec<Run>) {
        if self.cuts.get(&endpoint).is_some_and(|cuts| cuts.is_gone(now)) {
            self.note_end(now, endpoint, runs);
            return;
        }
        let Some(known) = self.directory.get(endpoint).filter(|known| known.is_ready()) else {
            return;
        };
        let addr = known.entry.addr.clone();
        let cuts = self.cuts.entry(endpoint).or_default();
        cuts.add(now, runs);
        if !std::mem::replace(&mut cuts.is_probed, true) {
            self.actions.push(Action::Probe { endpoint, addr });
        }
    }

    /// A new connection told whether an endpoint that cut runs is there.
    pub fn on_probe(&mut self, now: Duration, endpoint: EndpointKey, probed: ProbeResult) {
        let Some(cuts) = self.cuts.get_mut(&endpoint) else { return };
        cuts.is_probed = false;
        if probed == ProbeResult::Gone {
            self.directory.mark_gone(now, endpoint);
            self.take_crashes(now, endpoint);
        }
    }

    /// A life of an endpoint has ended without notice, and these runs with it. So have
    /// those that are cut there from now on.
    pub(super) fn note_end(&mut self, now: Duration, endpoint: EndpointKey, runs: Vec<Run>) {
        self.cuts.entry(endpoint).or_default().add(now, runs);
        self.take_crashes(now, endpoint);
    }

    /// Runs that were cut just before their endpoint's life ended are crashes.
    fn take_crashes(&mut self, now: Duration, endpoint: EndpointKey) {
        let Some(life) = self.directory.get(endpoint).map(|known| known.id()) else { return };
        let cuts = self.cuts.entry(endpoint).or_default();
        cuts.gone = Some(now);
        let runs = std::mem::take(&mut cuts.runs);
        let recent = runs.into_iter().filter(|cut| now < cut.at + REMEMBERED);
        let crash = |Cut { content, at, is_late }| Crash {
            content,
            endpoint: life.clone(),
            age: now.saturating_sub(at),
            is_late,
        };
        let crashes: Vec<_> = recent.map(crash).collect();
        if crashes.is_empty() {
            return;
        }
        self.tell_keepers(&crashes);
        self.actions.push(Action::EndpointCrashed { endpoint: life, crashes: crashes.clone() });
        for crash in &crashes {
            self.on_crash(now, crash);
        }
    }

    /// Takes in a crash, seen here or by a peer. Where the content is held back already,
    /// somebody has not heard of it: all are told again.
    pub fn on_crash(&mut self, now: Duration, crash: &Crash) {
        if let Some(QuarantineEntry { crashes, .. }) = self.quarantine.get(crash.content) {
            let (content, crashes) = (crash.content, *crashes);
            self.actions.push(Action::AnnounceQuarantine { content, crashes });
            return;
        }
        let Some(Suspect { content, since }) = self.quarantine.add_crash(now, crash) else {
            return;
        };
        match self.was_answered(content, since) {
            true => self.on_consultation(now, content, true),
            false => self.actions.push(Action::QueryAnswered { content, since }),
        }
    }

    /// Whether this instance had a content answered since a time: it is no poison
    /// then.
    pub fn was_answered(&self, content: Fingerprint, since: Duration) -> bool {
        self.quarantine.was_answered(content, since)
    }

    /// All instances that could be asked have said whether they had a content answered
    /// meanwhile.
    pub fn on_consultation(&mut self, now: Duration, content: Fingerprint, was_answered: bool) {
        if was_answered {
            self.actions.push(Action::SuspicionCleared(content));
        }
        if let Some(crashes) = self.quarantine.finish_query(content, was_answered) {
            self.quarantine_content(now, content, crashes);
            self.actions.push(Action::AnnounceQuarantine { content, crashes });
        }
    }

    /// The platform's table says that a content is held back.
    pub fn on_quarantine_record(&mut self, now: Duration, content: Fingerprint, crashes: u32) {
        self.quarantine_content(now, content, crashes);
        self.quarantine.note_recorded(content);
    }

    /// The platform's table has no record of a content any more.
    pub fn on_quarantine_removal(&mut self, content: Fingerprint) {
        if self.quarantine.release(content).is_some() {
            self.actions.push(Action::Released(content));
        }
    }

    /// An operator releases a content. False if it is not held back.
    pub fn release_content(&mut self, content: Fingerprint) -> bool {
        let is_held = self.quarantine.release(content).is_some();
        if is_held {
            self.actions.push(Action::Released(content));
            self.actions.push(Action::DeleteQuarantine(content));
        }
        is_held
    }

    /// Has the records removed of contents that nobody sends any more.
    pub(super) fn release_old(&mut self, now: Duration) {
        let over = self.quarantine.expire(now);
        self.actions.extend(over.into_iter().map(Action::DeleteQuarantine));
        let directory = &self.directory;
        self.cuts.retain(|endpoint, cuts| {
            cuts.runs.retain(|cut| now < cut.at + REMEMBERED);
            let is_needed = !cuts.runs.is_empty() || cuts.is_probed || cuts.is_gone(now);
            is_needed && directory.get(*endpoint).is_some()
        });
    }

    /// Peers have joined. Where the platform's table lacks what is held back, they are
    /// told by the content's keepers.
    pub(super) fn tell_joined(&mut self) {
        let unrecorded = self.quarantine.all().filter(|(_, hold)| !hold.is_recorded);
        let unrecorded: Vec<_> =
            unrecorded.map(|(content, hold)| (content, hold.crashes)).collect();
        for (content, crashes) in unrecorded {
            if self.keepers(content).contains(&self.settings.name) {
                self.actions.push(Action::AnnounceQuarantine { content, crashes });
            }
        }
    }

    /// How long an exchange's content is held back; `None` if it may be sent.
    pub(super) fn held_for(&self, now: Duration, key: ExchangeKey) -> Option<Duration> {
        let hold = self.quarantine.get(self.exchanges[key].content)?;
        Some(hold.until.saturating_sub(now))
    }

    /// Refuses an exchange whose content is held back.
    pub(super) fn refuse_held(&mut self, now: Duration, key: ExchangeKey) {
        let content = self.exchanges[key].content;
        if let Some(crashes) = self.quarantine.record_refusal(now, content) {
            self.actions.push(Action::WriteQuarantine { content, crashes });
        }
        self.give_up(now, key, Refusal::Quarantined);
    }

    /// Holds a content back from now on.
    pub fn quarantine_content(&mut self, now: Duration, content: Fingerprint, crashes: u32) {
        let jitter = self.rng.random();
        if self.quarantine.add(now, content, crashes, jitter) {
            self.actions.push(Action::Quarantined { content, crashes });
            self.stop_runs(now, content);
        }
    }

    /// Whatever this instance has of a content is given up, before it gets to an
    /// endpoint: calls under way, pieces that wait, for itself and for peers. A stream
    /// that has begun has got over its beginning and goes on.
    fn stop_runs(&mut self, now: Duration, content: Fingerprint) {
        let open = self.exchanges.iter();
        let is_held = |exchange: &Exchange| exchange.content == content && !exchange.has_sent_head;
        let open: Vec<_> = open.filter(|(_, it)| is_held(it)).map(|(key, _)| key).collect();
        for key in open {
            self.stop_work(now, key);
            self.refuse_held(now, key);
        }
        let waiting = self.batches.take_content(content);
        self.take_finished(now, waiting);
    }

    /// The other instances that count the crashes of a content, each told of those
    /// that concern it.
    fn tell_keepers(&mut self, crashes: &[Crash]) {
        let mut told: Vec<(InstanceName, Vec<Crash>)> = Vec::new();
        for crash in crashes {
            let own = &self.settings.name;
            for keeper in self.keepers(crash.content).into_iter().filter(|keeper| keeper != own) {
                match told.iter_mut().find(|(known, _)| *known == keeper) {
                    Some((_, list)) => list.push(crash.clone()),
                    None => told.push((keeper, vec![crash.clone()])),
                }
            }
        }
        let actions =
            told.into_iter().map(|(peer, crashes)| Action::ReportCrashes { peer, crashes });
        self.actions.extend(actions);
    }

    /// The instances that count the crashes of a content, this one or others.
    fn keepers(&self, content: Fingerprint) -> Vec<InstanceName> {
        let seed = content.0 as u64;
        let rank = |name: &InstanceName| Reverse(xxh3::xxh3_64_with_seed(name.as_bytes(), seed));
        let mut names: Vec<_> = self.peers.iter().map(|peer| &peer.name).collect();
        names.push(&self.settings.name);
        names.sort_by_cached_key(|name| rank(name));
        names.into_iter().take(KEEPERS).cloned().collect()
    }
}

/// A run at an endpoint, as far as crashes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Run {
    pub(super) content: Fingerprint,
    pub(super) is_late: bool,
}
