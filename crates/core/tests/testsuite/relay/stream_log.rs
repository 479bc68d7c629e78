//! Streams that begin while a service has several versions are appended to the store's log.

use std::{collections::HashSet, time::Duration};

use peatdeck_core::relay::{
    model::Action,
    streams::{StreamId, StreamRecord},
};

use super::{
    fixture::{World, ms},
    stream_versions::{begin, new, remove_version, versioned, world},
};

/// What the store is asked to append.
fn logged(world: &mut World) -> Vec<StreamRecord> {
    let logs = world.take(|action| match action {
        Action::LogStreams(records) => Some(records.clone()),
        _ => None,
    });
    logs.into_iter().flatten().collect()
}

#[test]
fn streams_are_logged_while_several_versions_serve() {
    let mut world = world(7);
    let (_, call) = begin(&mut world, new("1"));
    world.advance(ms(200));
    let stream = StreamId::new(Some("one"), "1");
    assert_eq!(logged(&mut world), [StreamRecord { stream, version: call.software.clone() }]);
    world.advance(ms(200));
    assert_eq!(logged(&mut world), []);
}

#[test]
fn streams_from_before_a_second_version_are_logged_when_it_comes() {
    let mut world = world(3);
    remove_version(&mut world, "v2");
    world.advance(ms(70_000));
    world.relay.on_versions_listed(world.now, &"desk".into(), ["v1".into()].into());
    let (broken, _) = begin(&mut world, new("1"));
    world.disconnect(broken);
    begin(&mut world, new("2"));
    world.advance(ms(1000));
    assert_eq!(logged(&mut world), []);
    world.put(versioned("e", "v3"));
    world.advance(ms(1000));
    assert_eq!(logged(&mut world).len(), 2);
}

#[test]
fn streams_that_could_not_be_logged_are_logged_later() {
    let mut world = world(0);
    begin(&mut world, new("1"));
    world.advance(ms(200));
    let lost = logged(&mut world);
    world.relay.on_streams_appended(world.now, lost.clone());
    world.advance(ms(900));
    assert_eq!(logged(&mut world), [], "a store that is away is not asked all the time");
    world.advance(ms(100));
    assert_eq!(logged(&mut world), lost);
}

#[test]
fn streams_that_begin_during_an_append_are_logged_by_the_next_one() {
    let mut world = world(0);
    begin(&mut world, new("1"));
    world.advance(ms(200));
    assert_eq!(logged(&mut world).len(), 1);
    for id in ["2", "3"] {
        begin(&mut world, new(id));
        world.advance(ms(200));
        assert_eq!(logged(&mut world), []);
    }
    world.relay.on_streams_appended(world.now, Vec::new());
    world.advance(ms(1));
    assert_eq!(logged(&mut world).len(), 2);
}

/// A log that appends one call after the other, and refuses those that would wait too long.
#[derive(Default)]
struct SlowLog {
    idle_at: Duration,
    /// The streams, and when they are there.
    streams: Vec<(Duration, StreamId)>,
    /// When which instance is told what could not be appended.
    answers: Vec<(Duration, usize, Vec<StreamRecord>)>,
}

impl SlowLog {
    const APPEND_TIME: Duration = Duration::from_millis(100);
    const ANSWER_TIME: Duration = Duration::from_millis(200);
    const MAX_WAIT: Duration = Duration::from_secs(2);

    fn append(&mut self, now: Duration, instance: usize, records: Vec<StreamRecord>) {
        if self.idle_at > now + SlowLog::MAX_WAIT {
            self.answers.push((now + SlowLog::ANSWER_TIME, instance, records));
            return;
        }
        self.idle_at = self.idle_at.max(now) + SlowLog::APPEND_TIME;
        self.streams.extend(records.iter().map(|record| (self.idle_at, record.stream)));
        self.answers.push((self.idle_at + SlowLog::ANSWER_TIME, instance, Vec::new()));
    }

    fn due_answers(&mut self, now: Duration) -> Vec<(usize, Vec<StreamRecord>)> {
        let due = self.answers.extract_if(.., |(at, ..)| *at <= now);
        due.map(|(_, instance, failed)| (instance, failed)).collect()
    }
}

/// Eight instances that begin a stream every 60 ms each fill the log of a store which appends
/// ten times a second.
#[test]
fn streams_reach_the_log_of_a_slow_store_within_two_seconds() {
    const INSTANCES: usize = 8;
    const STEP: Duration = Duration::from_millis(20);
    let mut worlds: Vec<_> = (0..INSTANCES).map(|_| world(INSTANCES - 1)).collect();
    let mut log = SlowLog::default();
    let mut begun = Vec::new();
    for step in 0..300 {
        let now = STEP * step;
        for (instance, failed) in log.due_answers(now) {
            worlds[instance].relay.on_streams_appended(now, failed);
        }
        for (instance, world) in worlds.iter_mut().enumerate() {
            if step % 3 == 0 {
                let id = format!("{instance}-{step}");
                let (exchange, _) = begin(world, new(&id));
                world.disconnect(exchange);
                begun.push((now, StreamId::new(Some("one"), &id)));
            }
            world.advance(STEP);
            let records = logged(world);
            if !records.is_empty() {
                log.append(now, instance, records);
            }
        }
    }
    let end = STEP * 300;
    let there = log.streams.iter().filter(|(at, _)| *at <= end);
    let there: HashSet<_> = there.map(|(_, stream)| stream.short()).collect();
    let old = begun.iter().filter(|(at, _)| *at + Duration::from_secs(2) <= end);
    let missing = old.filter(|(_, stream)| !there.contains(&stream.short())).count();
    assert_eq!(missing, 0);
}

#[test]
fn the_oldest_streams_are_dropped_when_too_many_wait_after_a_failure() {
    const MAX_WAITING: usize = 20_000;
    let mut world = world(0);
    for idx in 0..MAX_WAITING {
        let (exchange, _) = begin(&mut world, new(&format!("old-{idx}")));
        world.disconnect(exchange);
    }
    world.advance(ms(200));
    let failed = logged(&mut world);
    begin(&mut world, new("new"));
    world.relay.on_streams_appended(world.now, failed);
    world.advance(ms(1100));
    let newest = logged(&mut world).last().map(|record| record.stream);
    assert_eq!(newest, Some(StreamId::new(Some("one"), "new")));
}
