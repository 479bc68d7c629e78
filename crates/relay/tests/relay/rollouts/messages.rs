//! Reports of counts to the instance that decides on a rollout.

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        model::EndpointId,
        position::{Position, Timeline},
        rollout::{Counts, Evidence, Phase, RouteCounts, Verdict},
        table::Record,
    },
};
use peatdeck_relay::driver::Driver;
use peatdeck_util::metrics::Registry;
use peatdeck_wire::{link, relay_capnp, rollout as wire};
use tokio::net::TcpListener;

use crate::{
    rollouts::{counter, driver, on_event_loop},
    standins::{MemoryStore, Relay},
};

/// An instance of a build without rollouts.
struct OlderBuild;

impl relay_capnp::relay::Server for OlderBuild {}

/// Starts an instance of a build without rollouts. Returns its address and the number of
/// connections that were opened to it.
async fn start_older_build() -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let opened = Rc::new(Cell::new(0));
    let connections = opened.clone();
    ntex::rt::spawn(async move {
        let service: relay_capnp::relay::Client = capnp_rpc::new_client(OlderBuild);
        while let Ok((stream, _)) = listener.accept().await {
            connections.set(connections.get() + 1);
            ntex::rt::spawn(link::serve(service.clone(), stream));
        }
    });
    (addr, opened)
}

/// Reports counts to a peer at this address and waits for its answer.
async fn report(driver: &Rc<Driver>, metrics: &Registry, addr: SocketAddr) {
    let value = format!(r#"{{"peers":"{addr}","place":"east"}}"#).into();
    let announcement = Record { key: Arc::from("peer"), offset: 1, value: Some(value) };
    driver.peers.apply_announcement(driver, &announcement);
    let before = counter(metrics, "evidence");
    driver.peers.report_evidence(driver, Arc::from("peer"), evidence());
    while counter(metrics, "evidence") == before {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a report that closes the connection to a peer of an older build, which also
/// carries pieces.
#[test]
fn a_report_to_an_older_build_keeps_the_connection() {
    on_event_loop(async {
        let (driver, metrics) = driver(&MemoryStore::default());
        let (addr, opened) = start_older_build().await;
        for _ in 0..3 {
            report(&driver, &metrics, addr).await;
        }
        assert_eq!((opened.get(), counter(&metrics, "evidence_failed")), (1, 0));
    });
}

#[test]
fn a_report_reaches_an_instance() {
    let store = MemoryStore::default();
    let relay = Relay::builder("other", &store).rollouts().start();
    on_event_loop(async move {
        let (driver, metrics) = driver(&store);
        report(&driver, &metrics, relay.peers).await;
        assert_eq!(counter(&metrics, "evidence_failed"), 0);
    });
}

fn evidence() -> Evidence {
    let counts = |good| Counts { good, failed: good + 1, slow: good + 2 };
    let endpoint = EndpointId { name: Arc::from("desk-1"), incarnation: Incarnation(9) };
    let (stable, canary) = (counts(1), counts(5));
    Evidence {
        service: Arc::from("desk"),
        order: Position { timeline: Timeline(2), offset: 7 },
        content: 13,
        age: Duration::from_millis(250),
        phase: Phase::Shifting,
        is_halted: true,
        old_calls: 3,
        routes: vec![RouteCounts { route: Arc::from("draft"), stable, canary }],
        endpoints: vec![(endpoint, counts(11))],
    }
}

/// Guards against a verdict or counts that change on their way between instances.
#[test]
fn counts_and_verdicts_are_read_as_they_were_written() {
    let (evidence, order) = (evidence(), Position::default());
    let mut message = capnp::message::Builder::new_default();
    wire::write_evidence(&evidence, message.init_root());
    let read = message.get_root_as_reader().map_err(Into::into).and_then(wire::read_evidence);
    assert_eq!(read.unwrap(), evidence);
    for phase in [Phase::Canary, Phase::Shifting, Phase::Completed, Phase::RolledBack] {
        let (service, age) = (Arc::from("desk"), Duration::from_millis(4200));
        let verdict = Verdict { service, order, content: 17, phase, is_halted: false, age };
        let mut message = capnp::message::Builder::new_default();
        wire::write_verdict(&verdict, message.init_root());
        let read = message.get_root_as_reader().map_err(Into::into).and_then(wire::read_verdict);
        assert_eq!(read.unwrap(), verdict);
    }
}
