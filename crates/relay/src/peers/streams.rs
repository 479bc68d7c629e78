//! Messages between instances about the versions that began streams.

use std::{rc::Rc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use peatdeck_core::{
    model::InstanceName,
    relay::{
        model::{ExchangeKey, ServiceName},
        streams::{Origin, PeerAnswer, StreamId, StreamRecord},
    },
};
use peatdeck_wire::{link::Error, relay_capnp::relay, streams as wire};

use crate::{
    driver::Driver,
    peers::{EXCHANGE_TIMEOUT, Peers, remote::Kind},
};

/// Time limit for peers to report which version began a stream. The caller has waited since its
/// stream broke off, and a peer that does not reply has probably ended.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(250);

impl Peers {
    /// Has a peer remember the versions that began streams. There are other holders, so a failed
    /// message is not repeated.
    pub fn record_streams(
        &self,
        driver: &Rc<Driver>,
        peer: InstanceName,
        records: Vec<StreamRecord>,
    ) {
        let driver = driver.clone();
        driver.metrics.count("relay.streams_recorded", records.len() as u64);
        ntex::rt::spawn(async move {
            if let Err(error) = send_records(&driver, &peer, &records).await {
                driver.metrics.count("relay.streams_unrecorded", records.len() as u64);
                tracing::info!(event = "streams_unrecorded", peer = &*peer, error = %error);
            }
        });
    }

    /// Asks peers which version began a stream, and passes what they know to the machine. The
    /// first peer that knows it is enough.
    pub fn ask_origin(
        &self,
        driver: &Rc<Driver>,
        key: ExchangeKey,
        stream: StreamId,
        service: ServiceName,
        peers: Vec<InstanceName>,
    ) {
        let driver = driver.clone();
        driver.metrics.count("relay.origins_asked", 1);
        ntex::rt::spawn(async move {
            let asked_at = driver.now();
            let questions = peers.iter().map(|peer| ask(&driver, peer, stream, &service));
            let mut answers: FuturesUnordered<_> = questions.map(Box::pin).collect();
            let mut answer = PeerAnswer {
                origin: Origin::Unrecorded,
                asked: peers.len(),
                answered: 0,
                age: Duration::ZERO,
            };
            while let Some(known) = answers.next().await {
                let Some((origin, age)) = known else { continue };
                answer.answered += 1;
                match origin {
                    Origin::Version(_) => {
                        (answer.origin, answer.age) = (origin, age);
                        break;
                    }
                    Origin::Ambiguous => answer.origin = origin,
                    Origin::Unrecorded => {}
                }
            }
            drop(answers);
            if let Some(request) = driver.request_of(key) {
                let took_ms = driver.now().saturating_sub(asked_at).as_millis() as u64;
                let (asked, answered) = (peers.len(), answer.answered);
                tracing::info!(
                    event = "stream_origin",
                    id = &*request.id,
                    origin = ?answer.origin,
                    asked,
                    answered,
                    took_ms
                );
            }
            driver.feed(|machine, now| machine.on_origin(now, key, answer));
        });
    }
}

async fn send_records(
    driver: &Rc<Driver>,
    peer: &str,
    records: &[StreamRecord],
) -> Result<(), Error> {
    let addr = driver.peers.members.borrow().addr(peer).ok_or(Error::TimedOut)?;
    let groups = wire::group_records(records);
    let exchange = async |client: relay::Client| {
        let mut request = client.record_streams_request();
        wire::write_records(&groups, request.get().init_records(groups.len() as u32));
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(driver, &addr, Kind::Others, size);
        request.send().promise.await?;
        Ok(())
    };
    driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange).await
}

/// What a peer knows of a stream, and for how long; `None` if it does not answer.
async fn ask(
    driver: &Rc<Driver>,
    peer: &str,
    stream: StreamId,
    service: &ServiceName,
) -> Option<(Origin, Duration)> {
    let addr = driver.peers.members.borrow().addr(peer)?;
    let exchange = async |client: relay::Client| {
        let mut request = client.stream_origin_request();
        request.get().set_stream(&wire::write_stream(stream));
        request.get().set_service(&**service);
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(driver, &addr, Kind::Others, size);
        let response = request.send().promise.await?;
        let response = response.get()?;
        let origin = response.get_origin().map_err(capnp::Error::from)?;
        let version = response.get_version()?.to_str().map_err(capnp::Error::from)?;
        let age = Duration::from_millis(u64::from(response.get_age_ms()));
        Ok((wire::read_origin(origin, version), age))
    };
    // As with placements, a slow reply must not close the connection.
    let asked = driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange);
    tokio::time::timeout(ORIGIN_TIMEOUT, asked).await.ok()?.ok()
}
