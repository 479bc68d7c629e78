#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use expect_test::{Expect, expect};
use peatdeck_client::{
    http,
    log::{Client, Error, Range},
};
use peatdeck_core::record::{Offset, Stream};

use crate::support::{self, Server};

/// Placeholder for errors that contain no address.
const NO_ADDR: &str = "(no address)";
const LIMIT: Duration = Duration::from_secs(10);

async fn append(addr: &str) -> Result<Offset, Error> {
    let client = Client::new(support::client().await, Arc::from(addr));
    client.append(Stream::Claims, &7, LIMIT).await
}

async fn read(body: &str) -> Result<String, Error> {
    let server = Server::start(vec![vec![support::response("200 OK", body)]]);
    let client = Client::new(support::client().await, Arc::from(&*server.addr));
    let range = Range { from: 3, max: 10, wait: Duration::ZERO };
    let batch = client.read::<u32>(Stream::Config, range).await?;
    let records: Vec<_> = batch.entries.iter().map(|entry| (entry.offset, entry.record)).collect();
    Ok(format!("{} {} {records:?}", batch.earliest, batch.next))
}

fn check_error<T: std::fmt::Debug>(addr: &str, result: Result<T, Error>, expected: Expect) {
    let error = result.unwrap_err();
    let is_unsent = matches!(&error, Error::Http(error) if http::Error::is_unsent(error));
    let text = error.to_string().replace(addr, "ADDR");
    expected.assert_eq(&format!("{text} (unsent: {is_unsent})"));
}

#[ntex::test]
async fn an_append_returns_its_offset() {
    let server = Server::start(vec![vec![support::response("200 OK", r#"{"offset":42}"#)]]);
    assert_eq!(append(&server.addr).await.unwrap(), 42);
    expect![[r#"{"data":"7"}"#]].assert_eq(&server.requests().await[0]);
}

#[ntex::test]
async fn an_append_that_was_not_sent_is_reported_as_unsent() {
    let addr = support::unused_addr();
    check_error(
        &addr,
        append(&addr).await,
        expect![
            "log: no connection to ADDR: Connection refused (os error 111); check the address and that the service runs (unsent: true)"
        ],
    );
}

#[ntex::test]
async fn a_lost_acknowledgement_may_have_taken_effect() {
    let server = Server::start(vec![vec![]]);
    check_error(
        &server.addr,
        append(&server.addr).await,
        expect![
            "log: the connection to ADDR was cut: Failed to connect to host: Connector has been disconnected; the request may have taken effect (unsent: false)"
        ],
    );
}

#[ntex::test]
async fn an_append_over_the_rate_is_refused() {
    let server = Server::start(vec![vec![support::response("429 Too Many Requests", "")]]);
    check_error(
        &server.addr,
        append(&server.addr).await,
        expect!["log: ADDR refused with status 429; try again later (unsent: false)"],
    );
}

#[ntex::test]
async fn a_read_returns_records_and_the_next_offset() {
    let body = r#"{"earliest":3,"next":5,"now_ms":9,"records":[
        {"offset":3,"time_ms":1,"data":"30"},{"offset":4,"time_ms":2,"data":"40"}]}"#;
    expect!["3 5 [(3, 30), (4, 40)]"].assert_eq(&read(body).await.unwrap());
}

#[ntex::test]
async fn a_record_that_is_not_json_is_skipped() {
    let body = r#"{"earliest":3,"next":5,"now_ms":9,"records":[
        {"offset":3,"time_ms":1,"data":"noise"},{"offset":4,"time_ms":2,"data":"40"}]}"#;
    expect!["3 5 [(4, 40)]"].assert_eq(&read(body).await.unwrap());
}

#[ntex::test]
async fn a_record_of_another_version_stops_the_read_and_is_named() {
    let body = r#"{"earliest":0,"next":5,"now_ms":9,"records":[
        {"offset":4,"time_ms":2,"data":"[30]"}]}"#;
    let result = read(body).await;
    check_error(
        NO_ADDR,
        result,
        expect![
            "record 4 of peatdeck-config is unreadable (invalid type: sequence, expected u32 at line 1 column 0); upgrade this instance to the version that wrote it (unsent: false)"
        ],
    );
}

/// An instance that is far behind receives megabytes in one read. A time limit on
/// the whole response would abort the same read at every attempt.
#[ntex::test]
async fn a_read_that_makes_progress_does_not_time_out() {
    let pieces =
        [r#"{"earliest":"#, "0", r#","next":"#, "5", r#","now_ms":"#, "9", r#","records":[]}"#];
    let reply = support::chunked(&pieces);
    let server = Server::with_pauses(vec![reply], Duration::from_millis(500));
    let client = Client::new(support::client().await, Arc::from(&*server.addr));
    let range = Range { from: 0, max: 10, wait: Duration::ZERO };
    assert_eq!(client.read::<u32>(Stream::Config, range).await.unwrap().next, 5);
}
