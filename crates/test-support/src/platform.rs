//! A log, a list and instances inside the test's process.
//!
//! It is deliberately minimal: it has the documented interface and the faults
//! that a test sets, one for each of the next appends.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use ntex::web::{self, App, HttpResponse, types};
use peatdeck_core::{
    config_log::ConfigReader,
    model::{EndpointEntry, Incarnation, InstanceEntry, Listing, Presence},
    record::{Batch, ConfigRecord, Entry},
};
use peatdeck_wire::{
    admin::{EntryStatus, OutcomeCount},
    platform::{AppendBody, AppendReply, ReadReply, RecordBody},
};
use serde::Deserialize;

use crate::system::Served;

/// Interval at which a long poll checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Fault of one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFault {
    /// The append takes effect, but its reply is an internal error.
    LoseReply,
    /// The append has no effect, and the reply doesn't say so.
    Drop,
    /// The append is refused with "too many requests" and has no effect.
    RateLimit,
}

/// Handle of the platform's state, shared with its servers.
#[derive(Debug, Clone, Default)]
pub struct Platform(Arc<Mutex<State>>);

/// State of the platform.
#[derive(Debug, Default)]
pub struct State {
    /// Records of the configuration stream, by offset.
    pub records: Vec<Arc<str>>,
    /// The oldest offset that reads return.
    pub earliest: usize,
    /// Faults of the next appends, in order.
    pub append_faults: VecDeque<AppendFault>,
    /// Record of another writer that is appended just before the next append.
    pub competing_record: Option<Arc<str>>,
    /// Whether reads of the log fail with status 503.
    pub has_read_outage: bool,
    /// Whether requests to the list fail with status 503.
    pub has_list_outage: bool,
    /// The listing that the list returns.
    pub listing: Listing,
    /// Counts of outcomes that each instance reports in its status.
    pub outcomes: Vec<OutcomeCount>,
}

impl Platform {
    /// Locks the state, to read or change it.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no test panics while it holds the lock")
    }

    /// Starts a server for the log and the list.
    pub fn serve(&self) -> Served {
        let platform = self.clone();
        let app = async move || {
            App::new().state(platform.clone()).service((
                web::resource("/v1/streams/{stream}/records")
                    .route(web::post().to(append))
                    .route(web::get().to(read)),
                web::resource("/v1/list").route(web::get().to(list)),
            ))
        };
        Served::start(|listener| {
            Ok(web::server(app).workers(1).disable_signals().listen(listener)?.run())
        })
    }

    /// Starts and lists an instance whose status has the version in force by the log.
    pub fn add_instance(&self, name: &str) -> Served {
        let (platform, instance) = (self.clone(), Arc::<str>::from(name));
        let app = async move || {
            let state = (platform.clone(), Arc::clone(&instance));
            App::new()
                .state(state)
                .service(web::resource("/v1/status").route(web::get().to(status)))
        };
        let server = Served::start(|listener| {
            Ok(web::server(app).workers(1).disable_signals().listen(listener)?.run())
        });
        self.list_instance(name, &server.addr().to_string());
        server
    }

    /// Adds an instance to the listing, whether it runs or not.
    pub fn list_instance(&self, name: &str, addr: &str) {
        self.state().listing.instances.push(InstanceEntry {
            name: name.into(),
            peer_addr: addr.into(),
            http_addr: addr.into(),
            data_centre: "dc1".into(),
            presence: Presence::Live,
        });
    }

    /// Adds an endpoint to the listing.
    pub fn list_endpoint(&self, name: &str, incarnation: u64) {
        self.state().listing.endpoints.push(EndpointEntry {
            name: name.into(),
            pool: "writers".into(),
            addr: "127.0.0.1:1".into(),
            data_centre: "dc1".into(),
            incarnation: Incarnation(incarnation),
            presence: Presence::Live,
            software: Arc::default(),
        });
    }

    /// Simulates another writer whose record is appended just before the next append.
    pub fn append_before_next(&self, record: &ConfigRecord) {
        let json = serde_json::to_string(record).expect("records have a JSON form");
        self.state().competing_record = Some(json.into());
    }
}

impl State {
    fn version(&self) -> u64 {
        let entries: Vec<_> = (0..)
            .zip(&self.records)
            .map(|(offset, data)| Entry {
                offset,
                time_ms: 0,
                record: serde_json::from_str(data).expect("tests append readable records"),
            })
            .collect();
        let next = entries.len() as u64;
        let mut reader = ConfigReader::new();
        reader.read(&Batch { from: 0, earliest: 0, next, now_ms: 0, entries });
        reader.read(&Batch { from: next, earliest: 0, next, now_ms: 0, entries: Vec::new() });
        reader.current().map_or(0, |snapshot| snapshot.version)
    }
}

async fn append(platform: types::State<Platform>, body: types::Json<AppendBody>) -> HttpResponse {
    let mut state = platform.state();
    let competing_record = state.competing_record.take();
    state.records.extend(competing_record);
    let fault = state.append_faults.pop_front();
    match fault {
        Some(AppendFault::RateLimit) => return HttpResponse::TooManyRequests().finish(),
        Some(AppendFault::Drop) => return HttpResponse::ServiceUnavailable().finish(),
        Some(AppendFault::LoseReply) | None => {}
    }
    let offset = state.records.len() as u64;
    state.records.push(Arc::clone(&body.data));
    if fault.is_some() {
        return HttpResponse::InternalServerError().finish();
    }
    HttpResponse::Ok().json(&AppendReply { offset })
}

#[derive(Deserialize)]
struct Range {
    from: usize,
    max: usize,
    wait_ms: u64,
}

async fn read(platform: types::State<Platform>, range: types::Query<Range>) -> HttpResponse {
    let end = Instant::now() + Duration::from_millis(range.wait_ms);
    while platform.state().records.len() <= range.from && Instant::now() < end {
        ntex::time::sleep(POLL_INTERVAL).await;
    }
    if platform.state().has_read_outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let state = platform.state();
    let from = range.from.max(state.earliest);
    let end = state.records.len().min(from + range.max);
    let records = (from..end).map(|offset| RecordBody {
        offset: offset as u64,
        time_ms: 1_772_346_600_000 + offset as u64 * 1000,
        data: Arc::clone(&state.records[offset]),
    });
    HttpResponse::Ok().json(&ReadReply {
        earliest: state.earliest as u64,
        next: end.max(range.from) as u64,
        now_ms: 0,
        records: records.collect(),
    })
}

async fn list(platform: types::State<Platform>) -> HttpResponse {
    let state = platform.state();
    if state.has_list_outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().json(&state.listing)
}

#[derive(Deserialize)]
struct Since {
    since: u64,
}

async fn status(
    state: types::State<(Platform, Arc<str>)>,
    query: types::Query<Since>,
) -> HttpResponse {
    let (platform, instance) = &*state;
    let mut outcomes = platform.state().outcomes.clone();
    outcomes.retain(|row| row.slot >= query.since);
    HttpResponse::Ok().json(&EntryStatus {
        instance: Arc::clone(instance),
        incarnation: Incarnation(1),
        data_centre: "dc1".into(),
        ready: true,
        reasons: Vec::new(),
        version: platform.state().version(),
        running: 0,
        peers: Vec::new(),
        endpoints: Vec::new(),
        counters: Default::default(),
        outcomes,
    })
}
