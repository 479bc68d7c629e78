//! Instances that are cut off from all endpoints, while their callers and peers reach them.

use std::{
    thread,
    time::{Duration, Instant},
};

use peatdeck_relay::surroundings::TableName;

use crate::standins::{
    Conn, Cut, EndpointLinks, MemoryStore, Relay, ScriptedEndpoint, TIMEOUT, read_reply,
    request_within, wait_for,
};

/// Time that the callers have.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Pause between two requests to an instance.
const PAUSE: Duration = Duration::from_millis(20);
/// Requests in a row that show that an instance serves its callers.
const PROOF: usize = 5;
/// Requests that are counted then, and how many of them may fail.
const COUNTED: usize = 60;
const MAX_FAILED: usize = 1;

struct Site {
    relays: Vec<Relay>,
    links: Vec<EndpointLinks>,
    _endpoints: Vec<ScriptedEndpoint>,
}

impl Site {
    /// Starts instances, each with links of its own to three endpoints.
    fn start(instances: usize) -> Site {
        let endpoints: Vec<_> = (0..3).map(|_| ScriptedEndpoint::answering("x")).collect();
        let store = MemoryStore::default();
        store.put(TableName::Config, "config", b"1".to_vec());
        for (idx, endpoint) in endpoints.iter().enumerate() {
            store.add_endpoint(&format!("desk-{idx}"), "desk", endpoint.addr);
        }
        let links: Vec<_> = (0..instances).map(|_| EndpointLinks::default()).collect();
        let start = |(idx, links): (usize, &EndpointLinks)| {
            Relay::builder(&format!("r{idx}"), &store).endpoint_links(links).start()
        };
        let relays: Vec<_> = links.iter().enumerate().map(start).collect();
        for relay in &relays {
            relay.wait_ready();
            wait_for("the instance has found its peers", || {
                relay.counter("peatdeck.relay.peers") == instances as u64 - 1
            });
        }
        let site = Site { relays, links, _endpoints: endpoints };
        for idx in 0..instances {
            assert_eq!(site.count_served(idx, COUNTED), COUNTED, "before the cut");
        }
        site
    }

    fn cut(&self, count: usize, cut: Cut) {
        self.links[..count].iter().for_each(|links| links.cut(cut));
    }

    fn is_served(&self, idx: usize) -> bool {
        let mut conn = Conn::open(self.relays[idx].front);
        conn.write(&request_within("/idempotent/x", DEADLINE));
        read_reply(&mut conn).status == 200
    }

    fn count_served(&self, idx: usize, count: usize) -> usize {
        let served = (0..count).filter(|_| {
            thread::sleep(PAUSE);
            self.is_served(idx)
        });
        served.count()
    }

    /// Waits until each instance serves its callers, and goes on to do so.
    fn check_served(&self) {
        thread::scope(|scope| {
            for idx in 0..self.relays.len() {
                scope.spawn(move || {
                    let is_proved = || (0..PROOF).all(|_| self.is_served(idx));
                    let start = Instant::now();
                    while !is_proved() {
                        assert!(start.elapsed() < TIMEOUT, "r{idx} does not serve its callers");
                        thread::sleep(PAUSE);
                    }
                    let served = self.count_served(idx, COUNTED);
                    assert!(served + MAX_FAILED >= COUNTED, "r{idx}: {served} of {COUNTED}");
                });
            }
        });
    }
}

/// Cuts off some of four instances, and then restores their links.
fn check_cut(count: usize, cut: Cut) {
    let site = Site::start(4);
    site.cut(count, cut);
    site.check_served();
    site.cut(count, Cut::None);
    site.check_served();
    let direct =
        || site.relays.iter().all(|it| it.counter("peatdeck.relay.endpoints_unreachable") == 0);
    wait_for("all instances call the endpoints themselves again", direct);
}

#[test]
fn instances_whose_connections_to_endpoints_hang_serve_their_callers() {
    check_cut(2, Cut::Hang);
}

#[test]
fn instances_whose_connections_to_endpoints_are_refused_serve_their_callers() {
    check_cut(2, Cut::Refuse);
}

#[test]
fn instances_that_can_open_no_new_connections_to_endpoints_serve_their_callers() {
    check_cut(2, Cut::RefuseNew);
}

#[test]
fn instances_whose_connections_to_endpoints_are_reset_serve_their_callers() {
    check_cut(2, Cut::Reset);
}

#[test]
fn the_last_connected_instance_serves_the_callers_of_all() {
    check_cut(3, Cut::Hang);
}

#[test]
fn instances_whose_connections_to_endpoints_carry_nothing_serve_their_callers() {
    check_cut(2, Cut::Silent);
}

#[test]
fn the_last_instance_whose_connections_carry_anything_serves_the_callers_of_all() {
    check_cut(3, Cut::Silent);
}
