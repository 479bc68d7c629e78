//! The platform's list of live and leaving instances and endpoints, as of some
//! time ago.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bpaf::Bpaf;
use ntex::{
    http::StatusCode,
    web::{self, HttpResponse, types},
};
use peatdeck_core::model::Listing;
use peatdeck_macros::data;
use peatdeck_util::clock::{Clock, SystemClock};

use crate::{
    faults::ListFaults,
    listings::{Lag, Listings},
    reply,
};

/// Settings of the list.
#[data]
#[derive(Bpaf)]
pub struct Settings {
    /// Delay until a change appears in the list, in milliseconds
    #[bpaf(long("lag-ms"), env("PEATDECK_LAG_MS"), argument("MS"), fallback(0), display_fallback)]
    pub lag_ms: u64,
}

/// The list: its settings, the listings set so far and the faults.
#[derive(Debug)]
pub struct List {
    settings: Settings,
    clock: SystemClock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    listings: Listings,
    faults: ListFaults,
}

impl List {
    /// Creates an empty list.
    pub fn new(settings: Settings) -> Arc<List> {
        Arc::new(List { settings, clock: SystemClock::new(), state: Mutex::default() })
    }

    /// The listing that clients receive now; `None` in an outage.
    fn visible(&self) -> Option<Listing> {
        let state = reply::lock(&self.state);
        if state.faults.outage {
            return None;
        }
        let lag_ms = state.faults.lag_ms.unwrap_or(self.settings.lag_ms);
        let flap_ms = state.faults.flap_ms.unwrap_or(0);
        let lag = Lag { lag: Duration::from_millis(lag_ms), flap: Duration::from_millis(flap_ms) };
        Some(state.listings.visible(self.clock.now(), lag))
    }
}

/// Adds the routes of the list.
pub fn configure(cfg: &mut web::ServiceConfig, list: Arc<List>) {
    cfg.state(list)
        .route("/v1/list", web::get().to(listing))
        .route("/control/list", web::put().to(set_listing))
        .route("/control/faults", web::put().to(set_faults))
        .route("/control/state", web::get().to(current));
}

async fn listing(list: types::State<Arc<List>>) -> HttpResponse {
    match list.visible() {
        Some(listing) => reply::json(StatusCode::OK, &listing),
        None => reply::unavailable(),
    }
}

async fn set_listing(list: types::State<Arc<List>>, body: types::Json<Listing>) -> HttpResponse {
    let now = list.clock.now();
    reply::lock(&list.state).listings.set(now, body.into_inner());
    HttpResponse::NoContent().finish()
}

async fn set_faults(list: types::State<Arc<List>>, body: types::Json<ListFaults>) -> HttpResponse {
    reply::lock(&list.state).faults = body.into_inner();
    HttpResponse::NoContent().finish()
}

async fn current(list: types::State<Arc<List>>) -> HttpResponse {
    let current = reply::lock(&list.state).listings.current();
    reply::json(StatusCode::OK, &current)
}
