//! Passes changes of the platform's tables on to the machine.

use std::rc::Rc;

use peatdeck_core::relay::{
    directory::Change, operator::OperatorCommand, position::Position, table::Record,
};

use crate::{
    driver::Driver,
    peers, records, regions, rollouts,
    surroundings::{CommandError, TableName},
    tables,
};

/// If more endpoint records than this arrive together, one log line counts those that
/// join: with a line for each, 295 instances that start before 287 endpoints log
/// 85,000 lines.
const BULK_SIZE: usize = 16;

/// Passes the changes of a table to the machine. `source` is the peer or the store that
/// they come from.
pub fn apply(driver: &Rc<Driver>, name: TableName, source: &str, changed: Vec<Record>) {
    let has_changed = !changed.is_empty();
    match name {
        TableName::Config => apply_commands(driver, source, &changed),
        TableName::Endpoints => apply_endpoints(driver, source, &changed),
        TableName::Instances => {
            changed.iter().for_each(|record| driver.peers.apply_announcement(driver, record));
        }
        TableName::Quarantine => changed.iter().for_each(|record| records::apply(driver, record)),
        TableName::Rollouts => rollouts::apply(driver, &changed),
    }
    if name == TableName::Quarantine && driver.peers.tables.is_loaded(name) {
        driver.feed(|machine, _| machine.mark_quarantine_read());
    }
    if has_changed && name == TableName::Instances {
        peers::update_peers(driver);
    }
    driver.on_tables_read();
    driver.update_ready();
}

/// Applies the operators' commands in one step, so that a command which another record
/// withdraws is never in force in between.
fn apply_commands(driver: &Rc<Driver>, source: &str, records: &[Record]) {
    let mut commands = Vec::new();
    for record in records {
        match read_command(driver, record) {
            Ok(Some(command)) => commands.push((record, command)),
            Ok(None) => {}
            Err(CommandError { message, replacement }) => {
                driver.metrics.count("relay.config_unreadable", 1);
                let (key, offset) = (tables::truncate(&record.key), record.offset);
                let error = tables::truncate(&message);
                tracing::error!(event = "config_unreadable", key, offset, source, error);
                commands.extend(replacement.map(|command| (record, *command)));
            }
        }
    }
    if commands.is_empty() {
        return;
    }
    let timeline = driver.peers.tables.position(TableName::Config).timeline;
    for (record, command) in &mut commands {
        if let OperatorCommand::RollOut(order) = command {
            order.position = Position { timeline, offset: record.offset };
        }
    }
    let changes = commands.iter().map(|(_, command)| command.clone()).collect();
    let accepted = driver.feed(|machine, now| machine.apply_operator_changes(now, changes));
    for ((record, command), is_accepted) in commands.iter().zip(accepted) {
        if is_accepted && matches!(command, OperatorCommand::Configure(_)) {
            driver.peers.set_config((*record).clone());
        }
        log_command(driver, command, record.offset, source, is_accepted);
        driver.rollouts.on_command(driver.now(), command, is_accepted);
    }
    rollouts::update_followed(driver);
    let evacuated = driver.inspect(|machine| machine.directory().evacuated().count());
    driver.metrics.gauge("relay.evacuated", evacuated as u64);
}

fn read_command(driver: &Driver, record: &Record) -> Result<Option<OperatorCommand>, CommandError> {
    let command = (driver.platform.read_command)(record)?;
    if let Some(OperatorCommand::Configure(config)) = &command {
        config.check().map_err(|flaw| flaw.to_string())?;
    }
    Ok(command)
}

fn log_command(
    driver: &Driver,
    command: &OperatorCommand,
    offset: u64,
    source: &str,
    is_accepted: bool,
) {
    let ready = |data_centre: &str| {
        driver.inspect(|machine| machine.directory().ready_count_in(data_centre))
    };
    match command {
        OperatorCommand::RollOut(order) => {
            let (service, version) =
                (tables::truncate(&order.service), tables::truncate(&order.destination));
            let duration_ms = order.duration.as_millis() as u64;
            tracing::warn!(
                event = "rollout_ordered",
                service,
                version,
                duration_ms,
                offset,
                source,
                taken = is_accepted
            );
        }
        OperatorCommand::WithdrawRollout(service) => {
            let service = tables::truncate(service);
            let taken = is_accepted;
            tracing::warn!(event = "rollout_withdrawn", service, offset, source, taken);
        }
        OperatorCommand::Configure(config) => {
            let (version, routes) = (config.version, config.routes.len());
            driver.metrics.gauge("relay.config_version", version);
            tracing::info!(event = "config", version, offset, source, routes, taken = is_accepted);
            if is_accepted {
                let map = &driver.settings.regions;
                let faults = regions::check_lists(config, map, &driver.peers.unlisted);
                regions::log_list_faults(version, &faults);
            }
        }
        OperatorCommand::Evacuate(name) => {
            let endpoints = ready(name);
            let data_centre = tables::truncate(name);
            tracing::warn!(
                event = "evacuated",
                data_centre,
                offset,
                source,
                endpoints,
                taken = is_accepted
            );
        }
        OperatorCommand::Restore(name) => {
            let endpoints = ready(name);
            let data_centre = tables::truncate(name);
            tracing::warn!(
                event = "restored",
                data_centre,
                offset,
                source,
                endpoints,
                taken = is_accepted
            );
        }
    }
}

/// Applies endpoints' records.
fn apply_endpoints(driver: &Rc<Driver>, source: &str, records: &[Record]) {
    let is_bulk = records.len() > BULK_SIZE;
    let mut bulk = Bulk::default();
    for record in records {
        let counted = is_bulk.then_some(&mut bulk);
        apply_endpoint(driver, source, record, counted);
    }
    let Bulk { joined, cooled } = bulk;
    if joined > 0 {
        tracing::info!(event = "endpoints_joined", count = joined, source);
    }
    if cooled > 0 {
        tracing::info!(event = "endpoints_cold", count = cooled, source);
    }
    let (ready, versions) = driver
        .inspect(|machine| (machine.directory().ready_count(), machine.directory().max_versions()));
    driver.metrics.gauge("relay.endpoints_ready", ready as u64);
    driver.metrics.gauge("relay.versions", versions as u64);
}

/// Counts of endpoints that are logged together, since many changed at once.
#[derive(Debug, Default)]
struct Bulk {
    joined: u64,
    cooled: u64,
}

/// Applies an endpoint's record. With `bulk`, a join is counted there instead of logged.
fn apply_endpoint(driver: &Rc<Driver>, source: &str, record: &Record, bulk: Option<&mut Bulk>) {
    let (name, offset) = (&*record.key, record.offset);
    let change = match (driver.platform.read_endpoint)(record) {
        Ok(change) => change,
        Err(error) => {
            driver.metrics.count("relay.endpoints_unreadable", 1);
            let error = tables::truncate(&error);
            tracing::warn!(event = "endpoint_unreadable", name, offset, source, error);
            let change = Change::Unreadable(record.key.clone());
            driver.feed(|machine, now| machine.apply_change(now, change));
            return;
        }
    };
    let is_join = matches!(&change, Change::Put(entry) if !entry.is_leaving);
    if let Change::Put(entry) = &change {
        driver.peers.unlisted.check(&driver.settings.regions, &entry.data_centre);
    }
    let change_text = format!("{change:?}");
    let changed = driver.feed(|machine, now| machine.apply_change(now, change));
    driver.metrics.count("relay.endpoints_cooled", u64::from(changed.is_newly_cold));
    match bulk {
        Some(bulk) if is_join => {
            bulk.joined += u64::from(changed.is_new);
            bulk.cooled += u64::from(changed.is_newly_cold);
        }
        _ if changed.is_new => {
            tracing::info!(event = "endpoint", name, offset, source, change = change_text);
        }
        _ if changed.is_newly_cold => {
            tracing::info!(event = "endpoint_cold", name, offset, source, change = change_text);
        }
        _ => {}
    }
}
