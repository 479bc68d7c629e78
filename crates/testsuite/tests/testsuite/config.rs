//! All entries go through the same sequence of versions, despite concurrent
//! publishes, lost replies, restarts and records dropped by the log's retention.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use futures::future;
use ntex::{rt, time};
use peatdeck_core::{
    document::Document,
    record::{Stream, Version},
};
use peatdeck_standin::faults::{LogFaults, LoseBy};
use peatdeck_test_support::{
    error::{Error, Result},
    fixture::{self, CERTIFICATE},
    http::Http,
    processes::{ADMIN, builder::Builder},
    wait::{self, TIMEOUT},
};
use peatdeck_wire::admin::{ApiError, EntryStatus, ErrorDetail, PublishReply};

use crate::support::Bench;

const RACES: u64 = 50;
/// The race after which an entry is restarted.
const RESTART: u64 = 25;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The fixture's document with one more pipeline, whose name identifies the version.
fn document_with(pipeline: &str) -> Document {
    let mut document = fixture::document();
    let mut more = document.pipeline(CERTIFICATE).unwrap().clone();
    more.name = pipeline.into();
    document.pipelines.push(more);
    document
}

/// Polls the versions in force at all entries and records each decrease.
struct VersionWatch {
    http: Http,
    addrs: RefCell<BTreeMap<String, String>>,
    seen: RefCell<BTreeMap<String, Version>>,
    wrong: RefCell<Vec<String>>,
}

impl VersionWatch {
    fn start(bench: &Bench) -> Rc<VersionWatch> {
        let watch = Rc::new(VersionWatch {
            http: bench.system.http.clone(),
            addrs: RefCell::default(),
            seen: RefCell::default(),
            wrong: RefCell::default(),
        });
        watch.update_addrs(bench);
        rt::spawn(watch.clone().run()).detach();
        watch
    }

    /// Updates the addresses after an entry was restarted.
    fn update_addrs(&self, bench: &Bench) {
        let entries = bench.system.entries().into_iter();
        let addr = |name: String| (name.clone(), bench.system.addr(&name).unwrap().to_owned());
        *self.addrs.borrow_mut() = entries.map(addr).collect();
    }

    async fn run(self: Rc<Self>) {
        while Rc::strong_count(&self) > 1 {
            let addrs = self.addrs.borrow().clone();
            for (name, addr) in addrs {
                let status: Result<EntryStatus> = self.http.get_json(&addr, "/v1/status").await;
                // An entry that is not ready has no version in force.
                if let Some(status) = status.ok().filter(|status| status.ready) {
                    self.note(&name, status.version);
                }
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    fn note(&self, entry: &str, version: Version) {
        let mut seen = self.seen.borrow_mut();
        let highest = seen.entry(entry.to_owned()).or_default();
        if version < *highest {
            let text = format!("{entry} went back from {highest} to {version}");
            self.wrong.borrow_mut().push(text);
        }
        *highest = version.max(*highest);
    }
}

/// The version of an accepted publish, or the error of a rejected one.
fn publish_result(response: Result<PublishReply>) -> std::result::Result<Version, ApiError> {
    match response {
        Ok(reply) => Ok(reply.version),
        Err(Error::Status { body, .. }) => Err(serde_json::from_str(&body).unwrap()),
        Err(error) => panic!("{error}"),
    }
}

/// Two operators publish on `base` concurrently. Returns the accepted pipeline.
async fn race(bench: &Bench, base: Version) -> String {
    let [one, two] = ["one", "two"].map(|operator| format!("race-{base}-{operator}"));
    let (first, second) = (document_with(&one), document_with(&two));
    let (first, second) = future::join(
        bench.system.publish_by(ADMIN, &one, base, &first),
        bench.system.publish_by("admin-2", &two, base, &second),
    )
    .await;
    let (winner, version, loser) = match (publish_result(first), publish_result(second)) {
        (Ok(version), Err(error)) => (one, version, error),
        (Err(error), Ok(version)) => (two, version, error),
        other => panic!("race on {base}: {other:?}"),
    };
    assert_eq!(version, base + 1);
    assert_eq!(&*loser.code, "conflict", "{loser:?}");
    let Some(ErrorDetail::Conflict(conflict)) = &loser.detail else { panic!("{loser:?}") };
    assert_eq!(conflict.version, version, "{loser:?}");
    assert_eq!(conflict.publish.as_deref(), Some(&*winner), "{loser:?}");
    winner
}

/// Checks that every entry serves the accepted pipeline and not the rejected one.
async fn check_in_force(bench: &Bench, base: Version, winner: &str) {
    bench.system.wait_version(base + 1).await.unwrap();
    for entry in bench.system.entries() {
        for pipeline in ["one", "two"].map(|operator| format!("race-{base}-{operator}")) {
            let expected =
                if pipeline == winner { "200 answered" } else { "404 invalid/unknown_pipeline" };
            let body = fixture::request(&format!("{entry}-{pipeline}"), "licence");
            bench.check(&entry, &pipeline, &body, expected).await;
        }
    }
}

#[ntex::test]
async fn one_of_two_concurrent_publishes_is_accepted_and_no_version_ever_decreases() {
    let log = ["--retain-ms", "6000"];
    let builder = Builder::default().log_flags(&log).entry_flags(&["--retention", "6"]);
    let mut bench = Bench::start(builder).await;
    bench.system.add_admin("admin-2").await.unwrap();
    let watch = VersionWatch::start(&bench);
    for base in 1..=RACES {
        let winner = race(&bench, base).await;
        check_in_force(&bench, base, &winner).await;
        if base == RESTART {
            bench.system.restart("entry-2").await.unwrap();
            watch.update_addrs(&bench);
            bench.system.wait_ready("entry-2").await.unwrap();
            check_in_force(&bench, base, &winner).await;
        }
    }
    // Waits until the log's retention has dropped the records of the races.
    let earliest = async || {
        let state = bench.system.log_state().await.ok()?;
        let earliest = state.streams.get(Stream::Config.name())?.earliest;
        (earliest > RACES).then_some(())
    };
    wait::until("the expiry of the races' records", TIMEOUT, earliest).await.unwrap();
    for entry in ["entry-1", "entry-2"] {
        bench.system.restart(entry).await.unwrap();
        watch.update_addrs(&bench);
        bench.system.wait_ready(entry).await.unwrap();
        assert_eq!(bench.system.status(entry).await.unwrap().version, RACES + 1);
    }
    assert_eq!(*watch.wrong.borrow(), [""; 0]);
    bench.finish().await;
}

/// A publish takes effect once although replies to its appends are lost and it
/// is sent again. At the end the log holds `records` records.
async fn check_publish(faults: LogFaults, records: u64) {
    let bench = Bench::start(Builder::default()).await;
    let stream = Some(Stream::Config.name().into());
    bench.set_log(LogFaults { stream, ..faults }).await;
    let document = document_with("second");
    for _ in 0..2 {
        let reply = bench.system.publish("second", 1, &document).await.unwrap();
        assert_eq!(reply.version, 2);
    }
    bench.clear_log_faults().await;
    let reply = bench.system.publish("third", 2, &document_with("third")).await.unwrap();
    assert_eq!(reply.version, 3);
    bench.system.wait_version(3).await.unwrap();
    // A delayed append may not have taken effect yet.
    bench.wait_log(Stream::Config, records - 1).await;
    let reply = bench.system.publish("second", 1, &document).await.unwrap();
    assert_eq!(reply.version, 2);
    for entry in bench.system.entries() {
        assert_eq!(bench.system.status(&entry).await.unwrap().version, 3);
    }
    bench.finish().await;
}

#[ntex::test]
async fn a_publish_whose_reply_is_lost_counts_once() {
    check_publish(LogFaults { lose_appends: 1, ..LogFaults::default() }, 3).await;
}

#[ntex::test]
async fn a_publish_answered_by_an_error_counts_once() {
    let lose_by = LoseBy::Error;
    check_publish(LogFaults { lose_appends: 1, lose_by, ..LogFaults::default() }, 3).await;
}

#[ntex::test]
async fn a_publish_that_is_appended_late_and_twice_counts_once() {
    let faults = LogFaults { lose_appends: 1, land_ms: 1_500, ..LogFaults::default() };
    check_publish(faults, 4).await;
}

#[ntex::test]
async fn a_publish_whose_append_was_dropped_is_appended_again() {
    check_publish(LogFaults { drop_appends: 1, ..LogFaults::default() }, 3).await;
}

/// Snapshots keep the configuration after the log has dropped the publish,
/// although replies to their appends are lost. The entry has no peers, so it
/// reads the configuration from the log alone after each restart.
async fn check_snapshots(faults: LogFaults) {
    let log = ["--retain-ms", "4000"];
    let builder = Builder::default().entries(1).log_flags(&log).entry_flags(&["--retention", "4"]);
    let mut bench = Bench::start(builder).await;
    let stream = Some(Stream::Config.name().into());
    bench.set_log(LogFaults { stream, ..faults }).await;
    bench.system.publish("second", 1, &document_with("second")).await.unwrap();
    for _ in 0..3 {
        let next = bench.system.log_next(Stream::Config).await.unwrap();
        let expired = async || {
            let state = bench.system.log_state().await.ok()?;
            let config = state.streams.get(Stream::Config.name())?;
            (config.earliest >= next).then_some(())
        };
        wait::until("the expiry of the records", TIMEOUT, expired).await.unwrap();
        bench.system.restart("entry-1").await.unwrap();
        bench.system.wait_ready("entry-1").await.unwrap();
        assert_eq!(bench.system.status("entry-1").await.unwrap().version, 2);
        let body = fixture::request(&format!("after-{next}"), "licence");
        bench.check("entry-1", "second", &body, "200 answered").await;
    }
    bench.finish().await;
}

#[ntex::test]
async fn snapshots_whose_replies_are_lost_keep_the_configuration() {
    let faults = LogFaults { lose_chance: 0.7, seed: 3, ..LogFaults::default() };
    check_snapshots(faults).await;
}

#[ntex::test]
async fn snapshots_answered_by_errors_keep_the_configuration() {
    let lose_by = LoseBy::Error;
    let faults = LogFaults { lose_chance: 0.7, seed: 4, lose_by, ..LogFaults::default() };
    check_snapshots(faults).await;
}
