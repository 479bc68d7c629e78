//! State of an exchange and of a call.

use std::{sync::Arc, time::Duration};

use crate::{
    model::{DataCentre, InstanceName, TeamName},
    relay::{
        allowed::AllowedRegions,
        config::Route,
        fingerprint::Fingerprint,
        graph::StageGraph,
        model::{Arrival, CallKey, EndpointKey, HandoverKey, RunNumber, ServiceName},
        paths::Detour,
        pool::{Pool, PoolKey, Track},
        region::RegionName,
        rollout::Version,
        streams::StreamId,
    },
};

/// One request of a caller, from its arrival to the end of its answer.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) arrival: Arrival,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    /// The regions where it may be served.
    pub(crate) allowed: AllowedRegions,
    /// The region whose endpoints run all of its work; `None` for any region.
    pub(crate) region: Option<RegionName>,
    pub(crate) team: Option<TeamName>,
    /// Identifies what is requested, and for which team.
    pub(crate) content: Fingerprint,
    /// Identify the parts of its prompt that other requests may share.
    pub(crate) parts: Vec<Fingerprint>,
    pub(crate) priority: u8,
    /// When the request arrived.
    pub(crate) started_at: Duration,
    /// When the caller or the route gives up.
    pub(crate) deadline: Duration,
    /// An answer by then meets the route's objective.
    pub(crate) target: Duration,
    pub(crate) graph: StageGraph,
    /// The data centre that the call will probably go to; large results should be produced there.
    pub(crate) destination: Option<DataCentre>,
    pub(crate) handovers: Vec<HandoverKey>,
    pub(crate) call: Option<CallKey>,
    /// Which version its call goes to; `None` until that is decided.
    pub(crate) track: Option<Track>,
    /// Whether a placer was asked for an engine and has not replied.
    pub(crate) is_placement_pending: bool,
    pub(crate) tried: Vec<EndpointKey>,
    /// Number of endpoints that the request was sent to.
    pub(crate) attempts: u32,
    /// Whether any part of it, pieces included, may have run.
    pub(crate) has_run: bool,
    /// Whether the request itself may have run, not just its pieces.
    pub(crate) was_called: bool,
    /// The number of the last event that was passed on.
    pub(crate) last_event: Option<u64>,
    /// Its stream, over all attempts of its caller.
    pub(crate) stream: StreamId,
    /// Which versions of the service may answer it.
    pub(crate) binding: Binding,
    /// Whether the head of a stream was passed on to the caller.
    pub(crate) has_sent_head: bool,
    /// Whether all peers that were asked which version began its stream have answered.
    pub(crate) all_answered: bool,
    /// The unfinished stages and when they were started.
    pub(crate) stage_starts: Vec<(usize, Duration)>,
    /// Whether its results were marked as evictable before its answer began, and may be freed.
    pub(crate) has_evictable_results: bool,
    /// How many times its stages have been restarted.
    pub(crate) rounds: u8,
    /// Until when it waits for an endpoint to become usable; `None` if it does not wait.
    pub(crate) wait_until: Option<Duration>,
}

impl Exchange {
    /// The endpoints that the call may go to.
    pub(crate) fn pool(&self) -> Pool<'_> {
        Pool {
            service: &self.service,
            region: self.region.as_deref(),
            track: self.track.unwrap_or_default(),
            version: self.binding.version(),
        }
    }

    /// Whether it goes on with a stream of which its caller has events.
    pub(crate) fn is_resumed(&self) -> bool {
        self.binding != Binding::Open
    }

    /// The fingerprints under which it may be quarantined.
    pub(crate) fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.content).chain(self.parts.iter().copied())
    }

    /// The endpoints that may run the work of a service for it.
    pub(crate) fn pool_of(&self, service: &ServiceName) -> PoolKey {
        PoolKey { service: service.clone(), region: self.region.clone() }
    }

    /// The endpoints that may run a stage.
    pub(crate) fn stage_pool(&self, stage: usize) -> PoolKey {
        self.pool_of(&self.route.stages[stage].service)
    }
}

/// Which versions of its service's software may answer an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Binding {
    /// Any: no event has been passed on.
    Open,
    /// The version that began the stream that it takes up, which has not been looked up yet.
    Unasked,
    /// The same; peers have been asked for it.
    Asked,
    /// The same; the platform's store is being read.
    Reading,
    /// The same, but nobody remembers it.
    Unknown,
    /// This one, which began its stream.
    Version(Version),
}

impl Binding {
    /// The binding of a request that has just arrived.
    pub(crate) fn of(route: &Route, arrival: &Arrival) -> Binding {
        let is_taken_up = arrival.resume.is_some() || arrival.first_attempt.is_some();
        match route.kind.is_stream() && is_taken_up {
            true => Binding::Unasked,
            false => Binding::Open,
        }
    }

    /// The only version that may answer, if it is known.
    pub(crate) fn version(&self) -> Option<&str> {
        match self {
            Binding::Version(version) => Some(version),
            _ => None,
        }
    }
}

/// A call to an endpoint.
#[derive(Debug)]
pub(crate) struct CallState {
    pub(crate) purpose: CallPurpose,
    pub(crate) endpoint: EndpointKey,
    /// The version of the endpoint's software when the call was sent.
    pub(crate) version: Version,
    pub(crate) started_at: Duration,
    /// Prompt tokens that the engine probably had to prefill.
    pub(crate) tokens: u64,
    /// This instance's number of the call if it placed it at an engine.
    pub(crate) run: Option<RunNumber>,
    /// The peer that placed the call, and its number there.
    pub(crate) placer: Option<(InstanceName, RunNumber)>,
    /// The peer that makes it for this instance.
    pub(crate) via: Option<Detour>,
    /// When its reply began.
    pub(crate) answered_at: Option<Duration>,
    /// When the call is given up unless its reply has begun.
    pub(crate) overdue_at: Option<Duration>,
    /// Whether its reply was counted for a rollout.
    pub(crate) is_counted: bool,
}

/// What a call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    Exchange(crate::relay::model::ExchangeKey),
    Pieces,
}
