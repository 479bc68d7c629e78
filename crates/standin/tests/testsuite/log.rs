//! The log service over HTTP, with and without faults.

#![allow(clippy::unwrap_used)]

use futures::future;
use ntex::time;
use peatdeck_standin::{
    faults::{Expire, LogFaults, LoseBy},
    log::LogState,
};
use peatdeck_test_support::{
    error::Result,
    http::Reply,
    wait::{self, TIMEOUT},
};
use peatdeck_wire::platform::{AppendBody, AppendReply, ReadReply};

use crate::support::Standin;

const PATH: &str = "/v1/streams/a/records";

async fn start() -> Standin {
    Standin::start(&["log", "--rate", "0"]).await
}

impl Standin {
    async fn append(&self, data: &str) -> Result<Reply> {
        self.http.post(&self.addr, PATH, &AppendBody { data: data.into() }).await
    }

    async fn append_ok(&self, data: &str) -> u64 {
        let reply = self.append(data).await.unwrap();
        assert_eq!(reply.status, 200);
        reply.json::<AppendReply>().unwrap().offset
    }

    async fn read(&self, from: u64, wait_ms: u64) -> Reply {
        let path = format!("{PATH}?from={from}&max=1000&wait_ms={wait_ms}");
        self.http.get(&self.addr, &path).await.unwrap()
    }

    async fn data(&self) -> Vec<String> {
        let read: ReadReply = self.read(0, 0).await.json().unwrap();
        read.records.iter().map(|record| record.data.to_string()).collect()
    }

    async fn log_state(&self) -> LogState {
        self.http.get_json(&self.addr, "/control/state").await.unwrap()
    }
}

#[ntex::test]
async fn concurrent_appends_leave_no_gap() {
    let log = start().await;
    let data: Vec<String> = (0..50).map(|idx| idx.to_string()).collect();
    let mut offsets = future::join_all(data.iter().map(|data| log.append_ok(data))).await;
    offsets.sort_unstable();
    assert_eq!(offsets, (0..50).collect::<Vec<u64>>());
    let read: ReadReply = log.read(0, 0).await.json().unwrap();
    assert!(read.records.iter().map(|record| record.offset).eq(0..50));
    assert_eq!((read.earliest, read.next), (0, 50));
}

#[ntex::test]
async fn a_waiting_read_wakes_on_the_append() {
    let log = start().await;
    let read = log.read(0, 60_000);
    let append = async {
        let waits = async || (log.log_state().await.counts.waiting == 1).then_some(());
        wait::until("a waiting read", TIMEOUT, waits).await.unwrap();
        log.append_ok("x").await
    };
    let both = time::timeout(TIMEOUT, future::join(read, append)).await;
    let (read, _) = both.expect("the append ends the read before its own limit");
    assert_eq!(read.json::<ReadReply>().unwrap().records.len(), 1);
}

#[ntex::test]
async fn a_waiting_read_ends_empty_at_its_limit() {
    let log = start().await;
    log.append_ok("x").await;
    let read: ReadReply = log.read(1, 20).await.json().unwrap();
    assert_eq!((read.earliest, read.next, read.records.len()), (0, 1, 0));
}

#[ntex::test]
async fn appends_over_the_rate_are_refused_and_leave_nothing() {
    let log = Standin::start(&["log", "--rate", "1", "--burst", "2"]).await;
    let mut accepted = 0;
    let refused = loop {
        let reply = log.append("x").await.unwrap();
        if reply.status != 200 {
            break reply.status;
        }
        accepted += 1;
        assert!(accepted < 100, "no append was refused");
    };
    assert_eq!(refused, 429);
    assert_eq!(log.data().await.len(), accepted);
}

#[ntex::test]
async fn an_append_with_a_lost_response_leaves_the_record() {
    let log = start().await;
    log.set_faults(&LogFaults { lose_appends: 1, ..LogFaults::default() }).await;
    assert!(log.append("lost").await.is_err());
    assert_eq!(log.append_ok("kept").await, 1);
    assert_eq!(log.data().await, ["lost", "kept"]);
}

#[ntex::test]
async fn a_lost_response_can_be_an_error() {
    let log = start().await;
    let faults = LogFaults { lose_appends: 1, lose_by: LoseBy::Error, ..LogFaults::default() };
    log.set_faults(&faults).await;
    assert_eq!(log.append("lost").await.unwrap().status, 500);
    assert_eq!(log.data().await, ["lost"]);
}

#[ntex::test]
async fn a_dropped_append_leaves_nothing() {
    let log = start().await;
    log.set_faults(&LogFaults { drop_appends: 1, ..LogFaults::default() }).await;
    assert!(log.append("dropped").await.is_err());
    assert_eq!(log.append_ok("kept").await, 0);
    assert_eq!(log.data().await, ["kept"]);
}

#[ntex::test]
async fn a_lost_append_can_take_effect_after_later_ones() {
    let log = start().await;
    let faults = LogFaults { lose_appends: 1, land_ms: 3_000, ..LogFaults::default() };
    log.set_faults(&faults).await;
    assert!(log.append("late").await.is_err());
    log.append_ok("early").await;
    let landed = async || Some(log.data().await).filter(|data| data.len() == 2);
    let data = wait::until("the late record", TIMEOUT, landed).await.unwrap();
    assert_eq!(data, ["early", "late"]);
}

#[ntex::test]
async fn losses_affect_only_the_configured_stream() {
    let log = start().await;
    let faults = LogFaults { lose_appends: 1, stream: Some("b".into()), ..LogFaults::default() };
    log.set_faults(&faults).await;
    assert_eq!(log.append_ok("x").await, 0);
}

#[ntex::test]
async fn random_losses_repeat_with_their_seed() {
    let log = start().await;
    let mut rounds = Vec::new();
    for _ in 0..2 {
        log.set_faults(&LogFaults { lose_chance: 0.5, seed: 7, ..LogFaults::default() }).await;
        let mut lost = Vec::new();
        for _ in 0..20 {
            lost.push(log.append("x").await.is_err());
        }
        rounds.push(lost);
    }
    assert_eq!(rounds[0], rounds[1]);
    assert!(rounds[0].contains(&true) && rounds[0].contains(&false));
}

#[ntex::test]
async fn an_outage_ends_waiting_reads_and_keeps_the_records() {
    let log = start().await;
    log.append_ok("x").await;
    let read = log.read(1, 60_000);
    let outage = async {
        let waits = async || (log.log_state().await.counts.waiting == 1).then_some(());
        wait::until("a waiting read", TIMEOUT, waits).await.unwrap();
        log.set_faults(&LogFaults { outage: true, ..LogFaults::default() }).await;
    };
    let both = time::timeout(TIMEOUT, future::join(read, outage)).await;
    let (read, ()) = both.expect("the outage ends the read before its own limit");
    assert_eq!(read.status, 503);
    assert_eq!(log.append("y").await.unwrap().status, 503);
    log.set_faults(&LogFaults::default()).await;
    assert_eq!(log.data().await, ["x"]);
}

#[ntex::test]
async fn reads_and_appends_can_fail_separately() {
    let log = start().await;
    log.set_faults(&LogFaults { reject_appends: true, ..LogFaults::default() }).await;
    assert_eq!(log.append("x").await.unwrap().status, 503);
    assert_eq!(log.read(0, 0).await.status, 200);
    log.set_faults(&LogFaults { reject_reads: true, ..LogFaults::default() }).await;
    assert_eq!(log.append("x").await.unwrap().status, 200);
    assert_eq!(log.read(0, 0).await.status, 503);
}

#[ntex::test]
async fn a_read_from_an_expired_offset_starts_at_the_earliest() {
    let log = start().await;
    for data in ["x", "y", "z"] {
        log.append_ok(data).await;
    }
    let expire = vec![Expire { stream: "a".into(), before: 2 }];
    log.set_faults(&LogFaults { expire, ..LogFaults::default() }).await;
    let read: ReadReply = log.read(0, 0).await.json().unwrap();
    assert_eq!((read.earliest, read.next), (2, 3));
    assert_eq!(&*read.records[0].data, "z");
}
