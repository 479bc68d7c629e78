//! Distributes requests over entry instances as the platform's balancer does:
//! round robin over those that report ready, trying the next one if one cannot
//! be reached.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use ntex::client::Client;

use crate::runtime;

/// Interval at which the readiness of an entry is polled.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of one readiness poll.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Entry instances and whether each was ready at the last poll.
#[derive(Debug)]
pub struct Balancer {
    entries: Vec<Entry>,
    next: AtomicUsize,
}

#[derive(Debug)]
struct Entry {
    url: Arc<str>,
    ready: AtomicBool,
}

impl Balancer {
    /// A balancer over entries at these URLs (`http://ip:port`). All count as ready at first.
    pub fn new(urls: &[Arc<str>]) -> Balancer {
        let entries = urls
            .iter()
            .map(|url| Entry {
                url: url.trim_end_matches('/').into(),
                ready: AtomicBool::new(true),
            })
            .collect();
        Balancer { entries, next: AtomicUsize::new(0) }
    }

    /// The entries to try for one request, in order: the ready ones, starting
    /// with the next in rotation, then the others.
    pub fn candidates(&self) -> Vec<Arc<str>> {
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

    /// Marks an entry as not ready until a poll finds it ready again.
    pub fn mark_down(&self, url: &str) {
        if let Some(entry) = self.entries.iter().find(|entry| &*entry.url == url) {
            entry.ready.store(false, Ordering::Relaxed);
        }
    }

    /// Polls the readiness of every entry, forever.
    pub async fn probe(&self, client: &Client) {
        loop {
            let checks = self.entries.iter().map(|entry| entry.check_ready(client));
            futures::future::join_all(checks).await;
            ntex::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

impl Entry {
    async fn check_ready(&self, client: &Client) {
        let url = format!("{}/readyz", self.url);
        let ready = runtime::fetch(client, &url, PROBE_TIMEOUT).await.is_some();
        self.ready.store(ready, Ordering::Relaxed);
    }
}
