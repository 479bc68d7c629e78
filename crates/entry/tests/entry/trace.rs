//! The trace file of an entry.

use std::{fs, io::BufReader, path::PathBuf};

use peatdeck_core::trace::{self, OutcomeKind, Report};

use crate::support::{self, Bench};

/// A directory of one test, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let name = format!("peatdeck-entry-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        TempDir(path)
    }

    fn file(&self) -> String {
        self.0.join("entry.trace").to_str().unwrap().to_owned()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

/// Runs a request on an entry with these flags, kills the entry, and replays its
/// trace; returns the report and the text of the trace.
async fn record_and_replay(bench: &Bench, file: &str, flags: &[&str]) -> (Report, String) {
    let entry = bench.entry_with("e1", &[&["--trace", file], flags].concat()).await;
    let (status, _) = support::read(bench.send(&entry, "r1", false).await).await;
    assert_eq!(status, 200);
    drop(entry);
    let report = trace::replay(BufReader::new(fs::File::open(file).unwrap())).unwrap();
    (report, fs::read_to_string(file).unwrap())
}

fn check_clean(report: &Report) {
    assert_eq!(report.faults, []);
    let outcomes: Vec<_> =
        report.callers.iter().map(|line| (line.recorded, line.replayed)).collect();
    assert_eq!(outcomes, [(Some(OutcomeKind::Answered), Some(OutcomeKind::Answered))]);
}

#[ntex::test]
async fn a_trace_of_a_killed_entry_replays_and_contains_no_text() {
    let (bench, dir) = (Bench::start(&[]).await, TempDir::new("hash"));
    let (report, text) = record_and_replay(&bench, &dir.file(), &[]).await;
    check_clean(&report);
    assert!(!text.contains(&bench.expected_output("r1")) && !text.contains("\"input\":\"input\""));
}

#[ntex::test]
async fn a_trace_contains_texts_if_the_setting_asks_for_it() {
    let (bench, dir) = (Bench::start(&[]).await, TempDir::new("keep"));
    let (report, text) = record_and_replay(&bench, &dir.file(), &["--trace-content", "keep"]).await;
    check_clean(&report);
    assert!(text.contains(&bench.expected_output("r1")) && text.contains("\"input\":\"input\""));
}

#[ntex::test]
async fn an_entry_serves_without_a_trace_and_overwrites_nothing() {
    let (bench, dir) = (Bench::start(&[]).await, TempDir::new("exists"));
    fs::write(dir.file(), "of an incident").unwrap();
    let entry = bench.entry_with("e1", &["--trace", &dir.file()]).await;
    assert_eq!(bench.send(&entry, "r1", false).await.status(), 200);
    assert_eq!(fs::read_to_string(dir.file()).unwrap(), "of an incident");
}
