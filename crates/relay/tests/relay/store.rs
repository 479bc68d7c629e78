//! A store that is dark, forgets, or is scarce.

use std::time::Duration;

use peatdeck_relay::surroundings::TableName;

use crate::standins::{Desk, MemoryStore, Relay, Site, ask, wait_for};

#[test]
fn an_instance_that_knows_nothing_is_not_ready_and_says_not_run() {
    let store = MemoryStore::default();
    store.set_dark(true);
    let relay = Relay::start("own", &store, &[]);
    assert_eq!(relay.ready_status(), 503);
    assert_eq!(ask(relay.front, "/once/x", "").status, 503);
    store.put(TableName::Config, "config", b"1".to_vec());
    store.enlist("desk", "desk", Desk::answering("x").addr);
    store.set_dark(false);
    relay.wait_ready();
    assert_eq!(ask(relay.front, "/once/x", "").status, 200);
}

#[test]
fn an_instance_serves_on_while_the_store_is_dark() {
    let site = Site::start(&[Desk::answering("x")]);
    site.store.set_dark(true);
    wait_for("a read failed", || site.relay.counter("peatdeck.relay.store_failed") > 0);
    assert_eq!(site.ask("/once/x").status, 200);
    site.store.put(TableName::Config, "config", b"2".to_vec());
    site.store.set_dark(false);
    wait_for("version 2 is in force", || site.ask("/since-2/x").status == 200);
}

#[test]
fn a_store_that_forgot_its_log_is_read_whole_again() {
    let site = Site::start(&[Desk::answering("x")]);
    site.store.put(TableName::Config, "config", b"2".to_vec());
    site.store.put(TableName::Config, "config", b"3".to_vec());
    site.store.compact(TableName::Config);
    wait_for("version 3 is in force", || site.ask("/since-3/x").status == 200);
}

#[test]
fn a_configuration_that_cannot_be_read_changes_nothing() {
    let site = Site::start(&[Desk::answering("x")]);
    site.store.put(TableName::Config, "config", b"not a version".to_vec());
    let unreadable = || site.relay.counter("peatdeck.relay.config_unreadable");
    wait_for("it was noticed", || unreadable() == 1);
    assert_eq!(site.ask("/since-1/x").status, 200);
}

/// A large answer takes its time on a narrow link. Whether it still comes is
/// seen by whoever reads it, so no limit on the whole call cuts it off: it
/// would only be asked for again.
#[test]
fn an_answer_of_the_store_that_takes_long_is_waited_for() {
    let site = Site::start(&[Desk::answering("x")]);
    site.store.set_delay(Duration::from_millis(2500));
    site.store.put(TableName::Config, "config", b"2".to_vec());
    wait_for("version 2 is in force", || site.ask("/since-2/x").status == 200);
}
