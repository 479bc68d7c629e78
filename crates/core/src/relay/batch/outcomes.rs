//! Results and failures of calls.

use std::time::Duration;

use crate::relay::{
    batch::{Batcher, FinishedPiece, PieceKey, RunningCall},
    model::{CallKey, Handle, PieceFailure, PieceResult},
};

impl Batcher {
    /// Records the results of a call, in the order of its pieces. Results of pieces that are no
    /// longer tracked are returned separately, to be freed.
    pub fn record_results(
        &mut self,
        now: Duration,
        call: CallKey,
        results: Vec<PieceResult>,
    ) -> (Vec<FinishedPiece>, Vec<Handle>) {
        let Some(running) = self.running.remove(&call) else { return Default::default() };
        let is_gone = |key: &PieceKey| !self.pieces.contains_key(*key);
        let pairs = running.keys.iter().zip(&results);
        let unclaimed =
            pairs.filter(|(key, _)| is_gone(key)).filter_map(|(_, result)| result.clone().ok());
        let unclaimed = unclaimed.collect();
        self.release(&running);
        if running.has_inputs {
            self.read_time.record_call(running.read_by.is_none(), &results);
        }
        self.record_completed(now, &running, &results);
        let worker = self.workers.entry(running.endpoint).or_default();
        worker.record_duration(now, now.saturating_sub(running.started_at), running.expected);
        let had_some = results.iter().any(Result::is_ok);
        for (key, result) in running.keys.iter().zip(&results) {
            let bytes = self.pieces.get(*key).map_or(0, |entry| entry.piece.bytes);
            match result {
                Ok(handle) => worker.add_result(now, handle.clone(), bytes, now + running.lease),
                Err(PieceFailure::NoRoom) => worker.record_no_room(now, bytes, had_some),
                Err(_) => {}
            }
        }
        (self.finish(running, results), unclaimed)
    }

    /// Records the failure of a call and returns all its pieces; `is_unrun` says that the endpoint
    /// refused it.
    pub fn record_failure(
        &mut self,
        now: Duration,
        call: CallKey,
        is_unrun: bool,
    ) -> Vec<FinishedPiece> {
        let Some(running) = self.running.remove(&call) else { return Vec::new() };
        self.release(&running);
        if is_unrun {
            self.workers.entry(running.endpoint).or_default().record_refusal(now);
        }
        // Pieces that are queued again or run in another call stay there.
        let keys = running.keys.iter().copied();
        let keys = keys.filter(|key| self.pieces.get(*key).is_some_and(|it| it.call == Some(call)));
        let running = RunningCall { keys: keys.collect(), ..running };
        let results = running.keys.iter().map(|_| Err(PieceFailure::Failed)).collect();
        self.finish(running, results)
    }

    fn release(&mut self, running: &RunningCall) {
        let bytes = running.keys.iter().filter_map(|key| self.pieces.get(*key));
        let bytes: u64 = bytes.map(|entry| entry.piece.bytes).sum();
        let worker = self.workers.entry(running.endpoint).or_default();
        worker.calls = worker.calls.saturating_sub(1);
        worker.reserved_bytes = worker.reserved_bytes.saturating_sub(bytes);
    }

    fn finish(&mut self, running: RunningCall, results: Vec<PieceResult>) -> Vec<FinishedPiece> {
        let endpoint = Some(running.endpoint);
        let entries = running.keys.into_iter().zip(results);
        let entries = entries.filter_map(|(key, result)| {
            // A straggler's pieces may be queued again.
            self.dequeue(key);
            Some((self.remove_piece(key)?, result))
        });
        entries.map(|(entry, result)| entry.finished(result, endpoint)).collect()
    }
}
