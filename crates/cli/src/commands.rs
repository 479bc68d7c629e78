//! The commands: a file each, its flags beside what it does.

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
pub mod show;
pub mod status;
pub mod terms;

/// How a command's result is written.
pub fn format() -> impl Parser<Format> {
    long("format")
        .env("PEATDECK_FORMAT")
        .help("How the result is written: table or json")
        .argument::<Format>("FORMAT")
        .fallback(Format::Table)
}

/// The relay instance that is asked.
pub fn instance() -> impl Parser<String> {
    long("at")
        .env("PEATDECK_RELAY_METRICS")
        .help("Metrics address of any relay instance, such as 10.1.64.3:9464")
        .argument::<String>("ADDRESS")
        .parse(|text| settings::base_url(&text))
}

/// Where peatdeck-admin is.
pub fn admin() -> impl Parser<String> {
    let admin = long("admin")
        .env("PEATDECK_ADMIN")
        .help("Where peatdeck-admin is, such as http://10.0.0.7:7300 or 10.0.0.7:7300")
        .argument::<String>("URL")
        .parse(|text| settings::base_url(&text));
    construct!(admin)
}

/// What every command that changes something is given.
#[derive(Debug, Clone)]
pub struct ChangeArgs {
    /// How its result is written.
    pub format: Format,
    /// Where peatdeck-admin is.
    pub admin: String,
    /// Who acts.
    pub author: String,
}

/// The flags of [`ChangeArgs`].
pub fn change_args() -> impl Parser<ChangeArgs> {
    let format = format();
    let admin = admin();
    let author = author();
    construct!(ChangeArgs { format, admin, author })
}

fn author() -> impl Parser<String> {
    long("author")
        .env("PEATDECK_AUTHOR")
        .help("Who acts, for the history")
        .argument::<String>("NAME")
}

/// A client of the administration API.
///
/// # Errors
/// [`Error::NoToken`], [`Error::Unreachable`].
pub async fn connect(env: &Environment, admin: &str) -> Result<client::Client, Error> {
    let token = env.token.clone().ok_or(Error::NoToken)?;
    client::Client::new(client::Remote { admin: admin.to_owned(), token }).await
}
