//! Load reports of endpoints and gossip between instances.

use std::collections::HashMap;

use peatdeck_core::model::{EndpointName, Load};

use super::{
    ENDPOINTS, Endpoint, Event, GOSSIP_INTERVAL, LATE_REPORT_LAG, REPORT_INTERVAL, REPORT_LAG,
    SLOTS, World,
};
use crate::model::Fault;

impl World<'_> {
    pub(super) fn report(&mut self) {
        if self.is_over() {
            return;
        }
        let is_late = self.scenario.fault == Fault::LateReports;
        let lag = if is_late { LATE_REPORT_LAG } else { REPORT_LAG };
        for endpoint in 0..ENDPOINTS {
            let Endpoint { running, waiting } = &self.endpoints[endpoint];
            let (queued, running) = (waiting.len() as u32, *running as u32);
            self.schedule(lag, Event::Deliver { endpoint, queued, running });
        }
        self.schedule(REPORT_INTERVAL, Event::Report);
    }

    /// Delivers a report to all instances. Its age is 0, since the sender doesn't
    /// know the delay.
    pub(super) fn deliver(&mut self, endpoint: usize, queued: u32, running: u32) {
        if !self.variant.reports {
            return;
        }
        let load = Load { running, queued, places: SLOTS as u32, age_ms: 0 };
        for inst in &mut self.instances {
            inst.table.load_reported(self.now, &self.names[endpoint], load);
        }
    }

    pub(super) fn gossip(&mut self) {
        if self.is_over() {
            return;
        }
        self.schedule(GOSSIP_INTERVAL, Event::Gossip);
        if !self.variant.peers {
            return;
        }
        let mut total: HashMap<EndpointName, u32> = HashMap::new();
        for endpoint in self.instances.iter().flat_map(|inst| inst.table.iter()) {
            *total.entry(endpoint.name.clone()).or_default() += endpoint.in_flight;
        }
        for inst in &mut self.instances {
            let own = |name: &str| inst.table.endpoint(name).map_or(0, |known| known.in_flight);
            let others = total.iter().map(|(name, count)| (name.clone(), count - own(name)));
            inst.peers = others.collect();
        }
    }
}
