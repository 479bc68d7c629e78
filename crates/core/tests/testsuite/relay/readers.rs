//! Which instances read the platform's tables.

use std::sync::Arc;

use peatdeck_core::relay::readers::readers;

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|idx| Arc::from(format!("edge-{idx}"))).collect()
}

#[test]
fn two_read_for_a_few_and_one_in_eighteen_for_many() {
    assert_eq!(readers(&names(1)).len(), 1);
    assert_eq!(readers(&names(8)).len(), 2);
    assert_eq!(readers(&names(74)).len(), 5);
}

#[test]
fn all_agree_whatever_the_order() {
    let mut reversed = names(30);
    reversed.reverse();
    assert_eq!(readers(&names(30)), readers(&reversed));
}
