//! The platform's log service, over HTTP.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, UNIX_EPOCH},
};

use bpaf::Bpaf;
use ntex::{
    http::StatusCode,
    web::{self, HttpRequest, HttpResponse, types},
};
use peatdeck_macros::{data, message};
use peatdeck_util::clock::{Clock, SystemClock};
use peatdeck_wire::platform::{AppendBody, AppendReply, ReadReply};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{sync::Notify, time};

use crate::{
    faults::{LogFaults, LoseBy},
    rate::TokenBucket,
    reply,
    streams::{Retention, StreamState, Streams},
};

/// Maximum number of records that one read returns.
const MAX_READ_RECORDS: usize = 10_000;
/// Longest time that one read waits for a record.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Settings of the log service.
#[data]
#[derive(Bpaf)]
pub struct Settings {
    /// How long a record is kept, in milliseconds
    #[bpaf(
        long("retain-ms"),
        env("PEATDECK_RETAIN_MS"),
        argument("MS"),
        fallback(3_600_000),
        display_fallback
    )]
    pub retain_ms: u64,
    /// Number of records kept for each stream
    #[bpaf(
        long("retain-count"),
        env("PEATDECK_RETAIN_COUNT"),
        argument("N"),
        fallback(1_000_000),
        display_fallback
    )]
    pub retain_count: usize,
    /// Appends per second, over all streams; 0 for no limit
    #[bpaf(long("rate"), env("PEATDECK_RATE"), argument("N"), fallback(500), display_fallback)]
    pub rate: u32,
    /// Appends accepted in a burst before the rate limit applies
    #[bpaf(long("burst"), env("PEATDECK_BURST"), argument("N"), fallback(100), display_fallback)]
    pub burst: u32,
}

/// Body of `GET /control/state`.
#[message]
pub struct LogState {
    /// Oldest and next offset of each stream.
    pub streams: BTreeMap<Arc<str>, StreamState>,
    /// Numbers of appends and reads by outcome.
    pub counts: Counts,
    /// Faults that are set.
    pub faults: LogFaults,
}

/// Numbers of appends and reads by outcome, since the start.
#[message]
#[derive(Copy, Default)]
pub struct Counts {
    /// Appends acknowledged.
    pub appended: u64,
    /// Appends that took effect without an acknowledgement.
    pub lost: u64,
    /// Appends dropped by a fault, without effect.
    pub dropped: u64,
    /// Appends refused because of the rate limit.
    pub limited: u64,
    /// Appends and reads rejected by a fault.
    pub rejected: u64,
    /// Reads answered.
    pub reads: u64,
    /// Reads that currently wait for a record.
    pub waiting: u64,
}

/// The log service: its streams, rate limit and faults.
#[derive(Debug)]
pub struct Log {
    clock: SystemClock,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    streams: Streams,
    bucket: TokenBucket,
    faults: LogFaults,
    random: SmallRng,
    counts: Counts,
}

/// A read that waits for a record; it is counted as waiting until it is dropped.
struct WaitingRead<'a>(&'a Log);

impl<'a> WaitingRead<'a> {
    fn new(log: &'a Log) -> WaitingRead<'a> {
        reply::lock(&log.state).counts.waiting += 1;
        WaitingRead(log)
    }
}

impl Drop for WaitingRead<'_> {
    fn drop(&mut self) {
        reply::lock(&self.0.state).counts.waiting -= 1;
    }
}

/// What happens to one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AppendOutcome {
    Acknowledge,
    Lose,
    Drop,
}

#[message]
struct ReadQuery {
    #[serde(default)]
    from: u64,
    #[serde(default = "default_max")]
    max: usize,
    #[serde(default)]
    wait_ms: u64,
}

fn default_max() -> usize {
    MAX_READ_RECORDS
}

impl Log {
    /// Creates a log without streams.
    pub fn new(settings: &Settings) -> Arc<Log> {
        let age = Duration::from_millis(settings.retain_ms);
        let retention = Retention { age, count: settings.retain_count };
        let state = State {
            streams: Streams::new(retention),
            bucket: TokenBucket::new(settings.rate, settings.burst),
            faults: LogFaults::default(),
            random: SmallRng::seed_from_u64(0),
            counts: Counts::default(),
        };
        Arc::new(Log {
            clock: SystemClock::new(),
            state: Mutex::new(state),
            changed: Notify::new(),
        })
    }

    fn now_ms(&self) -> u64 {
        let since = self.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    fn append(&self, stream: &str, data: Arc<str>) -> u64 {
        let now_ms = self.now_ms();
        let offset = reply::lock(&self.state).streams.append(stream, data, now_ms);
        self.changed.notify_waiters();
        offset
    }

    /// Reads records without waiting; `None` in an outage.
    fn read(&self, stream: &str, query: &ReadQuery) -> Option<ReadReply> {
        let now_ms = self.now_ms();
        let mut state = reply::lock(&self.state);
        if state.faults.outage || state.faults.reject_reads {
            state.counts.rejected += 1;
            return None;
        }
        let max = query.max.min(MAX_READ_RECORDS);
        Some(state.streams.read(stream, query.from, max, now_ms))
    }

    /// Reads records, and waits for one if there is none yet. `None` in an outage.
    async fn poll(&self, stream: &str, query: &ReadQuery) -> Option<ReadReply> {
        let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
        let until = time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let read = self.read(stream, query)?;
            if !read.records.is_empty() {
                return Some(read);
            }
            let _waiting = WaitingRead::new(self);
            if time::timeout_at(until, changed).await.is_err() {
                return self.read(stream, query);
            }
        }
    }

    async fn delay(&self) {
        let delay_ms = reply::lock(&self.state).faults.delay_ms;
        pause(delay_ms).await;
    }

    async fn delay_answer(&self) {
        let answer_ms = reply::lock(&self.state).faults.answer_ms;
        pause(answer_ms).await;
    }

    fn set_faults(&self, faults: LogFaults) {
        let mut state = reply::lock(&self.state);
        for expire in &faults.expire {
            state.streams.expire(&expire.stream, expire.before);
        }
        state.random = SmallRng::seed_from_u64(faults.seed);
        state.faults = faults;
        drop(state);
        self.changed.notify_waiters();
    }

    fn state(&self) -> LogState {
        let state = reply::lock(&self.state);
        LogState {
            streams: state.streams.states(),
            counts: state.counts,
            faults: state.faults.clone(),
        }
    }
}

impl State {
    /// The error status of an append that an outage or the rate limit rejects.
    fn reject(&mut self, now: Duration) -> Option<StatusCode> {
        if self.faults.outage || self.faults.reject_appends {
            self.counts.rejected += 1;
            return Some(StatusCode::SERVICE_UNAVAILABLE);
        }
        if !self.bucket.try_take(now) {
            self.counts.limited += 1;
            return Some(StatusCode::TOO_MANY_REQUESTS);
        }
        None
    }

    fn append_outcome(&mut self, stream: &str) -> AppendOutcome {
        if self.faults.stream.as_deref().is_some_and(|only| only != stream) {
            return AppendOutcome::Acknowledge;
        }
        if self.faults.drop_appends > 0 {
            self.faults.drop_appends -= 1;
            return AppendOutcome::Drop;
        }
        if self.faults.lose_appends > 0 {
            self.faults.lose_appends -= 1;
            return AppendOutcome::Lose;
        }
        let chance = self.faults.lose_chance.clamp(0.0, 1.0);
        if chance > 0.0 && self.random.random_bool(chance) {
            return AppendOutcome::Lose;
        }
        AppendOutcome::Acknowledge
    }

    fn count(&mut self, outcome: AppendOutcome) {
        match outcome {
            AppendOutcome::Acknowledge => self.counts.appended += 1,
            AppendOutcome::Lose => self.counts.lost += 1,
            AppendOutcome::Drop => self.counts.dropped += 1,
        }
    }
}

async fn pause(ms: u64) {
    if ms > 0 {
        time::sleep(Duration::from_millis(ms)).await;
    }
}

/// Adds the routes of the log service.
pub fn configure(cfg: &mut web::ServiceConfig, log: Arc<Log>) {
    cfg.state(log)
        .route("/v1/streams/{stream}/records", web::post().to(append))
        .route("/v1/streams/{stream}/records", web::get().to(read))
        .route("/control/faults", web::put().to(set_faults))
        .route("/control/state", web::get().to(state));
}

async fn append(
    req: HttpRequest,
    log: types::State<Arc<Log>>,
    stream: types::Path<String>,
    body: types::Json<AppendBody>,
) -> HttpResponse {
    log.delay().await;
    let outcome = {
        let now = log.clock.now();
        let mut state = reply::lock(&log.state);
        if let Some(status) = state.reject(now) {
            return HttpResponse::new(status);
        }
        let outcome = state.append_outcome(&stream);
        state.count(outcome);
        outcome
    };
    let data = body.into_inner().data;
    match outcome {
        AppendOutcome::Acknowledge => {
            let offset = log.append(&stream, data);
            log.delay_answer().await;
            reply::json(StatusCode::OK, &AppendReply { offset })
        }
        AppendOutcome::Lose => append_unacknowledged(&req, &log, &stream, data).await,
        AppendOutcome::Drop => reply::close_unanswered(&req).await,
    }
}

/// Appends the record, now or later as the faults say, and loses the response.
async fn append_unacknowledged(
    req: &HttpRequest,
    log: &Arc<Log>,
    stream: &str,
    data: Arc<str>,
) -> HttpResponse {
    let (land_ms, lose_by) = {
        let state = reply::lock(&log.state);
        (state.faults.land_ms, state.faults.lose_by)
    };
    if land_ms == 0 {
        log.append(stream, data);
    } else {
        let log = log.clone();
        let stream = stream.to_owned();
        ntex::rt::spawn(async move {
            time::sleep(Duration::from_millis(land_ms)).await;
            log.append(&stream, data);
        });
    }
    match lose_by {
        LoseBy::Close => reply::close_unanswered(req).await,
        LoseBy::Error => HttpResponse::InternalServerError().finish(),
    }
}

async fn read(
    log: types::State<Arc<Log>>,
    stream: types::Path<String>,
    query: types::Query<ReadQuery>,
) -> HttpResponse {
    log.delay().await;
    let Some(read) = log.poll(&stream, &query).await else {
        return reply::unavailable();
    };
    reply::lock(&log.state).counts.reads += 1;
    log.delay_answer().await;
    reply::json(StatusCode::OK, &read)
}

async fn set_faults(log: types::State<Arc<Log>>, body: types::Json<LogFaults>) -> HttpResponse {
    log.set_faults(body.into_inner());
    HttpResponse::NoContent().finish()
}

async fn state(log: types::State<Arc<Log>>) -> HttpResponse {
    reply::json(StatusCode::OK, &log.state())
}
