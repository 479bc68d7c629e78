//! One call within an endpoint, from its arrival to its end.

use std::{sync::Arc, time::Duration};

use peatdeck_core::model::{Echo, RequestId};
use peatdeck_wire::endpoint::CallBody;

use super::{ActiveKey, Endpoint};
use crate::{
    calls::{CallSeq, CallState},
    faults::EndpointFaults,
    places::Place,
    reply,
};

/// A call that was taken in. Dropped before [`Call::end`], it counts as cancelled.
#[derive(Debug)]
pub struct Call {
    endpoint: Arc<Endpoint>,
    key: ActiveKey,
    seq: CallSeq,
    place: Option<Place>,
    ended: bool,
    /// What was asked.
    pub body: CallBody,
    /// Faults that hold for it.
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
        Call { endpoint, key, seq, place: None, ended: false, body, faults }
    }

    /// It got a place and runs.
    pub fn start(&mut self, place: Place) {
        self.place = Some(place);
        let now_ms = self.endpoint.now_ms();
        reply::lock(&self.endpoint.state).book.started(self.seq, now_ms);
        self.endpoint.note_load();
    }

    /// One token was generated.
    pub fn count_token(&self) {
        reply::lock(&self.endpoint.state).book.token(self.seq);
    }

    /// It leaves the endpoint, and its place is free.
    pub fn end(mut self, state: CallState) {
        self.close(state);
    }

    /// A time as the endpoint's faults stretch it.
    pub fn stretched(&self, ms: f64) -> Duration {
        let factor = self.faults.slowdown.unwrap_or(1.0);
        Duration::try_from_secs_f64(ms * factor / 1_000.0).unwrap_or_default()
    }

    /// The time that a fault adds before the work.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.faults.delay_ms)
    }

    /// What the reply echoes: the truth unless a fault says otherwise.
    pub fn echoed(&self) -> Echo {
        if self.faults.wrong_echo { self.other_echo() } else { self.body.echo.clone() }
    }

    /// The request that the output is derived from.
    pub fn answered(&self) -> RequestId {
        if self.faults.swapped_output {
            self.other_echo().request
        } else {
            self.body.echo.request.clone()
        }
    }

    fn other_echo(&self) -> Echo {
        let state = reply::lock(&self.endpoint.state);
        let other = state.book.other_echo(self.seq, &self.body.echo);
        other.unwrap_or_else(|| made_up(&self.body.echo))
    }

    fn close(&mut self, state: CallState) {
        self.ended = true;
        self.place = None;
        let now_ms = self.endpoint.now_ms();
        let mut shared = reply::lock(&self.endpoint.state);
        shared.active.remove(self.key);
        shared.book.ended(self.seq, state, now_ms);
        drop(shared);
        self.endpoint.note_load();
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.ended {
            self.close(CallState::Cancelled);
        }
    }
}

/// An echo of a request that nobody sent.
fn made_up(echo: &Echo) -> Echo {
    let request = RequestId {
        team: echo.request.team.clone(),
        id: Arc::from(format!("{}-other", echo.request.id)),
    };
    Echo { request, ..echo.clone() }
}
