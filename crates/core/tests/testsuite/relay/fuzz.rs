//! Property tests: random histories are checked against a simple oracle.
//!
//! Whatever endpoints answer, lose or refuse, and in whatever order: each exchange ends exactly
//! once, a request that may run once is not called again after it may have run, a refusal states
//! "not run" only if nothing may have run, nothing is sent to a leaving endpoint, a stream holds
//! events of one version, and no state remains at the end.

mod oracle;
mod peer;
mod run;
mod steps;
mod world;

use proptest::prelude::*;

use run::{run, run_in};
use steps::{
    Step, step, step_with_crashes, step_with_evacuations, step_with_peer, step_with_terms,
    step_with_versions,
};
use world::world_with_peer;

/// An engine sends an event and then states that it did not run the request because its inputs are
/// gone. The stream was called again. Found by a longer run (seed 77, 30,000 cases).
#[test]
fn a_stream_that_sent_events_has_run() {
    let mut steps = vec![Step::Arrive(142), Step::Complete(0, 4), Step::Complete(0, 4)];
    steps.extend([Step::Complete(0, 4), Step::Event(0), Step::Reply(0, 3)]);
    run(steps);
}

/// A call takes too long for a piece whose request has ended meanwhile. The piece was repeated
/// elsewhere although no request needed it. Found by a longer run (seed 79).
#[test]
fn pieces_of_ended_requests_are_not_repeated() {
    use Step::{Arrive, Complete, Disconnect, Reply, Restart, Wait};
    let begin = [Reply(0, 0), Arrive(0), Arrive(128), Complete(0, 4), Reply(0, 0), Arrive(0)];
    let replies = [Arrive(0), Arrive(0), Reply(0, 0), Reply(0, 0), Reply(0, 0), Arrive(0)];
    let disconnect =
        [Reply(0, 0), Reply(0, 0), Disconnect(0), Disconnect(0), Arrive(128), Disconnect(7)];
    let complete =
        [Arrive(255), Complete(32, 68), Complete(71, 35), Wait(60), Arrive(135), Complete(76, 44)];
    let wait = [Wait(88), Wait(133), Arrive(136), Reply(0, 0), Complete(109, 44), Restart(247)];
    let crash = [Arrive(0), Restart(6), Disconnect(3), Arrive(0), Restart(174), Wait(406)];
    let late = [Restart(198), Wait(574)];
    let steps = [&begin[..], &replies, &disconnect, &complete, &wait, &crash, &late].concat();
    run(steps);
}

/// A piece of a request may have run and another one has not; both become late at once. The request
/// was refused as not run because of the second one. Found by a longer run (seed 77,031).
#[test]
fn a_late_piece_that_did_not_run_does_not_hide_one_that_may_have() {
    use Step::{Arrive, Complete, Elapse, StartLeaving, Wait};
    let begin = [Arrive(231), StartLeaving(49), Complete(0, 72), Arrive(202), Elapse(476)];
    let steps = [&begin[..], &[Arrive(131), Elapse(844), Wait(461)]].concat();
    run(steps);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_exchange_ends_once_and_correctly(steps in proptest::collection::vec(step(), 1..120)) {
        run(steps);
    }

    /// The property includes work in progress when an endpoint is evacuated or becomes cold.
    #[test]
    fn evacuated_endpoints_get_nothing_and_cold_ones_a_limited_rate(
        steps in proptest::collection::vec(step_with_evacuations(), 1..160)
    ) {
        run(steps);
    }

    /// The property includes work in progress when an endpoint reports its terms.
    #[test]
    fn holds_limits_and_leaving_are_respected(
        steps in proptest::collection::vec(step_with_terms(), 1..160)
    ) {
        run(steps);
    }

    /// The property includes streams whose version has left or that nobody remembers.
    #[test]
    fn streams_hold_events_of_one_version(
        steps in proptest::collection::vec(step_with_versions(), 1..160)
    ) {
        run(steps);
    }

    /// The property includes work in progress when the content is quarantined.
    #[test]
    fn quarantined_content_is_not_sent(
        steps in proptest::collection::vec(step_with_crashes(), 1..160)
    ) {
        run(steps);
    }

    /// The peer answers late, never, twice, or for engines that are gone.
    #[test]
    fn late_and_repeated_answers_of_a_peer_end_each_exchange_once(
        steps in proptest::collection::vec(step_with_peer(), 1..160)
    ) {
        run_in(world_with_peer(), steps);
    }
}
