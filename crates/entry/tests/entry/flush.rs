//! A response counts until its last byte has left.

use std::{rc::Rc, time::Duration};

use ntex::{
    io::{Io, testing::IoTest},
    service::cfg::SharedCfg,
};
use peatdeck_entry::flush::FlushTracker;

/// Long enough to pass on any machine; a wait that ends does so at once.
const LONG: Duration = Duration::from_secs(60);

/// A connection whose other side takes nothing yet.
fn connection() -> (Io, IoTest) {
    let (near, far) = IoTest::create();
    far.remote_buffer_cap(0);
    (Io::new(near, SharedCfg::default()), far)
}

#[ntex::test]
async fn without_responses_there_is_nothing_to_wait_for() {
    assert!(FlushTracker::default().wait(LONG).await);
}

#[ntex::test]
async fn a_response_in_the_making_is_waited_for() {
    let flush = Rc::new(FlushTracker::default());
    let response = flush.track(None);
    assert!(!flush.wait(Duration::ZERO).await);
    drop(response);
    assert!(flush.wait(LONG).await);
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
    assert!(flush.wait(LONG).await);
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
    assert!(flush.wait(LONG).await);
}
