//! The commands, one module each with its flags and its execution.

use bpaf::{Parser, construct, long};
use peatdeck_util::settings;

use crate::{error::Error, ops::client, shell::Environment, shell::Format};

pub mod burn;
pub mod check;
pub mod drain;
pub mod evacuate;
pub mod evacuations;
pub mod explain;
pub mod publish;
pub mod quarantine;
pub mod replay;
pub mod restore;
pub mod rollouts;
pub mod show;
pub mod status;
pub mod terms;

/// The flag `--format`.
pub fn format() -> impl Parser<Format> {
    long("format")
        .env("PEATDECK_FORMAT")
        .help("Output format: table or json")
        .argument::<Format>("FORMAT")
        .fallback(Format::Table)
}

/// The flag `--at`, the URL of the relay instance to query.
pub fn instance() -> impl Parser<String> {
    long("at")
        .env("PEATDECK_RELAY_METRICS")
        .help("Metrics address of any relay instance, such as 10.1.64.3:9464")
        .argument::<String>("ADDRESS")
        .parse(|text| settings::base_url(&text))
}

/// The flag `--admin`, the URL of peatdeck-admin.
pub fn admin() -> impl Parser<String> {
    let admin = long("admin")
        .env("PEATDECK_ADMIN")
        .help("Address of peatdeck-admin, such as http://10.0.0.7:7300 or 10.0.0.7:7300")
        .argument::<String>("URL")
        .parse(|text| settings::base_url(&text));
    construct!(admin)
}

/// The flags common to all commands that change the configuration.
#[derive(Debug, Clone)]
pub struct ChangeArgs {
    /// Output format of the result.
    pub format: Format,
    /// URL of peatdeck-admin.
    pub admin: String,
    /// Name recorded as the author of the change.
    pub author: String,
}

/// The parser of [`ChangeArgs`].
pub fn change_args() -> impl Parser<ChangeArgs> {
    let format = format();
    let admin = admin();
    let author = author();
    construct!(ChangeArgs { format, admin, author })
}

fn author() -> impl Parser<String> {
    long("author")
        .env("PEATDECK_AUTHOR")
        .help("Your name, recorded in the history as the author")
        .argument::<String>("NAME")
}

/// Creates a client of the administration API.
///
/// # Errors
/// [`Error::NoToken`] if no token is set, [`Error::Unreachable`] if no HTTP client
/// can be created.
pub async fn connect(env: &Environment, admin: &str) -> Result<client::Client, Error> {
    let token = env.token.clone().ok_or(Error::NoToken)?;
    client::Client::new(client::Remote { admin: admin.to_owned(), token }).await
}
