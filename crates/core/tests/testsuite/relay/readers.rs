//! Which instances read the platform's tables.

use std::sync::Arc;

use peatdeck_core::relay::{model::Peer, readers::select_readers};

fn names(count: usize) -> Vec<Peer> {
    let name = |idx| Arc::from(format!("edge-{idx}"));
    (0..count)
        .map(|idx| Peer { name: name(idx), millicores: 120, data_centre: "east".into() })
        .collect()
}

#[test]
fn two_of_a_few_instances_read_and_one_in_eighteen_of_many() {
    assert_eq!(select_readers(&names(1)).len(), 1);
    assert_eq!(select_readers(&names(8)).len(), 2);
    assert_eq!(select_readers(&names(74)).len(), 5);
}

#[test]
fn the_instances_with_the_largest_cpu_share_read() {
    let mut peers = names(74);
    peers[40].millicores = 500;
    peers[50].millicores = 500;
    let readers = select_readers(&peers);
    assert!(readers.contains(&peers[40].name) && readers.contains(&peers[50].name));
}

#[test]
fn the_selection_does_not_depend_on_the_order() {
    let mut reversed = names(30);
    reversed.reverse();
    assert_eq!(select_readers(&names(30)), select_readers(&reversed));
}
