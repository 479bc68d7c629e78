//! Rollouts: which version gets work, what counts as evidence, and what is decided.

mod decisions;
mod exposure;
mod failures;
mod faults;
mod fleet;
mod good;
mod orders;
mod work;

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        Settings,
        allowance::RetryBudgetConfig,
        config::RequestKind,
        directory::Entry,
        model::{Action, Peer},
        operator::OperatorCommand,
        position::{Position, Timeline},
        rollout::{Evidence, Limits, Order, Phase, RolloutRecord},
    },
};

use crate::relay::fixture::{ConfigBuilder, World, arrival, entry, head, ms, route, settings};

/// The settings of an instance of a deployment with rollouts.
pub fn rollout_settings(name: &str) -> Settings {
    let budget = RetryBudgetConfig { ratio: 0.2, slack: 40.0, window: ms(10_000) };
    let limits = Limits { max_share: 0.1, slack: 50, rollback_time: ms(5000) };
    Settings { rollout: Some(limits), retry_budget: budget, ..settings(name) }
}

/// An order for service `desk` at an offset of the operators' log.
pub fn order(destination: &str, duration: Duration, offset: u64) -> Order {
    Order {
        service: "desk".into(),
        destination: Arc::from(destination),
        duration,
        position: Position { timeline: Timeline(1), offset },
    }
}

/// An endpoint of a version; the number of the version is also that of its incarnation.
pub fn versioned(name: &str, service: &str, version: u64) -> Entry {
    let incarnation = Incarnation(version);
    Entry { incarnation, version: format!("v{version}").into(), ..entry(name, service) }
}

/// An instance with endpoints `a` and `b` of version 1 and `c` and `d` of version 2.
pub fn world() -> World {
    let config = ConfigBuilder::new(1).service("desk");
    let config = config.route(route("r", RequestKind::Idempotent, "desk")).build();
    let mut world = World::seeded(config, rollout_settings("own"), 7);
    for (name, version) in [("a", 1), ("b", 1), ("c", 2), ("d", 2)] {
        world.put(versioned(name, "desk", version));
    }
    world
}

/// The instance with an order for version 2 that has just been read, on which it decides.
pub fn ordered() -> World {
    let mut world = world();
    start(&mut world, order("v2", ms(12_000), 1));
    world
}

pub fn start(world: &mut World, order: Order) {
    world.apply_command(OperatorCommand::RollOut(order));
    world.relay.mark_rollouts_read(world.now);
    world.collect();
}

/// Sets a single peer, which decides on service `desk` or not.
pub fn set_peer(world: &mut World, decides: bool) {
    // By the ranks of the two names.
    let name = (0..100).map(|idx| format!("peer{idx}")).find(|name| {
        let mut other = ordered();
        other.relay.set_peers(other.now, vec![peer(name)], 2);
        other.advance(ms(250));
        decides != reports(&mut other).is_empty()
    });
    world.relay.set_peers(world.now, vec![peer(&name.unwrap())], 2);
}

fn peer(name: &str) -> Peer {
    Peer { name: name.into(), millicores: 250, data_centre: "east".into() }
}

/// Removes the reports of counts from the actions and returns them.
pub fn reports(world: &mut World) -> Vec<Evidence> {
    world.take(|action| match action {
        Action::ReportEvidence { evidence, .. } => Some(evidence.clone()),
        _ => None,
    })
}

/// Removes the records to write from the actions and returns them.
pub fn writes(world: &mut World) -> Vec<RolloutRecord> {
    world.take(|action| match action {
        Action::WriteRollout(record) => Some(record.clone()),
        _ => None,
    })
}

/// Lets time pass in steps, and returns the records to write.
pub fn wait(world: &mut World, millis: u64) -> Vec<RolloutRecord> {
    let mut records = Vec::new();
    for _ in 0..millis / 50 {
        world.advance(ms(50));
        records.extend(writes(world));
    }
    records
}

pub fn read(world: &mut World, record: RolloutRecord) {
    world.relay.on_rollout_record(world.now, "desk", Some(record));
    world.collect();
}

/// The record of the order for version 2.
pub fn record(phase: Phase) -> RolloutRecord {
    RolloutRecord {
        service: "desk".into(),
        phase,
        destination: "v2".into(),
        baseline: Some("v1".into()),
        duration: ms(12_000),
        order: order("v2", ms(12_000), 1).position,
        by: "peer".into(),
        age: Duration::ZERO,
        reason: "test".into(),
    }
}

/// Sends requests that are answered after 20 ms. Returns how many went to version 2, whose replies
/// have a status.
pub fn serve(world: &mut World, count: usize, status: u16) -> usize {
    let mut canaries = 0;
    for idx in 0..count {
        world.submit(arrival(&format!("{:?}-{idx}", world.now), "r"));
        let call = world.call();
        let is_new = ["c", "d"].contains(&&*call.endpoint);
        canaries += usize::from(is_new);
        world.advance(ms(20));
        world.reply(call.key, &head(if is_new { status } else { 200 }));
        for retry in world.calls() {
            world.reply(retry.key, &head(200));
        }
    }
    canaries
}
