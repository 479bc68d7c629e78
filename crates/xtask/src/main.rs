//! `cargo xtask <task>`.

use std::{env, fmt::Display, path::Path, process::ExitCode};

use xtask::{ablate, capacity, demo, regress, soak, up, walk};

const USAGE: &str = "usage:\n  cargo xtask demo\n  cargo xtask up\n  cargo xtask walk\n  cargo xtask capacity [--check]\n  cargo xtask ablate [NAME COPY]\n  cargo xtask soak [--seed N] [--minutes M]\n  cargo xtask regress PROGRAM FOLDER... [--base CHECKOUT]";

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args[..] {
        ["demo"] => exit_code(demo::run(root())),
        ["up"] => exit_code(up::run(root())),
        ["walk"] => exit_code(walk::run(root())),
        ["capacity"] => exit_code(capacity::run(root(), false)),
        ["capacity", "--check"] => exit_code(capacity::run(root(), true)),
        ["ablate"] => exit_code(ablate::print()),
        ["ablate", name, copy] => exit_code(ablate::run(root(), name, Path::new(copy))),
        ["regress", ..] => exit_code(regress::run(root(), &args[1..])),
        ["soak", ..] => exit_code(soak::run(root(), &args[1..])),
        _ => {
            eprintln!("{USAGE}");
            ExitCode::FAILURE
        }
    }
}

fn exit_code<E: Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}
