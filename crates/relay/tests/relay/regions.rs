//! Tests of the checks on regions in a configuration.

use std::{collections::HashMap, sync::Arc};

use peatdeck_core::relay::region::RegionMap;
use peatdeck_relay::regions::{Unlisted, check_lists};

use crate::standins;

fn names(list: &[&str]) -> Option<Arc<[Arc<str>]>> {
    Some(list.iter().map(|name| Arc::from(*name)).collect())
}

// Requests with such a list are refused, which nobody would expect of a misspelt name.
#[test]
fn lists_that_are_empty_or_name_no_region_are_found() {
    let map = RegionMap::new(HashMap::from([(Arc::from("east"), Arc::from("r"))]));
    let unlisted = Unlisted::default();
    unlisted.check(&map, "west");
    unlisted.check(&map, "east");
    let mut config = standins::config(1);
    let route = Arc::make_mut(&mut config.routes[0]);
    route.allowed_regions = names(&["r", "west", "east", "R"]);
    let empty = route.name.clone();
    let keys = config.keys.as_mut().unwrap();
    keys.get_mut("key-1").unwrap().allowed_regions = names(&["R"]);
    let faults = check_lists(&config, &map, &unlisted);
    assert_eq!(faults.empty, Vec::<String>::new());
    assert_eq!(faults.unknown, [Arc::from("R"), Arc::from("east")]);

    Arc::make_mut(&mut config.routes[0]).allowed_regions = names(&[]);
    config.keys.as_mut().unwrap().get_mut("key-1").unwrap().allowed_regions = names(&[]);
    let faults = check_lists(&config, &map, &unlisted);
    assert_eq!(faults.empty, [format!("route {empty}"), "team markets".to_owned()]);
    assert_eq!(faults.unknown, Vec::<Arc<str>>::new());
}
