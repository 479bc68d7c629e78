//! Every ablation still matches the code that it replaces.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use xtask::ablate;

#[test]
fn every_ablation_matches_the_code() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for ablation in ablate::list() {
        let text = ablation.apply(&root).unwrap();
        assert!(text.contains(&ablation.to), "{}", ablation.name);
    }
}

#[test]
fn this_checkout_is_never_changed() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let refused = ablate::run(&root, "placer", &root).unwrap_err();
    assert!(matches!(refused, ablate::Error::SameCheckout(_)), "{refused}");
}
