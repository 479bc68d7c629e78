//! `in-force`: publishes versions of the configuration and measures the time
//! from accepted to in force on every entry, with the log at normal speed and
//! with a slow log.
//!
//! A version counts as accepted from the time at which the log stored its
//! record: whether it is accepted follows from the records in the log, so this
//! is the earliest possible moment. The measurement ends with the first status
//! of an entry that names the version or a later one.

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bpaf::{Parser, construct, long};
use ntex::client::Client;
use peatdeck_core::record::{ConfigRecord, Stream, Version};
use peatdeck_macros::{data, message};
use peatdeck_wire::{
    admin::{ConfigReply, EntryStatus, PublishBody, PublishReply},
    platform::ReadReply,
};

use crate::{
    args,
    control::Request,
    error, files, launch, output,
    report::Quantiles,
    runtime,
    system::{AUTHOR, Entry, System},
    tag,
};

/// Arguments of `in-force`.
#[data]
pub struct Args {
    /// The preset, `thin` by default, and how it is started.
    pub preset_args: args::PresetArgs,
    /// Versions to publish with the log at normal speed, and again with the slow log.
    pub versions: usize,
    /// Delay of each operation of the slow log.
    pub log_delay: Duration,
    /// Output files.
    pub output: args::OutputArgs,
}

/// Interval at which the status of an entry is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Time limit of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// A version that is not in force after this time is counted as missing.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Most records that one read of the log returns.
const MAX_RECORDS: u32 = 10_000;

/// Measurements with the log in one condition.
#[message]
pub struct LogCondition {
    /// Name of the condition, such as `good` for a log at normal speed.
    pub weather: Arc<str>,
    /// Times of all versions and entries.
    pub each: Quantiles,
    /// For each version, the time of the last entry.
    pub last: Quantiles,
    /// Versions that were not in force on every entry in time.
    pub missing: u64,
}

/// Parses the arguments.
pub fn cli() -> impl Parser<Args> {
    let preset_args = args::preset_args();
    let versions = long("versions")
        .help("Versions to publish with each log speed, normal and slow")
        .argument::<usize>("N")
        .fallback(50)
        .display_fallback();
    let log_delay = args::time("log-delay", "Delay of each operation of the slow log", "1s");
    let output = args::output();
    construct!(Args { preset_args, versions, log_delay, output })
}

/// Measures both conditions and prints the table.
///
/// # Errors
/// If the system does not start, or a publish is refused.
pub fn exec(args: &Args) -> error::Result<()> {
    let preset_args = args::PresetArgs {
        preset: args.preset_args.preset.clone().or_else(|| Some("thin".to_owned())),
        count: args.preset_args.count.or(Some(8)),
        ..args.preset_args.clone()
    };
    let preset = preset_args.preset()?.expect("a name was filled in");
    let system = launch::start(&preset, &preset_args.launch()?)?;
    let normal = measure(&system, "good", args.versions)?;
    system.set_log_delay(args.log_delay)?;
    let name = format!("log {} s slow", args.log_delay.as_secs_f64());
    let slow = measure(&system, &name, args.versions)?;
    let conditions = [normal, slow];
    println!("{}", table(&conditions, preset.entries));
    if let Some(path) = &args.output.json {
        files::write(path, &output::json(&conditions))?;
    }
    Ok(())
}

fn measure(system: &System, name: &str, versions: usize) -> error::Result<LogCondition> {
    let mut each = Vec::new();
    let mut last = Vec::new();
    let mut missing = 0;
    for _ in 0..versions {
        let times = publish_version(system)?;
        let known: Vec<Duration> = times.iter().copied().flatten().collect();
        missing += u64::from(known.len() < times.len());
        last.extend(known.iter().max());
        each.extend(known);
    }
    Ok(LogCondition {
        weather: name.into(),
        each: Quantiles::from_durations(each.into_iter()),
        last: Quantiles::from_durations(last.into_iter()),
        missing,
    })
}

/// Publishes one version and returns, for each entry, the time from accepted to in force; `None`
/// where it was not in force in time.
fn publish_version(system: &System) -> error::Result<Vec<Option<Duration>>> {
    let admin = system.admin();
    let current: ConfigReply =
        Request::get(format!("{}/v1/config", admin.url)).token(&admin.token).json()?;
    let id = tag::fresh();
    let body = PublishBody {
        id: id.clone(),
        base: current.version,
        author: AUTHOR.into(),
        document: current.document,
    };
    let entries: Vec<Entry> = system.live_entries().to_vec();
    let next = current.version + 1;
    let watch =
        std::thread::spawn(move || runtime::block_on(async move { watch(&entries, next).await }));
    let request = Request::post(format!("{}/v1/config/publish", admin.url), &body);
    let reply: error::Result<PublishReply> = request.token(&admin.token).json();
    let seen = watch.join().expect("the watching thread does not panic");
    reply?;
    let accepted = accepted_at(&system.log(), &id)?;
    let since = |time: SystemTime| time.duration_since(accepted).unwrap_or_default();
    Ok(seen.into_iter().map(|time| time.map(since)).collect())
}

/// When each entry first reported the version or a later one as in force.
async fn watch(entries: &[Entry], version: Version) -> Vec<Option<SystemTime>> {
    let client = runtime::client().await;
    let watches = entries.iter().map(|entry| watch_one(&client, entry, version));
    futures::future::join_all(watches).await
}

async fn watch_one(client: &Client, entry: &Entry, version: Version) -> Option<SystemTime> {
    let url = format!("{}/v1/status", entry.url);
    let seen = async {
        loop {
            let body = runtime::fetch(client, &url, POLL_TIMEOUT).await;
            let status = body.and_then(|body| serde_json::from_slice::<EntryStatus>(&body).ok());
            if status.is_some_and(|status| status.version >= version) {
                return SystemTime::now();
            }
            ntex::time::sleep(POLL_INTERVAL).await;
        }
    };
    ntex::time::timeout(IN_FORCE_TIMEOUT, seen).await.ok()
}

/// When the log stored the record of a publish.
fn accepted_at(log: &str, id: &str) -> error::Result<SystemTime> {
    let stream = Stream::Config.name();
    let url = format!("{log}/v1/streams/{stream}/records?from=0&max={MAX_RECORDS}&wait_ms=0");
    let read: ReadReply = Request::get(url.clone()).json()?;
    let found = read.records.iter().find(|record| is_publish(&record.data, id));
    let record = found.ok_or_else(|| error::Error::Control {
        what: format!("GET {url}"),
        message: format!("the log has no record of publish {id}"),
    })?;
    Ok(UNIX_EPOCH + Duration::from_millis(record.time_ms))
}

fn is_publish(data: &str, id: &str) -> bool {
    matches!(serde_json::from_str(data), Ok(ConfigRecord::Publish(publish)) if &*publish.id == id)
}

/// Formats the measurements as a table.
pub fn table(conditions: &[LogCondition], entries: usize) -> String {
    let mut text = format!(
        "accepted to in force, {entries} entries, ms (asked every {} ms)\n{:<20} {:<12} {:>7} {:>9} {:>9} {:>9} {:>8}\n",
        POLL_INTERVAL.as_millis(),
        "log",
        "",
        "count",
        "p50",
        "p99",
        "worst",
        "missing"
    );
    for condition in conditions {
        let rows =
            BTreeMap::from([("each entry", &condition.each), ("last entry", &condition.last)]);
        for (name, times) in rows {
            writeln!(
                text,
                "{:<20} {name:<12} {:>7} {:>9.1} {:>9.1} {:>9.1} {:>8}",
                condition.weather, times.count, times.p50, times.p99, times.max, condition.missing
            )
            .ok();
        }
    }
    text
}
