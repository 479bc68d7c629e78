//! A store that is unavailable, compacts its log, has unreadable records or is slow.

use std::time::Duration;

use peatdeck_relay::surroundings::TableName;

use crate::standins::{
    JumpingClock, MemoryStore, Relay, ScriptedEndpoint, Site, exchange, wait_for,
};

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

/// Guards against calls to endpoints that have left without notice, and against refusals after an
/// outage of the store that made the entries of endpoints expire.
#[test]
fn an_entry_that_disappears_has_expired_only_if_the_store_was_away() {
    for was_away in [false, true] {
        let store = MemoryStore::default();
        store.put(TableName::Config, "config", b"1".to_vec());
        store.add_endpoint("desk", "desk", ScriptedEndpoint::answering("x").addr);
        let clock = JumpingClock::default();
        let relay = Relay::builder("own", &store).clock(&clock).start();
        relay.wait_ready();
        assert_eq!(exchange(relay.front, "/once/x", "").status, 200);
        let ready = || relay.counter("peatdeck.relay.endpoints_ready");
        wait_for("the entry is counted", || ready() == 1);
        let failed = || relay.counter("peatdeck.relay.store_failed") > 0;
        if was_away {
            store.set_unavailable(true);
            wait_for("a read failed", failed);
            clock.jump(Duration::from_secs(60));
        }
        store.write(TableName::Endpoints, "desk", None);
        store.set_unavailable(false);
        wait_for("the removal was read", || ready() == 0);
        let outages = || relay.counter("peatdeck.relay.store_outages");
        // A process that gets no time for two seconds counts them as an outage, too.
        let is_used = exchange(relay.front, "/once/x", "").status == 200;
        assert!(!is_used || outages() > 0, "the endpoint has left");
        if was_away {
            wait_for("the outage is counted", || outages() > 0);
        }
    }
}

/// Guards against restarted instances of a test that take tables from an instance of another one.
#[test]
fn the_address_of_an_instance_is_never_given_to_one_of_another_store() {
    let relays = ["a", "b"].map(|name| Relay::start(name, &MemoryStore::default(), &[]));
    assert_ne!(relays[0].peers.ip(), relays[1].peers.ip());
}
