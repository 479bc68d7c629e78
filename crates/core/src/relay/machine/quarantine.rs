//! Requests that crash endpoints: their crashes are detected and reported to the collectors
//! of the content, until all instances stop sending it.

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
        quarantine::{self, Crash, Evidence, QuarantineEntry, QueryOutcome, Suspect},
    },
};

/// Instances that collect the crashes of one content; two, since one may be down.
const CRASH_COLLECTORS: usize = 2;
/// How long cut runs are kept. Within that time the directory reports whether the endpoint
/// has restarted, if the probe of its address did not show it.
const CUT_RETENTION: Duration = Duration::from_secs(5);

/// Runs that were cut at one incarnation of an endpoint.
#[derive(Debug, Default)]
pub(super) struct CutRuns {
    runs: Vec<CutRun>,
    /// Whether a probe of the endpoint is under way.
    is_probed: bool,
    /// When the endpoint was found to have ended.
    gone_at: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct CutRun {
    run: Run,
    at: Duration,
}

impl CutRuns {
    /// Whether the endpoint has ended lately, so that runs that are cut there now ended with
    /// it.
    fn has_ended(&self, now: Duration) -> bool {
        self.gone_at.is_some_and(|at| now < at + CUT_RETENTION)
    }

    /// Records that a probe of the endpoint is under way.
    pub(super) fn mark_probed(&mut self) {
        self.is_probed = true;
    }

    fn add(&mut self, now: Duration, runs: Vec<Run>) {
        self.runs.extend(runs.into_iter().map(|run| CutRun { run, at: now }));
    }
}

impl Relay {
    /// The platform's quarantine table has been read: requests may be admitted.
    pub fn mark_quarantine_read(&mut self) {
        self.is_quarantine_read = true;
    }

    /// All quarantined contents.
    pub fn quarantined(&self) -> impl Iterator<Item = (Fingerprint, &QuarantineEntry)> {
        self.quarantine.all()
    }

    /// The runs that a call is for: that of its exchange, or those of all exchanges whose
    /// pieces it makes.
    pub(super) fn runs_of_call(&self, now: Duration, call: CallKey) -> Vec<Run> {
        let Some(state) = self.calls.get(call) else { return Vec::new() };
        let is_late = state.answered_at.is_some_and(|at| now >= at + quarantine::EARLY_PERIOD);
        let run = |content| Run { content, is_late, is_part: false };
        let is_weak = is_late || state.answered_at.is_none();
        let part = |content| Run { content, is_late: is_weak, is_part: true };
        match state.purpose {
            CallPurpose::Pieces => self.batcher.contents_of(call).into_iter().map(run).collect(),
            CallPurpose::Exchange(key) => {
                let Some(exchange) = self.exchanges.get(key) else { return Vec::new() };
                let parts = exchange.parts.iter().copied().map(part);
                std::iter::once(run(exchange.content)).chain(parts).collect()
            }
        }
    }

    /// Runs were cut at an endpoint. Starts a probe that finds out whether the endpoint has
    /// ended or only lost connections. An endpoint that is leaving is not probed, since it
    /// may end as planned.
    pub(super) fn on_cut(&mut self, now: Duration, endpoint: EndpointKey, runs: Vec<Run>) {
        self.directory.doubt(now, endpoint);
        if self.cut_runs.get(&endpoint).is_some_and(|cuts| cuts.has_ended(now)) {
            self.record_endpoint_end(now, endpoint, runs);
            return;
        }
        let Some(target) = self.directory.get(endpoint).filter(|target| target.is_ready()) else {
            return;
        };
        let addr = target.entry.addr.clone();
        let cuts = self.cut_runs.entry(endpoint).or_default();
        cuts.add(now, runs);
        if !std::mem::replace(&mut cuts.is_probed, true) {
            self.actions.push(Action::Probe { endpoint, addr });
        }
    }

    /// Takes in the result of probing an endpoint that cut runs.
    pub fn on_probe(&mut self, now: Duration, endpoint: EndpointKey, probed: ProbeResult) {
        if !self.cut_runs.contains_key(&endpoint) {
            return;
        }
        if probed == ProbeResult::There {
            self.directory.mark_connected(now, endpoint);
            if !self.paths.has_silent() {
                self.record_connected(now, endpoint);
            }
            self.conclude_probe(now, endpoint, probed);
        } else if !self.ask_peers(now, endpoint, probed) {
            self.conclude_probe(now, endpoint, probed);
        }
    }

    /// Draws the conclusion from the probe of an endpoint. Where peers could be asked, one that
    /// reaches other endpoints has confirmed that this one does not answer.
    pub(super) fn conclude_probe(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        probed: ProbeResult,
    ) {
        let Some(cuts) = self.cut_runs.get_mut(&endpoint) else { return };
        cuts.is_probed = false;
        if probed == ProbeResult::Gone {
            self.directory.mark_gone(now, endpoint);
            self.report_crashes(now, endpoint);
        }
    }

    /// Runs were cut at an endpoint because the path to it is interrupted, not by its end.
    pub(super) fn clear_cut_runs(&mut self, endpoint: EndpointKey) {
        self.cut_runs.remove(&endpoint);
    }

    /// An incarnation of an endpoint has ended without notice, together with these runs. Runs
    /// that are cut there from now on ended with it too.
    pub(super) fn record_endpoint_end(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        runs: Vec<Run>,
    ) {
        self.cut_runs.entry(endpoint).or_default().add(now, runs);
        self.report_crashes(now, endpoint);
    }

    /// Reports runs that were cut just before the end of their endpoint's incarnation as
    /// crashes.
    fn report_crashes(&mut self, now: Duration, key: EndpointKey) {
        let Some(endpoint) = self.directory.get(key).map(|known| known.id()) else { return };
        let cuts = self.cut_runs.entry(key).or_default();
        cuts.gone_at = Some(now);
        let runs = std::mem::take(&mut cuts.runs);
        let recent = runs.into_iter().filter(|cut| now < cut.at + CUT_RETENTION);
        let crash = |CutRun { run: Run { content, is_late, is_part }, at }| Crash {
            content,
            endpoint: endpoint.clone(),
            age: now.saturating_sub(at),
            is_late,
            is_part,
        };
        let crashes = distinct(recent.map(crash));
        if crashes.is_empty() {
            return;
        }
        self.notify_collectors(&crashes);
        self.actions.push(Action::EndpointCrashed { endpoint, crashes: crashes.clone() });
        for crash in &crashes {
            self.on_crash(now, crash);
        }
    }

    /// Takes in a crash that this instance or a peer detected. If the content is quarantined
    /// already, some instance has missed the announcement, so it is sent again.
    pub fn on_crash(&mut self, now: Duration, crash: &Crash) {
        if let Some(QuarantineEntry { crashes, .. }) = self.quarantine.get(crash.content) {
            let (content, crashes) = (crash.content, *crashes);
            self.actions.push(Action::AnnounceQuarantine { content, crashes });
            return;
        }
        let evidence = self.quarantine.add_crash(now, crash);
        self.weigh(now, crash.content, evidence);
    }

    /// Acts on what the crashes of a content show.
    fn weigh(&mut self, now: Duration, content: Fingerprint, evidence: Evidence) {
        match evidence {
            Evidence::Weak => {}
            Evidence::Combined(endpoints) => {
                self.actions.push(Action::CrashesCombined { content, endpoints });
            }
            Evidence::Enough(Suspect { since, .. }) if self.was_answered(content, since) => {
                self.on_query_result(now, content, true);
            }
            Evidence::Enough(Suspect { since, .. }) => {
                self.actions.push(Action::QueryAnswered { content, since });
            }
        }
    }

    /// Whether an endpoint answered this content for this instance since the given time. If
    /// so, the content does not crash what runs it.
    pub fn was_answered(&self, content: Fingerprint, since: Duration) -> bool {
        self.quarantine.was_answered(content, since)
    }

    /// All reachable instances have reported whether an endpoint answered the content for
    /// them since its first crash.
    pub fn on_query_result(&mut self, now: Duration, content: Fingerprint, was_answered: bool) {
        match self.quarantine.finish_query(content, was_answered) {
            QueryOutcome::Unasked => {}
            QueryOutcome::Deferred => {
                let evidence = self.quarantine.evidence(now, content);
                self.weigh(now, content, evidence);
            }
            QueryOutcome::Cleared => self.actions.push(Action::SuspicionCleared(content)),
            QueryOutcome::Guilty(crashes) => {
                self.quarantine_content(now, content, crashes);
                self.actions.push(Action::AnnounceQuarantine { content, crashes });
            }
        }
    }

    /// The platform's table has a record that a content is quarantined.
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

    /// Releases a content on an operator's command. Returns false if it is not quarantined.
    pub fn release_content(&mut self, content: Fingerprint) -> bool {
        let was_quarantined = self.quarantine.release(content).is_some();
        if was_quarantined {
            self.actions.push(Action::Released(content));
            self.actions.push(Action::DeleteQuarantine(content));
        }
        was_quarantined
    }

    /// Deletes the records of contents that no caller has sent for long, and drops old cut
    /// runs.
    pub(super) fn release_expired(&mut self, now: Duration) {
        let expired = self.quarantine.expire(now);
        self.actions.extend(expired.into_iter().map(Action::DeleteQuarantine));
        let directory = &self.directory;
        self.cut_runs.retain(|endpoint, cuts| {
            cuts.runs.retain(|cut| now < cut.at + CUT_RETENTION);
            let is_needed = !cuts.runs.is_empty() || cuts.is_probed || cuts.has_ended(now);
            is_needed && directory.get(*endpoint).is_some()
        });
    }

    /// Announces contents that the platform's table lacks to peers that have joined. Only the
    /// collectors of a content do so.
    pub(super) fn notify_new_peers(&mut self) {
        let unrecorded = self.quarantine.all().filter(|(_, hold)| !hold.is_recorded);
        let unrecorded: Vec<_> =
            unrecorded.map(|(content, hold)| (content, hold.crashes)).collect();
        for (content, crashes) in unrecorded {
            if self.crash_collectors(content).contains(&self.settings.name) {
                self.actions.push(Action::AnnounceQuarantine { content, crashes });
            }
        }
    }

    /// How long an exchange's content remains quarantined; `None` if it may be sent.
    pub(super) fn quarantined_for(&self, now: Duration, key: ExchangeKey) -> Option<Duration> {
        let hold = self.quarantine.get(self.quarantined_fingerprint(key)?)?;
        Some(hold.until.saturating_sub(now))
    }

    /// The fingerprint under which an exchange is quarantined; `None` if it is not.
    fn quarantined_fingerprint(&self, key: ExchangeKey) -> Option<Fingerprint> {
        let mut fingerprints = self.exchanges[key].fingerprints();
        fingerprints.find(|content| self.quarantine.get(*content).is_some())
    }

    /// An endpoint has answered an exchange, or has been answering it for longer than it takes
    /// a content to crash it.
    pub(super) fn record_survival(&mut self, now: Duration, key: ExchangeKey) {
        for part in &self.exchanges[key].parts {
            self.quarantine.record_answer(now, *part);
        }
    }

    /// Refuses an exchange whose content is quarantined.
    pub(super) fn refuse_quarantined(&mut self, now: Duration, key: ExchangeKey) {
        if let Some(content) = self.quarantined_fingerprint(key) {
            self.actions.push(Action::QuarantineHit { exchange: key, content });
            if let Some(crashes) = self.quarantine.record_refusal(now, content) {
                self.actions.push(Action::WriteQuarantine { content, crashes });
            }
        }
        self.give_up(now, key, Refusal::Quarantined);
    }

    /// Quarantines a content.
    pub fn quarantine_content(&mut self, now: Duration, content: Fingerprint, crashes: u32) {
        let jitter = self.rng.random();
        if self.quarantine.add(now, content, crashes, jitter) {
            self.actions.push(Action::Quarantined { content, crashes });
            self.stop_content(now, content);
        }
    }

    /// Stops all work on a content that has not begun to be answered: calls under way, and
    /// queued pieces of this instance and of peers. A stream that has begun continues, since
    /// its endpoint survived the beginning of the run.
    fn stop_content(&mut self, now: Duration, content: Fingerprint) {
        let open = self.exchanges.iter();
        let is_affected = |exchange: &Exchange| {
            exchange.fingerprints().any(|other| other == content) && !exchange.has_sent_head
        };
        let open: Vec<_> = open.filter(|(_, it)| is_affected(it)).map(|(key, _)| key).collect();
        for key in open {
            self.stop_work(now, key);
            self.refuse_quarantined(now, key);
        }
        let waiting = self.batcher.take_content(content);
        self.process_finished(now, waiting);
    }

    /// Reports crashes to the other collectors of their contents, each of which gets those
    /// that it collects.
    fn notify_collectors(&mut self, crashes: &[Crash]) {
        let mut reports: Vec<(InstanceName, Vec<Crash>)> = Vec::new();
        for crash in crashes {
            let own = &self.settings.name;
            for collector in self
                .crash_collectors(crash.content)
                .into_iter()
                .filter(|collector| collector != own)
            {
                match reports.iter_mut().find(|(known, _)| *known == collector) {
                    Some((_, list)) => list.push(crash.clone()),
                    None => reports.push((collector, vec![crash.clone()])),
                }
            }
        }
        let actions =
            reports.into_iter().map(|(peer, crashes)| Action::ReportCrashes { peer, crashes });
        self.actions.extend(actions);
    }

    /// The instances that collect the crashes of a content; this one may be among them.
    fn crash_collectors(&self, content: Fingerprint) -> Vec<InstanceName> {
        let seed = content.0 as u64;
        let rank = |name: &InstanceName| Reverse(xxh3::xxh3_64_with_seed(name.as_bytes(), seed));
        let mut names: Vec<_> = self.peers.iter().map(|peer| &peer.name).collect();
        names.push(&self.settings.name);
        names.sort_by_cached_key(|name| rank(name));
        names.into_iter().take(CRASH_COLLECTORS).cloned().collect()
    }
}

/// A run at an endpoint, as needed to detect crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Run {
    pub(super) content: Fingerprint,
    pub(super) is_late: bool,
    /// Whether `content` identifies a part of prompts.
    pub(super) is_part: bool,
}

/// One crash for each content: several runs at an endpoint may share a part. The strongest
/// evidence counts.
fn distinct(crashes: impl Iterator<Item = Crash>) -> Vec<Crash> {
    let mut distinct: Vec<Crash> = Vec::new();
    for crash in crashes {
        match distinct.iter_mut().find(|known| known.content == crash.content) {
            Some(known) => known.is_late &= crash.is_late,
            None => distinct.push(crash),
        }
    }
    distinct
}
