//! Messages between instances about contents that crash the endpoints that run them.

use std::{rc::Rc, sync::Arc, time::Duration};

use futures::future;
use peatdeck_core::{
    model::InstanceName,
    relay::{fingerprint::Fingerprint, quarantine::Crash},
};
use peatdeck_wire::{link::Error, relay as wire, relay_capnp::relay};

use crate::{
    driver::Driver,
    peers::{EXCHANGE_TIMEOUT, Peers, remote::Kind},
};

/// Time limit for peers to report whether an endpoint answered a content. A peer that does
/// not reply in time, since it has stopped or is suspended, counts as not having had an
/// answer: in any longer wait another endpoint may crash.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

impl Peers {
    /// Reports crashes to a collector of their contents. There is a second collector, so a
    /// failed report is not retried.
    pub fn report_crashes(&self, driver: &Rc<Driver>, peer: InstanceName, crashes: Vec<Crash>) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            if let Err(error) = send_crashes(&driver, &peer, &crashes).await {
                driver.metrics.count("relay.accusations_failed", 1);
                tracing::info!(event = "accuse_failed", peer = &*peer, error = %error);
            }
        });
    }

    /// Queries all peers whether a content was answered there since a time, and passes the
    /// result to the machine.
    pub fn query_answered(&self, driver: &Rc<Driver>, content: Fingerprint, since: Duration) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            let age = driver.now().saturating_sub(since);
            let queries = driver.peers.reachable(&driver).into_iter();
            let queries = queries.map(|addr| was_answered(&driver, addr, content, age));
            let answers = future::join_all(queries).await;
            let was_answered = answers.contains(&true);
            driver.feed(|machine, now| machine.on_query_result(now, content, was_answered));
        });
    }

    /// Announces to all peers that a content is quarantined. A peer that does not receive
    /// this reads it from the platform's quarantine table.
    pub fn announce_quarantine(&self, driver: &Rc<Driver>, content: Fingerprint, crashes: u32) {
        for addr in self.reachable(driver) {
            let driver = driver.clone();
            ntex::rt::spawn(async move {
                if let Err(error) = send_quarantine(&driver, &addr, content, crashes).await {
                    tracing::info!(event = "quarantine_untold", %content, addr = &*addr, error = %error);
                }
            });
        }
    }

    /// The addresses of all peers that are considered alive.
    fn reachable(&self, driver: &Driver) -> Vec<Arc<str>> {
        let members = self.members.borrow();
        let alive = members.alive(driver.now()).into_iter();
        alive.filter_map(|name| members.addr(&name)).collect()
    }
}

async fn send_crashes(driver: &Rc<Driver>, peer: &str, crashes: &[Crash]) -> Result<(), Error> {
    let addr = driver.peers.members.borrow().addr(peer).ok_or(Error::TimedOut)?;
    let exchange = async |client: relay::Client| {
        let mut request = client.accuse_request();
        wire::write_crashes(crashes, request.get().init_crashes(crashes.len() as u32));
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(driver, &addr, Kind::Others, size);
        request.send().promise.await?;
        Ok(())
    };
    driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange).await
}

async fn was_answered(
    driver: &Rc<Driver>,
    addr: Arc<str>,
    content: Fingerprint,
    age: Duration,
) -> bool {
    let exchange = async |client: relay::Client| {
        let mut request = client.consult_request();
        request.get().set_content(&wire::write_content(content));
        request.get().set_age_ms(wire::write_age(age));
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(driver, &addr, Kind::Others, size);
        Ok(request.send().promise.await?.get()?.get_was_answered())
    };
    // As with placements, a slow reply must not close the connection.
    let query = driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange);
    matches!(tokio::time::timeout(QUERY_TIMEOUT, query).await, Ok(Ok(true)))
}

async fn send_quarantine(
    driver: &Rc<Driver>,
    addr: &Arc<str>,
    content: Fingerprint,
    crashes: u32,
) -> Result<(), Error> {
    let exchange = async |client: relay::Client| {
        let mut request = client.quarantine_request();
        request.get().set_content(&wire::write_content(content));
        request.get().set_crashes(crashes);
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(driver, addr, Kind::Others, size);
        request.send().promise.await?;
        Ok(())
    };
    driver.peers.links.exchange(addr, EXCHANGE_TIMEOUT, exchange).await
}
