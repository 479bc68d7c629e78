//! Calls to endpoints that run.
//!
//! A call is held from the action that starts it to its end or its cancel,
//! whichever is first. What a call says after that is dropped here.

use std::{collections::HashMap, sync::Arc};

use futures::future::AbortHandle;
use peatdeck_core::{
    instance::input::CallEvent,
    model::{CallId, Echo},
};

/// A call that runs.
#[derive(Debug)]
pub struct RunningCall {
    /// The endpoint's address.
    pub addr: Arc<str>,
    /// What the endpoint knows the call by.
    pub echo: Echo,
    /// Stops its task, which closes the connection.
    pub abort: AbortHandle,
}

/// All calls that run.
#[derive(Debug, Default)]
pub struct Calls {
    running: HashMap<CallId, RunningCall>,
}

impl Calls {
    /// Adds a call.
    pub fn add(&mut self, id: CallId, call: RunningCall) {
        self.running.insert(id, call);
    }

    /// Whether the event is still wanted. An end takes the call out.
    pub fn accept(&mut self, id: CallId, event: &CallEvent) -> bool {
        match event {
            CallEvent::Chunk { .. } => self.running.contains_key(&id),
            CallEvent::Reply { .. } | CallEvent::Refused { .. } | CallEvent::Failed(_) => {
                self.running.remove(&id).is_some()
            }
        }
    }

    /// Takes out a call that is cancelled; `None` if it has ended.
    pub fn remove(&mut self, id: CallId) -> Option<RunningCall> {
        self.running.remove(&id)
    }
}
