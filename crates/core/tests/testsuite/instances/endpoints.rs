//! Fake endpoints: their replies and their faults.

use std::time::Duration;

use peatdeck_core::{
    instance::{
        action::Call,
        input::{CallEvent, CallFailure, RefuseReason},
    },
    model::{EndpointEntry, Incarnation, Presence, Text},
};
use proptest::prelude::*;

/// Number of tokens that an engine generates.
pub const TOKENS: u32 = 4;
/// Time that a call to a service, or a token of an engine, takes.
const STEP: Duration = Duration::from_millis(4);

/// How an endpoint misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Calls take fifty times as long.
    Slow,
    /// Calls receive no reply.
    Hang,
    /// The connection is cut after half of the reply.
    Cut,
    /// Replies contain the echo of another request.
    WrongEcho,
    /// All events of a reply are sent twice.
    Duplicate,
    /// Calls are refused because no slot is free.
    Busy,
    /// Connections are not accepted.
    Down,
}

impl Fault {
    /// Any fault, or none with a probability of 0.4.
    pub fn any() -> impl Strategy<Value = Fault> {
        use Fault::{Busy, Cut, Down, Duplicate, Hang, None, Slow, WrongEcho};
        prop_oneof![
            4 => Just(None),
            6 => prop::sample::select(vec![Slow, Hang, Cut, WrongEcho, Duplicate, Busy, Down]),
        ]
    }
}

/// A fake endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Its entry in the listing.
    pub entry: EndpointEntry,
    /// Its current fault.
    pub fault: Fault,
    /// Since when it is leaving, on the world's clock.
    pub leaving: Option<Duration>,
}

/// The effect of a call.
pub struct CallEffect {
    /// Whether anything of the call runs.
    pub runs: bool,
    /// The events that the instance receives, each after a delay.
    pub events: Vec<(Duration, CallEvent)>,
}

impl Endpoint {
    /// An endpoint without a fault.
    pub fn new(pool: &str, number: u32) -> Endpoint {
        let name = format!("{pool}-{number}");
        Endpoint {
            entry: EndpointEntry {
                addr: name.as_str().into(),
                name: name.into(),
                pool: pool.into(),
                data_centre: "north".into(),
                incarnation: Incarnation(1),
                presence: Presence::Live,
                software: "".into(),
            },
            fault: Fault::None,
            leaving: None,
        }
    }

    /// The effect of a call that arrives.
    pub fn call(&self, call: &Call) -> CallEffect {
        let not_run = |event| CallEffect { runs: false, events: vec![(STEP, event)] };
        if self.fault == Fault::Down {
            return not_run(CallEvent::Failed(CallFailure::NotSent));
        }
        if self.leaving.is_some() {
            return not_run(CallEvent::Refused { reason: RefuseReason::Leaving, load: None });
        }
        if self.fault == Fault::Busy {
            return not_run(CallEvent::Refused { reason: RefuseReason::Busy, load: None });
        }
        CallEffect { runs: true, events: self.replies(call) }
    }

    fn replies(&self, call: &Call) -> Vec<(Duration, CallEvent)> {
        let step = if self.fault == Fault::Slow { STEP * 50 } else { STEP };
        let mut events = healthy_replies(call);
        match self.fault {
            Fault::Hang => events.clear(),
            Fault::Cut => {
                events.truncate(events.len() / 2);
                events.push(CallEvent::Failed(CallFailure::Cut));
            }
            Fault::WrongEcho => events.iter_mut().for_each(corrupt_echo),
            Fault::Duplicate => {
                events = events.iter().flat_map(|e| [e.clone(), e.clone()]).collect()
            }
            _ => {}
        }
        (1..).zip(events).map(|(position, event)| (step * position, event)).collect()
    }
}

/// The events that an endpoint without a fault sends for a call.
fn healthy_replies(call: &Call) -> Vec<CallEvent> {
    let echo = &call.echo;
    let text = output(&call.stage, &echo.request.id, &call.input, call.engine);
    if !call.engine {
        let output = Some(text);
        return vec![CallEvent::Reply { echo: echo.clone(), output, tokens: None, load: None }];
    }
    let received = u32::try_from(call.resume.len()).unwrap();
    let mut events = Vec::new();
    for index in received..TOKENS {
        let text = token(&call.stage, &echo.request.id, &call.input, index);
        events.push(CallEvent::Chunk { echo: echo.clone(), index, text });
    }
    let end =
        CallEvent::Reply { echo: echo.clone(), output: None, tokens: Some(TOKENS), load: None };
    events.push(end);
    events
}

/// The complete output of a stage.
pub fn output(stage: &str, id: &str, input: &str, is_engine: bool) -> Text {
    if !is_engine {
        return format!("{stage}({id},{input})").into();
    }
    (0..TOKENS).map(|index| token(stage, id, input, index).to_string()).collect::<String>().into()
}

fn token(stage: &str, id: &str, input: &str, index: u32) -> Text {
    format!("{stage}{index}[{id},{}]", input.len()).into()
}

/// Turns an event into one of another request, including the content.
fn corrupt_echo(event: &mut CallEvent) {
    match event {
        CallEvent::Chunk { echo, text, .. } => {
            echo.request.id = "somebody-else".into();
            *text = "foreign".into();
        }
        CallEvent::Reply { echo, output, .. } => {
            echo.request.id = "somebody-else".into();
            *output = output.as_ref().map(|_| "foreign".into());
        }
        CallEvent::Refused { .. } | CallEvent::Failed(_) => {}
    }
}
