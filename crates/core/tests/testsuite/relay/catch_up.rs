//! Copies of a table that catch up from each other in portions.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use peatdeck_core::relay::{
    catch_up::{CatchUp, PortionEffect},
    position::{Position, Timeline},
    table::{Record, Table},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

/// The most bytes in a portion.
const PORTION: usize = 1000;
/// Bytes of a value that needs many portions.
const LARGE: usize = 50_000;

fn record(key: &str, offset: u64, value: Vec<u8>) -> Record {
    Record { key: Arc::from(key), offset, value: Some(Bytes::from(value)) }
}

/// A copy that was listed completely while the log ended at `end`.
fn table(records: Vec<Record>, end: u64) -> Table {
    let mut table = Table::default();
    table.replace(records, end);
    table
}

/// A copy with a small first version of a configuration.
fn small_copy() -> Table {
    table(vec![record("config", 0, b"1".to_vec())], 1)
}

/// The same copy with a large second version.
fn large_copy() -> Table {
    let mut table = small_copy();
    table.apply_changes(vec![record("config", 1, vec![2; LARGE])], 2);
    table
}

fn step(catch_up: &mut CatchUp, table: &mut Table, source: &Table) -> (PortionEffect, usize) {
    let portion = source.read_portion(&catch_up.next_request(table), PORTION);
    let bytes = portion.bytes();
    (catch_up.apply(table, portion), bytes)
}

#[test]
fn no_portion_exceeds_its_limit() {
    let (mut table, mut catch_up, source) = (small_copy(), CatchUp::default(), large_copy());
    let (mut bytes, mut portions) = (0, 0);
    while table.end() < 2 {
        let (_, size) = step(&mut catch_up, &mut table, &source);
        assert!(size <= PORTION, "{size}");
        (bytes, portions) = (bytes + size, portions + 1);
    }
    assert_eq!((bytes, portions), (LARGE, LARGE / PORTION));
}

#[test]
fn slices_of_a_record_may_come_from_different_sources() {
    let (mut table, mut catch_up) = (small_copy(), CatchUp::default());
    let sources = [large_copy(), large_copy(), large_copy()];
    let mut bytes = 0;
    for source in sources.iter().cycle() {
        let (effect, size) = step(&mut catch_up, &mut table, source);
        bytes += size;
        if effect.is_caught_up {
            break;
        }
    }
    assert_eq!((table.end(), bytes), (2, LARGE));
}

/// The record changes faster than one version of it is transferred.
#[test]
fn a_record_that_is_replaced_during_its_transfer_still_arrives() {
    let (mut table, mut catch_up, mut source) = (small_copy(), CatchUp::default(), large_copy());
    let mut arrived = Vec::new();
    for round in 0..300 {
        let (effect, _) = step(&mut catch_up, &mut table, &source);
        arrived.extend(effect.changed.iter().map(|record| record.offset));
        if round % 20 == 0 {
            let end = source.end();
            source.apply_changes(vec![record("config", end, vec![3; LARGE])], end + 1);
        }
    }
    // Each version takes fifty rounds, during which two or three newer ones are written.
    assert_eq!(arrived, [1, 4, 6, 9, 11, 14]);
}

#[test]
fn a_listing_continues_only_with_a_copy_of_the_same_base() {
    let records =
        |count: u64| (0..count).map(|idx| record(&format!("key-{idx}"), idx, vec![0; 300]));
    let (one, two) = (table(records(10).collect(), 10), table(records(10).collect(), 10));
    // Listed later, after a key was removed and its removal was dropped from the log.
    let later = table(records(10).skip(1).collect(), 12);

    let (mut requesting, mut catch_up) = (Table::default(), CatchUp::default());
    step(&mut catch_up, &mut requesting, &one);
    let (effect, _) = step(&mut catch_up, &mut requesting, &later);
    assert!(effect.has_more && !requesting.is_loaded());
    while !requesting.is_loaded() {
        step(&mut catch_up, &mut requesting, &later);
    }
    assert_eq!(requesting.end(), 12);
    assert_eq!(contents(&requesting).len(), 9);

    let (mut requesting, mut catch_up) = (Table::default(), CatchUp::default());
    let mut portions = 0;
    for source in [&one, &two].into_iter().cycle() {
        portions += 1;
        if step(&mut catch_up, &mut requesting, source).0.is_caught_up {
            break;
        }
    }
    assert_eq!((portions, contents(&requesting).len()), (4, 10));
}

/// The listing began before a key was removed. The copy was then listed completely after the
/// removal, so it has seen neither the key nor its removal.
#[test]
fn an_outdated_listing_is_dropped() {
    let mut source =
        table(vec![record("gone", 0, vec![0; 600]), record("kept", 1, vec![1; 600])], 2);
    let (mut requesting, mut catch_up) = (Table::default(), CatchUp::default());
    step(&mut catch_up, &mut requesting, &source);
    requesting.replace(vec![record("kept", 1, vec![1; 600])], 9);
    let (effect, _) = step(&mut catch_up, &mut requesting, &source);
    assert!(effect.changed.is_empty());
    assert_eq!((requesting.end(), contents(&requesting).len()), (9, 1));
    source.apply_changes(vec![record("new", 9, vec![9])], 10);
    step(&mut catch_up, &mut requesting, &source);
    assert_eq!((requesting.end(), contents(&requesting).len()), (10, 2));
}

/// The contents of a copy, as it sends them to an empty one.
fn contents(table: &Table) -> BTreeMap<Arc<str>, Bytes> {
    let request = CatchUp::default().next_request(&Table::default());
    let records = table.read_portion(&request, usize::MAX).records.into_iter();
    records.filter_map(|record| Some((record.key, record.value?))).collect()
}

/// Some copies follow the log irregularly; the others only catch up from random copies, in small
/// portions and in random order. In the end all copies have the contents of the log.
#[test]
fn all_copies_converge_whatever_their_sources() {
    for seed in 0..200 {
        World::new(seed).run();
    }
}

/// The same with a log that is restored from backups.
#[test]
fn all_copies_converge_on_a_log_that_was_restored_from_a_backup() {
    for seed in 1000..1200 {
        let mut world = World::new(seed);
        world.restores = true;
        world.run();
    }
}

struct World {
    rng: SmallRng,
    log: Vec<Record>,
    /// The first offset that the log retains.
    retained_from: u64,
    timeline: u64,
    /// Whether the log is restored from backups.
    restores: bool,
    copies: Vec<(Table, CatchUp)>,
}

/// The number of copies that read the log; the others only catch up from other copies.
const READERS: usize = 2;

impl World {
    fn new(seed: u64) -> World {
        let copies = (0..5).map(|_| Default::default()).collect();
        let rng = SmallRng::seed_from_u64(seed);
        World { rng, log: Vec::new(), retained_from: 0, timeline: 0, restores: false, copies }
    }

    fn run(&mut self) {
        for _ in 0..300 {
            match self.rng.random_range(0..20) {
                0..3 => self.write(),
                3 => self.retained_from = self.log.len() as u64,
                4 => self.restart(),
                5 if self.restores && self.rng.random_ratio(1, 3) => self.restore(),
                5..8 => self.read(),
                _ => self.sync_two(),
            }
        }
        (0..READERS).for_each(|idx| self.read_into(idx));
        let newest = self.newest();
        assert!(self.copies[..READERS].iter().all(|(table, _)| table.position() == newest));
        for idx in READERS..self.copies.len() {
            let source = self.copies[0].0.clone();
            let (table, catch_up) = &mut self.copies[idx];
            // Twice, since a listing that another source began may have to start over.
            let steps = (0..2000).map(|_| step(catch_up, table, &source).0.is_caught_up);
            assert!(steps.filter(|is_caught_up| *is_caught_up).take(2).count() == 2);
        }
        let newest: BTreeMap<_, _> =
            self.log.iter().map(|record| (record.key.clone(), record.value.clone())).collect();
        let newest: BTreeMap<_, _> =
            newest.into_iter().filter_map(|(key, value)| Some((key, value?))).collect();
        // A value repeats one byte that depends on its offset and timeline, so the first byte
        // and the length identify it.
        let summary = |contents: BTreeMap<Arc<str>, Bytes>| -> Vec<(Arc<str>, u8, usize)> {
            contents.into_iter().map(|(key, value)| (key, value[0], value.len())).collect()
        };
        let newest = summary(newest);
        for (idx, (table, _)) in self.copies.iter().enumerate() {
            assert_eq!(summary(contents(table)), newest, "copy {idx}");
        }
    }

    fn write(&mut self) {
        let key = Arc::from(format!("key-{}", self.rng.random_range(0..6)));
        let len = *[1, 400, 3000, 40_000].choose(&mut self.rng).unwrap();
        let offset = self.log.len() as u64;
        let is_removed = self.rng.random_ratio(1, 4);
        let byte = (offset + 31 * self.timeline) as u8;
        let value = (!is_removed).then(|| Bytes::from(vec![byte; len]));
        self.log.push(Record { key, offset, value });
    }

    /// The log loses its last records; later records get their offsets.
    fn restore(&mut self) {
        let lost = self.rng.random_range(0..=self.log.len());
        self.log.truncate(self.log.len() - lost);
        self.retained_from = self.retained_from.min(self.log.len() as u64);
        self.timeline += 1;
    }

    /// A restarted instance has an empty copy.
    fn restart(&mut self) {
        let idx = self.rng.random_range(0..self.copies.len());
        self.copies[idx] = Default::default();
    }

    fn read(&mut self) {
        let idx = self.rng.random_range(0..READERS);
        self.read_into(idx);
    }

    fn read_into(&mut self, idx: usize) {
        let newest = self.newest();
        // A new timeline needs a listing first, then the log from where the timelines diverge.
        for _ in 0..3 {
            if !self.copies[idx].0.is_loaded() || self.copies[idx].0.position() != newest {
                self.read_once(idx);
            }
        }
    }

    fn newest(&self) -> Position {
        Position { timeline: Timeline(self.timeline), offset: self.log.len() as u64 }
    }

    fn read_once(&mut self, idx: usize) {
        let (table, end) = (&mut self.copies[idx].0, self.log.len() as u64);
        let timeline = Timeline(self.timeline);
        let is_same = table.position().timeline == timeline;
        if table.is_loaded() && is_same && table.end() >= self.retained_from {
            let records = self.log[table.end() as usize..].to_vec();
            table.apply_changes(records, end);
            return;
        }
        let newest: BTreeMap<_, _> =
            self.log.iter().map(|record| (record.key.clone(), record.clone())).collect();
        let values = newest.into_values().filter(|record| record.value.is_some());
        table.apply_listing(values.collect(), Position { timeline, offset: end });
    }

    fn sync_two(&mut self) {
        let (from, to) = (self.rng.random_range(0..5), self.rng.random_range(0..5));
        let source = self.copies[from].0.clone();
        let (table, catch_up) = &mut self.copies[to];
        step(catch_up, table, &source);
    }
}
