//! Results that take up memory at endpoints.

use std::time::Duration;

use crate::relay::{
    batch::{Batcher, queue::SizeClass, worker::Worker},
    config::Pieces,
    directory::Directory,
    model::Handle,
    pool::PoolKey,
};

impl Batcher {
    /// Records that results have been freed at their endpoint.
    pub fn record_freed(&mut self, handles: &[Handle]) {
        for worker in self.workers.values_mut() {
            worker.remove_results(handles);
        }
    }

    /// Marks results as evictable: every piece that needs them has probably read them.
    pub fn mark_evictable(&mut self, handles: &[Handle]) {
        for worker in self.workers.values_mut() {
            worker.mark_evictable(handles);
        }
    }

    /// The evictable results to free because queued pieces need their memory: those of all
    /// endpoints if large results are queued, else those of endpoints that lack the memory for a
    /// full call.
    pub fn results_to_evict(
        &self,
        now: Duration,
        pool: &PoolKey,
        config: &Pieces,
        directory: &Directory,
    ) -> Vec<Handle> {
        let Some(queue) = self.queues.get(pool) else { return Vec::new() };
        let is_large = queue.len_in(SizeClass::Large) > 0;
        let Some(bytes) = queue.first_bytes(SizeClass::Small).or(is_large.then_some(0)) else {
            return Vec::new();
        };
        let needed = bytes.saturating_mul(u64::from(config.batch));
        let lacks_memory = |worker: &&Worker| is_large || worker.free_bytes(now, config) < needed;
        let endpoints = directory.usable(now, pool.pool()).into_iter();
        let workers = endpoints.filter_map(|key| self.workers.get(&key)).filter(lacks_memory);
        workers.flat_map(Worker::evictable).cloned().collect()
    }
}
