//! Which endpoints are usable.

use std::sync::Arc;

use peatdeck_core::{
    model::{Incarnation, Load},
    relay::{
        directory::{Change, Directory, EndedEndpoint, Entry, Outage},
        engine::CallEstimate,
        model::Failure,
        pool::Pool,
    },
};

use super::fixture::{entry, ms, prompt};

fn usable(directory: &Directory, at: u64) -> Vec<String> {
    let keys = directory.usable(ms(at), Pool::of("desk"));
    let name = |key| directory.get(key).unwrap().entry.name.to_string();
    keys.into_iter().map(name).collect()
}

fn directory(names: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for name in names {
        directory.apply_change(ms(0), Change::Put(entry(name, "desk")));
    }
    directory
}

fn entry_of_incarnation(name: &str, incarnation: u64) -> Entry {
    Entry { incarnation: Incarnation(incarnation), ..entry(name, "desk") }
}

fn leaving(name: &str) -> Change {
    Change::Put(Entry { is_leaving: true, ..entry(name, "desk") })
}

#[test]
fn an_endpoint_that_leaves_stays_leaving() {
    let mut directory = directory(&["a", "b"]);
    directory.apply_change(ms(10), leaving("a"));
    directory.apply_change(ms(20), Change::Put(entry("a", "desk")));
    assert_eq!(usable(&directory, 30), ["b"]);
}

/// The store was away for five seconds and returns at `at`.
fn return_store(directory: &mut Directory, at: u64) {
    directory.record_outage(Outage::between(ms(at - 5000), ms(at)).unwrap());
}

fn remove(directory: &mut Directory, at: u64, names: &[&str]) {
    for name in names {
        directory.apply_change(ms(at), Change::Removed(Arc::from(*name)));
    }
}

#[test]
fn an_entry_that_expired_while_the_store_was_away_is_briefly_usable() {
    let mut directory = directory(&["a", "b"]);
    return_store(&mut directory, 5100);
    remove(&mut directory, 5100, &["a"]);
    assert_eq!(usable(&directory, 5200), ["a", "b"]);
    remove(&mut directory, 5100, &["b"]);
    assert_eq!(usable(&directory, 6500), ["a", "b"]);
    assert_eq!(usable(&directory, 6700), Vec::<String>::new());
}

/// Guards against requests to endpoints that have left: those of a service may leave together.
#[test]
fn an_endpoint_that_is_removed_while_the_store_serves_is_not_used_again() {
    let mut directory = directory(&["a", "b", "c", "d"]);
    remove(&mut directory, 100, &["a"]);
    assert_eq!(usable(&directory, 100), ["b", "c", "d"]);
    remove(&mut directory, 200, &["b", "c"]);
    assert_eq!(usable(&directory, 200), ["d"]);
    remove(&mut directory, 300, &["d"]);
    assert_eq!(usable(&directory, 300), Vec::<String>::new());
}

/// Guards against the same before and after an outage: only what it may have made expire is excused.
#[test]
fn an_outage_excuses_no_removal_of_another_time() {
    let mut directory = directory(&["a", "b", "c", "d"]);
    remove(&mut directory, 200, &["a"]);
    return_store(&mut directory, 5100);
    assert_eq!(usable(&directory, 5100), ["b", "c", "d"], "it was removed before");
    remove(&mut directory, 5500, &["b"]);
    assert_eq!(usable(&directory, 6599), ["b", "c", "d"]);
    remove(&mut directory, 6600, &["c"]);
    assert_eq!(usable(&directory, 6600), ["d"], "missing two seconds after the store's return");
}

/// Entries outlive it.
#[test]
fn a_store_that_is_away_briefly_has_no_outage() {
    assert_eq!(Outage::between(ms(1000), ms(2999)), None);
    assert_eq!(Outage::between(ms(1000), ms(500)), None);
    assert_eq!(Outage::between(ms(1000), ms(3000)).unwrap().length(), ms(2000));
}

#[test]
fn an_expired_entry_that_is_written_again_is_usable() {
    let mut directory = directory(&["a"]);
    directory.apply_change(ms(100), Change::Removed(Arc::from("a")));
    directory.apply_change(ms(3000), Change::Put(entry("a", "desk")));
    assert_eq!(usable(&directory, 3000), ["a"]);
}

#[test]
fn an_endpoint_that_left_is_no_last_resort_after_its_removal() {
    let mut directory = directory(&["a"]);
    directory.apply_change(ms(10), leaving("a"));
    directory.apply_change(ms(20), Change::Removed(Arc::from("a")));
    assert_eq!(usable(&directory, 30), Vec::<String>::new());
}

#[test]
fn pauses_grow_and_end_with_an_answer() {
    let mut directory = directory(&["a"]);
    let key = directory.by_name("a").unwrap();
    let endpoint = directory.get_mut(key).unwrap();
    endpoint.record_failure(ms(0), Failure::Unsent);
    assert!(endpoint.is_paused(ms(399)));
    assert!(!endpoint.is_paused(ms(400)));
    endpoint.record_failure(ms(400), Failure::Unsent);
    assert!(endpoint.is_paused(ms(1199)));
    endpoint.record_answer(ms(1199), ms(5), None);
    assert!(!endpoint.is_paused(ms(1199)));
}

#[test]
fn one_call_at_a_time_tries_an_endpoint_after_its_pause() {
    let mut directory = directory(&["a"]);
    let key = directory.by_name("a").unwrap();
    let endpoint = directory.get_mut(key).unwrap();
    endpoint.record_failure(ms(0), Failure::Unsent);
    assert!(!endpoint.is_paused(ms(500)));
    endpoint.record_sent();
    assert!(endpoint.is_paused(ms(500)));
    endpoint.record_end();
    assert!(!endpoint.is_paused(ms(500)));
}

#[test]
fn state_of_an_earlier_incarnation_does_not_carry_over() {
    let mut directory = directory(&["a", "b"]);
    let old = directory.by_name("a").unwrap();
    let endpoint = directory.get_mut(old).unwrap();
    endpoint.record_sent();
    let work = CallEstimate { prefill: ms(900), copy_time: ms(0), first_token: ms(50) };
    endpoint.engine.add_run(ms(0), 1, &prompt(1, 2), work);
    endpoint.record_answer(
        ms(0),
        ms(700),
        Some(Load { running: 3, queued: 9, places: 4, age_ms: 0 }),
    );
    endpoint.record_failure(ms(0), Failure::Cut);
    let changed = directory.apply_change(ms(10), Change::Put(entry_of_incarnation("a", 2)));
    let ended = EndedEndpoint { endpoint: old, is_planned: false };
    assert_eq!((changed.is_new, changed.ended), (true, Some(ended)));
    let key = directory.by_name("a").unwrap();
    let endpoint = directory.get(key).unwrap();
    assert!(!endpoint.is_paused(ms(10)));
    assert_eq!((endpoint.calls(ms(10)), endpoint.response_time), (0, None));
    assert_eq!((endpoint.engine.prefill_wait(ms(10)), endpoint.engine.memory_in_use()), (ms(0), 0));
    // Later events of the earlier incarnation do not affect the new one.
    directory.get_mut(old).unwrap().record_end();
    directory.mark_leaving(ms(20), old);
    assert_eq!(usable(&directory, 20), ["b", "a"]);
}

#[test]
fn a_delayed_entry_of_an_earlier_incarnation_changes_nothing() {
    let mut directory = directory(&["b"]);
    directory.apply_change(ms(0), Change::Put(entry_of_incarnation("a", 2)));
    let key = directory.by_name("a");
    let delayed = Entry { is_leaving: true, ..entry_of_incarnation("a", 1) };
    assert_eq!(directory.apply_change(ms(10), Change::Put(delayed)), Default::default());
    assert_eq!(directory.by_name("a"), key);
    assert_eq!(usable(&directory, 20), ["b", "a"]);
}

#[test]
fn an_endpoint_that_left_is_used_again_after_a_restart() {
    let mut directory = directory(&["a"]);
    directory.apply_change(ms(10), leaving("a"));
    directory.apply_change(ms(20), Change::Put(entry_of_incarnation("a", 2)));
    assert_eq!(usable(&directory, 30), ["a"]);
    // The ended incarnation is removed; the name refers to the new one.
    directory.forget(ms(100_000));
    assert_eq!(usable(&directory, 100_000), ["a"]);
    assert!(directory.by_name("a").is_some());
}

#[test]
fn an_unreadable_entry_disables_its_endpoint_until_it_is_rewritten() {
    let mut directory = directory(&["a"]);
    directory.apply_change(ms(100), Change::Unreadable(Arc::from("a")));
    directory.apply_change(ms(100), Change::Unreadable(Arc::from("stranger")));
    assert_eq!(usable(&directory, 110), Vec::<String>::new(), "not even as a last resort");
    directory.apply_change(ms(300), Change::Put(entry("a", "desk")));
    assert_eq!(usable(&directory, 310), ["a"]);
}

/// After an outage of the store most entries have expired. The first ones that are written again
/// must not get the calls of the whole service.
#[test]
fn expired_entries_stay_usable_briefly_if_most_of_a_service_expired() {
    let mut directory = directory(&["a", "b", "c", "d"]);
    return_store(&mut directory, 5100);
    remove(&mut directory, 5100, &["a", "b", "c", "d"]);
    directory.apply_change(ms(5400), Change::Put(entry("a", "desk")));
    assert_eq!(usable(&directory, 5500), ["a", "b", "c", "d"]);
    assert_eq!(
        usable(&directory, 6700),
        ["a"],
        "entries that are not written again by then are gone"
    );
}

fn numbered(number: u64) -> Entry {
    Entry { number, ..entry("a", "desk") }
}

/// Guards against calls to an endpoint that has left, since the store executed one of its earlier
/// writes after the removal.
#[test]
fn an_earlier_entry_that_is_written_late_makes_no_removed_endpoint_usable() {
    let mut directory = directory(&["b"]);
    for number in [7, 8] {
        directory.apply_change(ms(10), Change::Put(numbered(number)));
    }
    remove(&mut directory, 100, &["a"]);
    assert_eq!(directory.apply_change(ms(200), Change::Put(numbered(7))), Default::default());
    assert_eq!(usable(&directory, 200), ["b"]);
    directory.apply_change(ms(300), Change::Put(numbered(9)));
    assert_eq!(usable(&directory, 300), ["b", "a"], "it was alive after its removal");
}

#[test]
fn an_earlier_entry_that_is_written_late_changes_no_endpoint() {
    let mut directory = directory(&[]);
    directory.apply_change(ms(10), Change::Put(numbered(8)));
    let late = Entry { slots: 1, ..numbered(7) };
    assert_eq!(directory.apply_change(ms(20), Change::Put(late)), Default::default());
    let key = directory.by_name("a").unwrap();
    assert_eq!(directory.get(key).unwrap().entry, numbered(8));
    // A closed port and an unreadable record say more than an earlier entry.
    directory.mark_gone(ms(30), key);
    directory.apply_change(ms(40), Change::Put(numbered(7)));
    assert_eq!(usable(&directory, 40), Vec::<String>::new());
    directory.apply_change(ms(50), Change::Put(numbered(9)));
    directory.apply_change(ms(60), Change::Unreadable(Arc::from("a")));
    directory.apply_change(ms(70), Change::Put(numbered(8)));
    assert_eq!(usable(&directory, 70), Vec::<String>::new());
}

/// Leaving is final, whenever it is learned.
#[test]
fn an_earlier_entry_of_a_leaving_endpoint_counts_though_it_is_written_late() {
    let mut directory = directory(&[]);
    directory.apply_change(ms(10), Change::Put(numbered(8)));
    let leaving = Entry { is_leaving: true, ..numbered(7) };
    directory.apply_change(ms(20), Change::Put(leaving));
    assert_eq!(usable(&directory, 30), Vec::<String>::new());
}

/// A directory that has been followed from 0 to `until`, after a listing of these entries and of
/// two endpoints that write further ones.
fn followed(listed: &[Entry], until: u64) -> Directory {
    let mut directory = Directory::default();
    directory.set_entry_interval(ms(1200));
    directory.mark_read(ms(0));
    for entry in listed {
        directory.apply_change(ms(0), Change::Put(entry.clone()));
    }
    for at in (0..=until).step_by(400) {
        for name in ["x", "y"] {
            let entry = Entry { name: Arc::from(name), ..numbered(5 + at / 1200) };
            directory.apply_change(ms(at), Change::Put(entry));
        }
        follow(&mut directory, at);
    }
    directory
}

fn follow(directory: &mut Directory, at: u64) {
    directory.mark_read(ms(at));
    directory.suspend_unproven(ms(at));
    directory.release_unproven();
}

/// Whether the endpoint `a` is usable.
fn is_used(directory: &Directory, at: u64) -> bool {
    usable(directory, at).contains(&"a".to_owned())
}

#[test]
fn an_entry_written_late_after_a_removal_before_the_start_makes_no_endpoint_usable() {
    let mut directory = followed(&[], 4000);
    let effect = directory.apply_change(ms(4000), Change::Put(numbered(7)));
    assert!(!effect.is_new);
    assert!(!is_used(&directory, 4000));
    directory.apply_change(ms(5200), Change::Put(numbered(8)));
    assert!(is_used(&directory, 5200));
}

#[test]
fn an_entry_written_late_before_the_start_is_used_no_longer_than_the_next_one_takes() {
    assert!(is_used(&followed(&[numbered(7)], 1600), 1600));
    assert!(!is_used(&followed(&[numbered(7)], 2000), 2000));
}

#[test]
fn an_endpoint_that_joins_is_usable_with_its_first_entry() {
    let mut directory = followed(&[], 4000);
    directory.apply_change(ms(4000), Change::Put(numbered(1)));
    assert!(is_used(&directory, 4000));
}

/// Endpoints cannot prove themselves while the store is away.
#[test]
fn a_store_that_is_away_after_the_start_suspends_no_endpoint() {
    let mut directory = followed(&[numbered(7)], 400);
    follow(&mut directory, 9000);
    assert!(is_used(&directory, 9000));
}

#[test]
fn endpoints_stay_in_use_if_the_directory_shows_no_further_entries() {
    let mut directory = Directory::default();
    directory.set_entry_interval(ms(1200));
    directory.mark_read(ms(0));
    directory.apply_change(ms(0), Change::Put(numbered(7)));
    for at in (0..=4000).step_by(400) {
        follow(&mut directory, at);
        assert!(is_used(&directory, at), "{at}");
    }
    let other = Entry { name: Arc::from("b"), ..numbered(9) };
    directory.apply_change(ms(4000), Change::Put(other));
    assert_eq!(usable(&directory, 4000), ["a", "b"]);
}

#[test]
fn an_endpoint_is_used_again_once_its_entry_would_have_expired() {
    let mut directory = followed(&[], 4000);
    directory.apply_change(ms(4000), Change::Put(numbered(7)));
    for at in (4000..8200).step_by(400) {
        follow(&mut directory, at);
        assert!(!is_used(&directory, at), "{at}");
    }
    follow(&mut directory, 8400);
    assert!(is_used(&directory, 8400));
}

#[test]
fn an_entry_written_late_that_expires_makes_no_endpoint_usable() {
    let mut directory = followed(&[], 4000);
    directory.apply_change(ms(4000), Change::Put(numbered(7)));
    remove(&mut directory, 7600, &["a"]);
    for at in (4000..=12_000).step_by(400) {
        follow(&mut directory, at);
    }
    assert!(!is_used(&directory, 12_000));
}

#[test]
fn endpoints_that_are_proven_go_first_where_a_request_may_run_once() {
    let directory = followed(&[numbered(7)], 1200);
    let unproven = directory.unproven_beside_others(ms(1200), Pool::of("desk"));
    assert_eq!(unproven, [directory.by_name("a").unwrap()]);
    let directory = followed(&[], 400);
    assert!(directory.unproven_beside_others(ms(400), Pool::of("desk")).is_empty());
}

#[test]
fn an_incarnation_numbers_its_entries_anew() {
    let mut directory = directory(&[]);
    directory.apply_change(ms(10), Change::Put(numbered(8)));
    remove(&mut directory, 20, &["a"]);
    let restarted = Entry { incarnation: Incarnation(2), ..numbered(1) };
    directory.apply_change(ms(30), Change::Put(restarted));
    assert_eq!(usable(&directory, 30), ["a"]);
}

#[test]
fn an_entry_that_moves_an_incarnation_to_another_service_disables_it() {
    let mut directory = directory(&["a", "b"]);
    let foreign = Entry { service: Arc::from("mart"), ..entry("a", "mart") };
    directory.apply_change(ms(100), Change::Put(foreign));
    assert_eq!(usable(&directory, 110), ["b"]);
    assert!(directory.usable(ms(110), Pool::of("mart")).is_empty());
    directory.apply_change(ms(300), Change::Put(entry("a", "desk")));
    assert_eq!(usable(&directory, 310), ["a", "b"]);
}

/// An endpoint may report any load.
#[test]
fn a_load_that_overflows_counts_as_full() {
    let mut directory = directory(&["a"]);
    let key = directory.by_name("a").unwrap();
    let endpoint = directory.get_mut(key).unwrap();
    let load = Load { running: u32::MAX, queued: u32::MAX, places: 4, age_ms: 0 };
    endpoint.record_answer(ms(0), ms(10), Some(load));
    assert_eq!(endpoint.calls(ms(1)), u32::MAX);
}
