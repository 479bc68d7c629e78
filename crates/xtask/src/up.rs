//! `cargo xtask up`: keeps the demo's system running for manual use.
//!
//! It starts the same system as [`demo`], writes the addresses as shell variables
//! to a file, and ends all processes on a line of input or end of file.

use std::{env, fs, io, path::Path};

use ntex::rt;
use peatdeck_test_support::processes::{System, TOKEN, builder::Builder};

use crate::demo::{self, Error};

/// Path of the file with the variables, relative to the root of the repository.
const VARIABLES: &str = "target/up.env";

/// Runs the system until a line of input.
///
/// # Errors
/// If the system does not start; the message says what to do.
pub fn run(root: &Path) -> Result<(), Error> {
    with_system(root, |root, system| {
        write_variables(root, system)?;
        wait_for_line();
        Ok(())
    })
}

/// Starts the system, calls `work` with it, and ends it.
///
/// # Errors
/// If the system does not start, or `work` fails.
pub fn with_system(
    root: &Path,
    work: impl FnOnce(&Path, &System) -> Result<(), Error> + 'static,
) -> Result<(), Error> {
    demo::build(root)?;
    let document = demo::sample(root)?;
    let root = root.to_owned();
    let run = async move {
        let system = Builder::new(document).start().await?;
        demo::describe(&system);
        work(&root, &system)?;
        drop(system);
        println!("Every process has ended.");
        Ok(())
    };
    rt::System::build().name("up").build(rt::DefaultRuntime).block_on(run)
}

fn write_variables(root: &Path, system: &System) -> Result<(), Error> {
    let path = root.join(VARIABLES);
    let fail = |cause: io::Error| Error::File {
        path: path.display().to_string(),
        cause: cause.to_string(),
    };
    let text = variables(system)?;
    fs::create_dir_all(root.join("target")).map_err(fail)?;
    fs::write(&path, &text).map_err(fail)?;
    println!("\n{text}\nIn another terminal: `. {VARIABLES}`. Press Enter here to end everything.");
    Ok(())
}

/// Shell commands that set the variables for the system's addresses.
///
/// # Errors
/// If a process of the system is missing.
pub fn variables(system: &System) -> Result<String, Error> {
    let binary = env::current_exe().unwrap_or_default();
    let folder = binary.parent().unwrap_or(Path::new("."));
    Ok(format!(
        "export PATH=\"{}:$PATH\"\nexport PEATDECK_ADMIN=http://{}\nexport PEATDECK_ADMIN_TOKEN={TOKEN}\n\
         export PEATDECK_AUTHOR=\"$USER\"\nexport ENTRY=http://{}\n",
        folder.display(),
        system.addr("admin")?,
        system.addr("entry-1")?,
    ))
}

fn wait_for_line() {
    io::stdin().read_line(&mut String::new()).ok();
}
