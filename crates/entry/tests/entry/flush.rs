//! A response counts as pending until its last byte is written to the connection.

use std::{rc::Rc, time::Duration};

use ntex::{
    io::{Io, testing::IoTest},
    service::cfg::SharedCfg,
};
use peatdeck_entry::flush::FlushTracker;

/// Long enough for slow machines; a wait that succeeds ends at once.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A connection whose other side does not accept data yet.
fn connection() -> (Io, IoTest) {
    let (near, far) = IoTest::create();
    far.remote_buffer_cap(0);
    (Io::new(near, SharedCfg::default()), far)
}

#[ntex::test]
async fn without_responses_the_wait_ends_at_once() {
    assert!(FlushTracker::default().wait(TIMEOUT).await);
}

#[ntex::test]
async fn an_unfinished_response_is_waited_for() {
    let flush = Rc::new(FlushTracker::default());
    let response = flush.track(None);
    assert!(!flush.wait(Duration::ZERO).await);
    drop(response);
    assert!(flush.wait(TIMEOUT).await);
}

#[ntex::test]
async fn a_response_in_the_write_buffer_is_waited_for() {
    let flush = Rc::new(FlushTracker::default());
    let (near, far) = connection();
    let response = flush.track(Some(near.get_ref()));
    near.encode_slice(b"answer").unwrap();
    drop(response);
    assert!(!flush.wait(Duration::ZERO).await);
    far.remote_buffer_cap(1024);
    assert!(flush.wait(TIMEOUT).await);
    assert_eq!(far.read().await.unwrap(), b"answer"[..]);
}

#[ntex::test]
async fn a_connection_that_closed_is_not_waited_for() {
    let flush = Rc::new(FlushTracker::default());
    let (near, far) = connection();
    let response = flush.track(Some(near.get_ref()));
    near.encode_slice(b"answer").unwrap();
    drop(response);
    far.close().await;
    assert!(flush.wait(TIMEOUT).await);
}
