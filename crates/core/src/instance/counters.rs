//! Counters of an instance. They only increase; the event loop reports the differences.

/// Declares each counter once: its field, which is also its outer name, and its meaning.
macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// Events counted since the instance started.
        #[derive(Debug, Clone, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[doc = $doc])+ pub $name: u64,)+
        }

        impl Counters {
            /// Iterates over the names and values of all counters.
            pub fn each(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name),)+].into_iter()
            }

            /// Iterates over the names and meanings of all counters, for the reference page.
            pub fn meanings() -> impl Iterator<Item = (&'static str, &'static str)> {
                [$((stringify!($name), concat!($($doc,)+)),)+].into_iter()
            }
        }
    };
}

counters! {
    /// Well-formed requests received.
    received,
    /// Requests answered completely.
    answered,
    /// Requests with the outcome that nothing of them ran.
    not_run,
    /// Requests with the outcome that something of them may have run.
    may_have_run,
    /// Requests rejected as invalid.
    invalid,
    /// Callers that disconnected before their answer.
    callers_gone,
    /// Calls sent to endpoints.
    calls,
    /// Calls sent again after a failure.
    retries,
    /// Hedges: second calls sent beside a slow one.
    hedges,
    /// Interrupted generations that another engine continued.
    resumes,
    /// Calls cancelled.
    cancelled,
    /// Retries and hedges that the retry budget did not allow.
    budget_denied,
    /// Replies dropped because they belong to another request, stage or attempt.
    echo_mismatch,
    /// Replies or pieces that arrived after their call had ended.
    late_replies,
    /// Pieces of text received twice.
    duplicate_pieces,
    /// Streams whose end did not match their pieces.
    torn_streams,
    /// Calls refused by endpoints.
    refused_calls,
    /// Calls that ended without a complete reply.
    failed_calls,
    /// Claims requested.
    claims,
    /// Claims read back as the first for their key.
    claims_won,
    /// Claims lost to another instance or an earlier request.
    claims_lost,
    /// Claims given up before anything ran.
    claims_voided,
    /// Configuration versions that came into force on this instance.
    versions,
    /// Policy evaluations that failed, so that the built-in decision applied.
    policy_errors,
    /// Reads of the log that failed.
    log_read_failures,
    /// Appends to the log that failed or went unanswered.
    append_failures,
    /// Gossip messages sent.
    gossip_sent,
    /// Gossip messages received.
    gossip_received,
    /// Endpoints newly known to be leaving, from the list, an operator or a peer.
    leaving_learnt,
}
