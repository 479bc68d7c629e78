#![allow(clippy::unwrap_used)]

use peatdeck_load::commands::ceiling::median;

#[test]
fn the_median_of_an_even_number_is_between_the_middle_two() {
    assert_eq!(median(&[]), 0.0);
    assert_eq!(median(&[3.0, 1.0, 2.0]), 2.0);
    assert_eq!(median(&[4.0, 1.0, 2.0, 3.0]), 2.5);
}
