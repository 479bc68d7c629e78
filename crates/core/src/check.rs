//! Validation of configuration documents.
//!
//! The same check runs in the operator's command line before a file is sent and in the
//! administration API before a publish is appended. It covers the whole document and reports every
//! problem at once, each with its location and a remedy.
//!
//! The checker doesn't compile policies itself; the caller passes the compiler in, so that a tool
//! without the policy language can still check the rest.

use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

use peatdeck_macros::message;

use crate::{
    document::{Document, Pipeline, Policy, Pool, PoolKind, Stage, Team},
    model::MAX_DEADLINE,
    policy,
};

/// The largest document that is accepted, in bytes of its JSON form. Every instance keeps the whole
/// document in memory, and it is always sent as a whole.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;
/// The longest name of anything in a document, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// One error in a document.
#[message]
#[derive(Eq)]
pub struct Problem {
    /// Where in the document the error is.
    pub path: Path,
    /// What is wrong.
    pub message: String,
    /// How the operator can correct it.
    pub remedy: String,
}

/// A location in a document. Without steps, the document as a whole.
#[message]
#[derive(Eq, Default)]
pub struct Path {
    /// The tables that contain the location, outermost first.
    pub steps: Vec<Step>,
    /// The field of the innermost table that has the error; `None` if the error concerns the table
    /// itself.
    pub field: Option<Arc<str>>,
}

/// One table on the path to a location.
#[message]
#[derive(Eq)]
pub struct Step {
    /// The table's key in the document: `pool`, `pipeline`, `stage`, ….
    pub table: Arc<str>,
    /// Its index among the tables with that key, from 0.
    pub index: usize,
    /// The value of its `name` field.
    pub name: Arc<str>,
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.steps.is_empty() {
            return f.write_str("document");
        }
        for (idx, step) in self.steps.iter().enumerate() {
            let space = if idx == 0 { "" } else { " " };
            write!(f, "{space}{} \"{}\"", step.table, step.name.escape_debug())?;
        }
        match &self.field {
            Some(field) => write!(f, " {field}"),
            None => Ok(()),
        }
    }
}

/// Every problem of a document, in the order of its tables; empty if the document is valid.
/// `compile` reports whether a policy's source compiles.
pub fn check(document: &Document, compile: impl Fn(&str) -> Result<(), String>) -> Vec<Problem> {
    let mut checker = Checker { document, path: Path::default(), problems: Vec::new() };
    checker.size();
    checker.pools();
    checker.pipelines();
    checker.teams();
    checker.policies(compile);
    checker.problems
}

/// A traversal of a document: the current location and the problems found so far.
struct Checker<'a> {
    document: &'a Document,
    path: Path,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn size(&mut self) {
        let size = serde_json::to_vec(self.document).map_or(usize::MAX, |json| json.len());
        if size > MAX_DOCUMENT_BYTES {
            self.report(
                None,
                format!("the document takes {size} bytes, {MAX_DOCUMENT_BYTES} are allowed"),
                "shorten policies or remove what is unused",
            );
        }
    }

    fn pools(&mut self) {
        let pools = &self.document.pools;
        self.names("pool", pools.iter().map(|pool| &pool.name));
        for (idx, pool) in pools.iter().enumerate() {
            self.at_step("pool", idx, &pool.name, |checker| checker.pool(pool));
        }
    }

    fn pool(&mut self, pool: &Pool) {
        if !pool.cost.is_finite() || pool.cost < 0.0 {
            self.report(
                Some("cost"),
                format!("the cost {} is not a number from 0 up", pool.cost),
                "set `cost` to 0 or more",
            );
        }
    }

    fn pipelines(&mut self) {
        let pipelines = &self.document.pipelines;
        self.names("pipeline", pipelines.iter().map(|pipeline| &pipeline.name));
        for (idx, pipeline) in pipelines.iter().enumerate() {
            self.at_step("pipeline", idx, &pipeline.name, |checker| checker.pipeline(pipeline));
        }
    }

    fn pipeline(&mut self, pipeline: &Pipeline) {
        self.deadline(pipeline.max_deadline());
        if !(pipeline.objective > 0.0 && pipeline.objective < 1.0) {
            self.report(
                Some("objective"),
                format!("the objective {} is not between 0 and 1", pipeline.objective),
                "set `objective` to a share such as 0.99; 1 would leave no error budget",
            );
        }
        if let Some(policy) = &pipeline.policy {
            self.policy_reference(policy);
        }
        if pipeline.stages.is_empty() {
            self.report(None, "the pipeline has no stage", "add a [[pipeline.stage]]");
        }
        self.names("stage", pipeline.stages.iter().map(|stage| &stage.name));
        for (idx, stage) in pipeline.stages.iter().enumerate() {
            self.at_step("stage", idx, &stage.name, |checker| checker.stage(stage));
        }
    }

    fn deadline(&mut self, deadline: Duration) {
        if !deadline.is_zero() && deadline <= MAX_DEADLINE {
            return;
        }
        self.report(
            Some("max_deadline_ms"),
            format!("the longest deadline is {} ms", deadline.as_millis()),
            format!("set `max_deadline_ms` between 1 and {}", MAX_DEADLINE.as_millis()),
        );
    }

    fn policy_reference(&mut self, policy: &str) {
        let policies = &self.document.policies;
        if policies.iter().any(|known| &*known.name == policy) {
            return;
        }
        let remedy = reference_remedy("policy", policies.iter().map(|policy| &policy.name));
        self.report(Some("policy"), format!("no policy is named \"{policy}\""), remedy);
    }

    fn stage(&mut self, stage: &Stage) {
        let Some(pool) = self.document.pool(&stage.pool) else {
            let remedy =
                reference_remedy("pool", self.document.pools.iter().map(|pool| &pool.name));
            let message = format!("no pool is named \"{}\"", stage.pool);
            return self.report(Some("pool"), message, remedy);
        };
        match (pool.kind, stage.max_tokens) {
            (PoolKind::Engine, None) => self.report(
                None,
                format!("pool \"{}\" holds engines, but the stage has no max_tokens", pool.name),
                "set `max_tokens` to the most tokens that the stage may generate",
            ),
            (PoolKind::Engine, Some(0)) => self.report(
                Some("max_tokens"),
                "the stage may generate no token",
                "set `max_tokens` to 1 or more",
            ),
            (PoolKind::Service, Some(_)) => self.report(
                Some("max_tokens"),
                format!("pool \"{}\" holds services, which generate no tokens", pool.name),
                "remove `max_tokens`, or set the pool's `kind` to \"engine\"",
            ),
            (PoolKind::Engine, Some(_)) | (PoolKind::Service, None) => {}
        }
    }

    fn teams(&mut self) {
        let teams = &self.document.teams;
        self.names("team", teams.iter().map(|team| &team.name));
        for (idx, team) in teams.iter().enumerate() {
            self.at_step("team", idx, &team.name, |checker| checker.team(team));
        }
    }

    fn team(&mut self, team: &Team) {
        if team.weight == 0 {
            self.report(
                Some("weight"),
                "the weight is 0, so the team would never get a share",
                "set `weight` to 1 or more, or remove the team",
            );
        }
    }

    fn policies(&mut self, compile: impl Fn(&str) -> Result<(), String>) {
        let policies = &self.document.policies;
        self.names("policy", policies.iter().map(|policy| &policy.name));
        for (idx, policy) in policies.iter().enumerate() {
            self.at_step("policy", idx, &policy.name, |checker| checker.policy(policy, &compile));
        }
    }

    fn policy(&mut self, policy: &Policy, compile: impl Fn(&str) -> Result<(), String>) {
        let Err(cause) = compile(&policy.script) else { return };
        self.report(Some("script"), cause, "mend the script, then check again");
    }

    /// Checks the names of all tables of one kind: each must be well-formed and unique.
    fn names<'n>(&mut self, table: &str, names: impl Iterator<Item = &'n Arc<str>>) {
        let mut first = HashMap::new();
        for (idx, name) in names.enumerate() {
            let earlier = *first.entry(name).or_insert(idx);
            self.at_step(table, idx, name, |checker| {
                checker.name(name);
                if earlier != idx {
                    checker.report(
                        Some("name"),
                        format!("another {table} before it has the same name"),
                        "give each a name of its own, or remove one",
                    );
                }
            });
        }
    }

    fn name(&mut self, name: &str) {
        if name.is_empty() {
            self.report(Some("name"), "the name is empty", "give it a name");
        } else if name.len() > MAX_NAME_BYTES {
            self.report(
                Some("name"),
                format!("the name takes {} bytes, {MAX_NAME_BYTES} are allowed", name.len()),
                "shorten it",
            );
        } else if name.chars().any(char::is_control) {
            self.report(
                Some("name"),
                "the name holds a control character",
                "use printable characters only",
            );
        }
    }

    fn at_step(&mut self, table: &str, index: usize, name: &Arc<str>, run: impl FnOnce(&mut Self)) {
        self.path.steps.push(Step { table: table.into(), index, name: Arc::clone(name) });
        run(self);
        self.path.steps.pop();
    }

    fn report(
        &mut self,
        field: Option<&str>,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let path = Path { steps: self.path.steps.clone(), field: field.map(Arc::from) };
        self.problems.push(Problem { path, message: message.into(), remedy: remedy.into() });
    }
}

/// The remedy for a reference to a table that doesn't exist.
fn reference_remedy<'n>(table: &str, names: impl Iterator<Item = &'n Arc<str>>) -> String {
    let names: Vec<String> = names.map(|name| format!("\"{name}\"")).collect();
    match names.as_slice() {
        [] => format!("add a [[{table}]] of that name"),
        names => format!("add a [[{table}]] of that name, or use one of {}", names.join(", ")),
    }
}

/// Compiles a policy's source; suited as the `compile` argument of [`check`].
///
/// # Errors
/// The compiler's message, written for the operator.
pub fn compile(script: &str) -> Result<(), String> {
    match policy::compile(script) {
        Ok(_) => Ok(()),
        Err(error) => Err(error.to_string()),
    }
}
