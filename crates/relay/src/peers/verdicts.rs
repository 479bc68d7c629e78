//! What instances tell each other of contents that crash what runs them.

use std::{rc::Rc, sync::Arc, time::Duration};

use futures::future;
use peatdeck_core::{
    model::InstanceName,
    relay::{fingerprint::Fingerprint, quarantine::Crash},
};
use peatdeck_wire::{link::Error, relay as wire, relay_capnp::relay};

use crate::{
    driver::Driver,
    peers::{EXCHANGE_TIMEOUT, Peers},
};

/// Time for all peers to say whether they had a content answered. One that does not
/// say so in time, since it is gone or paused, counts as not having had it: every
/// moment more is one in which an endpoint may end.
const CONSULT_TIMEOUT: Duration = Duration::from_millis(300);

impl Peers {
    /// Tells a keeper of contents of their crashes. There is another keeper, so what
    /// does not arrive is not told again.
    pub fn accuse(&self, driver: &Rc<Driver>, peer: InstanceName, crashes: Vec<Crash>) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            if let Err(error) = accuse(&driver, &peer, &crashes).await {
                driver.metrics.count("relay.accusations_failed", 1);
                tracing::info!(event = "accuse_failed", peer = &*peer, error = %error);
            }
        });
    }

    /// Asks all peers whether they had a content answered since a time.
    pub fn consult(&self, driver: &Rc<Driver>, content: Fingerprint, since: Duration) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            let age = driver.now().saturating_sub(since);
            let asked = driver.peers.reachable(&driver).into_iter();
            let asked = asked.map(|addr| was_answered(&driver, addr, content, age));
            let answers = future::join_all(asked).await;
            let was_answered = answers.contains(&true);
            driver.feed(|machine, now| machine.on_query_result(now, content, was_answered));
        });
    }

    /// Tells all peers that a content is held back. Whoever does not hear it reads it
    /// in the platform's table.
    pub fn quarantine(&self, driver: &Rc<Driver>, content: Fingerprint, crashes: u32) {
        for addr in self.reachable(driver) {
            let driver = driver.clone();
            ntex::rt::spawn(async move {
                if let Err(error) = tell(&driver, &addr, content, crashes).await {
                    tracing::info!(event = "quarantine_untold", %content, addr = &*addr, error = %error);
                }
            });
        }
    }

    /// The addresses of all peers that are not known to be dead.
    fn reachable(&self, driver: &Driver) -> Vec<Arc<str>> {
        let members = self.members.borrow();
        let alive = members.alive(driver.now()).into_iter();
        alive.filter_map(|name| members.addr(&name)).collect()
    }
}

async fn accuse(driver: &Rc<Driver>, peer: &str, crashes: &[Crash]) -> Result<(), Error> {
    let addr = driver.peers.members.borrow().addr(peer).ok_or(Error::TimedOut)?;
    let exchange = async |client: relay::Client| {
        let mut request = client.accuse_request();
        wire::write_crashes(crashes, request.get().init_crashes(crashes.len() as u32));
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
        Ok(request.send().promise.await?.get()?.get_was_answered())
    };
    // A slow answer is no reason to close the connection, as with placements.
    let asked = driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange);
    matches!(tokio::time::timeout(CONSULT_TIMEOUT, asked).await, Ok(Ok(true)))
}

async fn tell(
    driver: &Rc<Driver>,
    addr: &Arc<str>,
    content: Fingerprint,
    crashes: u32,
) -> Result<(), Error> {
    let exchange = async |client: relay::Client| {
        let mut request = client.quarantine_request();
        request.get().set_content(&wire::write_content(content));
        request.get().set_crashes(crashes);
        request.send().promise.await?;
        Ok(())
    };
    driver.peers.links.exchange(addr, EXCHANGE_TIMEOUT, exchange).await
}
