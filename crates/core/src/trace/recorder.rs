//! Writes a trace while an instance runs.
//!
//! An input is written before the instance handles it, so that the trace contains the input that
//! ended the process. Each line is passed to the writer immediately and as a whole.

use std::{io, io::Write, time::Duration};

use serde::Serialize;

use crate::{
    content::{self, Content},
    instance::{
        action::Action,
        input::{CallEvent, Input, PeerOutcome},
    },
    model::Outcome,
    trace::{Header, Line},
};

/// Writes a trace.
#[derive(Debug)]
pub struct Recorder<W> {
    out: W,
    content: Content,
}

impl<W: Write> Recorder<W> {
    /// Starts a trace.
    ///
    /// # Errors
    /// If the header cannot be written.
    pub fn new(out: W, header: &Header) -> io::Result<Recorder<W>> {
        let mut recorder = Recorder { out, content: header.content };
        recorder.write(header)?;
        Ok(recorder)
    }

    /// Records an input that the instance is about to handle.
    ///
    /// # Errors
    /// If the line cannot be written.
    pub fn input(&mut self, now: Duration, input: &Input) -> io::Result<()> {
        let input = match self.content {
            Content::Keep => input.clone(),
            Content::Hash => without_text(input.clone()),
        };
        self.write(&Line { at_us: Some(micros(now)), input: Some(input), ..Default::default() })
    }

    /// Records the answers to callers among the actions of the instance.
    ///
    /// # Errors
    /// If a line cannot be written.
    pub fn answers(&mut self, now: Duration, actions: &[Action]) -> io::Result<()> {
        for action in actions {
            let Action::Answer { caller, outcome } = action else { continue };
            let outcome = match self.content {
                Content::Keep => outcome.clone(),
                Content::Hash => hash_outcome(outcome.clone()),
            };
            let (answer, outcome) = (Some(*caller), Some(outcome));
            let at_us = Some(micros(now));
            self.write(&Line { at_us, answer, outcome, ..Default::default() })?;
        }
        Ok(())
    }

    fn write(&mut self, record: &impl Serialize) -> io::Result<()> {
        let mut line = serde_json::to_vec(record)?;
        line.push(b'\n');
        self.out.write_all(&line)?;
        self.out.flush()
    }
}

fn micros(now: Duration) -> u64 {
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Replaces every text of callers and endpoints in the input by its hash.
fn without_text(mut input: Input) -> Input {
    match &mut input {
        Input::Submit { request, .. } => request.input = content::hash_input(request),
        Input::Call { event: CallEvent::Chunk { text, .. }, .. } => {
            *text = content::hash_text(text)
        }
        Input::Call { event: CallEvent::Reply { output: Some(text), .. }, .. } => {
            *text = content::hash_text(text);
        }
        Input::OutcomeTold { answer: Some(PeerOutcome::Finished(outcome)), .. } => {
            *outcome = hash_outcome(outcome.clone());
        }
        _ => {}
    }
    input
}

fn hash_outcome(mut outcome: Outcome) -> Outcome {
    if let Outcome::Answered(answer) = &mut outcome {
        answer.output = content::hash_text(&answer.output);
    }
    outcome
}
