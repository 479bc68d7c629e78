//! The state of one exchange and of one call.

use std::{sync::Arc, time::Duration};

use crate::{
    model::{DataCentre, InstanceName, TeamName},
    relay::{
        config::Route,
        fingerprint::Fingerprint,
        graph::StageGraph,
        model::{Arrival, CallKey, EndpointKey, HandoverKey, RunNumber, ServiceName},
    },
};

/// One request of a caller, from its arrival to its answer.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) arrival: Arrival,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) team: Option<TeamName>,
    /// What it asks for, and for whom.
    pub(crate) content: Fingerprint,
    pub(crate) priority: u8,
    /// When it arrived.
    pub(crate) started_at: Duration,
    /// When the caller or the route gives up.
    pub(crate) deadline: Duration,
    /// Until when an answer is in good time.
    pub(crate) target: Duration,
    pub(crate) graph: StageGraph,
    /// Where the call will probably go, for the place of large results.
    pub(crate) preferred_data_centre: Option<DataCentre>,
    pub(crate) handovers: Vec<HandoverKey>,
    pub(crate) call: Option<CallKey>,
    /// Whether a placer was asked where the call goes, and has not answered.
    pub(crate) is_placement_pending: bool,
    pub(crate) tried: Vec<EndpointKey>,
    /// Endpoints that it was sent to.
    pub(crate) attempts: u32,
    /// Whether any part of it may have run.
    pub(crate) has_run: bool,
    /// Whether the request itself, not just its pieces, may have run.
    pub(crate) was_called: bool,
    /// The number of the last event that was passed on.
    pub(crate) last_event: Option<u64>,
    /// Whether the caller holds the head of an answer.
    pub(crate) has_sent_head: bool,
    /// When its stages were started that have not been made yet.
    pub(crate) stage_starts: Vec<(usize, Duration)>,
    /// Whether its results may have been given up although it has not begun.
    pub(crate) has_evictable_results: bool,
    /// Rounds of making its pieces.
    pub(crate) rounds: u8,
    /// Until when it waits for an endpoint to become usable.
    pub(crate) wait_until: Option<Duration>,
}

/// A call to an endpoint.
#[derive(Debug)]
pub(crate) struct CallState {
    pub(crate) exchange: CallPurpose,
    pub(crate) endpoint: EndpointKey,
    pub(crate) started_at: Duration,
    /// Prompt tokens that the engine probably had to read.
    pub(crate) tokens: u64,
    /// This instance's number of it, if it generates.
    pub(crate) run: Option<RunNumber>,
    /// The peer that placed it, and its number there.
    pub(crate) placer: Option<(InstanceName, RunNumber)>,
    /// When its answer began.
    pub(crate) answered_at: Option<Duration>,
    /// When it is given up if no answer has begun.
    pub(crate) overdue_at: Option<Duration>,
}

/// What a call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    Exchange(crate::relay::model::ExchangeKey),
    Pieces,
}
