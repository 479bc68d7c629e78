//! Routes, traffic splits and API keys.

use std::sync::Arc;

use peatdeck_core::relay::{
    config::{RequestKind, Route, Target},
    model::Refusal,
};

use super::fixture::{ConfigBuilder, World, arrival, entry, ms, route};

fn prefixed(prefix: &str, service: &str) -> Route {
    Route { prefix: Arc::from(prefix), ..route(service, RequestKind::Idempotent, service) }
}

#[test]
fn the_longest_prefix_wins() {
    let config = ConfigBuilder::new(1)
        .route(prefixed("/a/", "short"))
        .route(prefixed("/a/b/", "long"))
        .build();
    let service = |path| config.route("fleet.example", path).map(|route| route.name.clone());
    assert_eq!(service("/a/b/c").as_deref(), Some("long"));
    assert_eq!(service("/a/bc").as_deref(), Some("short"));
    assert_eq!(service("/a"), None);
}

#[test]
fn hosts_are_compared_without_case() {
    let config = ConfigBuilder::new(1).route(prefixed("/", "s")).build();
    assert!(config.route("FLEET.example", "/x").is_some());
    assert!(config.route("other.example", "/x").is_none());
}

#[test]
fn a_split_follows_its_weights() {
    let target = |service: &str, weight| Target { service: Arc::from(service), weight };
    let targets = vec![target("a", 9), target("b", 1)];
    let route = Route { targets, ..route("r", RequestKind::Idempotent, "a") };
    let nth_point = |idx: u64| (idx << 32).div_ceil(1000) as u32;
    let to_b = (0..1000).filter(|idx| &**route.target(nth_point(*idx)).unwrap() == "b").count();
    assert_eq!(to_b, 100);
}

#[test]
fn a_relay_without_a_configuration_is_not_ready() {
    let mut world = World::new(ConfigBuilder::new(1).build());
    world.relay = peatdeck_core::relay::Relay::new(
        peatdeck_core::relay::Settings {
            name: Arc::from("own"),
            data_centre: Arc::from("east"),
            retry_budget: peatdeck_core::relay::allowance::RetryBudgetConfig {
                ratio: 0.2,
                slack: 10.0,
                window: ms(10_000),
            },
            min_instances: 1,
            millicores: 250,
            regions: Default::default(),
            rollout: None,
            entry_interval: ms(1200),
        },
        1,
    );
    assert_eq!(world.try_submit(arrival("1", "r")), Err(Refusal::NotReady));
}

#[test]
fn a_key_is_needed_except_on_public_routes() {
    let public = Route { is_public: true, ..route("open", RequestKind::Idempotent, "desk") };
    let config = ConfigBuilder::new(1)
        .service("desk")
        .key("k1", "markets")
        .route(route("shut", RequestKind::Idempotent, "desk"))
        .route(public);
    let mut world = World::new(config.build());
    world.put(entry("a", "desk"));

    assert_eq!(world.try_submit(arrival("1", "none")), Err(Refusal::NoRoute));
    assert_eq!(world.try_submit(arrival("2", "shut")), Err(Refusal::UnknownKey));
    let mut known = arrival("3", "shut");
    known.key = Some(Arc::from("k1"));
    world.submit(known);
    assert_eq!(world.call().team.as_deref(), Some("markets"));
    world.submit(arrival("4", "open"));
    assert_eq!(world.call().team, None);
}

#[test]
fn an_older_configuration_is_not_applied() {
    let mut world = World::new(ConfigBuilder::new(5).build());
    assert!(!world.relay.configure(ConfigBuilder::new(4).build()));
    assert!(!world.relay.configure(ConfigBuilder::new(5).build()));
    assert!(world.relay.configure(ConfigBuilder::new(9).build()));
    assert_eq!(world.relay.config().unwrap().version, 9);
}
