//! `peatdeck publish`: publishes a file as the next version of the configuration.

use std::{fmt::Write, sync::Arc};

use bpaf::{OptionParser, Parser, construct, long, positional};
use peatdeck_core::record::Version;
use peatdeck_wire::admin::{ConfigReply, PublishBody, PublishReply};

use crate::{
    commands::{self, ChangeArgs},
    error::Error,
    ops::source,
    shell::{self, Environment, Format, Output},
};

/// The flags and arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    change: ChangeArgs,
    base: Option<Version>,
    id: Option<String>,
    file: String,
}

/// The parser of the command's flags and arguments.
pub fn cli() -> OptionParser<Args> {
    let change = commands::change_args();
    let base = long("base")
        .help("Version that the file is based on; by default the one in force")
        .argument::<Version>("N")
        .optional();
    let id = long("id")
        .help("Id of the publish, to repeat one that got no response; by default a new id")
        .argument::<String>("ID")
        .optional();
    let file = positional::<String>("FILE").help("Configuration file in TOML");
    construct!(Args { change, base, id, file })
        .to_options()
        .descr("Publish a configuration file as the next version.")
        .footer(
            "Give --base when others may publish too: a concurrent change then causes a \
             conflict instead of being overwritten.\n \
             Example:\n   peatdeck publish fleet.toml --base 12 --author mair",
        )
}

/// Runs the command.
///
/// # Errors
/// Any [`Error`] of the API; [`Error::File`] or [`Error::Source`] for the file.
pub async fn exec(env: &Environment, args: Args) -> Result<Output, Error> {
    let document = source::load(&args.file)?;
    let client = commands::connect(env, &args.change.admin).await?;
    let (base, base_line) = match args.base {
        Some(base) => (base, String::new()),
        None => {
            let config = client.config().await?;
            (config.version, describe_base(&config))
        }
    };
    let id = args.id.unwrap_or_else(|| new_id("p"));
    let body = PublishBody {
        id: id.into(),
        base,
        author: args.change.author.into(),
        document: Arc::new(document),
    };
    let reply = client.publish(&body).await?;
    let mut output = output(args.change.format, "publish", &reply)?;
    if args.change.format == Format::Table {
        output.text.insert_str(0, &base_line);
    }
    Ok(output)
}

/// The output for an accepted publish or restore.
///
/// # Errors
/// [`Error::Unreadable`] if it has no JSON form.
pub fn output(format: Format, what: &str, reply: &PublishReply) -> Result<Output, Error> {
    let text = match format {
        Format::Json => shell::json(reply)?,
        Format::Table => describe(what, reply),
    };
    Ok(Output::partial_unless(reply.missing.is_empty(), text))
}

fn describe_base(config: &ConfigReply) -> String {
    match &config.author {
        Some(author) => format!("base: version {}, published by {author}\n", config.version),
        None => format!("base: version {}\n", config.version),
    }
}

fn describe(what: &str, reply: &PublishReply) -> String {
    let mut text = format!("accepted: version {} ({what} {})\n", reply.version, reply.id);
    match reply.in_force.as_slice() {
        [] => text.push_str("not known to be in force on any instance\n"),
        names => {
            let _ = writeln!(text, "in force on {}: {}", count(names.len()), names.join(", "));
        }
    }
    for missing in &reply.missing {
        let _ =
            writeln!(text, "not known to be in force on {}: {}", missing.instance, missing.reason);
    }
    text
}

fn count(instances: usize) -> String {
    match instances {
        1 => "1 instance".to_owned(),
        more => format!("{more} instances"),
    }
}

/// Creates a random id of the form `kind-0123456789abcdef`.
pub fn new_id(kind: &str) -> String {
    format!("{kind}-{:016x}", rand::random::<u64>())
}
