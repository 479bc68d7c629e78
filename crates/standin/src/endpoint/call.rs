//! One call within an endpoint, from its arrival to its end.

use std::{sync::Arc, time::Duration};

use peatdeck_core::model::{Echo, RequestId};
use peatdeck_wire::endpoint::CallBody;

use super::{ActiveKey, Endpoint};
use crate::{
    calls::{CallSeq, CallState},
    faults::EndpointFaults,
    places::Slot,
    reply,
};

/// A call that was accepted. It is recorded as cancelled if it is dropped before
/// [`Call::end`].
#[derive(Debug)]
pub struct Call {
    endpoint: Arc<Endpoint>,
    key: ActiveKey,
    seq: CallSeq,
    slot: Option<Slot>,
    has_ended: bool,
    /// The call's body as received.
    pub body: CallBody,
    /// Faults that apply to the call.
    pub faults: EndpointFaults,
}

impl Call {
    pub(super) fn new(
        endpoint: Arc<Endpoint>,
        key: ActiveKey,
        seq: CallSeq,
        body: CallBody,
        faults: EndpointFaults,
    ) -> Call {
        Call { endpoint, key, seq, slot: None, has_ended: false, body, faults }
    }

    /// Records that the call got a slot and started.
    pub fn start(&mut self, slot: Slot) {
        self.slot = Some(slot);
        let now_ms = self.endpoint.now_ms();
        reply::lock(&self.endpoint.state).history.record_start(self.seq, now_ms);
        self.endpoint.record_load();
    }

    /// Records one generated token.
    pub fn count_token(&self) {
        reply::lock(&self.endpoint.state).history.record_token(self.seq);
    }

    /// Records the end of the call and frees its slot.
    pub fn end(mut self, state: CallState) {
        self.close(state);
    }

    /// A time in milliseconds, multiplied by the fault `slowdown`.
    pub fn scaled(&self, ms: f64) -> Duration {
        let factor = self.faults.slowdown.unwrap_or(1.0);
        Duration::try_from_secs_f64(ms * factor / 1_000.0).unwrap_or_default()
    }

    /// The delay before the work that the fault `delay_ms` sets.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.faults.delay_ms)
    }

    /// The echo of the reply: the call's own, unless a fault is set.
    pub fn reply_echo(&self) -> Echo {
        if self.faults.wrong_echo { self.other_echo() } else { self.body.echo.clone() }
    }

    /// The request that the output is derived from: another one if a fault is set.
    pub fn output_request(&self) -> RequestId {
        if self.faults.swapped_output {
            self.other_echo().request
        } else {
            self.body.echo.request.clone()
        }
    }

    fn other_echo(&self) -> Echo {
        let state = reply::lock(&self.endpoint.state);
        let other = state.history.other_echo(self.seq, &self.body.echo);
        other.unwrap_or_else(|| unrelated_echo(&self.body.echo))
    }

    fn close(&mut self, state: CallState) {
        self.has_ended = true;
        self.slot = None;
        let now_ms = self.endpoint.now_ms();
        let mut shared = reply::lock(&self.endpoint.state);
        shared.active.remove(self.key);
        shared.history.record_end(self.seq, state, now_ms);
        drop(shared);
        self.endpoint.record_load();
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.has_ended {
            self.close(CallState::Cancelled);
        }
    }
}

/// An echo of a request that no caller sent.
fn unrelated_echo(echo: &Echo) -> Echo {
    let request = RequestId {
        team: echo.request.team.clone(),
        id: Arc::from(format!("{}-other", echo.request.id)),
    };
    Echo { request, ..echo.clone() }
}
