//! `cargo xtask demo`: one request through a whole system on this host.
//!
//! It builds the binaries, starts the stand-ins for log, list and endpoints, two
//! entries and the administration process, publishes the sample configuration,
//! sends one request, and prints its answer with a line for each stage. All
//! processes have ended when it returns.

use std::{env, fs, path::Path, process::Command};

use ntex::rt;
use peatdeck_core::document::Document;
use peatdeck_test_support::{
    error::Error as SystemError,
    processes::{System, builder::Builder},
};
use peatdeck_wire::caller::{AnswerBody, RequestBody};

/// Path of the sample configuration, relative to the root of the repository.
const SAMPLE: &str = "examples/wash-fleet.toml";
/// The pipeline of the request.
const PIPELINE: &str = "certificate-draft";
/// The entry that receives the request.
const ENTRY: &str = "entry-1";

/// Why the demo failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The binaries could not be built.
    #[error("the binaries were not built; fix the errors of `cargo build --workspace`")]
    Build,
    /// The sample configuration could not be read or is not valid.
    #[error("{path} cannot be read: {cause}; restore it from the repository")]
    Sample {
        /// Its path.
        path: String,
        /// The underlying cause.
        cause: String,
    },
    /// A file could not be read or written.
    #[error("{path} cannot be used: {cause}; check that it is there and its permissions")]
    File {
        /// The file.
        path: String,
        /// The underlying cause.
        cause: String,
    },
    /// The system did not start, or a request to it failed.
    #[error(transparent)]
    System(#[from] SystemError),
    /// The request was not answered.
    #[error("the request ended with status {status}: {body}; the body says what to do")]
    Unanswered {
        /// The HTTP status.
        status: u16,
        /// The response's body.
        body: String,
    },
}

/// Runs the demo.
///
/// # Errors
/// Any [`Error`]; the message says what to do.
pub fn run(root: &Path) -> Result<(), Error> {
    build(root)?;
    let document = sample(root)?;
    let demo = async move { show(document).await };
    rt::System::build().name("demo").build(rt::DefaultRuntime).block_on(demo)
}

/// Builds every binary.
pub(crate) fn build(root: &Path) -> Result<(), Error> {
    println!("Building the binaries …");
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let args = ["build", "--quiet", "--workspace", "--bins", "--locked"];
    let status = Command::new(cargo).args(args).current_dir(root).status();
    match status {
        Ok(status) if status.success() => Ok(()),
        _ => Err(Error::Build),
    }
}

/// Reads the sample configuration.
pub(crate) fn sample(root: &Path) -> Result<Document, Error> {
    let path = root.join(SAMPLE);
    let fail = |cause: String| Error::Sample { path: path.display().to_string(), cause };
    let text = fs::read_to_string(&path).map_err(|err| fail(err.to_string()))?;
    toml::from_str(&text).map_err(|err| fail(err.to_string()))
}

async fn show(document: Document) -> Result<(), Error> {
    println!("Starting log, list, endpoints, entries and administration …");
    let system = Builder::new(document).start().await?;
    describe(&system);
    let request = request();
    println!("Sending a request for `{PIPELINE}` to {ENTRY} …");
    let reply = system.request(ENTRY, PIPELINE, &request).await?;
    let Some(answer) = reply.json::<AnswerBody>().filter(|_| reply.status == 200) else {
        return Err(Error::Unanswered { status: reply.status, body: reply.text() });
    };
    print_answer(&answer);
    drop(system);
    println!("Every process has ended.");
    Ok(())
}

/// Prints how many processes run, and the version in force.
pub(crate) fn describe(system: &System) {
    let listing = system.listing();
    println!(
        "{} endpoints in {} pools, {} entries; {SAMPLE} is in force as version 1.",
        listing.endpoints.len(),
        system.document.pools.len(),
        listing.instances.len(),
    );
}

fn request() -> RequestBody {
    RequestBody {
        id: "draft-1".into(),
        team: "stations".into(),
        deadline_ms: 20_000,
        idempotent: true,
        repeat: false,
        stream: false,
        input: "Trailer 7, washed and disinfected, 40 sheep.".into(),
    }
}

fn print_answer(answer: &AnswerBody) {
    println!("\n{}\n", answer.output);
    println!("{:<12} {:<20} {:>8} {:>10}", "stage", "endpoint", "attempts", "time");
    for stage in &answer.stages {
        println!(
            "{:<12} {:<20} {:>8} {:>7.1} ms",
            stage.stage, stage.endpoint, stage.attempts, stage.took_ms
        );
    }
    println!();
}
