//! Generations whose endpoints have several versions of their software.

use peatdeck_core::{document::PoolKind, instance::action::Call};

use crate::single::{World, ms, team};

const ENDPOINTS: [(&str, &str); 4] = [("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")];

fn software_of(call: &Call) -> &'static str {
    let known = ENDPOINTS.iter().find(|(name, _)| *name == &*call.endpoint);
    known.expect("the endpoint is listed").1
}

/// A generation that has brought two pieces.
fn begun() -> (World, Call) {
    let mut world = World::with_endpoints(vec![team("team", 1)], PoolKind::Engine, &ENDPOINTS);
    let call = world.submit().unwrap();
    world.piece(&call, 0);
    world.piece(&call, 1);
    (world, call)
}

#[test]
fn an_interrupted_generation_goes_on_at_the_version_that_began_it() {
    let (mut world, mut call) = begun();
    let software = software_of(&call);
    for _ in 0..3 {
        let next = world.cut(&call).pop().or_else(|| world.advance(ms(600)).pop());
        call = next.expect("it goes on");
        assert_eq!(software_of(&call), software);
        assert_eq!(call.resume.len(), 2);
    }
}

#[test]
fn a_generation_whose_version_has_left_begins_anew_if_its_caller_has_received_nothing() {
    let (mut world, call) = begun();
    world.list(&ENDPOINTS, Some(software_of(&call)));
    let next = world.cut(&call).pop().or_else(|| world.advance(ms(200)).pop());
    let next = next.expect("it begins anew");
    assert_ne!(software_of(&next), software_of(&call));
    assert_eq!(next.resume.len(), 0);
}
