//! The interface that this instance offers to its peers.

use std::{rc::Rc, sync::Arc, time::Duration};

use futures::channel::oneshot;
use peatdeck_core::{
    model::Incarnation,
    relay::{Relay, model::EndpointId, table::Portion},
};
use peatdeck_wire::{
    detour as detour_wire, link, peer as peer_wire, relay as wire, relay_capnp::relay, rollout,
    streams,
};
use tokio::net::TcpListener;

use crate::{
    driver::Driver,
    peers::{
        detour, gossip,
        remote::{self, Caller, Kind},
        versions,
    },
    rollouts,
    surroundings::TableName,
};

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves peers for as long as the process runs.
pub async fn serve(driver: Rc<Driver>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, addr)) => {
                let service = Service { driver: driver.clone(), caller: Caller::new(addr.ip()) };
                let service: relay::Client = capnp_rpc::new_client(service);
                ntex::rt::spawn(link::serve(service, stream));
            }
            Err(error) => {
                tracing::warn!(event = "peer_not_accepted", error = %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Implements the calls of peers.
struct Service {
    driver: Rc<Driver>,
    /// The peer that opened the connection.
    caller: Caller,
}

impl relay::Server for Service {
    async fn gossip(
        self: Rc<Self>,
        params: relay::GossipParams,
        mut results: relay::GossipResults,
    ) -> Result<(), capnp::Error> {
        let driver = &self.driver;
        let params = params.get()?;
        let message = peer_wire::read_gossip(params.get_message()?).map_err(to_capnp_error)?;
        let notices = wire::read_notices(params.get_notices()?).map_err(to_capnp_error)?;
        self.caller.set_name(&message.from);
        driver.feed(|machine, now| machine.on_peer_notices(now, &message.from, &notices));
        let local = gossip::local(driver);
        let reply = driver.peers.members.borrow_mut().receive(driver.now(), &message, &local);
        if let Some(reply) = reply {
            peer_wire::write_gossip(&reply.message, results.get().init_reply())
                .map_err(to_capnp_error)?;
        }
        let notices = driver.feed(Relay::peer_notices);
        wire::write_notices(&notices, results.get().init_notices(notices.len() as u32));
        results.get().set_age_ms(age_ms(driver));
        results.get().set_rollouts_age_ms(rollouts_age_ms(driver));
        let positions = driver.peers.tables.positions();
        let mut ends = results.get().init_ends(positions.len() as u32);
        for (idx, position) in (0..).zip(&positions) {
            ends.set(idx, position.offset);
        }
        let mut timelines = results.get().init_timelines(positions.len() as u32);
        for (idx, position) in (0..).zip(&positions) {
            timelines.set(idx, position.timeline.0);
        }
        self.caller.count_reply(driver, Kind::Gossip, || results.get().into_reader().total_size());
        Ok(())
    }

    async fn learn(
        self: Rc<Self>,
        params: relay::LearnParams,
        mut results: relay::LearnResults,
    ) -> Result<(), capnp::Error> {
        let driver = &self.driver;
        let requests: Vec<_> =
            params.get()?.get_asks()?.iter().map(wire::read_portion_request).collect();
        let portions = driver.peers.tables.read_portions(&requests);
        let has_config = portions[TableName::Config as usize].bytes() > 0;
        if self.caller.is_remote(&driver.peers) && !has_config {
            tokio::time::sleep(driver.peers.table_delay(driver)).await;
        }
        let bytes = portions.iter().map(Portion::bytes).sum::<usize>() as u64;
        driver.metrics.count("relay.told_bytes", bytes);
        results.get().set_age_ms(age_ms(driver));
        results.get().set_rollouts_age_ms(rollouts_age_ms(driver));
        let mut list = results.get().init_portions(portions.len() as u32);
        for (idx, portion) in (0..).zip(&portions) {
            wire::write_portion(portion, list.reborrow().get(idx));
        }
        if self.caller.is_remote(&driver.peers) {
            let config = portions[TableName::Config as usize].bytes() as u64;
            let all = remote::message_bytes(results.get().into_reader().total_size());
            driver.peers.count_sent(driver, Kind::Configuration, config);
            driver.peers.count_sent(driver, Kind::Tables, all.saturating_sub(config));
        }
        Ok(())
    }

    async fn make(
        self: Rc<Self>,
        params: relay::MakeParams,
        mut results: relay::MakeResults,
    ) -> Result<(), capnp::Error> {
        let driver = &self.driver;
        let pieces =
            wire::read_pieces(driver.now(), params.get()?.get_pieces()?).map_err(to_capnp_error)?;
        let ticket = driver.peers.next_ticket.get();
        driver.peers.next_ticket.set(ticket + 1);
        let (tx, rx) = oneshot::channel();
        driver.peers.tickets.borrow_mut().insert(ticket, tx);
        let guard = Ticket { driver: driver.clone(), ticket };
        if let Some(first) = pieces.first() {
            let (id, stage, count) = (&*first.request, first.stage, pieces.len());
            tracing::info!(event = "take_over", id, ticket, stage, count);
        }
        driver.feed(|machine, now| machine.on_handover(now, ticket, pieces));
        let output = rx.await.map_err(to_capnp_error)?;
        drop(guard);
        wire::write_results(&output, results.get().init_results(output.len() as u32));
        self.caller.count_reply(driver, Kind::Pieces, || results.get().into_reader().total_size());
        Ok(())
    }

    async fn free(
        self: Rc<Self>,
        params: relay::FreeParams,
        _results: relay::FreeResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let handles = wire::read_handles(params.get_handles()?).map_err(to_capnp_error)?;
        let is_evictable = params.get_is_spare();
        self.driver.feed(|machine, _| match is_evictable {
            true => machine.mark_evictable(handles),
            false => machine.free_at_endpoints(handles),
        });
        Ok(())
    }

    async fn place(
        self: Rc<Self>,
        params: relay::PlaceParams,
        mut results: relay::PlaceResults,
    ) -> Result<(), capnp::Error> {
        let request =
            wire::read_placement_request(params.get()?.get_question()?).map_err(to_capnp_error)?;
        let placement = self.driver.feed(|machine, now| machine.place_prompt(now, &request));
        if let Some(placement) = placement {
            wire::write_placement(&placement, results.get().init_placement());
        }
        let size = || results.get().into_reader().total_size();
        self.caller.count_reply(&self.driver, Kind::Placements, size);
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: relay::ReportParams,
        _results: relay::ReportResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let progress = params.get_progress()?.iter().map(wire::read_progress);
        let progress = progress.collect::<Result<Vec<_>, _>>().map_err(to_capnp_error)?;
        let notices = wire::read_notices(params.get_notices()?).map_err(to_capnp_error)?;
        let from = wire::read_name(params.get_from()?).map_err(to_capnp_error)?;
        self.caller.set_name(&from);
        self.driver.feed(|machine, now| {
            machine.on_peer_notices(now, &from, &notices);
            for one in progress {
                machine.on_peer_progress(now, one);
            }
        });
        Ok(())
    }

    async fn queue(
        self: Rc<Self>,
        params: relay::QueueParams,
        _results: relay::QueueResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let service = Arc::from(params.get_service()?.to_str()?);
        self.driver.feed(|machine, now| machine.on_backlog_notice(now, service));
        Ok(())
    }

    async fn accuse(
        self: Rc<Self>,
        params: relay::AccuseParams,
        _results: relay::AccuseResults,
    ) -> Result<(), capnp::Error> {
        let crashes = params.get()?.get_crashes()?.iter().map(wire::read_crash);
        let crashes = crashes.collect::<Result<Vec<_>, _>>().map_err(to_capnp_error)?;
        self.driver.feed(|machine, now| {
            for crash in &crashes {
                machine.on_crash(now, crash);
            }
        });
        Ok(())
    }

    async fn consult(
        self: Rc<Self>,
        params: relay::ConsultParams,
        mut results: relay::ConsultResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let content = wire::read_content(params.get_content()?);
        let age = Duration::from_millis(u64::from(params.get_age_ms()));
        let since = self.driver.now().saturating_sub(age);
        let was_answered = self.driver.inspect(|machine| machine.was_answered(content, since));
        results.get().set_was_answered(was_answered);
        let size = || results.get().into_reader().total_size();
        self.caller.count_reply(&self.driver, Kind::Others, size);
        Ok(())
    }

    async fn quarantine(
        self: Rc<Self>,
        params: relay::QuarantineParams,
        _results: relay::QuarantineResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let content = wire::read_content(params.get_content()?);
        let crashes = params.get_crashes();
        self.driver.feed(|machine, now| machine.quarantine_content(now, content, crashes));
        Ok(())
    }

    async fn config(
        self: Rc<Self>,
        params: relay::ConfigParams,
        mut results: relay::ConfigResults,
    ) -> Result<(), capnp::Error> {
        let at = params.get()?.get_at();
        if let Some(slice) = versions::read_slice(&self.driver, at) {
            let mut results = results.get();
            results.set_version(slice.version);
            results.set_key(&*slice.key);
            results.set_size(slice.size);
            results.set_bytes(&slice.bytes);
        }
        let size = || results.get().into_reader().total_size();
        self.caller.count_reply(&self.driver, Kind::Configuration, size);
        Ok(())
    }

    async fn evidence(
        self: Rc<Self>,
        params: relay::EvidenceParams,
        mut results: relay::EvidenceResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let from = wire::read_name(params.get_from()?).map_err(to_capnp_error)?;
        let evidence = rollout::read_evidence(params.get_evidence()?).map_err(to_capnp_error)?;
        if let Some(verdict) = rollouts::on_evidence(&self.driver, &from, evidence) {
            results.get().set_decides(true);
            rollout::write_verdict(&verdict, results.get().init_verdict());
        }
        Ok(())
    }

    async fn reach(
        self: Rc<Self>,
        params: relay::ReachParams,
        mut results: relay::ReachResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let endpoint = endpoint_id(params.get_endpoint()?, params.get_incarnation())?;
        let reach = match params.get_is_silent() {
            true => detour::has_answer(&self.driver, &endpoint).await,
            false => detour::reach(&self.driver, &endpoint).await,
        };
        results.get().set_answer(detour_wire::write_reach(reach));
        let size = || results.get().into_reader().total_size();
        self.caller.count_reply(&self.driver, Kind::Others, size);
        Ok(())
    }

    async fn detour(
        self: Rc<Self>,
        params: relay::DetourParams,
        mut results: relay::DetourResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let endpoint = endpoint_id(params.get_endpoint()?, params.get_incarnation())?;
        let request = detour_wire::read_request(params.get_request()?).map_err(to_capnp_error)?;
        let sink = params.get_sink()?;
        let (end, cause) = detour::serve(&self.driver, &endpoint, request, &sink).await;
        results.get().set_end(end);
        results.get().set_cause(&*cause);
        Ok(())
    }

    async fn record_streams(
        self: Rc<Self>,
        params: relay::RecordStreamsParams,
        _results: relay::RecordStreamsResults,
    ) -> Result<(), capnp::Error> {
        let records = streams::read_records(params.get()?.get_records()?);
        let records = records.map_err(to_capnp_error)?;
        self.driver.feed(|machine, now| machine.on_stream_records(now, &records));
        Ok(())
    }

    async fn stream_origin(
        self: Rc<Self>,
        params: relay::StreamOriginParams,
        mut results: relay::StreamOriginResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let stream = streams::read_stream(params.get_stream()?);
        let service = params.get_service()?.to_str()?;
        let now = self.driver.now();
        let (origin, age) = self.driver.inspect(|machine| {
            (machine.stream_origin(stream, service), machine.stream_age(now, stream))
        });
        let age_ms = age.unwrap_or_default().as_millis();
        let (origin, version) = streams::write_origin(&origin);
        results.get().set_origin(origin);
        results.get().set_version(version);
        results.get().set_age_ms(u32::try_from(age_ms).unwrap_or(u32::MAX));
        let size = || results.get().into_reader().total_size();
        self.caller.count_reply(&self.driver, Kind::Others, size);
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _params: relay::PingParams,
        _results: relay::PingResults,
    ) -> Result<(), capnp::Error> {
        Ok(())
    }
}

fn endpoint_id(name: capnp::text::Reader<'_>, incarnation: u64) -> capnp::Result<EndpointId> {
    Ok(EndpointId { name: Arc::from(name.to_str()?), incarnation: Incarnation(incarnation) })
}

/// Pieces handed over by a peer that are running here. Dropping it before the results are
/// returned, as when the peer cancels its call, recalls them.
struct Ticket {
    driver: Rc<Driver>,
    ticket: u64,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let was_waiting = self.driver.peers.tickets.borrow_mut().remove(&self.ticket).is_some();
        if was_waiting {
            self.driver.feed(|machine, _| machine.on_handover_recall(self.ticket));
        }
    }
}

/// Age of the tables in milliseconds, `u32::MAX` if they were never compared with the store.
fn age_ms(driver: &Driver) -> u32 {
    let age = driver.peers.tables.age(driver.now()).unwrap_or(Duration::MAX);
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// The same for the copy of the table of rollouts.
fn rollouts_age_ms(driver: &Driver) -> u32 {
    let age = driver.peers.tables.rollouts_age(driver.now()).unwrap_or(Duration::MAX);
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

fn to_capnp_error(error: impl ToString) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}
