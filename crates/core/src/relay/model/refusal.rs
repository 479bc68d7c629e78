//! Refusals of callers' requests.

use peatdeck_macros::id;

/// Why an exchange ends without an endpoint's answer.
#[id]
#[derive(Copy)]
pub enum Refusal {
    /// The instance has not read the configuration and the quarantined contents yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// The caller's key is unknown or missing.
    UnknownKey,
    /// The request lacks what its route needs.
    Malformed,
    /// Nothing ran and nothing will: no endpoint accepts the request.
    Unserved,
    /// Nothing ran and nothing will: it cannot be done before its deadline.
    Infeasible,
    /// Nothing ran and nothing will: the operators' policy rejects the request.
    Policy,
    /// Nothing ran and nothing will: the content is quarantined because it crashes
    /// endpoints.
    Quarantined,
    /// Nothing ran and nothing will: all endpoints of a service that it needs are in
    /// evacuated data centres.
    Evacuated,
    /// Nothing ran and nothing will: no region where it may be served has usable endpoints of
    /// all services that it needs.
    NoAllowedRegion,
    /// Nothing ran and nothing will: the stream that the request takes up may go on only at the
    /// version that began it, and nobody remembers which of several that is.
    UnknownVersion,
    /// Nothing ran and nothing will: the version that began the stream is not known yet, since
    /// neither a peer nor the platform's store has told it.
    OriginUnavailable,
    /// Nothing ran and nothing will: no endpoint is left of the version that began the stream.
    VersionGone,
    /// The deadline passed; something may have run.
    TimedOut,
    /// An endpoint failed; something may have run.
    Failed,
}

impl Refusal {
    /// The refusal to send given whether something may have run. A refusal that promises
    /// that nothing ran becomes [`Refusal::Failed`] then.
    pub fn after(self, has_run: bool) -> Refusal {
        match self {
            Refusal::Infeasible
            | Refusal::Unserved
            | Refusal::Policy
            | Refusal::Quarantined
            | Refusal::Evacuated
            | Refusal::NoAllowedRegion
            | Refusal::UnknownVersion
            | Refusal::OriginUnavailable
            | Refusal::VersionGone
                if has_run =>
            {
                Refusal::Failed
            }
            other => other,
        }
    }

    /// The HTTP status of the answer to the caller.
    pub fn status(self) -> u16 {
        match self {
            Refusal::NotReady
            | Refusal::Unserved
            | Refusal::Infeasible
            | Refusal::Policy
            | Refusal::Quarantined
            | Refusal::Evacuated
            | Refusal::NoAllowedRegion
            | Refusal::UnknownVersion
            | Refusal::OriginUnavailable
            | Refusal::VersionGone => 503,
            Refusal::NoRoute => 404,
            Refusal::UnknownKey => 401,
            Refusal::Malformed => 400,
            Refusal::TimedOut => 504,
            Refusal::Failed => 502,
        }
    }

    /// The name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NotReady => "not_ready",
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::Malformed => "malformed",
            Refusal::Unserved => "unserved",
            Refusal::Infeasible => "infeasible",
            Refusal::Policy => "policy",
            Refusal::Quarantined => "quarantined",
            Refusal::Evacuated => "evacuated",
            Refusal::NoAllowedRegion => "no_allowed_region",
            Refusal::UnknownVersion => "unknown_version",
            Refusal::OriginUnavailable => "origin_unavailable",
            Refusal::VersionGone => "version_gone",
            Refusal::TimedOut => "timed_out",
            Refusal::Failed => "failed",
        }
    }
}
