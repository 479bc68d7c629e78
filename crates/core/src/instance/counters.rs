//! Counters of an instance. They only rise; the event loop sends the differences on.

/// Declares the counters once: field, name on the wire, meaning.
macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// Events counted since the instance started.
        #[derive(Debug, Clone, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[doc = $doc])+ pub $name: u64,)+
        }

        impl Counters {
            /// Every counter with its name.
            pub fn each(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name),)+].into_iter()
            }

            /// Every counter's name with its meaning, for the reference page.
            pub fn meanings() -> impl Iterator<Item = (&'static str, &'static str)> {
                [$((stringify!($name), concat!($($doc,)+)),)+].into_iter()
            }
        }
    };
}

counters! {
    /// Requests whose form was right.
    received,
    /// Requests answered whole.
    answered,
    /// Requests told that nothing ran.
    not_run,
    /// Requests told that something may have run.
    may_have_run,
    /// Requests that were wrong in themselves.
    invalid,
    /// Callers that went away before their answer.
    callers_gone,
    /// Calls sent to endpoints.
    calls,
    /// Calls sent again after a failure.
    retries,
    /// Calls sent beside a slow one.
    hedges,
    /// Generations taken up by another engine where one was cut.
    resumes,
    /// Calls cancelled.
    cancelled,
    /// Retries and hedges that the budget did not allow.
    budget_denied,
    /// Replies dropped because they belong to another request, stage or attempt.
    echo_mismatch,
    /// Replies or pieces that came after their call had ended.
    late_replies,
    /// Pieces of text that came twice.
    duplicate_pieces,
    /// Streams whose end did not match their pieces.
    torn_streams,
    /// Calls that endpoints refused.
    refused_calls,
    /// Calls that ended without a whole reply.
    failed_calls,
    /// Claims asked for.
    claims,
    /// Claims read back as the first for their key.
    claims_won,
    /// Claims that another instance, or an earlier request, holds.
    claims_lost,
    /// Claims given up before anything ran.
    claims_voided,
    /// Configuration versions that came into force here.
    versions,
    /// Policy programs that failed and were passed over.
    policy_errors,
    /// Reads of the log that failed.
    log_read_failures,
    /// Appends to the log that failed or went unanswered.
    append_failures,
    /// Gossip messages sent.
    gossip_sent,
    /// Gossip messages received.
    gossip_received,
    /// Endpoints learnt to be leaving from the list, an operator or a peer.
    leaving_learnt,
}
