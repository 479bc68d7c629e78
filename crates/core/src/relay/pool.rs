//! Which endpoints a piece of work may go to.

/// A version of a service's software that work may be sent to on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Track {
    /// The endpoints that serve the service's requests.
    #[default]
    Stable,
    /// The endpoints of a version that is being rolled out and gets a small share of the requests.
    Canary,
}

/// The endpoints that a piece of work may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Pool<'a> {
    /// The service.
    pub service: &'a str,
    /// The only region whose endpoints may run the work; `None` for any region.
    pub region: Option<&'a str>,
    /// The version that runs the work.
    pub track: Track,
}

impl<'a> Pool<'a> {
    /// The stable endpoints of a service in all regions.
    pub fn of(service: &'a str) -> Pool<'a> {
        Pool { service, region: None, track: Track::Stable }
    }
}
