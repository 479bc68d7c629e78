//! The list: lag, flapping, outage.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use peatdeck_core::model::{InstanceEntry, Listing, Presence};
use peatdeck_standin::{
    faults::ListFaults,
    listings::{Lag, Listings},
};
use peatdeck_test_support::wait::{self, TIMEOUT};

use crate::support::Standin;

fn listing(name: &str) -> Listing {
    let instance = InstanceEntry {
        name: name.into(),
        peer_addr: "127.0.0.1:1".into(),
        http_addr: "127.0.0.1:2".into(),
        data_centre: "dc".into(),
        presence: Presence::Live,
    };
    Listing { instances: vec![instance], endpoints: Vec::new() }
}

fn shown(listings: &Listings, now: u64, lag: u64, flap: u64) -> String {
    let lag = Lag { lag: Duration::from_secs(lag), flap: Duration::from_secs(flap) };
    let listing = listings.visible(Duration::from_secs(now), lag);
    listing.instances.first().map(|entry| entry.name.to_string()).unwrap_or_default()
}

fn changed_at_10() -> Listings {
    let mut listings = Listings::default();
    listings.set(Duration::from_secs(1), listing("old"));
    listings.set(Duration::from_secs(10), listing("new"));
    listings
}

#[test]
fn a_change_is_visible_after_the_lag() {
    let listings = changed_at_10();
    assert_eq!(shown(&listings, 14, 5, 0), "old");
    assert_eq!(shown(&listings, 15, 5, 0), "new");
    assert_eq!(shown(&listings, 10, 0, 0), "new");
}

#[test]
fn the_first_listing_is_visible_at_once() {
    assert_eq!(shown(&changed_at_10(), 1, 100, 0), "old");
}

#[test]
fn a_flapping_list_alternates_between_listings() {
    let listings = changed_at_10();
    let seen: Vec<String> = (20..26).map(|now| shown(&listings, now, 0, 2)).collect();
    assert_eq!(seen, ["new", "new", "old", "old", "new", "new"]);
}

impl Standin {
    async fn shown(&self) -> String {
        let listing: Listing = self.http.get_json(&self.addr, "/v1/list").await.unwrap();
        listing.instances.first().map(|entry| entry.name.to_string()).unwrap_or_default()
    }

    async fn set_list(&self, name: &str) {
        self.http.put(&self.addr, "/control/list", &listing(name)).await.unwrap();
    }
}

#[ntex::test]
async fn the_list_serves_the_listing_set_before_the_lag() {
    let list = Standin::start(&["list"]).await;
    assert_eq!(list.shown().await, "");
    list.set_list("old").await;
    list.set_faults(&ListFaults { lag_ms: Some(600_000), ..ListFaults::default() }).await;
    list.set_list("new").await;
    assert_eq!(list.shown().await, "old");
    list.set_faults(&ListFaults::default()).await;
    assert_eq!(list.shown().await, "new");
}

#[ntex::test]
async fn a_change_appears_after_the_lag_of_the_setting() {
    let list = Standin::start(&["list", "--lag-ms", "300"]).await;
    list.set_list("old").await;
    list.set_list("new").await;
    let look = async || (list.shown().await == "new").then_some(());
    wait::until("the new listing", TIMEOUT, look).await.unwrap();
}

#[ntex::test]
async fn the_list_is_unavailable_during_an_outage_fault() {
    let list = Standin::start(&["list"]).await;
    list.set_faults(&ListFaults { outage: true, ..ListFaults::default() }).await;
    assert_eq!(list.http.get(&list.addr, "/v1/list").await.unwrap().status, 503);
    list.set_faults(&ListFaults::default()).await;
    assert_eq!(list.shown().await, "");
}
