//! Property test: random histories of several instances in two and five regions.
//!
//! Whatever regions a route and a team allow, and whichever endpoints, instances and lists change:
//! no call, piece or source of a copy is outside the allowed regions; nothing with content is
//! passed to an instance that is neither there nor in the region where the request arrived; a
//! request is refused for lack of an allowed region only if there is none; and no state remains at
//! the end.
//!
//! `PEATDECK_REGION_CASES` sets the number of cases.

mod network;

use proptest::prelude::*;

use network::Network;

const REGIONS: [&str; 5] = ["a", "b", "c", "d", "e"];
const SERVICES: [&str; 3] = ["ledger", "desk", "engine"];
const ROUTES: [&str; 3] = ["r", "plain", "chat"];
const TEAMS: [&str; 2] = ["one", "two"];
/// Regions that a list may name: `x1` is a data centre without a region, and `z` does not exist.
const NAMES: [&str; 7] = ["a", "b", "c", "d", "e", "x1", "z"];

type List = Option<Vec<u8>>;

#[derive(Debug, Clone)]
enum Step {
    /// An instance gets a request of a route and a team.
    Arrive(u8, u8, u8),
    /// A call ends: with its results, a failure or a refusal.
    Finish(u8, u8),
    /// An endpoint disappears, announces that it leaves, or returns.
    Endpoint(u8, u8),
    /// An instance is cut off from the others, or connected again.
    Instance(u8, bool),
    /// The list of a route or a team is replaced.
    Allow(u8, List),
    Evacuate(u8, bool),
    Wait(u16),
}

/// Where the endpoints and instances are.
#[derive(Debug, Clone)]
struct Shape {
    regions: usize,
    /// The number of instances of each region.
    instances: Vec<u8>,
    /// The data centre of each endpoint, as an index; its service is its own index modulo three.
    endpoints: Vec<u8>,
    /// The lists of the routes, then of the teams.
    lists: Vec<List>,
}

fn list() -> impl Strategy<Value = List> {
    proptest::option::of(proptest::collection::vec(0..NAMES.len() as u8, 0..4))
}

fn shape() -> impl Strategy<Value = Shape> {
    prop_oneof![Just(2_usize), Just(5)].prop_flat_map(|regions| {
        let instances = proptest::collection::vec(0..3_u8, regions);
        let endpoints = proptest::collection::vec(0..2 * regions as u8 + 1, 3..24);
        let lists = proptest::collection::vec(list(), ROUTES.len() + TEAMS.len());
        let shape =
            move |(instances, endpoints, lists)| Shape { regions, instances, endpoints, lists };
        (instances, endpoints, lists).prop_map(shape)
    })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (any::<u8>(), any::<u8>(), any::<u8>()).prop_map(|(a, b, c)| Step::Arrive(a, b, c)),
        8 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Step::Finish(a, b)),
        3 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Step::Endpoint(a, b)),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(a, b)| Step::Instance(a, b)),
        2 => (any::<u8>(), list()).prop_map(|(a, b)| Step::Allow(a, b)),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(a, b)| Step::Evacuate(a, b)),
        3 => (1..600_u16).prop_map(Step::Wait),
    ]
}

fn run(shape: Shape, steps: Vec<Step>) {
    let mut network = Network::new(shape);
    for step in steps {
        network.apply(step);
    }
    network.end();
}

fn cases() -> u32 {
    let cases = std::env::var("PEATDECK_REGION_CASES").ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(100)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    #[test]
    fn nothing_leaves_the_allowed_regions(
        shape in shape(),
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        run(shape, steps);
    }
}
