//! One ntex system for all tests of a process.
//!
//! A test of its own with a system, and a few servers with one each, ends as
//! many systems as it began. The heap is damaged now and then where many of
//! them end in one process, which the shipped programs never do: each has one,
//! and ends with it. Tests therefore share one that runs as long as the process
//! does, and so do the servers that they start.

use std::{
    any::Any,
    io,
    net::{SocketAddr, TcpListener},
    panic::AssertUnwindSafe,
    sync::{OnceLock, mpsc as sync},
    thread,
};

use futures::{FutureExt, StreamExt, channel::mpsc, future::LocalBoxFuture};
use ntex::{rt, server::Server};

type Test = Box<dyn FnOnce() -> LocalBoxFuture<'static, ()> + Send>;

/// A server of a test, which runs as long as the process does.
#[derive(Debug)]
pub struct Served {
    addr: SocketAddr,
}

impl Served {
    /// Starts a server on a free port.
    ///
    /// # Panics
    /// If there is none.
    pub fn start(start: impl FnOnce(TcpListener) -> io::Result<Server>) -> Served {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("it is bound");
        rt::spawn(start(listener).expect("the port can be listened on"));
        Served { addr }
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Runs a test on the system that all share.
///
/// # Panics
/// If the test does.
pub fn run<F: Future<Output = ()> + 'static>(test: impl FnOnce() -> F + Send + 'static) {
    let (done, ended) = sync::channel();
    let test: Test = Box::new(move || {
        let guarded = AssertUnwindSafe(async move { test().await }).catch_unwind();
        // The test's thread waits for as long as it takes.
        guarded.map(move |end| drop(done.send(end))).boxed_local()
    });
    system().unbounded_send(test).expect("the system runs as long as the process");
    if let Err(panic) = ended.recv().expect("the system runs as long as the process") {
        panic!("{}", message(&*panic));
    }
}

/// What a test said when it panicked.
fn message(panic: &dyn Any) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no message")
}

fn system() -> &'static mpsc::UnboundedSender<Test> {
    static SYSTEM: OnceLock<mpsc::UnboundedSender<Test>> = OnceLock::new();
    SYSTEM.get_or_init(|| {
        let (tests, mut queue) = mpsc::unbounded::<Test>();
        thread::spawn(move || {
            let system = rt::System::build().testing().build(rt::DefaultRuntime);
            system.block_on(async move {
                while let Some(test) = queue.next().await {
                    rt::spawn(test());
                }
            });
        });
        tests
    })
}
