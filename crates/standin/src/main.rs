//! `peatdeck-standin`: a stand-in for the platform or an endpoint.

use peatdeck_standin::{cli, serve};

#[ntex::main]
async fn main() -> miette::Result<()> {
    let options = cli::options().run();
    serve::run(options).await.map_err(miette::Report::msg)
}
