//! The table of rollouts: when it is read, and how it is written.

mod messages;

use std::{rc::Rc, sync::Arc, time::Duration};

use peatdeck_core::relay::{
    self,
    catch_up::CatchUp,
    position::Position,
    rollout::{Phase, RolloutRecord},
    table::{PortionRequest, Table},
};
use peatdeck_relay::{
    driver::{Components, Driver},
    follow,
    peers::learn,
    pool::Pool,
    rollouts,
    surroundings::{TABLES, TableName},
};
use peatdeck_util::{
    clock::SystemClock,
    metrics::{Metrics, Registry},
};
use peatdeck_wire::operators::RolloutOverview;

use crate::standins::{MemoryStore, Relay, ScriptedEndpoint, exchange, get, platform, wait_for};

const TABLE: TableName = TableName::Rollouts;
const KEY: &str = "rollout/desk";
/// A state that another deciding instance has written.
const FINAL: &str = "rolled_back v2 v1 12000 0 1 0 other because";

/// An instance's event loop without its tasks, so that only the test reads and writes.
fn driver(store: &MemoryStore) -> (Rc<Driver>, Arc<Registry>) {
    let settings = Relay::builder("own", store).rollouts().settings();
    let machine = relay::Relay::new(
        relay::Settings {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            retry_budget: settings.retry_budget,
            min_instances: settings.min_instances,
            millicores: settings.millicores,
            regions: settings.regions.clone(),
            rollout: settings.rollout,
            entry_interval: settings.entry_interval,
        },
        7,
    );
    let (clock, metrics) = (SystemClock::shared(), Arc::<Registry>::default());
    let driver = Driver::new(Components {
        machine,
        pool: Pool::new(clock.clone()),
        clock,
        platform: platform(store),
        settings,
        metrics: Metrics::into_registry(&metrics),
        shared: Arc::default(),
    });
    (driver, metrics)
}

/// Runs a test on an event loop. `ntex::test` would log every byte of all tests.
fn on_event_loop(test: impl Future<Output = ()> + 'static) {
    ntex::rt::System::new("rollouts", ntex::rt::DefaultRuntime).block_on(test);
}

fn state(phase: Phase) -> RolloutRecord {
    RolloutRecord {
        service: Arc::from("desk"),
        phase,
        destination: Arc::from("v2"),
        baseline: Some(Arc::from("v1")),
        duration: Duration::from_secs(12),
        order: Position::default(),
        by: Arc::from("own"),
        age: Duration::from_secs(3),
        reason: Arc::from("test"),
    }
}

fn counter(metrics: &Registry, name: &str) -> u64 {
    let prefix = format!("peatdeck.relay.{name} ");
    let text = metrics.render();
    text.lines().find_map(|line| line.strip_prefix(&prefix)).map_or(0, |it| it.parse().unwrap())
}

/// Writes a state and waits for the result. Returns whether it was written.
async fn write(driver: &Rc<Driver>, metrics: &Registry, phase: Phase) -> bool {
    let ended = || counter(metrics, "rollouts_written") + counter(metrics, "rollouts_unwritten");
    let (before, written) = (ended(), counter(metrics, "rollouts_written"));
    rollouts::write(driver, state(phase));
    while ended() == before {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    counter(metrics, "rollouts_written") > written
}

fn value(store: &MemoryStore) -> String {
    String::from_utf8(store.value(TABLE, KEY).unwrap_or_default().to_vec()).unwrap()
}

/// Guards against a second record after a write whose answer did not arrive.
#[test]
fn a_write_whose_answer_is_lost_is_found_in_the_table() {
    on_event_loop(async {
        let store = MemoryStore::default();
        let (driver, metrics) = driver(&store);
        store.lose_answers(1);
        assert!(write(&driver, &metrics, Phase::Shifting).await);
        assert_eq!(store.len(TABLE), 1);
        assert!(value(&store).starts_with("shifting v2 v1"));
    });
}

/// Guards against a decision that overwrites the final state that another instance wrote
/// after the deciding instance had read the table.
#[test]
fn of_two_writers_the_second_one_follows() {
    on_event_loop(async {
        let store = MemoryStore::default();
        let (driver, metrics) = driver(&store);
        store.write_before_next(KEY, FINAL);
        assert!(!write(&driver, &metrics, Phase::Completed).await);
        assert_eq!((store.len(TABLE), value(&store)), (1, FINAL.to_owned()));
    });
}

/// The same, if the other instance wrote before the table was read.
#[test]
fn a_decision_older_than_the_record_is_not_written() {
    on_event_loop(async {
        let store = MemoryStore::default();
        let (driver, metrics) = driver(&store);
        store.put(TABLE, KEY, FINAL.into());
        assert!(!write(&driver, &metrics, Phase::Completed).await);
        assert_eq!(value(&store), FINAL);
    });
}

/// Records of other services advance the log too, and must not delay a decision.
#[test]
fn a_write_for_another_service_in_between_is_no_conflict() {
    on_event_loop(async {
        let store = MemoryStore::default();
        let (driver, metrics) = driver(&store);
        store.write_before_next("rollout/other", FINAL);
        assert!(write(&driver, &metrics, Phase::Shifting).await);
        assert_eq!(store.len(TABLE), 2);
    });
}

/// Guards against a phase that counts as entered although its record was refused.
#[test]
fn a_refused_write_is_reported() {
    on_event_loop(async {
        let store = MemoryStore::default();
        let (driver, metrics) = driver(&store);
        follow::read_back(&driver, TABLE).await.unwrap();
        store.set_unavailable(true);
        assert!(!write(&driver, &metrics, Phase::Shifting).await);
        store.set_unavailable(false);
        assert!(write(&driver, &metrics, Phase::Shifting).await);
    });
}

/// Other writers may write anything to the table. The records around an unreadable one are
/// still applied.
#[test]
fn unreadable_records_are_counted_and_skipped() {
    on_event_loop(async {
        let store = MemoryStore::default();
        let (driver, metrics) = driver(&store);
        store.put(TABLE, "rollout/one", b"\xff\x00".to_vec());
        store.put(TABLE, "unrelated", b"x".to_vec());
        store.put(TABLE, KEY, FINAL.into());
        follow::read_back(&driver, TABLE).await.unwrap();
        assert_eq!(counter(&metrics, "rollouts_unreadable"), 1);
        let listed = rollouts::list(&driver);
        let shown =
            listed.iter().map(|one| (&*one.service, &*one.state, one.by.as_deref().unwrap()));
        assert_eq!(shown.collect::<Vec<_>>(), [("desk", "rolled_back", "other")]);
    });
}

/// The writer's clock may be wrong by any amount.
#[test]
fn the_age_of_a_state_is_at_most_its_duration() {
    on_event_loop(async {
        for (begun, age) in [("0", 12_000), ("99999999999999", 0)] {
            let store = MemoryStore::default();
            let (driver, _) = driver(&store);
            let text = format!("canary v2 v1 12000 0 1 {begun} other because");
            store.put(TABLE, KEY, text.into_bytes());
            follow::read_back(&driver, TABLE).await.unwrap();
            let listed = rollouts::list(&driver);
            assert!(listed[0].age_ms.abs_diff(age) < 1000, "{begun}: {}", listed[0].age_ms);
        }
    });
}

/// When a peer's copies were compared, as this instance receives it.
fn compared_now(driver: &Driver) -> learn::Compared {
    learn::Compared::from_ages(driver.now(), 0, 0)
}

/// Guards against a copy that counts as fresh although the peer does not have the table, and
/// against messages that grow without an order.
#[test]
fn a_peer_of_an_older_build_sends_and_receives_four_tables() {
    on_event_loop(async {
        let store = MemoryStore::default();
        let (driver, _) = driver(&store);
        let (tables, addr) = (&driver.peers.tables, Arc::from("127.0.0.1:9"));
        assert_eq!((tables.positions().len(), tables.next_requests().len()), (4, 4));
        tables.follow_rollouts(driver.now(), true);
        assert_eq!((tables.positions().len(), tables.next_requests().len()), (4, 5));
        for name in TABLES {
            follow::read_back(&driver, name).await.unwrap();
        }
        assert_eq!(tables.positions().len(), 5);
        let requests = tables.next_requests();
        assert_eq!(tables.read_portions(&requests[..4]).len(), 4);
        let (before, positions) = (tables.compared_at(TABLE), tables.positions());
        let of_config = tables.compared_at(TableName::Config);
        tokio::time::sleep(Duration::from_millis(5)).await;
        learn::compare_positions(&driver, &addr, &positions[..4], compared_now(&driver));
        assert_eq!(tables.compared_at(TABLE), before);
        assert!(tables.compared_at(TableName::Config) > of_config);
        learn::compare_positions(&driver, &addr, &positions, compared_now(&driver));
        assert!(tables.compared_at(TABLE) > before);
        // A later order needs a newer comparison.
        tables.follow_rollouts(driver.now(), false);
        tokio::time::sleep(Duration::from_millis(5)).await;
        tables.follow_rollouts(driver.now(), true);
        assert!(!tables.has_read_rollouts());
        learn::compare_positions(&driver, &addr, &positions, compared_now(&driver));
        assert!(tables.has_read_rollouts());
    });
}

/// Guards against an old state that peers take for the newest one: an instance without an order
/// keeps its copy, but does not read the table.
#[test]
fn a_copy_that_is_not_kept_up_to_date_is_sent_to_nobody() {
    on_event_loop(async {
        let store = MemoryStore::default();
        store.put(TABLE, KEY, FINAL.into());
        let (driver, _) = driver(&store);
        let tables = &driver.peers.tables;
        tables.follow_rollouts(driver.now(), true);
        follow::read_back(&driver, TABLE).await.unwrap();
        let requests = tables.next_requests();
        let whole = PortionRequest { from: 0, ..requests[4].clone() };
        let requests = [&requests[..4], &[whole]].concat();
        assert_eq!(tables.read_portions(&requests)[4].records.len(), 1);
        tables.follow_rollouts(driver.now(), false);
        let portion = tables.read_portions(&requests)[4].clone();
        assert!(portion.records.is_empty());
        let mut copy = Table::default();
        copy.apply_listing(Vec::new(), Position::default());
        assert!(!CatchUp::default().apply(&mut copy, portion).is_caught_up);
    });
}

/// Guards against a state that is lost with the store's newest records, and against one that is
/// written over a newer state.
#[test]
fn a_lost_state_is_written_again_unless_there_is_a_newer_one() {
    on_event_loop(async {
        for newer in [None, Some("completed v3 v2 9000 1 1 0 other because")] {
            let store = MemoryStore::default();
            let (driver, _) = driver(&store);
            store.put(TABLE, KEY, FINAL.into());
            follow::read_back(&driver, TABLE).await.unwrap();
            store.restore(TABLE, 1);
            follow::read_back(&driver, TABLE).await.unwrap();
            let lost = driver.peers.tables.carried_over(TABLE);
            assert_eq!(lost.len(), 1);
            newer.into_iter().for_each(|text| store.write_before_next(KEY, text));
            let written = rollouts::rewrite(&driver, &lost[0]).await;
            assert_eq!(written.is_ok(), newer.is_none());
            assert_eq!((store.len(TABLE), value(&store).as_str()), (1, newer.unwrap_or(FINAL)));
        }
    });
}

/// Without an order the table costs nothing, as before rollouts.
#[test]
fn the_table_is_not_read_without_an_order() {
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.add_endpoint("desk", "desk", ScriptedEndpoint::answering("x").addr);
    let relay = Relay::builder("own", &store).rollouts().start();
    relay.wait_ready();
    wait_for("the other tables were read again", || store.reads(TableName::Endpoints) > 4);
    assert_eq!(exchange(relay.front, "/once/x", "").status, 200);
    assert_eq!(store.reads(TABLE), 0);
    assert_eq!(get(relay.metrics, "/rollouts").body, "[]");
}

/// Guards against an instance that follows no order since it never reads the states.
#[test]
fn the_table_is_read_once_a_rollout_is_ordered() {
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.add_endpoint("desk", "desk", ScriptedEndpoint::answering("x").addr);
    let relay = Relay::builder("own", &store).rollouts().start();
    relay.wait_ready();
    store.put(TableName::Config, KEY, b"v2 12".to_vec());
    wait_for("the table was read", || store.reads(TABLE) > 0);
}

/// Guards against a list without the counts of the deciding instance, which reports to nobody.
#[test]
fn the_deciding_instance_lists_its_own_counts() {
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.add_endpoint("desk", "desk", ScriptedEndpoint::answering("x").addr);
    let relay = Relay::builder("own", &store).rollouts().start();
    relay.wait_ready();
    store.put(TableName::Config, KEY, b"v2 12".to_vec());
    let listed = || -> Vec<RolloutOverview> {
        serde_json::from_str(&get(relay.metrics, "/rollouts").body).unwrap()
    };
    wait_for("the order was received", || !listed().is_empty());
    // The first replies of a route have none to be compared with, and do not count.
    wait_for("replies are counted", || {
        assert_eq!(exchange(relay.front, "/once/x", "").status, 200);
        let rollout = listed().remove(0);
        rollout.instances == 1 && rollout.routes.iter().any(|route| route.stable.good > 0)
    });
}

/// Guards against an instance that waits for the table of rollouts forever, since the copies of
/// its peers are empty, or older than its own order.
#[test]
fn an_instance_that_the_store_refuses_becomes_ready_while_a_rollout_is_ordered() {
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.put(TableName::Config, KEY, b"v2 12".to_vec());
    store.add_endpoint("desk", "desk", ScriptedEndpoint::answering("x").addr);
    let first = Relay::builder("first", &store).rollouts().start();
    first.wait_ready();
    let unavailable = MemoryStore::default();
    unavailable.set_unavailable(true);
    for name in ["second", "third"] {
        let relay = Relay::builder(name, &unavailable).rollouts().seeds(&[first.peers]).start();
        relay.wait_ready();
    }
}

/// Guards against an order that stops instances, or that is taken for another one.
#[test]
fn an_unreadable_order_is_counted() {
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.put(TableName::Config, KEY, b"nothing".to_vec());
    store.add_endpoint("desk", "desk", ScriptedEndpoint::answering("x").addr);
    let relay = Relay::builder("own", &store).rollouts().start();
    relay.wait_ready();
    wait_for("it is counted", || relay.counter("peatdeck.relay.config_unreadable") == 1);
    assert_eq!(exchange(relay.front, "/once/x", "").status, 200);
}
