//! Which endpoints may be used.

use std::sync::Arc;

use peatdeck_core::relay::{
    directory::{Change, Directory, Entry},
    model::Failure,
};

use super::fixture::{entry, ms};

fn usable(directory: &Directory, at: u64) -> Vec<String> {
    let keys = directory.usable(ms(at), "desk");
    let name = |key| directory.get(key).unwrap().entry.name.to_string();
    keys.into_iter().map(name).collect()
}

fn directory(names: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for name in names {
        directory.change(ms(0), Change::Put(entry(name, "desk")));
    }
    directory
}

fn leaving(name: &str) -> Change {
    Change::Put(Entry { is_leaving: true, ..entry(name, "desk") })
}

#[test]
fn leaving_is_sticky() {
    let mut directory = directory(&["a", "b"]);
    directory.change(ms(10), leaving("a"));
    directory.change(ms(20), Change::Put(entry("a", "desk")));
    assert_eq!(usable(&directory, 30), ["b"]);
}

#[test]
fn an_entry_that_lapsed_is_a_last_resort_for_a_moment() {
    let mut directory = directory(&["a", "b"]);
    directory.change(ms(100), Change::Removed(Arc::from("a")));
    assert_eq!(usable(&directory, 200), ["b"]);
    directory.change(ms(100), Change::Removed(Arc::from("b")));
    assert_eq!(usable(&directory, 1500), ["a", "b"]);
    assert_eq!(usable(&directory, 1700), Vec::<String>::new());
}

#[test]
fn an_entry_that_lapsed_comes_back() {
    let mut directory = directory(&["a"]);
    directory.change(ms(100), Change::Removed(Arc::from("a")));
    directory.change(ms(3000), Change::Put(entry("a", "desk")));
    assert_eq!(usable(&directory, 3000), ["a"]);
}

#[test]
fn an_entry_that_left_does_not_come_back_by_being_removed() {
    let mut directory = directory(&["a"]);
    directory.change(ms(10), leaving("a"));
    directory.change(ms(20), Change::Removed(Arc::from("a")));
    assert_eq!(usable(&directory, 30), Vec::<String>::new());
}

#[test]
fn pauses_grow_and_end_with_an_answer() {
    let mut directory = directory(&["a"]);
    let key = directory.by_name("a").unwrap();
    let endpoint = directory.get_mut(key).unwrap();
    endpoint.failed(ms(0), Failure::Unsent);
    assert!(endpoint.is_paused(ms(399)));
    assert!(!endpoint.is_paused(ms(400)));
    endpoint.failed(ms(400), Failure::Unsent);
    assert!(endpoint.is_paused(ms(1199)));
    endpoint.answered(ms(1199), ms(5), None);
    assert!(!endpoint.is_paused(ms(1199)));
}

#[test]
fn one_call_at_a_time_finds_out_whether_it_serves_again() {
    let mut directory = directory(&["a"]);
    let key = directory.by_name("a").unwrap();
    let endpoint = directory.get_mut(key).unwrap();
    endpoint.failed(ms(0), Failure::Unsent);
    assert!(!endpoint.is_paused(ms(500)));
    endpoint.sent(0);
    assert!(endpoint.is_paused(ms(500)));
    endpoint.ended();
    assert!(!endpoint.is_paused(ms(500)));
}
