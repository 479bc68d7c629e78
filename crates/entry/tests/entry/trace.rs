//! What an entry records of itself.

use std::{fs, io::BufReader, path::PathBuf};

use peatdeck_core::trace::{self, OutcomeKind, Report};

use crate::support::{self, Bench};

/// A folder of one test, removed with its value.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let own = format!("peatdeck-entry-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(own);
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn file(&self) -> String {
        self.0.join("entry.trace").to_str().unwrap().to_owned()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

/// Runs a request on an entry with these flags, kills the entry, and replays.
async fn recorded(bench: &Bench, file: &str, flags: &[&str]) -> (Report, String) {
    let entry = bench.entry_with("e1", &[&["--trace", file], flags].concat()).await;
    let (status, _) = support::read(bench.send(&entry, "r1", false).await).await;
    assert_eq!(status, 200);
    drop(entry);
    let report = trace::replay(BufReader::new(fs::File::open(file).unwrap())).unwrap();
    (report, fs::read_to_string(file).unwrap())
}

fn check_clean(report: &Report) {
    assert_eq!(report.faults, []);
    let told: Vec<_> = report.callers.iter().map(|line| (line.recorded, line.replayed)).collect();
    assert_eq!(told, [(Some(OutcomeKind::Answered), Some(OutcomeKind::Answered))]);
}

#[ntex::test]
async fn a_trace_of_a_killed_entry_replays_and_contains_no_text() {
    let (bench, folder) = (Bench::start(&[]).await, Folder::new("hash"));
    let (report, text) = recorded(&bench, &folder.file(), &[]).await;
    check_clean(&report);
    assert!(!text.contains(&bench.expected("r1")) && !text.contains("\"input\":\"input\""));
}

#[ntex::test]
async fn a_trace_contains_texts_if_the_setting_asks_for_it() {
    let (bench, folder) = (Bench::start(&[]).await, Folder::new("keep"));
    let (report, text) = recorded(&bench, &folder.file(), &["--trace-content", "keep"]).await;
    check_clean(&report);
    assert!(text.contains(&bench.expected("r1")) && text.contains("\"input\":\"input\""));
}

#[ntex::test]
async fn an_entry_serves_without_a_trace_and_overwrites_nothing() {
    let (bench, folder) = (Bench::start(&[]).await, Folder::new("exists"));
    fs::write(folder.file(), "of an incident").unwrap();
    let entry = bench.entry_with("e1", &["--trace", &folder.file()]).await;
    assert_eq!(bench.send(&entry, "r1", false).await.status(), 200);
    assert_eq!(fs::read_to_string(folder.file()).unwrap(), "of an incident");
}
