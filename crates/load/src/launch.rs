//! Starts a preset as processes on this machine and ends them all.
//!
//! Order: log and list, endpoints, administration, entries; then the list is
//! told of all of them, the configuration is published, and the launch is
//! done when every entry has it in force and is ready.

use std::{path::PathBuf, sync::Arc, thread, time::Duration};

use peatdeck_core::{
    document::PoolKind,
    model::{EndpointEntry, Incarnation, InstanceEntry, Listing, Presence},
};
use peatdeck_macros::data;
use peatdeck_wire::admin::{PublishBody, PublishReply};

use crate::{
    args,
    children::{Children, Command},
    control::Request,
    error,
    preset::{Preset, Service},
    runtime,
    system::{AUTHOR, Admin, Entry, Parts, System},
};

/// How the processes are started.
#[data]
#[derive(Default)]
pub struct Launch {
    /// More arguments of the entries.
    pub flags: Vec<String>,
    /// More environment of the entries.
    pub env: Vec<(String, String)>,
    /// Where the binaries are; beside this one if `None`.
    pub bin_dir: Option<PathBuf>,
    /// Where their logs go; nowhere if `None`.
    pub logs: Option<PathBuf>,
}

/// How long the list lags behind the truth.
const LIST_LAG: Duration = Duration::from_secs(1);
/// How long the entries get to be ready.
const READY_TIME: Duration = Duration::from_secs(30);
/// How often they are asked.
const READY_EVERY: Duration = Duration::from_millis(100);
/// The operators' token of systems that the tool starts.
const TOKEN: &str = "peatdeck-load-operator-token";

impl Launch {
    /// The same with one more setting: arguments and `NAME=VALUE` pairs, apart by spaces.
    #[must_use]
    pub fn with_setting(mut self, setting: &str) -> Launch {
        for word in setting.split_whitespace() {
            match word.split_once('=') {
                Some((name, value)) if !name.starts_with('-') => {
                    self.env.push((name.to_owned(), value.to_owned()));
                }
                _ => self.flags.push(word.to_owned()),
            }
        }
        self
    }
}

/// Starts a preset.
///
/// # Errors
/// If a process does not start, or the entries do not become ready.
pub fn start(preset: &Preset, launch: &Launch) -> error::Result<System> {
    let mut children = Children::new(launch.bin_dir.clone(), launch.logs.clone())?;
    let log = children.start(Command::new("peatdeck-standin", "log").arg("log"))?;
    let list = children.start(
        Command::new("peatdeck-standin", "list").arg("list").pair("--lag-ms", LIST_LAG.as_millis()),
    )?;
    let endpoints = start_endpoints(preset, &mut children)?;
    let admin = start_admin(&mut children, &log, &list)?;
    let (entries, instances) = start_entries(preset, launch, &mut children, &log, &list)?;
    let listing = Listing { instances, endpoints: endpoints.clone() };
    let list = url(&list);
    Request::put(format!("{list}/control/list"), &listing).send()?;
    publish(preset, &admin)?;
    wait_ready(&entries)?;
    System::new(Parts {
        document: Arc::new(preset.config.clone()),
        entries,
        endpoints,
        admin,
        log: url(&log),
        list,
        log_delay: preset.way(),
        kill: Box::new(move |name| children.kill(name)),
    })
}

fn start_endpoints(preset: &Preset, children: &mut Children) -> error::Result<Vec<EndpointEntry>> {
    let mut endpoints = Vec::new();
    for service in &preset.services {
        for index in 0..service.endpoints {
            let name = format!("{}-{}", service.pool, index + 1);
            let addr = children.start(endpoint_command(preset, service, &name))?;
            endpoints.push(EndpointEntry {
                name: name.into(),
                pool: service.pool.clone(),
                addr,
                data_centre: data_centre(preset, index),
                incarnation: Incarnation(1),
                presence: Presence::Live,
            });
        }
    }
    Ok(endpoints)
}

/// The way between data centres is part of an endpoint's own time.
fn endpoint_command(preset: &Preset, service: &Service, name: &str) -> Command {
    let kind = preset.config.pool(&service.pool).map(|pool| pool.kind);
    let role = if kind == Some(PoolKind::Engine) { "engine" } else { "service" };
    let call_ms = service.call_ms + preset.way().as_secs_f64() * 1000.0;
    Command::new("peatdeck-standin", name)
        .arg(role)
        .pair("--name", name)
        .pair("--places", service.places)
        .pair("--queue", service.queue)
        .pair("--call-ms", call_ms)
        .pair("--token-ms", service.token_ms)
        .pair("--batch-cost", service.batch_cost)
}

fn start_admin(children: &mut Children, log: &str, list: &str) -> error::Result<Admin> {
    let command = Command::new("peatdeck-admin", "admin")
        .pair("--listen", "127.0.0.1:0")
        .pair("--log", log)
        .pair("--list", list)
        .env("PEATDECK_ADMIN_TOKEN", TOKEN);
    let addr = children.start(command)?;
    Ok(Admin { url: url(&addr), token: TOKEN.into() })
}

fn start_entries(
    preset: &Preset,
    launch: &Launch,
    children: &mut Children,
    log: &str,
    list: &str,
) -> error::Result<(Vec<Entry>, Vec<InstanceEntry>)> {
    let mut entries = Vec::new();
    let mut instances = Vec::new();
    for index in 0..preset.entries {
        let name: Arc<str> = format!("entry-{}", index + 1).into();
        let data_centre = data_centre(preset, index);
        let mut command = Command::new("peatdeck-entry", &name)
            .pair("--name", &name)
            .pair("--listen", "127.0.0.1:0")
            .pair("--peer-listen", "127.0.0.1:0")
            .pair("--data-centre", &data_centre)
            .pair("--log", log)
            .pair("--list", list);
        command.args.extend(launch.flags.iter().cloned());
        command.env.extend(launch.env.iter().cloned());
        let started = children.start_peer(command)?;
        entries.push(Entry { name: name.clone(), url: url(&started.addr), pid: started.pid });
        instances.push(InstanceEntry {
            name,
            peer_addr: started.peers,
            http_addr: started.addr,
            data_centre,
            presence: Presence::Live,
        });
    }
    Ok((entries, instances))
}

fn publish(preset: &Preset, admin: &Admin) -> error::Result<PublishReply> {
    let body = PublishBody {
        id: args::fresh_tag(),
        base: 0,
        author: AUTHOR.into(),
        document: Arc::new(preset.config.clone()),
    };
    let url = format!("{}/v1/config/publish", admin.url);
    Request::post(url, &body).token(&admin.token).json()
}

fn wait_ready(entries: &[Entry]) -> error::Result<()> {
    let tries = READY_TIME.as_millis() / READY_EVERY.as_millis();
    for _ in 0..tries {
        let ready =
            entries.iter().all(|entry| runtime::get(&format!("{}/readyz", entry.url)).is_some());
        if ready {
            return Ok(());
        }
        thread::sleep(READY_EVERY);
    }
    let seconds = READY_TIME.as_secs();
    Err(error::Error::Start(format!("not every entry was ready within {seconds} s")))
}

fn data_centre(preset: &Preset, index: usize) -> Arc<str> {
    preset.data_centres[index % preset.data_centres.len()].clone()
}

fn url(addr: &str) -> Arc<str> {
    format!("http://{addr}").into()
}
