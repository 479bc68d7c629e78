//! The region that runs all work of a request.
//!
//! It is the region of this instance if the request may run there and all services that it needs
//! have usable endpoints there; else another allowed region that has them. An exchange whose stages
//! have begun stays in its region, where their results are, unless the configuration or an
//! evacuation excludes the region: its stages are then made again in another one. If no allowed
//! region is left, it is refused.
//!
//! The region is checked before an exchange continues, and when endpoints or lists of allowed
//! regions change. Work that is running then ends where it runs; its results are freed.

use std::time::Duration;

use crate::relay::{
    allowed::AllowedRegions,
    batch::Requester,
    config::Config,
    exchange::Exchange,
    graph::StageGraph,
    machine::{MAX_ROUNDS, Relay},
    model::{Action, ExchangeKey, Refusal},
    overflow,
    pool::Pool,
    region::RegionName,
};

impl Relay {
    /// Applies the lists of a new configuration to the open exchanges.
    pub(super) fn update_allowed_regions(&mut self, config: &Config) {
        for exchange in self.exchanges.values_mut() {
            exchange.allowed = newly_allowed(exchange, config);
        }
    }

    /// Checks the regions of exchanges that have no call. Those whose region has changed continue
    /// there.
    pub(super) fn recheck_regions(&mut self, now: Duration) {
        let waiting = self.exchanges.iter().filter(|(_, exchange)| exchange.call.is_none());
        let waiting: Vec<_> = waiting.map(|(key, it)| (key, it.region.clone())).collect();
        let mut moved = Vec::new();
        for (key, region) in waiting {
            let is_open = self.exchanges.contains_key(key) && self.ensure_region(now, key);
            if is_open && self.exchanges[key].region != region {
                moved.push(key);
            }
        }
        // Nothing is sent before all are checked, since any of them sends all queued pieces.
        for key in moved {
            if self.exchanges.contains_key(key) {
                self.advance(now, key);
            }
        }
    }

    /// The same for exchanges that not all regions may serve, after endpoints have changed. The
    /// others wait for endpoints.
    pub(super) fn recheck_restricted(&mut self, now: Duration) {
        if self.exchanges.values().any(|exchange| exchange.allowed.is_restricted()) {
            self.recheck_regions(now);
        }
    }

    /// Moves an exchange to another region if its region may not or cannot serve it. Returns false
    /// if it has ended instead.
    pub(super) fn ensure_region(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let exchange = &self.exchanges[key];
        let region = exchange.region.as_deref();
        if region.is_none() && !exchange.allowed.is_restricted() {
            return true;
        }
        let may_stay = exchange.allowed.allows(region) && !self.needs_evacuated_service(now, key);
        if may_stay && self.can_serve(now, exchange, region) {
            return true;
        }
        let has_begun = exchange.graph.has_begun();
        match self.find_region(now, exchange) {
            Some(_) if may_stay && has_begun => true,
            Some(region) => self.move_to(now, key, region),
            None if exchange.allowed.is_restricted() => {
                self.give_up(now, key, Refusal::NoAllowedRegion);
                false
            }
            None => true,
        }
    }

    /// Assigns a request that this region has no time for to another region that has. Returns
    /// false if there is none, or the exchange has ended instead.
    pub(super) fn leave_full_region(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let exchange = &self.exchanges[key];
        let Some(own) = &exchange.region else { return false };
        let others = self.serving_regions(now, exchange).filter(|other| **other != **own);
        // No instance there answers while the link to the region is cut.
        let others = others.filter(|other| self.has_responsive_instance(other));
        let expected = others.map(|other| {
            let other = RegionName::from(other);
            let time = self.expected_time(now, exchange, Some(&other));
            (other, time)
        });
        let objective = exchange.target.saturating_sub(now);
        match overflow::best_region(objective, expected) {
            Some(region) => self.move_to(now, key, region),
            None => false,
        }
    }

    /// The region that an exchange moves to: this instance's, or the first one by name.
    fn find_region(&self, now: Duration, exchange: &Exchange) -> Option<RegionName> {
        let own = self.own_region();
        let regions: Vec<_> = self.serving_regions(now, exchange).collect();
        let preferred = regions.iter().find(|region| Some(**region) == own);
        Some(RegionName::from(*preferred.or(regions.first())?))
    }

    /// The allowed regions that have usable endpoints for all work that an exchange still needs, by
    /// name.
    fn serving_regions<'a>(
        &'a self,
        now: Duration,
        exchange: &'a Exchange,
    ) -> impl Iterator<Item = &'a str> {
        let known = self.directory.regions_of(&exchange.service).into_iter();
        let allowed = known.filter(|region| exchange.allowed.allows(Some(region)));
        allowed.filter(move |region| self.can_serve(now, exchange, Some(region)))
    }

    /// Whether a region has usable endpoints of all services that an exchange needs there. In its
    /// current region these are the services of the stages that have not been started, in any
    /// other one those of all stages, since they would be made again.
    fn can_serve(&self, now: Duration, exchange: &Exchange, region: Option<&str>) -> bool {
        let is_current = exchange.region.as_deref() == region;
        let is_needed = |stage: &usize| match is_current {
            true => exchange.graph.unstarted().any(|idx| idx == *stage),
            false => exchange.graph.piece_count(*stage) > 0,
        };
        let stages = (0..exchange.route.stages.len()).filter(is_needed);
        let services = stages.map(|idx| &exchange.route.stages[idx].service);
        let mut services = services.chain([&exchange.service]);
        services.all(|service| self.directory.has_usable(now, Pool { region, ..Pool::of(service) }))
    }

    /// Moves an exchange to a region. Stages that have begun elsewhere are made again. Returns
    /// false if that has happened too often, and the exchange has ended.
    fn move_to(&mut self, now: Duration, key: ExchangeKey, region: RegionName) -> bool {
        let has_begun = self.exchanges[key].graph.has_begun();
        if has_begun {
            self.abandon_stages(key);
        }
        let exchange = &mut self.exchanges[key];
        exchange.region = Some(region);
        exchange.destination = None;
        exchange.is_placement_pending = false;
        exchange.rounds += u8::from(has_begun);
        if exchange.rounds >= MAX_ROUNDS {
            self.give_up(now, key, Refusal::Failed);
            return false;
        }
        true
    }

    /// Drops the stages of an exchange: its waiting pieces are recalled and its results freed.
    fn abandon_stages(&mut self, key: ExchangeKey) {
        self.mark_may_have_run(key);
        self.batcher.cancel(Requester::Local(key));
        let exchange = &mut self.exchanges[key];
        for handover in exchange.handovers.drain(..) {
            self.handovers.remove(handover);
            self.actions.push(Action::RecallPieces(handover));
        }
        exchange.stage_starts.clear();
        exchange.has_evictable_results = false;
        let unfreed = exchange.graph.take_unfreed();
        let (route, region) = (exchange.route.clone(), exchange.region.clone());
        exchange.graph = StageGraph::new(&route, &exchange.arrival.pieces);
        self.free(&route, region.as_deref(), unfreed);
    }
}

/// The regions where an exchange may be served by a configuration that is newer than the exchange.
/// The lists of a route or team that it no longer contains stay in force.
fn newly_allowed(exchange: &Exchange, config: &Config) -> AllowedRegions {
    let named = config.routes.iter().find(|route| route.name == exchange.route.name);
    let team = config.team(exchange.arrival.key.as_deref());
    let team_list = team.and_then(|team| team.allowed_regions.as_deref());
    let Some(route) = named else { return exchange.allowed.restrict(team_list) };
    let route = route.allowed_regions.as_deref();
    match (team, &exchange.team) {
        (None, Some(_)) => exchange.allowed.restrict(route),
        _ => AllowedRegions::intersect(route, team_list),
    }
}
