//! Rounds of gossip: liveness of instances, and the positions of their tables.

use std::{
    rc::Rc,
    sync::{Arc, atomic::Ordering},
};

use peatdeck_core::{
    membership::{ConfigMark, Envelope, Gossip, LocalState},
    relay::Relay,
};
use peatdeck_wire::{peer as peer_wire, relay as wire, relay_capnp::relay};
use rand::seq::IndexedRandom;

use crate::{
    driver::Driver,
    peers::{self, EXCHANGE_TIMEOUT, GOSSIP_INTERVAL, learn, remote::Kind, versions},
};

/// Sends gossip for as long as the process runs.
pub async fn run(driver: Rc<Driver>) {
    loop {
        tokio::time::sleep(GOSSIP_INTERVAL).await;
        let now = driver.now();
        let local = local(&driver);
        let envelopes = driver.peers.members.borrow_mut().tick(now, &local);
        if envelopes.is_empty() {
            greet_seed(&driver);
        }
        for envelope in envelopes {
            if driver.peers.is_remote(&envelope.to) && !driver.peers.may_gossip_remotely(&driver) {
                driver.metrics.count("relay.remote_deferred", 1);
                continue;
            }
            ntex::rt::spawn(send(driver.clone(), envelope));
        }
        peers::update_peers(&driver);
    }
}

/// Sends gossip to a random seed, since no peer is known yet.
fn greet_seed(driver: &Rc<Driver>) {
    let own = driver.settings.peers.to_string();
    let others: Vec<_> = driver.settings.seeds.iter().filter(|seed| ***seed != *own).collect();
    let Some(addr) = others.choose(&mut rand::rng()).map(|addr| Arc::clone(addr)) else { return };
    let envelope = Envelope { to: Arc::from(""), addr, message: greeting(driver) };
    ntex::rt::spawn(send(driver.clone(), envelope));
}

/// A gossip message without members, sent to a peer whose name is not known.
fn greeting(driver: &Driver) -> Gossip {
    Gossip {
        from: driver.settings.name.clone(),
        wants_reply: true,
        mark: local(driver).mark,
        snapshot: None,
        wants_snapshot: false,
        members: Vec::new(),
        leaving: Vec::new(),
        endpoints: Vec::new(),
    }
}

async fn send(driver: Rc<Driver>, envelope: Envelope) {
    let Envelope { to, addr, message } = envelope;
    let sent_at = driver.now();
    let notices = driver.feed(Relay::peer_notices);
    let exchange = async |client: relay::Client| {
        let mut request = client.gossip_request();
        peer_wire::write_gossip(&message, request.get().init_message())?;
        let notice_list = request.get().init_notices(notices.len() as u32);
        wire::write_notices(&notices, notice_list);
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(&driver, &addr, Kind::Gossip, size);
        let response = request.send().promise.await?;
        let response = response.get()?;
        let reply = response.get_reply()?;
        let reply = if reply.has_from() { Some(peer_wire::read_gossip(reply)?) } else { None };
        let positions = wire::read_positions(response.get_timelines()?, response.get_ends()?);
        let (urgent_ms, rollouts_ms) = (response.get_age_ms(), response.get_rollouts_age_ms());
        let compared = learn::Compared::from_ages(sent_at, urgent_ms, rollouts_ms);
        let peer_notices = wire::read_notices(response.get_notices()?)?;
        Ok((reply, positions, compared, peer_notices))
    };
    driver.metrics.count("relay.gossip", 1);
    let open_exchanges = &driver.peers.open_exchanges;
    open_exchanges.set(open_exchanges.get() + 1);
    driver.metrics.gauge("relay.exchanges_open", open_exchanges.get());
    let result = driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange).await;
    open_exchanges.set(open_exchanges.get() - 1);
    match result {
        Ok((reply, positions, compared, peer_notices)) => {
            driver.feed(|machine, now| machine.on_peer_notices(now, &to, &peer_notices));
            learn::compare_positions(&driver, &addr, &positions, compared);
            if let Some(reply) = reply {
                versions::note_version(&driver, &addr, &positions, reply.mark.version);
                let local = local(&driver);
                driver.peers.members.borrow_mut().receive(driver.now(), &reply, &local);
            }
        }
        Err(error) => {
            driver.metrics.count("relay.gossip_failed", 1);
            let took_ms = driver.now().saturating_sub(sent_at).as_millis() as u64;
            let (peer, open) = (&*to, open_exchanges.get());
            tracing::info!(event = "gossip_failed", peer, took_ms, open, error = %error);
            driver.peers.members.borrow_mut().send_failed(driver.now(), &to);
        }
    }
}

/// The state of this instance that its gossip carries.
pub fn local(driver: &Driver) -> LocalState<'static> {
    let version = driver.inspect(|machine| machine.config().map_or(0, |config| config.version));
    LocalState {
        mark: ConfigMark { version, offset: None },
        snapshot: None,
        ready: driver.shared.is_ready.load(Ordering::Relaxed),
        leaving: &[],
        endpoints: &[],
    }
}
