//! One ntex system that all tests of a process share.
//!
//! If each test and each of its servers had its own system, many systems would
//! end in one process, which occasionally corrupts the heap. The shipped
//! programs are not affected: each has one system and exits with it. Tests
//! therefore share one system that runs as long as the process, and so do the
//! servers that they start.

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

/// A server of a test; it runs until the process ends.
#[derive(Debug)]
pub struct Served {
    addr: SocketAddr,
}

impl Served {
    /// Starts a server on a free port.
    ///
    /// # Panics
    /// If no port is free, or the server cannot be started.
    pub fn start(start: impl FnOnce(TcpListener) -> io::Result<Server>) -> Served {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("it is bound");
        rt::spawn(start(listener).expect("the port can be listened on"));
        Served { addr }
    }

    /// The address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Runs a test on the shared system.
///
/// # Panics
/// If the test panics.
pub fn run<F: Future<Output = ()> + 'static>(test: impl FnOnce() -> F + Send + 'static) {
    let (done, ended) = sync::channel();
    let test: Test = Box::new(move || {
        let guarded = AssertUnwindSafe(async move { test().await }).catch_unwind();
        // The receiver is not dropped before: the test's thread waits without a timeout.
        guarded.map(move |end| drop(done.send(end))).boxed_local()
    });
    system().unbounded_send(test).expect("the system runs as long as the process");
    if let Err(panic) = ended.recv().expect("the system runs as long as the process") {
        panic!("{}", message(&*panic));
    }
}

/// The message of a panic.
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
