//! `in-force`: publishes versions and measures the time from accepted to in
//! force on every entry, in good weather and with the log slow.
//!
//! A publish counts as accepted from the time that the log took its record:
//! the fold over the log decides, and that is the earliest moment at which
//! the record can be accepted. The end is the first status of an entry that
//! names the version or a later one.

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

/// Flags.
#[data]
pub struct Args {
    /// The preset.
    pub started: args::Started,
    /// Versions to publish in each weather.
    pub versions: usize,
    /// How long the slow log takes.
    pub log_delay: Duration,
    /// Where results go.
    pub output: args::Output,
}

/// How often an entry is asked.
const ASK_EVERY: Duration = Duration::from_millis(4);
/// How long an entry may take to answer.
const ASK_TIME: Duration = Duration::from_secs(5);
/// After this a version counts as not in force.
const GIVE_UP: Duration = Duration::from_secs(30);
/// Records read at once.
const READ_MAX: u32 = 10_000;

/// What one weather gave.
#[message]
pub struct Weather {
    /// Its name.
    pub weather: Arc<str>,
    /// Over all versions and entries.
    pub each: Quantiles,
    /// Over all versions, the last entry of each.
    pub last: Quantiles,
    /// Versions that some entry did not have in force in time.
    pub missing: u64,
}

/// Parses the flags.
pub fn cli() -> impl Parser<Args> {
    let started = args::started();
    let versions = long("versions")
        .help("Versions to publish in each weather")
        .argument::<usize>("N")
        .fallback(50)
        .display_fallback();
    let log_delay = args::time("log-delay", "How long the slow log takes", "1s");
    let output = args::output();
    construct!(Args { started, versions, log_delay, output })
}

/// Measures.
///
/// # Errors
/// If the system does not start, or a publish is refused.
pub fn exec(args: &Args) -> error::Result<()> {
    let named = args::Started {
        preset: args.started.preset.clone().or_else(|| Some("thin".to_owned())),
        count: args.started.count.or(Some(8)),
        ..args.started.clone()
    };
    let preset = named.preset()?.expect("a name was filled in");
    let system = launch::start(&preset, &named.launch()?)?;
    let good = weather(&system, "good", args.versions)?;
    system.slow_log(args.log_delay)?;
    let name = format!("log {} s slow", args.log_delay.as_secs_f64());
    let slow = weather(&system, &name, args.versions)?;
    let weathers = [good, slow];
    println!("{}", table(&weathers, preset.entries));
    if let Some(path) = &args.output.json {
        files::write(path, &output::json(&weathers))?;
    }
    Ok(())
}

fn weather(system: &System, name: &str, versions: usize) -> error::Result<Weather> {
    let mut each = Vec::new();
    let mut last = Vec::new();
    let mut missing = 0;
    for _ in 0..versions {
        let times = publish_one(system)?;
        let known: Vec<Duration> = times.iter().copied().flatten().collect();
        missing += u64::from(known.len() < times.len());
        last.extend(known.iter().max());
        each.extend(known);
    }
    Ok(Weather {
        weather: name.into(),
        each: Quantiles::of(each.into_iter()),
        last: Quantiles::of(last.into_iter()),
        missing,
    })
}

/// Publishes one version; the time of each entry from accepted to in force.
fn publish_one(system: &System) -> error::Result<Vec<Option<Duration>>> {
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
    let seen = watch.join().expect("watching does not panic");
    reply?;
    let accepted = accepted_at(&system.log(), &id)?;
    let since = |time: SystemTime| time.duration_since(accepted).unwrap_or_default();
    Ok(seen.into_iter().map(|time| time.map(since)).collect())
}

/// When each entry first said that it has the version or a later one in force.
async fn watch(entries: &[Entry], version: Version) -> Vec<Option<SystemTime>> {
    let client = runtime::client().await;
    let watches = entries.iter().map(|entry| watch_one(&client, entry, version));
    futures::future::join_all(watches).await
}

async fn watch_one(client: &Client, entry: &Entry, version: Version) -> Option<SystemTime> {
    let url = format!("{}/v1/status", entry.url);
    let seen = async {
        loop {
            let body = runtime::fetch(client, &url, ASK_TIME).await;
            let status = body.and_then(|body| serde_json::from_slice::<EntryStatus>(&body).ok());
            if status.is_some_and(|status| status.version >= version) {
                return SystemTime::now();
            }
            ntex::time::sleep(ASK_EVERY).await;
        }
    };
    ntex::time::timeout(GIVE_UP, seen).await.ok()
}

/// When the log took the record of a publish.
fn accepted_at(log: &str, id: &str) -> error::Result<SystemTime> {
    let stream = Stream::Config.name();
    let url = format!("{log}/v1/streams/{stream}/records?from=0&max={READ_MAX}&wait_ms=0");
    let read: ReadReply = Request::get(url.clone()).json()?;
    let found = read.records.iter().find(|record| is_publish(&record.data, id));
    let record = found.ok_or_else(|| error::Error::Control {
        what: format!("GET {url}"),
        message: format!("the record of publish {id} is not there"),
    })?;
    Ok(UNIX_EPOCH + Duration::from_millis(record.time_ms))
}

fn is_publish(data: &str, id: &str) -> bool {
    matches!(serde_json::from_str(data), Ok(ConfigRecord::Publish(publish)) if &*publish.id == id)
}

/// The times as a table.
pub fn table(weathers: &[Weather], entries: usize) -> String {
    let mut text = format!(
        "accepted to in force, {entries} entries, ms (asked every {} ms)\n{:<20} {:<12} {:>7} {:>9} {:>9} {:>9} {:>8}\n",
        ASK_EVERY.as_millis(),
        "log",
        "",
        "count",
        "p50",
        "p99",
        "worst",
        "missing"
    );
    for weather in weathers {
        let rows = BTreeMap::from([("each entry", &weather.each), ("last entry", &weather.last)]);
        for (name, times) in rows {
            writeln!(
                text,
                "{:<20} {name:<12} {:>7} {:>9.1} {:>9.1} {:>9.1} {:>8}",
                weather.weather, times.count, times.p50, times.p99, times.max, weather.missing
            )
            .ok();
        }
    }
    text
}
