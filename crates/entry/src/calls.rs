//! Calls in flight to endpoints.
//!
//! A call is stored from the action that starts it until it ends or is
//! cancelled, whichever is first. Later events of the call are dropped.

use std::{collections::HashMap, sync::Arc};

use futures::future::AbortHandle;
use peatdeck_core::{
    instance::input::CallEvent,
    model::{CallId, Echo},
};

/// A call in flight.
#[derive(Debug)]
pub struct RunningCall {
    /// The endpoint's address.
    pub addr: Arc<str>,
    /// The echo by which the endpoint identifies the call.
    pub echo: Echo,
    /// Aborts the call's task, which closes the connection.
    pub abort: AbortHandle,
}

/// All calls in flight.
#[derive(Debug, Default)]
pub struct Calls {
    running: HashMap<CallId, RunningCall>,
}

impl Calls {
    /// Adds a call that is about to start.
    pub fn add(&mut self, id: CallId, call: RunningCall) {
        self.running.insert(id, call);
    }

    /// Whether the call is still in flight, so that the event counts. An event
    /// that ends the call removes it.
    pub fn accept(&mut self, id: CallId, event: &CallEvent) -> bool {
        match event {
            CallEvent::Chunk { .. } => self.running.contains_key(&id),
            CallEvent::Reply { .. } | CallEvent::Refused { .. } | CallEvent::Failed(_) => {
                self.running.remove(&id).is_some()
            }
        }
    }

    /// Removes a cancelled call; `None` if it has already ended.
    pub fn remove(&mut self, id: CallId) -> Option<RunningCall> {
        self.running.remove(&id)
    }
}
