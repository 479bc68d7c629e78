//! The reference pages agree with the code.

#![allow(clippy::unwrap_used)]

use std::{
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

use peatdeck_core::{
    instance::{
        Instance,
        counters::Counters,
        input::{Identity, Input},
        settings::Settings,
    },
    model::{
        Incarnation, InstanceEntry, Listing, Outcome, Presence, Refusal, RefusalKind, Uncertainty,
        UncertaintyKind,
    },
};
use peatdeck_entry::{counts::Counts, outcome};

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    fs::read_to_string(path).expect("the page exists")
}

#[test]
fn metrics_page_has_every_counter_of_an_instance_with_its_meaning() {
    let rows =
        Counters::meanings().map(|(name, meaning)| format!("| `{name}` | {} |", meaning.trim()));
    let table = rows.collect::<Vec<_>>().join("\n");
    let page = page("reference/metrics.md");
    assert!(page.contains(&table), "docs/reference/metrics.md must hold these rows:\n{table}");
}

#[test]
fn metrics_page_has_every_counter_of_the_event_loop() {
    let page = page("reference/metrics.md");
    let counts = Counts::default();
    let missing: Vec<_> = counts
        .each()
        .map(|(name, _)| name)
        .filter(|name| !page.contains(&format!("| `{name}` | ")))
        .collect();
    assert!(missing.is_empty(), "docs/reference/metrics.md must name {missing:?}");
}

/// An `Outcome` of each kind of refusal and uncertainty.
fn outcomes() -> Vec<Outcome> {
    let refusals = [
        RefusalKind::Infeasible,
        RefusalKind::OverShare,
        RefusalKind::Expired,
        RefusalKind::Policy,
        RefusalKind::NoEndpoint,
        RefusalKind::NotReady,
        RefusalKind::Stopping,
        RefusalKind::ClaimUnknown,
        RefusalKind::ClaimHorizon,
    ];
    let uncertainties = [
        UncertaintyKind::TimedOut,
        UncertaintyKind::StageFailed,
        UncertaintyKind::InProgress,
        UncertaintyKind::ClaimedElsewhere,
        UncertaintyKind::AlreadyFinished,
        UncertaintyKind::EarlierUnknown,
    ];
    let refusal = |kind| Outcome::NotRun(Refusal { kind, retry_after: Duration::ZERO });
    let uncertainty =
        |kind| Outcome::MayHaveRun(Uncertainty { kind, stage: None, retry_after: None });
    refusals.into_iter().map(refusal).chain(uncertainties.into_iter().map(uncertainty)).collect()
}

#[test]
fn runbook_has_every_code_of_a_refusal_or_uncertainty() {
    let page = page("runbook.md");
    let codes = outcomes().into_iter().map(|outcome| outcome::code(&outcome));
    let missing: Vec<_> = codes.filter(|code| !page.contains(&format!("`{code}`"))).collect();
    assert!(missing.is_empty(), "docs/runbook.md must name {missing:?}");
}

#[test]
fn runbook_has_every_reason_for_not_being_ready() {
    let page = page("runbook.md");
    let reasons = unready().into_iter().flat_map(|instance| instance.unready_reasons());
    let missing: Vec<_> = reasons.filter(|reason| !page.contains(&**reason)).collect();
    assert!(missing.is_empty(), "docs/runbook.md must name {missing:?}");
}

/// Instances that are not ready, each for another reason: one that has just
/// started, one that is stopping, and one that has been isolated for a minute.
fn unready() -> [Instance; 3] {
    let identity = Identity {
        name: "entry-1".into(),
        incarnation: Incarnation(1),
        data_centre: "north".into(),
    };
    let start = || Instance::new(identity.clone(), Settings::default(), 1);
    let mut stopping = start();
    stopping.handle(Duration::ZERO, Input::Stop);
    let mut isolated = start();
    let peer = InstanceEntry {
        name: "entry-2".into(),
        peer_addr: "10.0.0.2:7400".into(),
        http_addr: "10.0.0.2:7480".into(),
        data_centre: "north".into(),
        presence: Presence::Live,
    };
    let listing = Listing { instances: vec![peer], endpoints: Vec::new() };
    isolated.handle(Duration::ZERO, Input::Listed(listing));
    isolated.handle(Duration::from_secs(60), Input::Tick);
    [start(), stopping, isolated]
}

#[test]
fn links_between_pages_lead_to_existing_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut pages = Vec::new();
    for folder in ["", "docs", "docs/design", "docs/reference"] {
        pages.extend(markdown_in(&root.join(folder)));
    }
    let broken: Vec<_> = pages.iter().flat_map(|page| broken_links(page)).collect();
    assert!(broken.is_empty(), "these links are broken: {broken:#?}");
}

fn markdown_in(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the folder exists");
    let paths = entries.map(|entry| entry.expect("the folder can be read").path());
    paths.filter(|path| path.extension().is_some_and(|kind| kind == "md")).collect()
}

/// Links of a page to files that don't exist, with the path of the page.
fn broken_links(page: &Path) -> Vec<String> {
    let text = fs::read_to_string(page).expect("the page can be read");
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split_once(')'));
    let files = targets.map(|(target, _)| target.split('#').next().unwrap_or_default());
    let local = files.filter(|file| !file.is_empty() && !file.contains("://"));
    let broken = local.filter(|file| !page.with_file_name(file).exists());
    broken.map(|file| format!("{}: {file}", page.display())).collect()
}
