//! A store that is unavailable, compacts its log, has unreadable records or is slow.

use std::time::Duration;

use peatdeck_relay::surroundings::TableName;

use crate::standins::{MemoryStore, Relay, ScriptedEndpoint, Site, exchange, wait_for};

#[test]
fn an_instance_without_tables_is_not_ready_and_refuses_requests() {
    let store = MemoryStore::default();
    store.set_unavailable(true);
    let relay = Relay::start("own", &store, &[]);
    assert_eq!(relay.ready_status(), 503);
    assert_eq!(exchange(relay.front, "/once/x", "").status, 503);
    store.put(TableName::Config, "config", b"1".to_vec());
    store.add_endpoint("desk", "desk", ScriptedEndpoint::answering("x").addr);
    store.set_unavailable(false);
    relay.wait_ready();
    assert_eq!(exchange(relay.front, "/once/x", "").status, 200);
}

#[test]
fn an_instance_keeps_serving_while_the_store_is_unavailable() {
    let site = Site::start(&[ScriptedEndpoint::answering("x")]);
    site.store.set_unavailable(true);
    wait_for("a read failed", || site.relay.counter("peatdeck.relay.store_failed") > 0);
    assert_eq!(site.exchange("/once/x").status, 200);
    site.store.put(TableName::Config, "config", b"2".to_vec());
    site.store.set_unavailable(false);
    wait_for("version 2 is in force", || site.exchange("/since-2/x").status == 200);
}

#[test]
fn a_store_that_compacted_its_log_is_listed_again() {
    let site = Site::start(&[ScriptedEndpoint::answering("x")]);
    site.store.put(TableName::Config, "config", b"2".to_vec());
    site.store.put(TableName::Config, "config", b"3".to_vec());
    site.store.compact(TableName::Config);
    wait_for("version 3 is in force", || site.exchange("/since-3/x").status == 200);
}

#[test]
fn an_unreadable_configuration_changes_nothing() {
    let site = Site::start(&[ScriptedEndpoint::answering("x")]);
    site.store.put(TableName::Config, "config", b"not a version".to_vec());
    let unreadable = || site.relay.counter("peatdeck.relay.config_unreadable");
    wait_for("the record was counted as unreadable", || unreadable() == 1);
    assert_eq!(site.exchange("/since-1/x").status, 200);
}

/// A large reply takes long on a slow link. The reader sees whether data still arrives, so the
/// whole call has no time limit; otherwise the same reply would be requested again.
#[test]
fn a_slow_reply_of_the_store_is_awaited() {
    let site = Site::start(&[ScriptedEndpoint::answering("x")]);
    site.store.set_delay(Duration::from_millis(2500));
    site.store.put(TableName::Config, "config", b"2".to_vec());
    wait_for("version 2 is in force", || site.exchange("/since-2/x").status == 200);
}
