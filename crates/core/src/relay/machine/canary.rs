//! Which work goes to the version of a service that is on trial.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::relay::{
    config::Pieces,
    machine::Relay,
    model::{EndpointKey, ExchangeKey},
    pool::{Pool, PoolKey, Track},
};

impl Relay {
    /// Decides once for a request whether its first call goes to the version on trial. Streams
    /// that are resumed and retries never go there.
    pub(super) fn choose_track(&mut self, now: Duration, key: ExchangeKey) {
        let Some(limits) = self.settings.rollout else { return };
        let exchange = &self.exchanges[key];
        if exchange.track.is_some() {
            return;
        }
        let is_new = exchange.arrival.resume.is_none() && exchange.attempts == 0;
        let Some(rollout) = self.rollouts.get_mut(&exchange.service) else { return };
        if rollout.phase.is_final() {
            return;
        }
        let share = rollout.share(now, &limits);
        let is_allowed = is_new && rollout.exposure.count_call(share) && rollout.may_try(now);
        let track = if is_allowed { Track::Canary } else { Track::Stable };
        self.exchanges[key].track = Some(track);
    }

    /// The request of an exchange is sent to the version on trial.
    pub(super) fn take_canary_call(&mut self, key: ExchangeKey) {
        let exchange = &self.exchanges[key];
        if exchange.track == Some(Track::Canary)
            && let Some(rollout) = self.rollouts.get_mut(&exchange.service)
        {
            rollout.exposure.take_call();
        }
    }

    /// The endpoints of the version on trial that get work. All instances choose the same ones, so
    /// few that each of them gets as much as a stable endpoint does. Cold ones get none.
    pub(super) fn canaries(&self, now: Duration, pool: Pool<'_>) -> Vec<EndpointKey> {
        let (Some(limits), Some(rollout)) =
            (self.settings.rollout, self.rollouts.get(pool.service))
        else {
            return Vec::new();
        };
        let usable = |track| self.directory.usable(now, Pool { track, version: None, ..pool });
        let warm = usable(Track::Canary)
            .into_iter()
            .filter(|key| self.directory.get(*key).is_some_and(|endpoint| !endpoint.is_cold(now)));
        let mut warm: Vec<_> = warm.collect();
        if rollout.is_limited() {
            let hash = |key: &EndpointKey| {
                self.directory.get(*key).map(|it| xxh3::xxh3_64(it.entry.name.as_bytes()))
            };
            warm.sort_by_cached_key(hash);
            let count = usable(Track::Stable).len() as f64 * rollout.share(now, &limits);
            warm.truncate((count.round() as usize).max(1));
        }
        warm
    }

    /// The endpoints that may run pieces on trial now, and how many pieces a call may have.
    pub(super) fn piece_canaries(
        &self,
        now: Duration,
        pool: &PoolKey,
        config: &Pieces,
    ) -> Option<(Vec<EndpointKey>, usize)> {
        let rollout = self.rollouts.get(&pool.service).filter(|it| it.may_try(now))?;
        let allowed = rollout.exposure.allowed_pieces(config.batch as usize);
        if allowed == 0 {
            return None;
        }
        let endpoints = self.canaries(now, pool.pool());
        (!endpoints.is_empty()).then_some((endpoints, allowed))
    }

    /// Counts the pieces of a call that was sent.
    pub(super) fn count_pieces(
        &mut self,
        now: Duration,
        service: &str,
        pieces: usize,
        track: Track,
    ) {
        let batch = self.piece_config(service).map_or(1, |config| config.batch as usize);
        let Some(limits) = self.settings.rollout else { return };
        let Some(rollout) = self.rollouts.get_mut(service) else { return };
        let share = rollout.share(now, &limits);
        rollout.exposure.count_pieces(pieces, share, batch);
        if track == Track::Canary {
            rollout.exposure.take_pieces(pieces);
        }
    }
}
