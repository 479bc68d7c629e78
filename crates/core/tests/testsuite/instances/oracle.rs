//! What must hold, stated simply.

use std::{collections::HashMap, time::Duration};

use peatdeck_core::{
    instance::action::Call,
    model::{CallerId, Outcome},
};

use super::{endpoints, world::Ask};

/// The stages of the two pipelines: name, whether an engine, whether it must
/// run at most once.
pub const DRAFT: [(&str, bool, bool); 2] = [("encode", false, false), ("generate", true, false)];
/// See [`DRAFT`].
pub const TICKET: [(&str, bool, bool); 2] = [("encode", false, false), ("ledger", false, true)];

/// One life of a node.
pub type Life = (usize, u64);

/// A request as its caller knows it.
#[derive(Debug)]
pub struct Submitted {
    /// The node asked.
    pub life: Life,
    /// Its id.
    pub id: String,
    /// Its input.
    pub input: String,
    /// What was asked.
    pub ask: Ask,
    /// Whether the caller sent it before.
    pub repeat: bool,
    /// When the answer is due.
    pub due: Duration,
    /// Pieces streamed so far.
    pub streamed: String,
    /// How it ended.
    pub outcome: Option<Outcome>,
    /// Whether a call of it ran.
    pub ran: bool,
    /// Whether its node went away or was frozen meanwhile, so that no answer
    /// in time can be asked for.
    pub excused: bool,
}

/// What was seen so far.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Every request submitted.
    pub submitted: HashMap<CallerId, Submitted>,
    /// Runs of each request's stage that must run at most once.
    single_runs: HashMap<String, u32>,
    /// Ids of which anything ran.
    ran_ids: HashMap<String, u32>,
    /// The newest version seen in each life.
    versions: HashMap<Life, u64>,
}

impl Oracle {
    /// The request that a node's call is for: a node holds an id once.
    pub fn caller_of(&self, life: Life, call: &Call) -> Option<CallerId> {
        let held = self
            .submitted
            .iter()
            .filter(|(_, request)| request.life == life && *request.id == *call.echo.request.id);
        held.map(|(caller, _)| *caller).max()
    }

    /// A call began to run at an endpoint.
    pub fn runs(&mut self, caller: CallerId, call: &Call) {
        let id = call.echo.request.id.to_string();
        *self.ran_ids.entry(id.clone()).or_default() += 1;
        let request = self.submitted.get_mut(&caller).expect("calls have a caller");
        request.ran = true;
        assert!(
            !matches!(request.outcome, Some(Outcome::NotRun(_))),
            "{id} was told \"not run\" and runs {} afterwards",
            call.stage
        );
        if request.ask.single && &*call.stage == "ledger" {
            let runs = self.single_runs.entry(id.clone()).or_default();
            *runs += 1;
            assert_eq!(*runs, 1, "{id} ran more than once");
        }
    }

    /// A caller got a piece of text.
    pub fn streamed(&mut self, caller: CallerId, text: &str) {
        let request = self.submitted.get_mut(&caller).expect("known caller");
        assert!(request.outcome.is_none(), "{} got text behind its end", request.id);
        request.streamed.push_str(text);
        let whole = expected(request);
        assert!(whole.starts_with(&request.streamed), "{} got foreign text", request.id);
    }

    /// A caller got its outcome.
    pub fn answered(&mut self, now: Duration, caller: CallerId, outcome: Outcome) {
        let request = self.submitted.get_mut(&caller).expect("known caller");
        assert_eq!(request.outcome, None, "{} got two outcomes", request.id);
        let id = &request.id;
        match &outcome {
            Outcome::Answered(answer) => {
                assert_eq!(&*answer.output, expected(request), "{id} got a foreign answer");
                assert!(now <= request.due || request.excused, "{id} was answered late");
            }
            Outcome::NotRun(_) => {
                assert!(!request.ran, "{id} ran and was told \"not run\"");
                let earlier = request.repeat && self.ran_ids.contains_key(id);
                assert!(!earlier, "{id} ran earlier and was told \"not run\" as a repeat");
            }
            Outcome::MayHaveRun(_) => {}
            Outcome::Invalid(kind) => panic!("{id} is valid, and was told {kind:?}"),
        }
        request.outcome = Some(outcome);
    }

    /// Every caller whose node is well has its outcome once it is due.
    pub fn check_due(&self, now: Duration) {
        for request in self.submitted.values().filter(|request| !request.excused) {
            let late = now > request.due && request.outcome.is_none();
            assert!(!late, "{} has no outcome although it is due", request.id);
        }
    }

    /// A node went away or was frozen: its callers can't ask for more.
    pub fn excuse(&mut self, life: Life) {
        let open = self.submitted.values_mut();
        open.filter(|request| request.life == life && request.outcome.is_none())
            .for_each(|request| request.excused = true);
    }

    /// A node exited by itself: it must owe nobody.
    pub fn exited(&self, life: Life) {
        let owed = self.submitted.values().find(|r| r.life == life && r.outcome.is_none());
        assert!(owed.is_none(), "a planned stop cut {owed:?} off");
    }

    /// A node has a version in force.
    pub fn version(&mut self, life: Life, version: u64) {
        let newest = self.versions.entry(life).or_default();
        assert!(version >= *newest, "{life:?} went back from {newest} to {version}");
        *newest = version;
    }
}

/// The whole answer of a request.
fn expected(request: &Submitted) -> String {
    let stages = if request.ask.single { TICKET } else { DRAFT };
    let mut text = request.input.clone();
    for (stage, engine, _) in stages {
        text = endpoints::output(stage, &request.id, &text, engine).to_string();
    }
    text
}
