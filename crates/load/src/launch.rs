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
use peatdeck_test_support::process::Spec;
use peatdeck_wire::admin::{PublishBody, PublishReply};

use crate::{
    control::Request,
    error,
    preset::{Preset, Service},
    processes::Processes,
    runtime,
    system::{AUTHOR, Admin, Entry, Parts, System},
    tag,
};

/// How the processes are started.
#[data]
#[derive(Default)]
pub struct Launch {
    /// More arguments of the entries.
    pub flags: Vec<String>,
    /// More environment of the entries.
    pub env: Vec<(String, String)>,
    /// Where the ends of their logs go; nowhere if `None`.
    pub logs: Option<PathBuf>,
}

/// The binary of all stand-ins.
const STANDIN: &str = "peatdeck-standin";
/// Lets the kernel choose a port.
const ANY_PORT: &str = "127.0.0.1:0";
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
    let mut processes = Processes::new(launch.logs.clone())?;
    let log = processes.start(&Spec::new("log", STANDIN).args(["log"]))?;
    let lag = LIST_LAG.as_millis().to_string();
    let list = processes.start(&Spec::new("list", STANDIN).args(["list", "--lag-ms", &lag]))?;
    let endpoints = start_endpoints(preset, &mut processes)?;
    let admin = start_admin(&mut processes, &log, &list)?;
    let mut entries = Vec::new();
    let mut instances = Vec::new();
    for index in 0..preset.entries {
        let data_centre = data_centre(preset, index);
        let name = format!("entry-{}", index + 1);
        let spec = entry_spec(&name, &data_centre, launch).args(["--log", &log, "--list", &list]);
        let (entry, instance) = start_entry(&spec, data_centre, &mut processes)?;
        entries.push(entry);
        instances.push(instance);
    }
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
        processes,
    })
}

fn start_endpoints(
    preset: &Preset,
    processes: &mut Processes,
) -> error::Result<Vec<EndpointEntry>> {
    let mut endpoints = Vec::new();
    for service in &preset.services {
        for index in 0..service.endpoints {
            let name = format!("{}-{}", service.pool, index + 1);
            let addr = processes.start(&endpoint_spec(preset, service, &name))?;
            endpoints.push(EndpointEntry {
                name: name.into(),
                pool: service.pool.clone(),
                addr: addr.into(),
                data_centre: data_centre(preset, index),
                incarnation: Incarnation(1),
                presence: Presence::Live,
            });
        }
    }
    Ok(endpoints)
}

/// The way between data centres is part of an endpoint's own time.
fn endpoint_spec(preset: &Preset, service: &Service, name: &str) -> Spec {
    let kind = preset.config.pool(&service.pool).map(|pool| pool.kind);
    let role = if kind == Some(PoolKind::Engine) { "engine" } else { "service" };
    let call_ms = service.call_ms + preset.way().as_secs_f64() * 1000.0;
    Spec::new(name, STANDIN)
        .args([role, "--name", name])
        .args(["--places", &service.places.to_string()])
        .args(["--queue", &service.queue.to_string()])
        .args(["--call-ms", &call_ms.to_string()])
        .args(["--token-ms", &service.token_ms.to_string()])
        .args(["--batch-cost", &service.batch_cost.to_string()])
}

fn start_admin(processes: &mut Processes, log: &str, list: &str) -> error::Result<Admin> {
    let spec = Spec::new("admin", "peatdeck-admin")
        .args(["--listen", ANY_PORT, "--log", log, "--list", list])
        .env("PEATDECK_ADMIN_TOKEN", TOKEN);
    let addr = processes.start(&spec)?;
    let admin = Admin { url: url(&addr), token: TOKEN.into() };
    wait_for(&[format!("{}/readyz", admin.url)])?;
    Ok(admin)
}

fn entry_spec(name: &str, data_centre: &str, launch: &Launch) -> Spec {
    let mut spec = Spec::new(name, "peatdeck-entry")
        .args(["--name", name, "--data-centre", data_centre])
        .args(["--listen", ANY_PORT, "--peer-listen", ANY_PORT])
        .args(&launch.flags);
    spec.env.extend(launch.env.iter().cloned());
    spec
}

fn start_entry(
    spec: &Spec,
    data_centre: Arc<str>,
    processes: &mut Processes,
) -> error::Result<(Entry, InstanceEntry)> {
    let addr = processes.start(spec)?;
    let peers = processes.peers(&spec.name)?;
    let name: Arc<str> = spec.name.as_str().into();
    let pid = processes.id(&name).unwrap_or_default();
    let entry = Entry { name: name.clone(), url: url(&addr), pid };
    let instance = InstanceEntry {
        name,
        peer_addr: peers.into(),
        http_addr: addr.into(),
        data_centre,
        presence: Presence::Live,
    };
    Ok((entry, instance))
}

fn publish(preset: &Preset, admin: &Admin) -> error::Result<PublishReply> {
    let body = PublishBody {
        id: tag::fresh(),
        base: 0,
        author: AUTHOR.into(),
        document: Arc::new(preset.config.clone()),
    };
    let url = format!("{}/v1/config/publish", admin.url);
    Request::post(url, &body).token(&admin.token).json()
}

fn wait_ready(entries: &[Entry]) -> error::Result<()> {
    let urls: Vec<String> = entries.iter().map(|entry| format!("{}/readyz", entry.url)).collect();
    wait_for(&urls)
}

/// Waits until each of the URLs answers 200.
fn wait_for(urls: &[String]) -> error::Result<()> {
    let tries = READY_TIME.as_millis() / READY_EVERY.as_millis();
    for _ in 0..tries {
        if urls.iter().all(|url| runtime::get(url).is_some()) {
            return Ok(());
        }
        thread::sleep(READY_EVERY);
    }
    let (urls, seconds) = (urls.join(", "), READY_TIME.as_secs());
    Err(error::Error::Start(format!("not all ready within {seconds} s: {urls}")))
}

fn data_centre(preset: &Preset, index: usize) -> Arc<str> {
    preset.data_centres[index % preset.data_centres.len()].clone()
}

fn url(addr: &str) -> Arc<str> {
    format!("http://{addr}").into()
}
