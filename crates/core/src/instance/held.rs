//! Active requests and their calls in flight.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use peatdeck_macros::data;

use crate::{
    document::{Pipeline, Stage},
    model::{CallId, CallerId, EndpointName, Request, SoftwareVersion, StageReport, Text},
};

slotmap::new_key_type! {
    /// Key of an active request.
    pub struct RequestKey;
    /// Key of a call in flight.
    pub struct CallKey;
}

impl CallKey {
    /// The id that identifies the call outside the instance; a reused slot gives a new id.
    pub fn id(self) -> CallId {
        CallId(slotmap::Key::data(&self).as_ffi())
    }
}

impl From<CallId> for CallKey {
    fn from(id: CallId) -> CallKey {
        CallKey::from(slotmap::KeyData::from_ffi(id.0))
    }
}

/// A request that has no outcome yet.
#[data]
pub struct ActiveRequest {
    /// Connection that gets the outcome; `None` once the caller disconnected.
    pub caller: Option<CallerId>,
    /// The request as the caller sent it.
    pub request: Request,
    /// The pipeline from the configuration that was in force when the request arrived.
    pub pipeline: Rc<Pipeline>,
    /// Digest of the request; it detects a key that is reused for another request.
    pub digest: u64,
    /// When the answer is due, since the instance's start.
    pub deadline: Duration,
    /// Claim of the request; `None` for an idempotent request.
    pub claim: Option<Claim>,
    /// Number of calls that were sent and not proven not to have run. Above 0, something may have
    /// run.
    pub possible_runs: u32,
    /// State of the current stage.
    pub progress: StageProgress,
    /// Reports of the completed stages.
    pub reports: Vec<StageReport>,
    /// Whether it was admitted as a probe against the estimate. The estimate then doesn't end it
    /// early either.
    pub is_probe: bool,
    /// Weight of the team when the request was admitted.
    pub weight: u32,
}

impl ActiveRequest {
    /// The current stage.
    pub fn stage(&self) -> &Stage {
        &self.pipeline.stages[self.progress.stage]
    }
}

/// The claim of an active request.
#[data]
#[derive(Copy)]
pub struct Claim {
    /// Identifies the claim attempt.
    pub nonce: u64,
    /// State of the claim attempt.
    pub state: ClaimState,
}

/// State of a claim attempt.
#[data]
#[derive(Copy, Eq)]
pub enum ClaimState {
    /// The claim wasn't read back yet.
    Waiting,
    /// The claim was read back as the first for its key.
    Won,
    /// Another claim holds the key; its instance was asked for the outcome.
    Lost,
}

/// State of a request's current stage.
#[data]
pub struct StageProgress {
    /// Index of the stage in its pipeline.
    pub stage: usize,
    /// Input of the stage.
    pub input: Text,
    /// When the stage began.
    pub started_at: Duration,
    /// Number of calls sent for this stage.
    pub attempts: u32,
    /// Calls in flight; more than one while a hedge runs.
    pub calls: Vec<CallKey>,
    /// Endpoints that were called in this stage; others are preferred.
    pub tried: Vec<EndpointName>,
    /// Pieces of text received so far; another engine continues after them if the call is cut.
    pub pieces: Vec<Text>,
    /// The version of the software that generated the pieces; `None` before the first. What two
    /// versions generate does not fit together.
    pub software: Option<SoftwareVersion>,
    /// Whether it waits in its pool's queue.
    pub is_queued: bool,
}

impl StageProgress {
    /// State at the start of a stage.
    pub fn new(stage: usize, input: Text, started_at: Duration) -> StageProgress {
        StageProgress {
            stage,
            input,
            started_at,
            attempts: 0,
            calls: Vec::new(),
            tried: Vec::new(),
            pieces: Vec::new(),
            software: None,
            is_queued: false,
        }
    }
}

/// A call that was sent and hasn't ended.
#[data]
pub struct CallInFlight {
    /// Key of its request.
    pub request: RequestKey,
    /// Endpoint that was called.
    pub endpoint: EndpointName,
    /// The version of its software.
    pub software: SoftwareVersion,
    /// Index of the stage in its pipeline.
    pub stage: u32,
    /// Number of the attempt at the stage, from 1.
    pub attempt: u32,
    /// When the call was sent.
    pub sent_at: Duration,
    /// When the last piece arrived; `None` before the first.
    pub last_piece_at: Option<Duration>,
    /// Number of pieces received.
    pub pieces: u32,
    /// Pieces that arrived before an earlier one, by index.
    pub out_of_order: BTreeMap<u32, Text>,
}

/// The most pieces that may wait for an earlier one; above that the stream counts as torn.
pub const MAX_OUT_OF_ORDER: usize = 256;
