//! Spreads requests over entry instances, as the platform's balancer does: in
//! turn over those that say they are ready, the next one when one cannot be
//! reached.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use ntex::client::Client;

use crate::runtime;

/// How often an entry is asked whether it is ready.
const PROBE_EVERY: Duration = Duration::from_millis(200);
/// How long it may take to say so.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Entry instances and whether they took part at the last look.
#[derive(Debug)]
pub struct Balancer {
    entries: Vec<Target>,
    next: AtomicUsize,
}

#[derive(Debug)]
struct Target {
    url: Arc<str>,
    ready: AtomicBool,
}

impl Balancer {
    /// A balancer over entries at these URLs (`http://ip:port`), all taken for ready.
    pub fn new(urls: &[Arc<str>]) -> Balancer {
        let entries = urls
            .iter()
            .map(|url| Target {
                url: url.trim_end_matches('/').into(),
                ready: AtomicBool::new(true),
            })
            .collect();
        Balancer { entries, next: AtomicUsize::new(0) }
    }

    /// The entries to try for one request, in order: the ready ones in turn,
    /// then the others.
    pub fn order(&self) -> Vec<Arc<str>> {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let ready = self.entries.iter().filter(|entry| entry.ready.load(Ordering::Relaxed));
        let mut urls: Vec<Arc<str>> = ready.map(|entry| entry.url.clone()).collect();
        if !urls.is_empty() {
            let turn = start % urls.len();
            urls.rotate_left(turn);
        }
        let unready = self.entries.iter().filter(|entry| !entry.ready.load(Ordering::Relaxed));
        urls.extend(unready.map(|entry| entry.url.clone()));
        urls
    }

    /// Leaves an entry out until it is ready again.
    pub fn mark_down(&self, url: &str) {
        if let Some(entry) = self.entries.iter().find(|entry| &*entry.url == url) {
            entry.ready.store(false, Ordering::Relaxed);
        }
    }

    /// Asks every entry whether it is ready, for ever.
    pub async fn probe(&self, client: &Client) {
        loop {
            let looks = self.entries.iter().map(|entry| entry.look(client));
            futures::future::join_all(looks).await;
            ntex::time::sleep(PROBE_EVERY).await;
        }
    }
}

impl Target {
    async fn look(&self, client: &Client) {
        let url = format!("{}/readyz", self.url);
        let ready = runtime::fetch(client, &url, PROBE_TIME).await.is_some();
        self.ready.store(ready, Ordering::Relaxed);
    }
}
