//! `cargo xtask <chore>`.

use std::{env, path::Path, process::ExitCode};

use xtask::capacity;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match args[..] {
        ["capacity"] => capacity::run(root(), false),
        ["capacity", "--check"] => capacity::run(root(), true),
        _ => {
            eprintln!("usage: cargo xtask capacity [--check]");
            return ExitCode::FAILURE;
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The root of the repository.
fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}
