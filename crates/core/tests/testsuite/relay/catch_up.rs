//! Copies that learn from each other in portions.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use peatdeck_core::relay::{
    catch_up::{CatchUp, PortionEffect},
    position::{Position, Timeline},
    table::{Record, Table},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

/// Bytes of a portion.
const PORTION: usize = 1000;
/// Bytes of a value that needs many portions.
const LARGE: usize = 50_000;

fn record(key: &str, offset: u64, value: Vec<u8>) -> Record {
    Record { key: Arc::from(key), offset, value: Some(Bytes::from(value)) }
}

/// A copy that was read whole while the log ended at `end`.
fn table(records: Vec<Record>, end: u64) -> Table {
    let mut table = Table::default();
    table.replace(records, end);
    table
}

/// A copy that knows a small first version of a configuration.
fn first() -> Table {
    table(vec![record("config", 0, b"1".to_vec())], 1)
}

/// The same with a large second version.
fn second() -> Table {
    let mut table = first();
    table.apply_changes(vec![record("config", 1, vec![2; LARGE])], 2);
    table
}

fn step(catch_up: &mut CatchUp, table: &mut Table, teller: &Table) -> (PortionEffect, usize) {
    let portion = teller.read_portion(&catch_up.next_request(table), PORTION);
    let bytes = portion.bytes();
    (catch_up.apply(table, portion), bytes)
}

#[test]
fn no_answer_is_larger_than_its_limit() {
    let (mut table, mut catch_up, teller) = (first(), CatchUp::default(), second());
    let (mut bytes, mut answers) = (0, 0);
    while table.end() < 2 {
        let (_, came) = step(&mut catch_up, &mut table, &teller);
        assert!(came <= PORTION, "{came}");
        (bytes, answers) = (bytes + came, answers + 1);
    }
    assert_eq!((bytes, answers), (LARGE, LARGE / PORTION));
}

#[test]
fn what_has_come_of_a_record_is_kept_whoever_tells_the_rest() {
    let (mut table, mut catch_up) = (first(), CatchUp::default());
    let tellers = [second(), second(), second()];
    let mut bytes = 0;
    for teller in tellers.iter().cycle() {
        let (learned, came) = step(&mut catch_up, &mut table, teller);
        bytes += came;
        if learned.is_caught_up {
            break;
        }
    }
    assert_eq!((table.end(), bytes), (2, LARGE));
}

/// Changes that come faster than one of them gets through.
#[test]
fn a_record_that_is_replaced_on_the_way_still_arrives() {
    let (mut table, mut catch_up, mut teller) = (first(), CatchUp::default(), second());
    let mut arrived = Vec::new();
    for round in 0..300 {
        let (learned, _) = step(&mut catch_up, &mut table, &teller);
        arrived.extend(learned.changed.iter().map(|record| record.offset));
        if round % 20 == 0 {
            let end = teller.end();
            teller.apply_changes(vec![record("config", end, vec![3; LARGE])], end + 1);
        }
    }
    // Fifty rounds each; meanwhile two or three newer ones have come.
    assert_eq!(arrived, [1, 4, 6, 9, 11, 14]);
}

#[test]
fn a_listing_goes_on_with_a_copy_of_the_same_base_only() {
    let records =
        |count: u64| (0..count).map(|idx| record(&format!("key-{idx}"), idx, vec![0; 300]));
    let (one, two) = (table(records(10).collect(), 10), table(records(10).collect(), 10));
    // Read whole later, when one key was gone and nothing said so any more.
    let later = table(records(10).skip(1).collect(), 12);

    let (mut asker, mut catch_up) = (Table::default(), CatchUp::default());
    step(&mut catch_up, &mut asker, &one);
    let (learned, _) = step(&mut catch_up, &mut asker, &later);
    assert!(learned.has_more && !asker.is_loaded());
    while !asker.is_loaded() {
        step(&mut catch_up, &mut asker, &later);
    }
    assert_eq!(asker.end(), 12);
    assert_eq!(held(&asker).len(), 9);

    let (mut asker, mut catch_up) = (Table::default(), CatchUp::default());
    let mut answers = 0;
    for teller in [&one, &two].into_iter().cycle() {
        answers += 1;
        if step(&mut catch_up, &mut asker, teller).0.is_caught_up {
            break;
        }
    }
    assert_eq!((answers, held(&asker).len()), (4, 10));
}

/// The copy was read whole after a key had been removed, so it has never heard
/// of either. The listing began before that.
#[test]
fn a_listing_that_was_overtaken_is_dropped() {
    let mut teller =
        table(vec![record("gone", 0, vec![0; 600]), record("kept", 1, vec![1; 600])], 2);
    let (mut asker, mut catch_up) = (Table::default(), CatchUp::default());
    step(&mut catch_up, &mut asker, &teller);
    asker.replace(vec![record("kept", 1, vec![1; 600])], 9);
    let (learned, _) = step(&mut catch_up, &mut asker, &teller);
    assert!(learned.changed.is_empty());
    assert_eq!((asker.end(), held(&asker).len()), (9, 1));
    teller.apply_changes(vec![record("new", 9, vec![9])], 10);
    step(&mut catch_up, &mut asker, &teller);
    assert_eq!((asker.end(), held(&asker).len()), (10, 2));
}

/// What a copy holds, as it tells it to one that knows nothing.
fn held(table: &Table) -> BTreeMap<Arc<str>, Bytes> {
    let ask = CatchUp::default().next_request(&Table::default());
    let records = table.read_portion(&ask, usize::MAX).records.into_iter();
    records.filter_map(|record| Some((record.key, record.value?))).collect()
}

/// A log, copies that follow it now and then, and some that only learn from
/// others, in any order, from whomever, in small portions. In the end all hold
/// what the log says.
#[test]
fn whoever_learns_from_whom_all_agree_in_the_end() {
    for seed in 0..200 {
        World::new(seed).play();
    }
}

/// The same with a log that comes back from older copies of its own.
#[test]
fn all_agree_in_the_end_on_a_log_that_came_back_older() {
    for seed in 1000..1200 {
        let mut world = World::new(seed);
        world.restores = true;
        world.play();
    }
}

struct World {
    rng: SmallRng,
    log: Vec<Record>,
    /// From here on the log is kept.
    kept: u64,
    timeline: u64,
    /// Whether the log comes back from older copies.
    restores: bool,
    copies: Vec<(Table, CatchUp)>,
}

/// Copies that read the log themselves; the others only learn.
const READERS: usize = 2;

impl World {
    fn new(seed: u64) -> World {
        let copies = (0..5).map(|_| Default::default()).collect();
        let rng = SmallRng::seed_from_u64(seed);
        World { rng, log: Vec::new(), kept: 0, timeline: 0, restores: false, copies }
    }

    fn play(&mut self) {
        for _ in 0..300 {
            match self.rng.random_range(0..20) {
                0..3 => self.write(),
                3 => self.kept = self.log.len() as u64,
                4 => self.restart(),
                5 if self.restores && self.rng.random_ratio(1, 3) => self.restore(),
                5..8 => self.read(),
                _ => self.learn(),
            }
        }
        (0..READERS).for_each(|idx| self.read_into(idx));
        let newest = self.newest();
        assert!(self.copies[..READERS].iter().all(|(table, _)| table.position() == newest));
        for idx in READERS..self.copies.len() {
            let teller = self.copies[0].0.clone();
            let (table, catch_up) = &mut self.copies[idx];
            // Twice, since a listing that another copy began may have to begin anew.
            let steps = (0..2000).map(|_| step(catch_up, table, &teller).0.is_caught_up);
            assert!(steps.filter(|is_level| *is_level).take(2).count() == 2);
        }
        let newest: BTreeMap<_, _> =
            self.log.iter().map(|record| (record.key.clone(), record.value.clone())).collect();
        let newest: BTreeMap<_, _> =
            newest.into_iter().filter_map(|(key, value)| Some((key, value?))).collect();
        // A value is a byte of its offset and timeline, repeated: the first one and
        // the length say all.
        let short = |held: BTreeMap<Arc<str>, Bytes>| -> Vec<(Arc<str>, u8, usize)> {
            held.into_iter().map(|(key, value)| (key, value[0], value.len())).collect()
        };
        let newest = short(newest);
        for (idx, (table, _)) in self.copies.iter().enumerate() {
            assert_eq!(short(held(table)), newest, "copy {idx}");
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

    /// The last records are lost, and others get their offsets.
    fn restore(&mut self) {
        let lost = self.rng.random_range(0..=self.log.len());
        self.log.truncate(self.log.len() - lost);
        self.kept = self.kept.min(self.log.len() as u64);
        self.timeline += 1;
    }

    /// An instance that starts again knows nothing.
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
        // A copy of a later timeline is read whole, and the log from where it parted.
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
        if table.is_loaded() && is_same && table.end() >= self.kept {
            let records = self.log[table.end() as usize..].to_vec();
            table.apply_changes(records, end);
            return;
        }
        let newest: BTreeMap<_, _> =
            self.log.iter().map(|record| (record.key.clone(), record.clone())).collect();
        let values = newest.into_values().filter(|record| record.value.is_some());
        table.apply_listing(values.collect(), Position { timeline, offset: end });
    }

    fn learn(&mut self) {
        let (from, to) = (self.rng.random_range(0..5), self.rng.random_range(0..5));
        let teller = self.copies[from].0.clone();
        let (table, catch_up) = &mut self.copies[to];
        step(catch_up, table, &teller);
    }
}
