//! Callers that wait for their answer.
//!
//! A caller's key is never used twice, so an answer that comes late cannot
//! reach whoever took its place.

use futures::channel::mpsc;
use peatdeck_core::model::{CallerId, Outcome, PipelineName, TeamName, Text};
use slotmap::{Key, KeyData, SlotMap};

slotmap::new_key_type! {
    /// One caller.
    pub struct CallerKey;
}

impl CallerKey {
    /// The number that the machine knows the caller by.
    pub fn id(self) -> CallerId {
        CallerId(self.data().as_ffi())
    }
}

impl From<CallerId> for CallerKey {
    fn from(id: CallerId) -> CallerKey {
        KeyData::from_ffi(id.0).into()
    }
}

/// What is sent to a caller.
#[derive(Debug)]
pub enum ReplyPart {
    /// A piece of text; only if it asked for a stream.
    Text(Text),
    /// Its one outcome. Nothing follows.
    End(Outcome),
}

/// A caller that waits.
#[derive(Debug)]
pub struct Caller {
    /// Its pipeline.
    pub pipeline: PipelineName,
    /// Its team.
    pub team: TeamName,
    parts: mpsc::UnboundedSender<ReplyPart>,
}

/// All callers that wait.
#[derive(Debug, Default)]
pub struct Callers {
    waiting: SlotMap<CallerKey, Caller>,
}

impl Callers {
    /// Adds a caller and gives what it will be sent.
    pub fn add(
        &mut self,
        pipeline: PipelineName,
        team: TeamName,
    ) -> (CallerKey, mpsc::UnboundedReceiver<ReplyPart>) {
        let (parts, rx) = mpsc::unbounded();
        (self.waiting.insert(Caller { pipeline, team, parts }), rx)
    }

    /// Sends a piece of text. False if the caller is gone.
    pub fn send_text(&self, key: CallerKey, text: Text) -> bool {
        let Some(caller) = self.waiting.get(key) else { return false };
        caller.parts.unbounded_send(ReplyPart::Text(text)).is_ok()
    }

    /// Sends the outcome and forgets the caller. `None` if it is gone.
    pub fn send_outcome(&mut self, key: CallerKey, outcome: Outcome) -> Option<Caller> {
        let caller = self.waiting.remove(key)?;
        caller.parts.unbounded_send(ReplyPart::End(outcome)).ok()?;
        Some(caller)
    }

    /// Forgets a caller that went away. False if its outcome was already sent.
    pub fn remove(&mut self, key: CallerKey) -> bool {
        self.waiting.remove(key).is_some()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
