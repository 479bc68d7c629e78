//! Callers that wait for their outcome.
//!
//! Keys are versioned and never reused, so a late answer cannot reach a caller
//! that has taken over the slot of an earlier one.

use futures::channel::mpsc;
use peatdeck_core::model::{CallerId, Outcome, PipelineName, TeamName, Text};
use slotmap::{Key, KeyData, SlotMap};

slotmap::new_key_type! {
    /// Identifies one waiting caller.
    pub struct CallerKey;
}

impl CallerKey {
    /// The caller's id in the state machine.
    pub fn id(self) -> CallerId {
        CallerId(self.data().as_ffi())
    }
}

impl From<CallerId> for CallerKey {
    fn from(id: CallerId) -> CallerKey {
        KeyData::from_ffi(id.0).into()
    }
}

/// A part of the reply to a caller.
#[derive(Debug)]
pub enum ReplyPart {
    /// A piece of the output; only if the caller asked for a stream.
    Text(Text),
    /// The outcome, which is always the last part.
    End(Outcome),
}

/// A caller that waits for its outcome.
#[derive(Debug)]
pub struct Caller {
    /// The pipeline of its request.
    pub pipeline: PipelineName,
    /// The team of its request.
    pub team: TeamName,
    parts: mpsc::UnboundedSender<ReplyPart>,
}

/// All callers that wait for their outcome.
#[derive(Debug, Default)]
pub struct Callers {
    waiting: SlotMap<CallerKey, Caller>,
}

impl Callers {
    /// Adds a caller and returns its key and the receiver of its reply parts.
    pub fn add(
        &mut self,
        pipeline: PipelineName,
        team: TeamName,
    ) -> (CallerKey, mpsc::UnboundedReceiver<ReplyPart>) {
        let (parts, rx) = mpsc::unbounded();
        (self.waiting.insert(Caller { pipeline, team, parts }), rx)
    }

    /// Sends a piece of the output. False if the caller has disconnected.
    pub fn send_text(&self, key: CallerKey, text: Text) -> bool {
        let Some(caller) = self.waiting.get(key) else { return false };
        caller.parts.unbounded_send(ReplyPart::Text(text)).is_ok()
    }

    /// Sends the outcome and removes the caller. `None` if it has disconnected.
    pub fn send_outcome(&mut self, key: CallerKey, outcome: Outcome) -> Option<Caller> {
        let caller = self.waiting.remove(key)?;
        caller.parts.unbounded_send(ReplyPart::End(outcome)).ok()?;
        Some(caller)
    }

    /// Removes a caller that disconnected. False if its outcome was already sent.
    pub fn remove(&mut self, key: CallerKey) -> bool {
        self.waiting.remove(key).is_some()
    }

    /// Number of waiting callers.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no caller waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
