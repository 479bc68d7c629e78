//! One log line for each decision that concerns a request or changes this
//! instance's view of endpoints and contents.

use std::time::Duration;

use peatdeck_core::relay::{
    ExchangeSummary,
    model::{Action, Call, EndpointId, Failure, Refusal, ReplyHead},
    quarantine::Crash,
    rollout::RolloutRecord,
    terms::Rate,
};
use peatdeck_util::logging;

use crate::pool::ConnectionUse;

/// Logs a line, and with the condition one that the limit on lines drops last.
macro_rules! log_kept {
    ($is_kept:expr, $($field:tt)*) => {
        if $is_kept {
            tracing::info!(target: logging::KEPT_TARGET, $($field)*);
        } else {
            tracing::info!($($field)*);
        }
    };
}

/// Crashed runs that a log line names; a busy endpoint has dozens.
const MAX_NAMED: usize = 12;

/// Version and age of the configuration that an instance decided by.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigState {
    /// Version of the configuration; 0 if the instance has none.
    pub version: u64,
    /// Time since the copies of configuration and directory were last compared with
    /// the platform's store; `None` if they never were.
    pub age: Option<Duration>,
}

/// Logs that a request was admitted.
pub fn log_admitted(id: &str, summary: &ExchangeSummary, config: ConfigState) {
    tracing::info!(
        event = "arrive",
        id,
        route = &*summary.route,
        service = &*summary.service,
        team = summary.team.as_deref(),
        content = %summary.content,
        parts = (!summary.parts.is_empty()).then(|| part_names(&summary.parts)),
        wait_ms = millis(summary.wait),
        pieces = ?summary.pieces,
        resume = summary.resume,
        first_attempt = summary.first_attempt.as_deref(),
        version = config.version,
        age_ms = config.age.map(millis),
    );
}

/// The first [`MAX_NAMED`] parts of a prompt, for a log line.
fn part_names(parts: &[u64]) -> String {
    let names = parts.iter().take(MAX_NAMED).map(|part| format!("{part:x}"));
    names.collect::<Vec<_>>().join(" ")
}

/// Logs an action of the machine. `id` is the id that the caller gave its request,
/// empty if the action concerns none.
pub fn log_action(action: &Action, id: &str, config: ConfigState) {
    match action {
        Action::Send(call) => log_send(call, id),
        Action::Cancel(call) => tracing::info!(event = "cancel", call = ?call),
        Action::Answer { .. } => tracing::info!(event = "answer", id),
        Action::BeginStream { .. } => tracing::info!(event = "begin", id),
        Action::FinishStream(_) => tracing::info!(event = "finish", id),
        Action::AbortStream(_) => tracing::warn!(event = "break", id),
        Action::Refuse { refusal, retry_after, .. } => {
            let retry_ms = retry_after.map(|after| after.as_millis() as u64);
            log_refusal(id, *refusal, retry_ms, config);
        }
        Action::MakePieces { call, endpoint, pieces, .. } => {
            let requests: Vec<_> = pieces
                .iter()
                .map(|piece| format!("{}/{}/{}", piece.request, piece.stage, piece.number))
                .collect();
            let (endpoint, requests) = (&**endpoint, requests.join(" "));
            let service = pieces.first().map(|piece| &*piece.service);
            tracing::info!(event = "make", call = ?call, endpoint, service, pieces = requests);
        }
        Action::HandOverPieces { key, peer, pieces } => {
            let stage = pieces.first().map_or(0, |piece| piece.stage);
            let count = pieces.len();
            tracing::info!(event = "hand_over", id, handover = ?key, peer = &**peer, stage, count);
        }
        Action::RequestPlacement { peer, .. } => {
            tracing::debug!(event = "ask_place", peer = &**peer)
        }
        Action::RecordStreams { peer, records } => {
            tracing::debug!(event = "record_streams", peer = &**peer, count = records.len());
        }
        Action::AskOrigin { peers, .. } => {
            tracing::debug!(event = "ask_origin", count = peers.len());
        }
        Action::OriginKnown { version, source, age, .. } => {
            let (version, age_ms) = (version.as_deref(), millis(*age));
            tracing::info!(event = "origin", id, version, source = source.name(), age_ms);
        }
        Action::ReadOrigins => tracing::debug!(event = "read_origins"),
        Action::ReadVersions => tracing::debug!(event = "read_versions"),
        Action::LogStreams(records) => {
            tracing::debug!(event = "log_streams", count = records.len());
        }
        Action::ListVersions { service, versions, .. } => {
            tracing::info!(event = "list_versions", service = &**service, versions = ?versions);
        }
        Action::PruneVersions { service, versions } => {
            tracing::info!(event = "prune_versions", service = &**service, versions = ?versions);
        }
        Action::Disconnect(addr) => tracing::info!(event = "disconnect", addr = &**addr),
        Action::ListParts { addr, .. } => {
            tracing::debug!(event = "list_parts", addr = &**addr);
        }
        Action::Probe { addr, .. } => tracing::debug!(event = "probe", addr = &**addr),
        Action::AskPeers { id, .. } => {
            tracing::debug!(event = "path_question", endpoint = &*id.name);
        }
        Action::CheckAnswer { addr, .. } => {
            tracing::debug!(event = "silence_check", addr = &**addr);
        }
        Action::AskAnswered { id, .. } => {
            tracing::debug!(event = "silence_question", endpoint = &*id.name);
        }
        Action::CheckPath { addr, .. } => tracing::debug!(event = "path_check", addr = &**addr),
        Action::CutOff(is_cut_off) => tracing::warn!(event = "cut_off", is_cut_off),
        Action::PathChanged { endpoint, is_open, unreachable, ready } => {
            let endpoint = &**endpoint;
            tracing::warn!(event = "path", endpoint, open = is_open, unreachable, ready);
        }
        Action::EndpointCrashed { endpoint, crashes } => log_crash(endpoint, crashes),
        Action::ReportCrashes { peer, crashes } => {
            tracing::debug!(event = "accuse", peer = &**peer, count = crashes.len());
        }
        Action::QueryAnswered { content, .. } => {
            tracing::info!(event = "quarantine_considered", %content);
        }
        Action::SuspicionCleared(content) => tracing::info!(event = "quarantine_dropped", %content),
        Action::CrashesCombined { content, endpoints } => {
            tracing::info!(event = "crashes_combined", %content, endpoints);
        }
        Action::Quarantined { content, crashes } => {
            tracing::warn!(event = "quarantined", %content, crashes);
        }
        Action::QuarantineHit { content, .. } => {
            tracing::info!(event = "quarantine_hit", id, %content);
        }
        Action::AnnounceQuarantine { content, .. } => {
            tracing::debug!(event = "quarantine_told", %content)
        }
        Action::WriteQuarantine { content, .. } => {
            tracing::debug!(event = "quarantine_renewed", %content)
        }
        Action::DeleteQuarantine(content) => tracing::info!(event = "quarantine_ends", %content),
        Action::Released(content) => tracing::warn!(event = "quarantine_over", %content),
        Action::EndpointsSuspended(names) => {
            tracing::info!(event = "endpoints_suspended", count = names.len(), names = ?names);
        }
        Action::EndpointLeaving { endpoint, source } => {
            let source = source.as_deref();
            tracing::info!(event = "endpoint_leaves", endpoint = &**endpoint, source);
        }
        Action::EndpointLimit { endpoint, limit, source } => {
            let (limit, source) = (limit.map(Rate::calls), source.as_deref());
            tracing::info!(event = "endpoint_limit", endpoint = &**endpoint, limit, source);
        }
        Action::AnnounceQueue { peer, service } => {
            tracing::debug!(event = "queue_told", peer = &**peer, service = &**service);
        }
        Action::ReportProgress { peer, progress, .. } => {
            tracing::debug!(event = "report", peer = &**peer, count = progress.len());
        }
        Action::RecallPieces(key) => tracing::info!(event = "recall", handover = ?key),
        Action::ReturnResults { ticket, results } => {
            let failures: Vec<_> = results.iter().filter_map(|it| it.as_ref().err()).collect();
            let count = results.len();
            tracing::info!(event = "return", ticket, count, failures = ?failures);
        }
        Action::FreeViaPeer { peer, handles, is_evictable } => {
            let count = handles.len();
            tracing::debug!(event = "free_through", peer = &**peer, count, is_spare = is_evictable);
        }
        Action::ReportEvidence { peer, evidence } => {
            tracing::debug!(event = "evidence", peer = &**peer, service = &*evidence.service);
        }
        Action::WriteRollout(record) => log_rollout(record),
        Action::RolloutHalted { service, reason } => {
            tracing::warn!(event = "rollout_halted", service = &**service, reason = &**reason);
        }
        Action::FreeResults { addr, handles } => {
            tracing::debug!(event = "free", addr = &**addr, count = handles.len());
        }
    }
}

/// Logs that a request was refused. `retry_ms` is the delay that the caller is given.
pub fn log_refusal(id: &str, refusal: Refusal, retry_ms: Option<u64>, config: ConfigState) {
    let (reason, status) = (refusal.name(), refusal.status());
    let (version, age_ms) = (config.version, config.age.map(millis));
    tracing::warn!(event = "refuse", id, reason, status, retry_ms, version, age_ms);
}

/// Logs the head of an endpoint's reply; `took_ms` is the time since the call was sent.
/// `connection` is what its connection had carried before, unless a peer made the call.
pub fn log_reply(
    id: &str,
    call: &Call,
    head: &ReplyHead,
    connection: Option<ConnectionUse>,
    took_ms: u64,
) {
    let endpoint = &*call.endpoint;
    let load = head.load.map(|load| format!("{},{},{}", load.running, load.queued, load.places));
    let terms = &head.terms;
    log_kept!(
        !call.may_repeat,
        event = "reply",
        id,
        endpoint,
        status = head.status,
        unrun = head.is_not_run,
        conn_age_ms = connection.map(|it| millis(it.age)),
        conn_calls = connection.map(|it| it.calls),
        conn_had_id = connection.map(|it| it.had_id),
        load,
        limit = terms.limit.map(Rate::calls),
        max_refusals = terms.max_refusals,
        leaving = terms.is_leaving.then_some(true),
        rest_ms = terms.hold.map(millis),
        took_ms
    );
    if head.is_not_run && !call.may_repeat {
        log_not_run(id, call, head.status, connection, took_ms);
    }
}

/// Logs that an endpoint says that it did not run a request that must run once, so that another
/// endpoint may be called.
fn log_not_run(
    id: &str,
    call: &Call,
    status: u16,
    connection: Option<ConnectionUse>,
    took_ms: u64,
) {
    tracing::warn!(
        event = "not_run",
        id,
        call = ?call.key,
        endpoint = &*call.endpoint,
        peer = call.via.as_ref().map(|detour| &*detour.peer),
        attempt = call.attempt,
        status,
        conn_age_ms = connection.map(|it| millis(it.age)),
        conn_calls = connection.map(|it| it.calls),
        conn_had_id = connection.map(|it| it.had_id),
        took_ms
    );
}

/// Logs the head of a reply to a call that this instance makes for a peer.
pub fn log_detour_reply(id: Option<&str>, endpoint: &str, status: u16, connection: ConnectionUse) {
    tracing::info!(
        event = "detour_reply",
        id,
        endpoint,
        status,
        conn_age_ms = millis(connection.age),
        conn_calls = connection.calls,
        conn_had_id = connection.had_id,
    );
}

/// Logs a call that failed before its reply was complete.
pub fn log_failure(id: &str, endpoint: &str, failure: Failure, cause: &str, took_ms: u64) {
    tracing::warn!(event = "call_failed", id, endpoint, failure = ?failure, cause, took_ms);
}

/// Logs that an endpoint crashed, with the first [`MAX_NAMED`] contents that it ran.
fn log_crash(endpoint_id: &EndpointId, crashes: &[Crash]) {
    let run = |crash: &Crash| match crash.is_late {
        true => format!("{} (late)", crash.content),
        false => crash.content.to_string(),
    };
    let named: Vec<_> = crashes.iter().take(MAX_NAMED).map(run).collect();
    let (endpoint, incarnation) = (&*endpoint_id.name, endpoint_id.incarnation.0);
    let (count, runs) = (crashes.len(), named.join(" "));
    tracing::warn!(event = "endpoint_crashed", endpoint, incarnation, count, runs);
}

/// Logs a phase of a rollout that this instance has decided on.
fn log_rollout(record: &RolloutRecord) {
    tracing::warn!(
        event = "rollout_decided",
        service = &*record.service,
        version = &*record.destination,
        baseline = record.baseline.as_deref(),
        phase = ?record.phase,
        age_ms = millis(record.age),
        reason = &*record.reason,
    );
}

fn log_send(call: &Call, id: &str) {
    log_kept!(
        !call.may_repeat,
        event = "send",
        id,
        call = ?call.key,
        endpoint = &*call.endpoint,
        software = &*call.software,
        attempt = call.attempt,
        left_ms = millis(call.remaining),
        inputs = call.inputs.len(),
        resume = call.resume,
        version = call.basis.version,
        calls = call.basis.calls,
        load_age_ms = call.basis.load_age.map(millis),
        tokens = call.basis.tokens,
        source = call.source.as_deref(),
        usable = call.basis.usable,
    );
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
