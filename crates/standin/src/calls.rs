//! The record of every call that an endpoint took.
//!
//! A call ran if it has a start. Whether its reply reached anyone is another
//! matter, and just what tests compare with what callers were told.

use std::{collections::VecDeque, sync::Arc};

use peatdeck_core::model::Echo;
use peatdeck_macros::{id, message};
use peatdeck_wire::endpoint::CallBody;
use serde::{Deserialize, Serialize};

use crate::answer;

/// One call, numbered by the endpoint from 0.
#[id]
#[derive(Copy, Serialize, Deserialize)]
pub struct CallSeq(pub u64);

/// One call as it stands.
#[message]
pub struct CallRecord {
    /// Its number.
    pub seq: CallSeq,
    /// What the caller wants echoed.
    pub echo: Echo,
    /// The stage.
    pub stage: Arc<str>,
    /// Digest of the input, see [`answer::input_hash`].
    pub input_hash: u64,
    /// Where it stands.
    pub state: CallState,
    /// When it was taken in, in milliseconds of Unix time.
    pub arrived_ms: u64,
    /// When it got a place and began to run; `None` if it never ran.
    pub started_ms: Option<u64>,
    /// When it left the endpoint.
    pub ended_ms: Option<u64>,
    /// Tokens generated here, resumed ones not counted; engines only.
    pub tokens: u32,
    /// Pieces that the caller already held; engines only.
    pub resumed: u32,
}

impl CallRecord {
    /// Whether any of it ran.
    pub fn has_run(&self) -> bool {
        self.started_ms.is_some()
    }
}

/// Where a call stands.
#[message]
#[derive(Copy, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// It waits for a place.
    Waiting,
    /// It runs, or hangs.
    Running,
    /// Its work is whole and its reply was sent.
    Finished,
    /// Its caller cancelled it or went away.
    Cancelled,
    /// A fault cut its reply.
    Cut,
}

/// Body of `GET /control/calls`.
#[message]
pub struct CallsBody {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Records dropped because too many were held; 0 when the list is whole.
    pub dropped: u64,
    /// The records, by rising number.
    pub calls: Vec<CallRecord>,
}

/// The records of one endpoint, the newest ones only when there are too many.
#[derive(Debug)]
pub struct CallBook {
    records: VecDeque<CallRecord>,
    first: u64,
    limit: usize,
}

impl CallBook {
    /// An empty book that keeps `limit` records.
    pub fn new(limit: usize) -> CallBook {
        CallBook { records: VecDeque::new(), first: 0, limit: limit.max(1) }
    }

    /// Records a call that was taken in.
    pub fn arrived(&mut self, body: &CallBody, now_ms: u64) -> CallSeq {
        let seq = CallSeq(self.first + self.records.len() as u64);
        self.records.push_back(CallRecord {
            seq,
            echo: body.echo.clone(),
            stage: body.stage.clone(),
            input_hash: answer::input_hash(&body.input),
            state: CallState::Waiting,
            arrived_ms: now_ms,
            started_ms: None,
            ended_ms: None,
            tokens: 0,
            resumed: u32::try_from(body.resume.len()).unwrap_or(u32::MAX),
        });
        self.trim();
        seq
    }

    /// Records that a call got a place.
    pub fn started(&mut self, seq: CallSeq, now_ms: u64) {
        let Some(record) = self.record(seq) else { return };
        record.state = CallState::Running;
        record.started_ms = Some(now_ms);
    }

    /// Records one generated token.
    pub fn token(&mut self, seq: CallSeq) {
        let Some(record) = self.record(seq) else { return };
        record.tokens += 1;
    }

    /// Records how a call left the endpoint.
    pub fn ended(&mut self, seq: CallSeq, state: CallState, now_ms: u64) {
        let Some(record) = self.record(seq) else { return };
        record.state = state;
        record.ended_ms = Some(now_ms);
    }

    /// The echo of the newest call before `seq` that is of another request.
    pub fn other_echo(&self, seq: CallSeq, echo: &Echo) -> Option<Echo> {
        let others = self.records.iter().rev().filter(|record| record.seq < seq);
        let mut echoes = others.map(|record| &record.echo);
        echoes.find(|other| other.request != echo.request).cloned()
    }

    /// Calls kept that are in one state.
    pub fn count(&self, state: CallState) -> usize {
        self.records.iter().filter(|record| record.state == state).count()
    }

    /// The records from number `from` on.
    pub fn body(&self, endpoint: &Arc<str>, from: u64) -> CallsBody {
        let calls = self.records.iter().filter(|record| record.seq.0 >= from);
        CallsBody {
            endpoint: endpoint.clone(),
            dropped: self.first,
            calls: calls.cloned().collect(),
        }
    }

    fn record(&mut self, seq: CallSeq) -> Option<&mut CallRecord> {
        let idx = usize::try_from(seq.0.checked_sub(self.first)?).ok()?;
        self.records.get_mut(idx)
    }

    fn trim(&mut self) {
        while self.records.len() > self.limit {
            self.records.pop_front();
            self.first += 1;
        }
    }
}
