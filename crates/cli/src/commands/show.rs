//! `peatdeck show`: shows the configuration in force, its history or the verdict on a publish.

use std::{
    fmt::Write,
    time::{Duration, SystemTime},
};

use bpaf::{OptionParser, Parser, construct, long};
use peatdeck_core::record::Offset;
use peatdeck_wire::admin::{ConfigReply, HistoryReply, OperatorAction, PublishVerdict};

use crate::{
    commands,
    error::Error,
    ops::client::Client,
    shell::{self, Environment, Format, Output},
    table::{self, Table},
};

/// The flags and arguments of the command.
#[derive(Debug, Clone)]
pub struct Args {
    format: Format,
    admin: String,
    verdict: Option<String>,
    history: bool,
    from: Offset,
    limit: usize,
}

/// The parser of the command's flags and arguments.
pub fn cli() -> OptionParser<Args> {
    let format = commands::format();
    let admin = commands::admin();
    let verdict = long("verdict")
        .help("Show the verdict on the publish with this id instead of the document")
        .argument::<String>("ID")
        .optional();
    let history =
        long("history").help("Show the history of changes instead of the document").switch();
    let from = long("from")
        .help("With --history: offset of the log to start from")
        .argument::<Offset>("OFFSET")
        .fallback(0)
        .display_fallback();
    let limit = long("limit")
        .help("With --history: maximum number of rows")
        .argument::<usize>("ROWS")
        .fallback(50)
        .display_fallback();
    construct!(Args { format, admin, verdict, history, from, limit })
        .to_options()
        .descr("Show the configuration in force, as a file that can be edited and published.")
        .footer("Examples:\n   peatdeck show > fleet.toml\n   peatdeck show --history --limit 20\n   peatdeck show --verdict p-00c0ffee00c0ffee")
}

/// Runs the command.
///
/// # Errors
/// Any [`Error`] of the API.
pub async fn exec(env: &Environment, args: Args) -> Result<Output, Error> {
    let client = commands::connect(env, &args.admin).await?;
    if let Some(id) = &args.verdict {
        return verdict(&client, args.format, id).await;
    }
    if args.history {
        return history(&client, &args).await;
    }
    config(&client, args.format).await
}

async fn verdict(client: &Client, format: Format, id: &str) -> Result<Output, Error> {
    let reply = client.verdict(id).await?;
    let text = match format {
        Format::Json => shell::json(&reply)?,
        Format::Table => {
            let verdict = describe_verdict(&reply.verdict);
            format!("publish {} by {}: {verdict}\n", reply.id, reply.author)
        }
    };
    Ok(Output::done(text))
}

async fn history(client: &Client, args: &Args) -> Result<Output, Error> {
    let history = client.history(args.from, args.limit).await?;
    let text = match args.format {
        Format::Json => shell::json(&history)?,
        Format::Table => history_table(&history),
    };
    Ok(Output::done(text))
}

async fn config(client: &Client, format: Format) -> Result<Output, Error> {
    let config = client.config().await?;
    let text = match format {
        Format::Json => shell::json(&config)?,
        Format::Table => config_file(&config)?,
    };
    Ok(Output::partial_unless(config.confirmed, text))
}

/// The document in TOML, below comments with its version, drains and evacuations.
fn config_file(config: &ConfigReply) -> Result<String, Error> {
    let mut text = format!("# version {}", config.version);
    if let Some(author) = &config.author {
        let _ = write!(text, ", published by {author}");
    }
    if let Some(publish) = &config.publish {
        let _ = write!(text, " (publish {publish})");
    }
    text.push('\n');
    if !config.confirmed {
        text.push_str("# the log is unavailable: a later version may exist\n");
    }
    for drain in &config.drains {
        let incarnation = drain.incarnation.0;
        let _ = writeln!(
            text,
            "# drained: {} (incarnation {incarnation}), by {}",
            drain.endpoint, drain.author
        );
    }
    for evacuated in &config.evacuated {
        let _ = writeln!(text, "# evacuated: {}, by {}", evacuated.data_centre, evacuated.author);
    }
    let document = toml::to_string_pretty(&*config.document)
        .map_err(|cause| Error::Unreadable { cause: cause.to_string() })?;
    text.push_str(&document);
    Ok(text)
}

fn history_table(history: &HistoryReply) -> String {
    let mut rows = Table::new(["OFFSET", "TIME", "AUTHOR", "ACT", "VERDICT"]);
    for entry in &history.acts {
        let time = SystemTime::UNIX_EPOCH + Duration::from_millis(entry.time_ms);
        let (what, verdict) = describe(&entry.what);
        rows.row([
            entry.offset.to_string(),
            table::utc(time),
            entry.author.to_string(),
            what,
            verdict,
        ]);
    }
    let mut text = rows.render();
    if let Some(next) = history.next {
        let _ = writeln!(text, "more with --from {next}");
    }
    text
}

fn describe(what: &OperatorAction) -> (String, String) {
    match what {
        OperatorAction::Publish { id, base, verdict } => {
            (format!("publish {id} on {base}"), describe_verdict(verdict))
        }
        OperatorAction::Restore { id, version } => {
            (format!("restore {id}"), format!("accepted as {version}"))
        }
        OperatorAction::Drain { endpoint, incarnation } => {
            (format!("drain {endpoint} (incarnation {})", incarnation.0), "in force".to_owned())
        }
        OperatorAction::Evacuation { data_centre, is_over } => {
            let order = if *is_over { "evacuation over" } else { "evacuate" };
            (format!("{order} {data_centre}"), "in force".to_owned())
        }
    }
}

fn describe_verdict(verdict: &PublishVerdict) -> String {
    match verdict {
        PublishVerdict::Accepted { version } => format!("accepted as {version}"),
        PublishVerdict::Conflict { current } => format!("conflict with {current}"),
        PublishVerdict::Forgotten => "no longer known".to_owned(),
    }
}
