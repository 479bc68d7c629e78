//! Which pieces are taken in, and which that wait are given up.

use std::time::Duration;

use crate::relay::{
    batch::{
        Batcher, FinishedPiece, Running,
        queue::{LANES, Lane, Queue},
    },
    config::Pieces,
    directory::Directory,
    model::{Piece, PieceFailure, PieceResult},
};

/// Pause between two looks for late pieces that others leave no turn for.
const REVIEW_PAUSE: Duration = Duration::from_millis(50);

impl Batcher {
    /// Whether a piece that comes now will be made before it is due: behind
    /// those that are more urgent if it can be in good time, else behind all
    /// that wait, as fast as those that come meanwhile leave turns. One whose
    /// request has been begun only has to have the time itself.
    pub fn is_feasible(
        &self,
        now: Duration,
        piece: &Piece,
        shape: &Pieces,
        directory: &Directory,
    ) -> bool {
        let done = now + Batcher::call_time(shape, 1);
        let service = &piece.service;
        let (Some(queue), Some(drain)) = (self.waiting.get(service), self.drains.get(service))
        else {
            return done <= piece.deadline;
        };
        let lane = Lane::of(piece.bytes);
        let expected = expected_rate(now, service, shape, directory);
        let wait = drain.wait(now, lane, queue.ahead_of(lane, piece.target), expected);
        if done + wait <= piece.target {
            return true;
        }
        if piece.is_begun {
            return done <= piece.deadline;
        }
        let wait = drain.late_wait(now, lane, queue.len_of(lane), expected);
        done + wait <= piece.deadline
    }

    /// How long a piece with a small result that comes now, and can be in good time,
    /// waits for its turn at a service; `None` if none waits there.
    pub fn backlog(
        &self,
        now: Duration,
        service: &str,
        shape: &Pieces,
        directory: &Directory,
    ) -> Option<Duration> {
        let queue = self.waiting.get(service).filter(|queue| !queue.is_empty())?;
        let expected = expected_rate(now, service, shape, directory);
        let ahead = queue.ahead_of(Lane::Small, Duration::MAX);
        Some(self.drains.get(service)?.wait(now, Lane::Small, ahead, expected))
    }

    /// Takes out waiting pieces that cannot be made any more before they are
    /// due, and late ones that others leave no turn for.
    pub fn take_late(
        &mut self,
        now: Duration,
        service: &str,
        shape: &Pieces,
        directory: &Directory,
    ) -> Vec<FinishedPiece> {
        let Some(queue) = self.waiting.get_mut(service) else { return Vec::new() };
        let mut late = queue.due_before(now + Batcher::call_time(shape, 1));
        let batch = shape.batch as usize;
        if queue.len() > batch && now >= queue.next_review {
            queue.next_review = now + REVIEW_PAUSE;
            queue.demote(now + Batcher::call_time(shape, batch));
            let expected = expected_rate(now, service, shape, directory);
            let drain = self.drains.entry(service.into()).or_default();
            let own = Batcher::call_time(shape, 1);
            let wait = |lane, ahead| drain.late_wait(now, lane, ahead, expected) + own;
            let hopeless = queue.hopeless(now, wait).into_iter();
            late.extend(hopeless.filter(|key| !self.pieces[*key].is_straggler));
        }
        let entries = late.into_iter().filter_map(|key| {
            self.stop_waiting(key);
            self.take_out(key)
        });
        entries.map(|entry| entry.finished(Err(PieceFailure::Late), None)).collect()
    }

    /// Takes out all waiting pieces of a service that nobody can make.
    pub fn take_waiting(&mut self, service: &str) -> Vec<FinishedPiece> {
        let keys = self.waiting.get(service).map(Queue::keys).unwrap_or_default();
        let entries = keys.into_iter().filter_map(|key| {
            self.stop_waiting(key);
            self.take_out(key)
        });
        entries.map(|entry| entry.finished(Err(PieceFailure::Late), None)).collect()
    }

    pub(super) fn note_waiting(&mut self, now: Duration, service: &str) {
        let Some(queue) = self.waiting.get(service) else { return };
        let Some(drain) = self.drains.get_mut(service) else { return };
        for lane in LANES {
            drain.waits(now, lane, queue.len_of(lane) > 0);
        }
    }

    pub(super) fn note_made(&mut self, now: Duration, running: &Running, results: &[PieceResult]) {
        let made = running.keys.iter().zip(results).filter(|(_, result)| result.is_ok());
        for piece in made.filter_map(|(key, _)| Some(&self.pieces.get(*key)?.piece)) {
            let drain = self.drains.entry(piece.service.clone()).or_default();
            drain.made(now, Lane::of(piece.bytes), 1);
        }
    }
}

/// Pieces a second that a service's endpoints make in full calls, as far as the
/// configuration says.
fn expected_rate(now: Duration, service: &str, shape: &Pieces, directory: &Directory) -> f64 {
    let endpoints = directory.usable(now, service).len().max(1);
    let batch = shape.batch as usize;
    (endpoints * batch) as f64 / Batcher::call_time(shape, batch).as_secs_f64()
}
