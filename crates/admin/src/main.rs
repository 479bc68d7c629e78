//! `peatdeck-admin`: serves the administration API.

use miette::{IntoDiagnostic, WrapErr};
use peatdeck_admin::{server, settings};
use peatdeck_util::logging;

#[ntex::main]
async fn main() -> miette::Result<()> {
    let flags = settings::options().run();
    let token = std::env::var(settings::TOKEN_VARIABLE).ok();
    let settings = settings::check(&flags, token)?;
    logging::init(settings.log_format, &settings.log_filter);
    let listener = server::bind(settings.listen)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot listen on {}; choose a free address", settings.listen))?;
    let addr = listener.local_addr().into_diagnostic()?;
    println!("listening {addr}");
    server::start(listener, settings).into_diagnostic()?.await.into_diagnostic()
}
