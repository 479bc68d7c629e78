//! A platform's store in memory.

use std::{
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use peatdeck_core::relay::{position::Timeline, table::Record};
use peatdeck_relay::surroundings::{self, Page, Store, StoreError, TableName};

/// A platform's store in memory. Clones share it.
#[derive(Clone, Default)]
pub struct MemoryStore {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    tables: HashMap<TableName, Vec<Record>>,
    expired: HashMap<TableName, u64>,
    is_dark: bool,
    timeline: u64,
    /// Whether its answers leave out the timeline.
    is_unnamed: bool,
    delay: Duration,
}

impl Inner {
    fn named(&self) -> Option<Timeline> {
        (!self.is_unnamed).then_some(Timeline(self.timeline))
    }
}

impl MemoryStore {
    pub fn put(&self, table: TableName, key: &str, value: Vec<u8>) {
        self.write(table, key, Some(value.into()));
    }

    /// Without a value the key is removed.
    pub fn write(&self, table: TableName, key: &str, value: Option<Bytes>) {
        let mut inner = self.inner.lock().unwrap();
        let records = inner.tables.entry(table).or_default();
        let offset = records.len() as u64;
        records.push(Record { key: Arc::from(key), offset, value });
    }

    /// Names an endpoint in the directory.
    pub fn enlist(&self, name: &str, service: &str, addr: SocketAddr) {
        self.put(TableName::Endpoints, name, format!("{service} {addr}").into_bytes());
    }

    /// How many records were written to a table.
    pub fn len(&self, table: TableName) -> usize {
        self.inner.lock().unwrap().tables.get(&table).map_or(0, Vec::len)
    }

    /// Forgets the log of a table; the newest record of each key stays.
    pub fn compact(&self, table: TableName) {
        let mut inner = self.inner.lock().unwrap();
        let end = inner.tables.get(&table).map_or(0, |records| records.len() as u64);
        inner.expired.insert(table, end);
    }

    /// Comes back from a copy that lacks the last records of a table.
    pub fn restore(&self, table: TableName, lost: usize) {
        let mut inner = self.inner.lock().unwrap();
        inner.timeline += 1;
        let records = inner.tables.entry(table).or_default();
        records.truncate(records.len().saturating_sub(lost));
    }

    pub fn set_unnamed(&self, is_unnamed: bool) {
        self.inner.lock().unwrap().is_unnamed = is_unnamed;
    }

    pub fn set_dark(&self, is_dark: bool) {
        self.inner.lock().unwrap().is_dark = is_dark;
    }

    /// How long each of its answers is on the way.
    pub fn set_delay(&self, delay: Duration) {
        self.inner.lock().unwrap().delay = delay;
    }

    fn delay(&self) -> Duration {
        self.inner.lock().unwrap().delay
    }

    fn newest(&self, table: TableName) -> Result<Page, StoreError> {
        let inner = self.inner.lock().unwrap();
        if inner.is_dark {
            return Err(StoreError::Refused(503));
        }
        let all = inner.tables.get(&table).cloned().unwrap_or_default();
        let end = all.len() as u64;
        let mut newest = HashMap::new();
        for record in all {
            newest.insert(record.key.clone(), record);
        }
        newest.retain(|_, record| record.value.is_some());
        let timeline = inner.named();
        Ok(Page { records: newest.into_values().collect(), next_after: None, end, timeline })
    }

    fn read(&self, table: TableName, from: u64) -> Result<surroundings::Read, StoreError> {
        let inner = self.inner.lock().unwrap();
        if inner.is_dark {
            return Err(StoreError::Refused(503));
        }
        if inner.expired.get(&table).is_some_and(|kept| from < *kept) {
            return Ok(surroundings::Read::Expired);
        }
        let all = inner.tables.get(&table).cloned().unwrap_or_default();
        let end = all.len() as u64;
        if from > end {
            return Ok(surroundings::Read::Expired);
        }
        let records = all.into_iter().filter(|record| record.offset >= from).collect();
        let timeline = inner.named();
        Ok(surroundings::Read::Records { records, end, has_more: false, timeline })
    }

    pub fn client(&self) -> Store {
        let (newest, read, write) = (self.clone(), self.clone(), self.clone());
        let told = self.clone();
        Store {
            timeline: Rc::new(move || Timeline(told.inner.lock().unwrap().timeline)),
            newest: Rc::new(move |table, _| {
                let (page, delay) = (newest.newest(table), newest.delay());
                Box::pin(async move {
                    tokio::time::sleep(delay).await;
                    page
                })
            }),
            read: Rc::new(move |table, from, wait| {
                let store = read.clone();
                Box::pin(async move {
                    // Looks again at the end of the wait, which is close enough.
                    if let Ok(surroundings::Read::Records { records, .. }) = store.read(table, from)
                        && records.is_empty()
                    {
                        tokio::time::sleep(wait).await;
                    }
                    let read = store.read(table, from);
                    tokio::time::sleep(store.delay()).await;
                    read
                })
            }),
            write: Rc::new(move |table, key, value| {
                let store = write.clone();
                Box::pin(async move {
                    if store.inner.lock().unwrap().is_dark {
                        return Err(StoreError::Refused(503));
                    }
                    store.write(table, &key, value);
                    Ok(())
                })
            }),
        }
    }
}
