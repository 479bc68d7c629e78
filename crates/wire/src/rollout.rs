//! Counts and verdicts of rollouts between instances in Cap'n Proto form.

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        model::EndpointId,
        position::{Position, Timeline},
        rollout::{Counts, Evidence, Phase, RouteCounts, Verdict},
    },
};

use crate::{peer::Error, relay::write_age, relay_capnp};

/// Encodes the counts of a rollout.
pub fn write_evidence(evidence: &Evidence, mut to: relay_capnp::evidence::Builder<'_>) {
    to.set_service(&*evidence.service);
    to.set_order_timeline(evidence.order.timeline.0);
    to.set_order_offset(evidence.order.offset);
    to.set_content(evidence.content);
    to.set_age_ms(write_age(evidence.age));
    to.set_phase(write_phase(evidence.phase));
    to.set_is_halted(evidence.is_halted);
    to.set_old_calls(evidence.old_calls);
    let mut routes = to.reborrow().init_routes(evidence.routes.len() as u32);
    for (idx, counts) in (0..).zip(&evidence.routes) {
        let mut to = routes.reborrow().get(idx);
        to.set_route(&*counts.route);
        write_counts(counts.stable, to.reborrow().init_stable());
        write_counts(counts.canary, to.init_canary());
    }
    let mut endpoints = to.init_endpoints(evidence.endpoints.len() as u32);
    for (idx, (endpoint, counts)) in (0..).zip(&evidence.endpoints) {
        let mut to = endpoints.reborrow().get(idx);
        to.set_endpoint(&*endpoint.name);
        to.set_incarnation(endpoint.incarnation.0);
        write_counts(*counts, to.init_counts());
    }
}

/// Decodes the counts of a rollout.
///
/// # Errors
/// Any [`Error`]; no part of a malformed message is used.
pub fn read_evidence(from: relay_capnp::evidence::Reader<'_>) -> Result<Evidence, Error> {
    let routes = from.get_routes()?.iter().map(|from| {
        Ok(RouteCounts {
            route: Arc::from(from.get_route()?.to_str()?),
            stable: read_counts(from.get_stable()?),
            canary: read_counts(from.get_canary()?),
        })
    });
    let endpoints = from.get_endpoints()?.iter().map(|from| {
        let name = Arc::from(from.get_endpoint()?.to_str()?);
        let endpoint = EndpointId { name, incarnation: Incarnation(from.get_incarnation()) };
        Ok((endpoint, read_counts(from.get_counts()?)))
    });
    Ok(Evidence {
        service: Arc::from(from.get_service()?.to_str()?),
        order: position(from.get_order_timeline(), from.get_order_offset()),
        content: from.get_content(),
        age: Duration::from_millis(u64::from(from.get_age_ms())),
        phase: read_phase(from.get_phase().map_err(capnp::Error::from)?),
        is_halted: from.get_is_halted(),
        old_calls: from.get_old_calls(),
        routes: routes.collect::<Result<_, Error>>()?,
        endpoints: endpoints.collect::<Result<_, Error>>()?,
    })
}

/// Encodes a verdict.
pub fn write_verdict(verdict: &Verdict, mut to: relay_capnp::verdict::Builder<'_>) {
    to.set_service(&*verdict.service);
    to.set_order_timeline(verdict.order.timeline.0);
    to.set_order_offset(verdict.order.offset);
    to.set_content(verdict.content);
    to.set_phase(write_phase(verdict.phase));
    to.set_is_halted(verdict.is_halted);
    to.set_age_ms(write_age(verdict.age));
}

/// Decodes a verdict.
///
/// # Errors
/// Any [`Error`].
pub fn read_verdict(from: relay_capnp::verdict::Reader<'_>) -> Result<Verdict, Error> {
    Ok(Verdict {
        service: Arc::from(from.get_service()?.to_str()?),
        order: position(from.get_order_timeline(), from.get_order_offset()),
        content: from.get_content(),
        phase: read_phase(from.get_phase().map_err(capnp::Error::from)?),
        is_halted: from.get_is_halted(),
        age: Duration::from_millis(u64::from(from.get_age_ms())),
    })
}

fn position(timeline: u64, offset: u64) -> Position {
    Position { timeline: Timeline(timeline), offset }
}

fn write_counts(counts: Counts, mut to: relay_capnp::counts::Builder<'_>) {
    to.set_good(counts.good);
    to.set_failed(counts.failed);
    to.set_slow(counts.slow);
}

fn read_counts(from: relay_capnp::counts::Reader<'_>) -> Counts {
    Counts { good: from.get_good(), failed: from.get_failed(), slow: from.get_slow() }
}

fn write_phase(phase: Phase) -> relay_capnp::Phase {
    match phase {
        Phase::Canary => relay_capnp::Phase::Canary,
        Phase::Shifting => relay_capnp::Phase::Shifting,
        Phase::Completed => relay_capnp::Phase::Completed,
        Phase::RolledBack => relay_capnp::Phase::RolledBack,
    }
}

fn read_phase(phase: relay_capnp::Phase) -> Phase {
    match phase {
        relay_capnp::Phase::Canary => Phase::Canary,
        relay_capnp::Phase::Shifting => Phase::Shifting,
        relay_capnp::Phase::Completed => Phase::Completed,
        relay_capnp::Phase::RolledBack => Phase::RolledBack,
    }
}
