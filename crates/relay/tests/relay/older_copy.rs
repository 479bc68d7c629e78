//! The platform's store is restored from an older copy.
//!
//! Guards against changes that the store has acknowledged but instances don't apply. After the
//! restoration the store's log is shorter, and new records get offsets that instances have read
//! before, so they skipped the records until the log was as long as it had been.

use peatdeck_relay::surroundings::TableName;

use crate::standins::{MemoryStore, Relay, ScriptedEndpoint, Site, exchange, wait_for};

/// A site whose store has versions 1 to `versions` of the configuration.
fn site(versions: u64) -> Site {
    let site = Site::start(&[ScriptedEndpoint::answering("x"), ScriptedEndpoint::answering("y")]);
    for version in 2..=versions {
        publish(&site.store, version);
    }
    wait_for("the versions are in force", || is_in_force(&site.relay, versions));
    site
}

fn publish(store: &MemoryStore, version: u64) {
    store.put(TableName::Config, "config", version.to_string().into_bytes());
}

fn is_in_force(relay: &Relay, version: u64) -> bool {
    exchange(relay.front, &format!("/since-{version}/x"), "").status == 200
}

#[test]
fn a_version_at_a_lower_offset_than_was_read_is_in_force() {
    let site = site(4);
    site.store.restore(TableName::Config, 3);
    publish(&site.store, 5);
    wait_for("version 5 is in force", || is_in_force(&site.relay, 5));
}

#[test]
fn a_version_that_brings_the_log_to_the_end_that_was_read_is_in_force() {
    let site = site(4);
    site.store.restore(TableName::Config, 2);
    for version in [5, 6] {
        publish(&site.store, version);
    }
    wait_for("version 6 is in force", || is_in_force(&site.relay, 6));
}

#[test]
fn a_version_after_two_copies_in_a_row_is_in_force() {
    let site = site(5);
    site.store.restore(TableName::Config, 1);
    publish(&site.store, 6);
    site.store.restore(TableName::Config, 3);
    publish(&site.store, 7);
    wait_for("version 7 is in force", || is_in_force(&site.relay, 7));
}

#[test]
fn an_older_copy_reverts_no_version() {
    let site = site(3);
    site.store.restore(TableName::Config, 2);
    wait_for("the copy was read", || site.relay.counter("peatdeck.relay.store_copies") > 0);
    assert!(is_in_force(&site.relay, 3) && !is_in_force(&site.relay, 1));
}

#[test]
fn an_endpoint_removed_at_a_lower_offset_receives_nothing_more() {
    let (one, two) = (ScriptedEndpoint::answering("x"), ScriptedEndpoint::answering("y"));
    let site = Site::start(std::slice::from_ref(&two));
    // The endpoint moves once, and its entry is written repeatedly to make the log long.
    (0..5).for_each(|_| site.store.add_endpoint("desk-0", "desk", one.addr));
    wait_for("the log was read", || {
        site.exchange("/idempotent/x");
        !one.received().is_empty()
    });
    site.store.restore(TableName::Endpoints, 5);
    site.store.add_endpoint("desk-1", "desk", two.addr);
    site.store.write(TableName::Endpoints, "desk-0", None);
    let receives_nothing = || {
        let before = one.received().len();
        (0..8).for_each(|_| drop(site.exchange("/idempotent/x")));
        one.received().len() == before
    };
    wait_for("the endpoint receives nothing more", receives_nothing);
}

#[test]
fn an_instance_whose_record_was_lost_writes_it_again() {
    let site = site(1);
    wait_for("the instance is announced", || site.store.len(TableName::Instances) == 1);
    site.store.restore(TableName::Instances, 1);
    wait_for("the instance is announced again", || site.store.len(TableName::Instances) == 1);
}

/// The record of a quarantined content.
const RECORD: &str = r#"{"crashes":3,"by":"own","at_ms":0}"#;
const CONTENT: &str = "000000000000000000000000000000ff";

#[test]
fn a_content_whose_record_was_lost_is_recorded_again() {
    let site = site(1);
    let quarantined = || site.relay.counter("peatdeck.relay.quarantined");
    site.store.put(TableName::Quarantine, CONTENT, RECORD.into());
    wait_for("the content is quarantined", || quarantined() == 1);
    site.store.restore(TableName::Quarantine, 1);
    wait_for("the content is recorded again", || site.store.len(TableName::Quarantine) == 1);
    assert_eq!(quarantined(), 1);
}

#[test]
fn a_content_whose_release_was_lost_is_released_again() {
    let site = site(1);
    let quarantined = || site.relay.counter("peatdeck.relay.quarantined");
    site.store.put(TableName::Quarantine, CONTENT, RECORD.into());
    wait_for("the content is quarantined", || quarantined() == 1);
    site.store.write(TableName::Quarantine, CONTENT, None);
    wait_for("the content is released", || quarantined() == 0);
    site.store.restore(TableName::Quarantine, 1);
    wait_for("the release is recorded again", || site.store.len(TableName::Quarantine) == 2);
    assert_eq!(quarantined(), 0);
}

/// Only its peers have the version, since it has not been written again yet.
#[test]
fn an_instance_that_starts_before_a_version_is_written_again_has_it() {
    let site = site(2);
    // Larger than one reply of a peer.
    let large = format!("{}3", " ".repeat(200_000));
    site.store.put(TableName::Config, "config", large.into_bytes());
    wait_for("version 3 is in force", || is_in_force(&site.relay, 3));
    site.store.restore(TableName::Config, 2);
    // Other records make the log as long as it was.
    site.store.put(TableName::Config, "evacuate/west", b"{}".to_vec());
    site.store.write(TableName::Config, "evacuate/west", None);
    let second = Relay::start("second", &site.store, &[]);
    second.wait_ready();
    wait_for("version 3 is in force", || is_in_force(&second, 3));
    assert!(is_in_force(&site.relay, 3));
}

/// An instance that the store refuses receives records from peers only.
#[test]
fn an_instance_that_the_store_refuses_receives_a_version_at_a_lower_offset() {
    let site = site(4);
    let unavailable = MemoryStore::default();
    unavailable.set_unavailable(true);
    let second = Relay::start("second", &unavailable, &[site.relay.peers]);
    wait_for("version 4 is in force", || is_in_force(&second, 4));
    site.store.restore(TableName::Config, 3);
    publish(&site.store, 5);
    wait_for("version 5 is in force", || is_in_force(&second, 5));
}

/// No operator has removed the evacuation.
#[test]
fn an_evacuation_whose_record_was_lost_stays_in_force() {
    let site = site(1);
    let evacuated = || site.relay.counter("peatdeck.relay.evacuated");
    site.store.put(TableName::Config, "evacuate/east", b"{}".to_vec());
    wait_for("the evacuation is in force", || evacuated() == 1);
    site.store.restore(TableName::Config, 1);
    wait_for("the copy was read", || site.relay.counter("peatdeck.relay.store_copies") > 0);
    assert_eq!(evacuated(), 1);
    site.store.put(TableName::Config, "evacuate/east", b"{}".to_vec());
    site.store.write(TableName::Config, "evacuate/east", None);
    wait_for("the evacuation is over", || evacuated() == 0);
}

#[test]
fn an_endpoint_that_is_not_written_again_is_removed_after_a_while() {
    let (one, two) = (ScriptedEndpoint::answering("x"), ScriptedEndpoint::answering("y"));
    let site = Site::start(std::slice::from_ref(&two));
    site.store.write(TableName::Endpoints, "desk-0", None);
    site.store.add_endpoint("desk-1", "desk", one.addr);
    wait_for("the endpoint is called", || {
        site.exchange("/idempotent/x");
        !one.received().is_empty()
    });
    site.store.restore(TableName::Endpoints, 2);
    wait_for("the copy was read", || site.relay.counter("peatdeck.relay.store_copies") > 0);
    // Its record may be written again yet, and the other endpoint had left.
    let (before, left) = (one.received().len(), two.received().len());
    assert_eq!(site.exchange("/idempotent/x").status, 200);
    assert_eq!((one.received().len(), two.received().len()), (before + 1, left));
    wait_for("the records of the store are in force", || {
        site.exchange("/idempotent/x");
        two.received().len() > left
    });
}

/// The instance does not read the store in between.
#[test]
fn an_evacuation_that_was_written_again_and_removed_is_over() {
    let site = site(1);
    let evacuated = || site.relay.counter("peatdeck.relay.evacuated");
    site.store.put(TableName::Config, "evacuate/east", b"{}".to_vec());
    wait_for("the evacuation is in force", || evacuated() == 1);
    site.store.set_unavailable(true);
    site.store.restore(TableName::Config, 1);
    site.store.put(TableName::Config, "evacuate/east", b"{}".to_vec());
    site.store.write(TableName::Config, "evacuate/east", None);
    site.store.set_unavailable(false);
    wait_for("the evacuation is over", || evacuated() == 0);
    assert_eq!(site.relay.counter("peatdeck.relay.records_given_up"), 0);
}

/// The listing may belong to an earlier log, so the instance refuses it and retries after a pause.
#[test]
fn a_listing_without_a_timeline_is_refused_after_a_later_one_was_stated() {
    let site = site(2);
    site.store.set_timeline_hidden(true);
    site.store.restore(TableName::Config, 1);
    wait_for("the listing is refused", || site.relay.counter("peatdeck.relay.store_failed") > 3);
    assert!(is_in_force(&site.relay, 2));
    site.store.set_timeline_hidden(false);
    publish(&site.store, 3);
    wait_for("version 3 is in force", || is_in_force(&site.relay, 3));
}
