//! A fake of the platform's store, in memory.

use std::{
    collections::{HashMap, VecDeque},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use peatdeck_core::relay::{
    model::ServiceName, position::Timeline, registry::Versions, table::Record,
};
use peatdeck_relay::surroundings::{
    self, LogRead, OriginStore, Page, Store, StoreError, TableName, VersionList,
};

/// The platform's store in memory. Clones share its contents.
#[derive(Clone, Default)]
pub struct MemoryStore {
    inner: Arc<Mutex<Inner>>,
    link: Option<NarrowLink>,
}

/// A link that limits the data rate of all replies of the store together. Clones share it.
#[derive(Clone)]
struct NarrowLink {
    rate: f64,
    free_at: Arc<Mutex<Instant>>,
}

impl NarrowLink {
    /// How long until the link has transferred a reply to a read.
    fn carry(&self, read: &Result<surroundings::Read, StoreError>) -> Duration {
        let Ok(surroundings::Read::Records { records, .. }) = read else { return Duration::ZERO };
        let bytes = records.iter().map(Record::bytes).sum::<usize>();
        let mut free_at = self.free_at.lock().unwrap();
        let now = Instant::now();
        *free_at = (*free_at).max(now) + Duration::from_secs_f64(bytes as f64 / self.rate);
        *free_at - now
    }
}

/// An address of the loopback interface that no other store's instances have.
struct Host(Ipv4Addr);

impl Default for Host {
    fn default() -> Host {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let first = u32::from(Ipv4Addr::new(127, 1, 0, 1));
        Host(Ipv4Addr::from(first + NEXT.fetch_add(1, Ordering::Relaxed)))
    }
}

#[derive(Default)]
struct Inner {
    host: Host,
    tables: HashMap<TableName, Vec<Record>>,
    expired: HashMap<TableName, u64>,
    is_unavailable: bool,
    timeline: u64,
    /// Whether its replies omit the timeline.
    is_timeline_hidden: bool,
    delay: Duration,
    /// Number of reads of a table, listings included.
    reads: HashMap<TableName, u64>,
    /// Number of conditional writes whose answers are lost from now on.
    lost_answers: usize,
    /// All writes to the list of versions.
    versions: Vec<(ServiceName, Versions)>,
    /// The log of streams.
    streams: Vec<Bytes>,
    /// Records that others write right before the next conditional writes.
    rivals: VecDeque<(String, Bytes)>,
}

impl Inner {
    fn stated_timeline(&self) -> Option<Timeline> {
        (!self.is_timeline_hidden).then_some(Timeline(self.timeline))
    }
}

impl MemoryStore {
    /// The same store for instances that reach it over a link of this many bytes per second.
    pub fn behind_link(&self, rate: f64) -> MemoryStore {
        let link = NarrowLink { rate, free_at: Arc::new(Mutex::new(Instant::now())) };
        MemoryStore { inner: self.inner.clone(), link: Some(link) }
    }

    /// The address of this store's instances. Their records outlive them, so no other store's
    /// instance may listen there afterwards.
    pub fn host(&self) -> Ipv4Addr {
        self.inner.lock().unwrap().host.0
    }

    pub fn put(&self, table: TableName, key: &str, value: Vec<u8>) {
        self.write(table, key, Some(value.into()));
    }

    /// Writes a record. Without a value it removes the key.
    pub fn write(&self, table: TableName, key: &str, value: Option<Bytes>) {
        let mut inner = self.inner.lock().unwrap();
        let records = inner.tables.entry(table).or_default();
        let offset = records.len() as u64;
        records.push(Record { key: Arc::from(key), offset, value });
    }

    /// Writes an endpoint's entry to the directory.
    pub fn add_endpoint(&self, name: &str, service: &str, addr: SocketAddr) {
        self.add_version(name, service, addr, "v1");
    }

    /// Writes the entry of an endpoint of this version.
    pub fn add_version(&self, name: &str, service: &str, addr: SocketAddr, version: &str) {
        self.put(TableName::Endpoints, name, format!("{service} {addr} {version}").into_bytes());
    }

    /// Number of reads of a table, listings included.
    pub fn reads(&self, table: TableName) -> u64 {
        self.inner.lock().unwrap().reads.get(&table).copied().unwrap_or_default()
    }

    /// Loses the answers to the next conditional writes, which take effect.
    pub fn lose_answers(&self, count: usize) {
        self.inner.lock().unwrap().lost_answers = count;
    }

    /// Writes a record right before the next conditional write.
    pub fn write_before_next(&self, key: &str, value: &str) {
        let rival = (key.to_owned(), Bytes::copy_from_slice(value.as_bytes()));
        self.inner.lock().unwrap().rivals.push_back(rival);
    }

    /// The newest value of a key.
    pub fn value(&self, table: TableName, key: &str) -> Option<Bytes> {
        let inner = self.inner.lock().unwrap();
        let mut records = inner.tables.get(&table)?.iter().rev();
        records.find(|record| &*record.key == key)?.value.clone()
    }

    fn count_read(&self, table: TableName) {
        *self.inner.lock().unwrap().reads.entry(table).or_default() += 1;
    }

    fn write_at(
        &self,
        table: TableName,
        key: &str,
        value: Option<Bytes>,
        end: u64,
    ) -> Result<(), StoreError> {
        let rival = self.inner.lock().unwrap().rivals.pop_front();
        if let Some((key, value)) = rival {
            self.write(table, &key, Some(value));
        }
        if self.inner.lock().unwrap().is_unavailable {
            return Err(StoreError::Refused(503));
        }
        if self.len(table) as u64 != end {
            return Err(StoreError::Advanced(end));
        }
        self.write(table, key, value);
        let mut inner = self.inner.lock().unwrap();
        if inner.lost_answers > 0 {
            inner.lost_answers -= 1;
            return Err(StoreError::Unreachable("the answer was lost".to_owned()));
        }
        Ok(())
    }

    /// Number of records in the log of a table.
    pub fn len(&self, table: TableName) -> usize {
        self.inner.lock().unwrap().tables.get(&table).map_or(0, Vec::len)
    }

    /// Drops the log of a table but for the newest record of each key.
    pub fn compact(&self, table: TableName) {
        let mut inner = self.inner.lock().unwrap();
        let end = inner.tables.get(&table).map_or(0, |records| records.len() as u64);
        inner.expired.insert(table, end);
    }

    /// Restores the store from a copy that lacks the last `lost` records of a table.
    pub fn restore(&self, table: TableName, lost: usize) {
        let mut inner = self.inner.lock().unwrap();
        inner.timeline += 1;
        let records = inner.tables.entry(table).or_default();
        records.truncate(records.len().saturating_sub(lost));
    }

    pub fn set_timeline_hidden(&self, is_timeline_hidden: bool) {
        self.inner.lock().unwrap().is_timeline_hidden = is_timeline_hidden;
    }

    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.inner.lock().unwrap().is_unavailable = is_unavailable;
    }

    /// Sets how long each reply to a read is delayed.
    pub fn set_delay(&self, delay: Duration) {
        self.inner.lock().unwrap().delay = delay;
    }

    fn delay(&self) -> Duration {
        self.inner.lock().unwrap().delay
    }

    fn newest(&self, table: TableName) -> Result<Page, StoreError> {
        self.count_read(table);
        let inner = self.inner.lock().unwrap();
        if inner.is_unavailable {
            return Err(StoreError::Refused(503));
        }
        let all = inner.tables.get(&table).cloned().unwrap_or_default();
        let end = all.len() as u64;
        let mut newest = HashMap::new();
        for record in all {
            newest.insert(record.key.clone(), record);
        }
        newest.retain(|_, record| record.value.is_some());
        let timeline = inner.stated_timeline();
        Ok(Page { records: newest.into_values().collect(), next_after: None, end, timeline })
    }

    fn read(&self, table: TableName, from: u64) -> Result<surroundings::Read, StoreError> {
        self.count_read(table);
        let inner = self.inner.lock().unwrap();
        if inner.is_unavailable {
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
        let timeline = inner.stated_timeline();
        Ok(surroundings::Read::Records { records, end, has_more: false, timeline })
    }

    /// Whether the newest list of a service's versions has all of these.
    pub fn lists_versions(&self, service: &str, versions: &[&str]) -> bool {
        let inner = self.inner.lock().unwrap();
        let newest = inner.versions.iter().rev().find(|(name, _)| **name == *service);
        let listed = newest.map(|(_, listed)| listed);
        versions.iter().all(|it| listed.is_some_and(|listed| listed.contains(*it)))
    }

    /// Loses the list of versions.
    pub fn forget_versions(&self) {
        self.inner.lock().unwrap().versions.clear();
    }

    /// Loses the log of streams.
    pub fn forget_streams(&self) {
        self.inner.lock().unwrap().streams.clear();
    }

    fn check_available(&self) -> Result<(), StoreError> {
        match self.inner.lock().unwrap().is_unavailable {
            true => Err(StoreError::Refused(503)),
            false => Ok(()),
        }
    }

    fn read_versions(&self) -> Result<VersionList, StoreError> {
        self.check_available()?;
        let inner = self.inner.lock().unwrap();
        let services = inner.versions.iter().cloned().collect();
        Ok(VersionList { services, end: inner.versions.len() as u64 })
    }

    fn write_versions(
        &self,
        service: ServiceName,
        versions: Versions,
        end: u64,
    ) -> Result<(), StoreError> {
        self.check_available()?;
        let mut inner = self.inner.lock().unwrap();
        if inner.versions.len() as u64 != end {
            return Err(StoreError::Advanced(end));
        }
        inner.versions.push((service, versions));
        Ok(())
    }

    fn append_streams(&self, record: Bytes) -> Result<(), StoreError> {
        self.check_available()?;
        self.inner.lock().unwrap().streams.push(record);
        Ok(())
    }

    fn read_streams(&self, from: u64) -> Result<LogRead, StoreError> {
        self.check_available()?;
        let inner = self.inner.lock().unwrap();
        let records: Vec<_> = inner.streams.iter().skip(from as usize).cloned().collect();
        Ok(LogRead::Records { records, end: inner.streams.len() as u64, has_more: false })
    }

    fn origins(&self) -> OriginStore {
        let (versions, write, append, read) =
            (self.clone(), self.clone(), self.clone(), self.clone());
        OriginStore {
            read_versions: Rc::new(move || {
                let (list, delay) = (versions.read_versions(), versions.delay());
                Box::pin(async move {
                    tokio::time::sleep(delay).await;
                    list
                })
            }),
            write_versions: Rc::new(move |service, versions, end| {
                let written = write.write_versions(service, versions, end);
                Box::pin(async move { written })
            }),
            append_streams: Rc::new(move |record| {
                let appended = append.append_streams(record);
                Box::pin(async move { appended })
            }),
            read_streams: Rc::new(move |from| {
                let (read, delay) = (read.read_streams(from), read.delay());
                Box::pin(async move {
                    tokio::time::sleep(delay).await;
                    read
                })
            }),
        }
    }

    pub fn client(&self) -> Store {
        let (newest, read, write) = (self.clone(), self.clone(), self.clone());
        let (current, conditional) = (self.clone(), self.clone());
        Store {
            write_at: Rc::new(move |table, key, value, end| {
                let store = conditional.clone();
                Box::pin(async move { store.write_at(table, &key, value, end) })
            }),
            origins: self.origins(),
            timeline: Rc::new(move || Timeline(current.inner.lock().unwrap().timeline)),
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
                    // Reads again only at the end of the wait, which is sufficient for tests.
                    if let Ok(surroundings::Read::Records { records, .. }) = store.read(table, from)
                        && records.is_empty()
                    {
                        tokio::time::sleep(wait).await;
                    }
                    let read = store.read(table, from);
                    let transfer = store.link.as_ref().map(|link| link.carry(&read));
                    tokio::time::sleep(store.delay() + transfer.unwrap_or_default()).await;
                    read
                })
            }),
            write: Rc::new(move |table, key, value| {
                let store = write.clone();
                Box::pin(async move {
                    if store.inner.lock().unwrap().is_unavailable {
                        return Err(StoreError::Refused(503));
                    }
                    store.write(table, &key, value);
                    Ok(())
                })
            }),
        }
    }
}
