//! Starts the system of a preset as processes on this host.
//!
//! The processes start in this order: log and list, endpoints, administration,
//! entries. The tool then writes all of them to the list, publishes the
//! configuration, and waits until every entry has it in force and is ready.

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
    system::{AUTHOR, Admin, Components, Entry, System},
    tag,
};

/// Options for starting the processes of a preset.
#[data]
#[derive(Default)]
pub struct LaunchOptions {
    /// Additional arguments of the entries.
    pub flags: Vec<String>,
    /// Additional environment variables of the entries.
    pub env: Vec<(String, String)>,
    /// Directory for the ends of the processes' logs; `None` to discard them.
    pub logs: Option<PathBuf>,
}

/// Binary of the stand-ins.
const STANDIN: &str = "peatdeck-standin";
/// Address on which the kernel chooses a free port.
const ANY_PORT: &str = "127.0.0.1:0";
/// Delay until a change of the list is visible to its readers.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Time limit for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which readiness is polled.
const READY_INTERVAL: Duration = Duration::from_millis(100);
/// Operator token of systems that the tool starts.
const TOKEN: &str = "peatdeck-load-operator-token";

impl LaunchOptions {
    /// Adds a setting: arguments and `NAME=VALUE` pairs, separated by spaces.
    #[must_use]
    pub fn with_setting(mut self, setting: &str) -> LaunchOptions {
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

/// Starts the system of a preset.
///
/// # Errors
/// If a process does not start, the configuration cannot be published, or the entries do not become
/// ready in time.
pub fn start(preset: &Preset, options: &LaunchOptions) -> error::Result<System> {
    let mut processes = Processes::new(options.logs.clone())?;
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
        let spec = entry_spec(&name, &data_centre, options).args(["--log", &log, "--list", &list]);
        let (entry, instance) = start_entry(&spec, data_centre, &mut processes)?;
        entries.push(entry);
        instances.push(instance);
    }
    let listing = Listing { instances, endpoints: endpoints.clone() };
    let list = url(&list);
    Request::put(format!("{list}/control/list"), &listing).send()?;
    publish(preset, &admin)?;
    wait_ready(&entries)?;
    System::new(Components {
        document: Arc::new(preset.config.clone()),
        entries,
        endpoints,
        admin,
        log: url(&log),
        list,
        log_delay: preset.round_trip(),
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
                software: Arc::default(),
            });
        }
    }
    Ok(endpoints)
}

/// The process of an endpoint. Its call time includes the mean round trip between data centres.
fn endpoint_spec(preset: &Preset, service: &Service, name: &str) -> Spec {
    let kind = preset.config.pool(&service.pool).map(|pool| pool.kind);
    let role = if kind == Some(PoolKind::Engine) { "engine" } else { "service" };
    let call_ms = service.call_ms + preset.round_trip().as_secs_f64() * 1000.0;
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

fn entry_spec(name: &str, data_centre: &str, options: &LaunchOptions) -> Spec {
    let mut spec = Spec::new(name, "peatdeck-entry")
        .args(["--name", name, "--data-centre", data_centre])
        .args(["--listen", ANY_PORT, "--peer-listen", ANY_PORT])
        .args(&options.flags);
    spec.env.extend(options.env.iter().cloned());
    spec
}

fn start_entry(
    spec: &Spec,
    data_centre: Arc<str>,
    processes: &mut Processes,
) -> error::Result<(Entry, InstanceEntry)> {
    let addr = processes.start(spec)?;
    let peers = processes.peer_addr(&spec.name)?;
    let name: Arc<str> = spec.name.as_str().into();
    let pid = processes.pid(&name).unwrap_or_default();
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

/// Waits until all URLs answer with a success status.
fn wait_for(urls: &[String]) -> error::Result<()> {
    let tries = READY_TIMEOUT.as_millis() / READY_INTERVAL.as_millis();
    for _ in 0..tries {
        if urls.iter().all(|url| runtime::get(url).is_some()) {
            return Ok(());
        }
        thread::sleep(READY_INTERVAL);
    }
    let (urls, seconds) = (urls.join(", "), READY_TIMEOUT.as_secs());
    Err(error::Error::Start(format!("not all of these were ready within {seconds} s: {urls}")))
}

fn data_centre(preset: &Preset, index: usize) -> Arc<str> {
    preset.data_centres[index % preset.data_centres.len()].clone()
}

fn url(addr: &str) -> Arc<str> {
    format!("http://{addr}").into()
}
