//! Reports of this instance's counts of a rollout to the instance that decides on it.

use std::rc::Rc;

use peatdeck_core::{
    model::InstanceName,
    relay::rollout::{Evidence, Verdict},
};
use peatdeck_wire::{link::Error, relay_capnp::relay, rollout as wire};

use crate::{
    driver::Driver,
    peers::{EXCHANGE_TIMEOUT, Peers},
};

impl Peers {
    /// Reports counts to the deciding instance and passes its verdict to the machine. A
    /// failed report is not retried, since the next one contains its counts.
    pub fn report_evidence(&self, driver: &Rc<Driver>, peer: InstanceName, evidence: Evidence) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            let verdict = match send_evidence(&driver, &peer, &evidence).await {
                Ok(verdict) => verdict,
                Err(error) => {
                    driver.metrics.count("relay.evidence_failed", 1);
                    let service = &*evidence.service;
                    tracing::info!(event = "evidence_failed", service, peer = &*peer, error = %error);
                    None
                }
            };
            driver.metrics.count("relay.evidence", 1);
            driver.feed(|machine, now| machine.on_verdict(now, &evidence.service, verdict));
        });
    }
}

/// Sends the counts. Returns the verdict, `None` if the peer does not decide on the service.
async fn send_evidence(
    driver: &Rc<Driver>,
    peer: &str,
    evidence: &Evidence,
) -> Result<Option<Verdict>, Error> {
    let addr = driver.peers.members.borrow().addr(peer).ok_or(Error::TimedOut)?;
    let exchange = async |client: relay::Client| {
        let mut request = client.evidence_request();
        request.get().set_from(&*driver.settings.name);
        wire::write_evidence(evidence, request.get().init_evidence());
        let response = match request.send().promise.await {
            // A peer of a build without rollouts; an error would close the connection, which
            // also carries pieces.
            Err(error) if error.kind == capnp::ErrorKind::Unimplemented => return Ok(None),
            response => response?,
        };
        let response = response.get()?;
        let verdict = wire::read_verdict(response.get_verdict()?)?;
        Ok(response.get_decides().then_some(verdict))
    };
    driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange).await
}
