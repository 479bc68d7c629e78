//! A request while the instance holds it, and its calls in flight.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use peatdeck_macros::data;

use crate::{
    document::{Pipeline, Stage},
    model::{CallId, CallerId, EndpointName, Request, StageReport, Text},
};

slotmap::new_key_type! {
    /// A request that the instance holds.
    pub struct RequestKey;
    /// A call in flight.
    pub struct CallKey;
}

impl CallKey {
    /// The call's number outside; a slot's next use gives another number.
    pub fn id(self) -> CallId {
        CallId(slotmap::Key::data(&self).as_ffi())
    }
}

impl From<CallId> for CallKey {
    fn from(id: CallId) -> CallKey {
        CallKey::from(slotmap::KeyData::from_ffi(id.0))
    }
}

/// A request that the instance holds.
#[data]
pub struct ActiveRequest {
    /// Who is to be answered; `None` once the caller went away.
    pub caller: Option<CallerId>,
    /// The request.
    pub request: Request,
    /// Its pipeline, as it was in force when the request came.
    pub pipeline: Rc<Pipeline>,
    /// Digest of what makes two requests with the same key the same.
    pub digest: u64,
    /// When its answer is due.
    pub deadline: Duration,
    /// Its claim, for a request that is not idempotent.
    pub claim: Option<Claim>,
    /// Calls that were sent and not proven unwritten. Above 0, something may
    /// have run.
    pub possible_runs: u32,
    /// The stage it is in.
    pub progress: StageProgress,
    /// The stages that are done.
    pub reports: Vec<StageReport>,
    /// Whether it was let through against the estimate, so that the estimate
    /// can change. It is not given up by that estimate either.
    pub is_probe: bool,
    /// Weight of its team.
    pub weight: u32,
}

impl ActiveRequest {
    /// The stage that it is in.
    pub fn stage(&self) -> &Stage {
        &self.pipeline.stages[self.progress.stage]
    }
}

/// A claim of a held request.
#[data]
#[derive(Copy)]
pub struct Claim {
    /// The attempt to claim.
    pub nonce: u64,
    /// How far it has got.
    pub state: ClaimState,
}

/// How far a claim has got.
#[data]
#[derive(Copy, Eq)]
pub enum ClaimState {
    /// Not read back yet.
    Waiting,
    /// Read back as the first for its key.
    Won,
    /// Another holds the key; it is being asked for the outcome.
    Lost,
}

/// Where a request is in its current stage.
#[data]
pub struct StageProgress {
    /// The stage's position.
    pub stage: usize,
    /// The stage's input.
    pub input: Text,
    /// When the stage began.
    pub started_at: Duration,
    /// Attempts made.
    pub attempts: u32,
    /// Calls in flight; more than one while a hedge runs.
    pub calls: Vec<CallKey>,
    /// Endpoints tried in this stage, not to be tried again before others.
    pub tried: Vec<EndpointName>,
    /// Pieces of text held; a cut generation goes on behind them.
    pub pieces: Vec<Text>,
    /// Whether it waits in its pool's queue.
    pub is_queued: bool,
}

impl StageProgress {
    /// The start of a stage.
    pub fn new(stage: usize, input: Text, since: Duration) -> StageProgress {
        StageProgress {
            stage,
            input,
            started_at: since,
            attempts: 0,
            calls: Vec::new(),
            tried: Vec::new(),
            pieces: Vec::new(),
            is_queued: false,
        }
    }
}

/// A call in flight.
#[data]
pub struct CallInFlight {
    /// Its request.
    pub request: RequestKey,
    /// Its endpoint.
    pub endpoint: EndpointName,
    /// The stage's position.
    pub stage: u32,
    /// The attempt's number.
    pub attempt: u32,
    /// When it was sent.
    pub sent_at: Duration,
    /// When the last piece came; `None` before the first.
    pub last_piece_at: Option<Duration>,
    /// Pieces that it brought.
    pub pieces: u32,
    /// Pieces that came ahead of their turn.
    pub out_of_order: BTreeMap<u32, Text>,
}

/// Pieces that may wait for an earlier one before the stream counts as torn.
pub const MAX_OUT_OF_ORDER: usize = 256;
