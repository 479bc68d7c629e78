//! Background load: callers that send requests to ready entries, as a load
//! balancer would.

use std::{cell::Cell, cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use ntex::{rt, time};
use peatdeck_test_support::{
    callers::{Caller, CallerResponse},
    fixture,
    http::Http,
};
use peatdeck_wire::caller::RequestBody;

use crate::support::Bench;

/// Interval of the balancer's readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// Callers that send requests until [`Load::finish`].
pub struct Load {
    shared: Rc<Shared>,
    callers: Vec<rt::JoinHandle<()>>,
}

/// Kind of requests that a load sends, and number of callers.
#[derive(Clone, Copy)]
pub struct Work {
    pub pipeline: &'static str,
    /// Prefix of the requests' ids.
    pub prefix: &'static str,
    pub idempotent: bool,
    pub callers: usize,
    pub deadline_ms: i64,
}

struct Shared {
    addrs: RefCell<BTreeMap<String, String>>,
    ready: RefCell<Vec<String>>,
    stop: Cell<bool>,
    count: Cell<usize>,
    caller: Caller,
    http: Http,
    work: Work,
}

impl Load {
    /// Starts callers that spread their requests over all ready entries of a system.
    pub async fn start(bench: &Bench, work: Work) -> Load {
        let shared = Rc::new(Shared {
            addrs: RefCell::default(),
            ready: RefCell::default(),
            stop: Cell::new(false),
            count: Cell::new(0),
            caller: bench.callers.caller(),
            http: bench.system.http.clone(),
            work,
        });
        let load = Load { shared: shared.clone(), callers: Vec::new() };
        load.update_addrs(bench);
        shared.update_ready().await;
        rt::spawn(balance(shared.clone())).detach();
        let callers = (0..work.callers).map(|_| rt::spawn(call(shared.clone()))).collect();
        Load { callers, ..load }
    }

    /// Updates the addresses after an entry was restarted.
    pub fn update_addrs(&self, bench: &Bench) {
        let entries = bench.system.entries().into_iter();
        let addr = |name: String| (name.clone(), bench.system.addr(&name).unwrap().to_owned());
        *self.shared.addrs.borrow_mut() = entries.map(addr).collect();
    }

    /// Waits until `count` more requests have been started.
    pub async fn wait_more(&self, count: usize) {
        let until = self.shared.count.get() + count;
        let poll = async || (self.shared.count.get() >= until).then_some(());
        let what = format!("{count} more requests of the load");
        peatdeck_test_support::wait::until(&what, Duration::from_secs(60), poll).await.unwrap();
    }

    /// Stops the callers and waits for their current requests.
    pub async fn finish(self) {
        self.shared.stop.set(true);
        for caller in self.callers {
            caller.await.unwrap();
        }
    }
}

impl Shared {
    async fn update_ready(&self) {
        let addrs: Vec<String> = self.addrs.borrow().values().cloned().collect();
        let mut ready = Vec::new();
        for addr in addrs {
            let reply = self.http.get(&addr, "/readyz").await;
            if reply.is_ok_and(|reply| reply.status == 200) {
                ready.push(addr);
            }
        }
        *self.ready.borrow_mut() = ready;
    }

    fn choose(&self, turn: usize) -> Option<String> {
        let ready = self.ready.borrow();
        (!ready.is_empty()).then(|| ready[turn % ready.len()].clone())
    }
}

async fn balance(shared: Rc<Shared>) {
    while !shared.stop.get() {
        time::sleep(POLL_INTERVAL).await;
        shared.update_ready().await;
    }
}

async fn call(shared: Rc<Shared>) {
    while !shared.stop.get() {
        let turn = shared.count.get();
        shared.count.set(turn + 1);
        let id = format!("{}-{turn}", shared.work.prefix);
        let body = RequestBody {
            idempotent: shared.work.idempotent,
            deadline_ms: shared.work.deadline_ms,
            ..fixture::request(&id, &format!("input {turn}"))
        };
        request(&shared, turn, body).await;
        time::sleep(PAUSE).await;
    }
}

/// Sends a request, and retries it at another entry while the response says that
/// the entry is stopping.
async fn request(shared: &Shared, turn: usize, body: RequestBody) {
    for attempt in 0.. {
        let Some(addr) = shared.choose(turn + attempt) else { return };
        let response = shared.caller.send(&addr, shared.work.pipeline, &body).response().await;
        if !is_stopping(&response) {
            return;
        }
        time::sleep(PAUSE).await;
    }
}

fn is_stopping(response: &CallerResponse) -> bool {
    response.to_string() == "503 not_run/stopping"
}
