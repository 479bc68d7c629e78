//! Roles and their settings.

use std::net::SocketAddr;

use bpaf::{Bpaf, OptionParser, Parser};
use peatdeck_macros::data;
use peatdeck_util::settings;

use crate::{endpoint, list, log};

/// What a stand-in stands in for, with its settings.
#[data]
#[derive(Bpaf)]
pub enum Role {
    /// The platform's log service
    #[bpaf(command("log"))]
    Log {
        /// Address to listen on.
        #[bpaf(external)]
        listen: SocketAddr,
        /// Settings of the role.
        #[bpaf(external(log::settings))]
        settings: log::Settings,
    },
    /// The platform's list of instances and endpoints
    #[bpaf(command("list"))]
    List {
        /// Address to listen on.
        #[bpaf(external)]
        listen: SocketAddr,
        /// Settings of the role.
        #[bpaf(external(list::settings))]
        settings: list::Settings,
    },
    /// A model engine: streams tokens, resumes and cancels
    #[bpaf(command("engine"))]
    Engine {
        /// Address to listen on.
        #[bpaf(external)]
        listen: SocketAddr,
        /// Settings of the role.
        #[bpaf(external(endpoint::settings))]
        settings: endpoint::Settings,
    },
    /// A plain service: one reply per call
    #[bpaf(command("service"))]
    Service {
        /// Address to listen on.
        #[bpaf(external)]
        listen: SocketAddr,
        /// Settings of the role.
        #[bpaf(external(endpoint::settings))]
        settings: endpoint::Settings,
    },
}

impl Role {
    /// Address to listen on.
    pub fn listen(&self) -> SocketAddr {
        match self {
            Role::Log { listen, .. }
            | Role::List { listen, .. }
            | Role::Engine { listen, .. }
            | Role::Service { listen, .. } => *listen,
        }
    }
}

/// Parser of the command line.
pub fn options() -> OptionParser<Role> {
    role()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Stand-ins for the platform and the endpoints, for tests")
        .footer(
            "Examples:\n  \
             peatdeck-standin log --listen 127.0.0.1:7000 --rate 300\n  \
             peatdeck-standin engine --name engine-1 --places 8 --token-ms 10",
        )
}

fn listen() -> impl Parser<SocketAddr> {
    bpaf::long("listen")
        .env("PEATDECK_LISTEN")
        .help("Address to listen on; port 0 picks a free one, printed as `listening IP:PORT`")
        .argument::<String>("IP:PORT")
        .parse(|text| settings::address(&text))
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
        .display_fallback()
}
