//! Fake endpoints: what they answer, and how they misbehave.

use std::time::Duration;

use peatdeck_core::{
    instance::{
        action::Call,
        input::{CallEvent, CallFailure, RefuseReason},
    },
    model::{EndpointEntry, Incarnation, Presence, Text},
};
use proptest::prelude::*;

/// Tokens of a generation.
pub const TOKENS: u32 = 4;
/// Time of a service's call, and of a token.
const STEP: Duration = Duration::from_millis(4);

/// How an endpoint misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Not at all.
    None,
    /// It takes fifty times its time.
    Slow,
    /// It never replies.
    Hang,
    /// It cuts the connection half way.
    Cut,
    /// It replies with another request's echo.
    WrongEcho,
    /// It sends everything twice.
    Twice,
    /// It has no place.
    Busy,
    /// It does not accept connections.
    Gone,
}

impl Fault {
    /// Any of them; mostly none.
    pub fn any() -> impl Strategy<Value = Fault> {
        use Fault::{Busy, Cut, Gone, Hang, None, Slow, Twice, WrongEcho};
        prop_oneof![
            4 => Just(None),
            6 => prop::sample::select(vec![Slow, Hang, Cut, WrongEcho, Twice, Busy, Gone]),
        ]
    }
}

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// How the list knows it.
    pub entry: EndpointEntry,
    /// How it misbehaves.
    pub fault: Fault,
    /// Since when it is leaving, in world time.
    pub leaving: Option<Duration>,
}

/// What a call brings about: events after a delay each, and whether it runs.
pub struct Effect {
    /// Whether anything of the call runs.
    pub runs: bool,
    /// The events, each with its delay.
    pub events: Vec<(Duration, CallEvent)>,
}

impl Endpoint {
    /// A sound endpoint.
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
            },
            fault: Fault::None,
            leaving: None,
        }
    }

    /// What happens when a call arrives.
    pub fn call(&self, call: &Call) -> Effect {
        let unrun = |event| Effect { runs: false, events: vec![(STEP, event)] };
        if self.fault == Fault::Gone {
            return unrun(CallEvent::Failed(CallFailure::NotSent));
        }
        if self.leaving.is_some() {
            return unrun(CallEvent::Refused { reason: RefuseReason::Leaving, load: None });
        }
        if self.fault == Fault::Busy {
            return unrun(CallEvent::Refused { reason: RefuseReason::Busy, load: None });
        }
        Effect { runs: true, events: self.replies(call) }
    }

    fn replies(&self, call: &Call) -> Vec<(Duration, CallEvent)> {
        let step = if self.fault == Fault::Slow { STEP * 50 } else { STEP };
        let mut events = sound(call);
        match self.fault {
            Fault::Hang => events.clear(),
            Fault::Cut => {
                events.truncate(events.len() / 2);
                events.push(CallEvent::Failed(CallFailure::Cut));
            }
            Fault::WrongEcho => events.iter_mut().for_each(spoil_echo),
            Fault::Twice => events = events.iter().flat_map(|e| [e.clone(), e.clone()]).collect(),
            _ => {}
        }
        (1..).zip(events).map(|(place, event)| (step * place, event)).collect()
    }
}

/// A sound endpoint's events.
fn sound(call: &Call) -> Vec<CallEvent> {
    let echo = &call.echo;
    let whole = output(&call.stage, &echo.request.id, &call.input, call.engine);
    if !call.engine {
        let output = Some(whole);
        return vec![CallEvent::Reply { echo: echo.clone(), output, tokens: None, load: None }];
    }
    let held = u32::try_from(call.resume.len()).unwrap();
    let mut events = Vec::new();
    for index in held..TOKENS {
        let text = token(&call.stage, &echo.request.id, &call.input, index);
        events.push(CallEvent::Chunk { echo: echo.clone(), index, text });
    }
    let end =
        CallEvent::Reply { echo: echo.clone(), output: None, tokens: Some(TOKENS), load: None };
    events.push(end);
    events
}

/// The whole output of a stage.
pub fn output(stage: &str, id: &str, input: &str, engine: bool) -> Text {
    if !engine {
        return format!("{stage}({id},{input})").into();
    }
    (0..TOKENS).map(|index| token(stage, id, input, index).to_string()).collect::<String>().into()
}

fn token(stage: &str, id: &str, input: &str, index: u32) -> Text {
    format!("{stage}{index}[{id},{}]", input.len()).into()
}

/// Turns an event into one that belongs to another request, content and all.
fn spoil_echo(event: &mut CallEvent) {
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
