//! The reference page lists every metric.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// The files below a directory.
fn files(dir: &Path) -> Vec<PathBuf> {
    let paths = fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().path());
    paths.flat_map(|path| if path.is_dir() { files(&path) } else { vec![path] }).collect()
}

#[test]
fn the_reference_page_lists_every_metric() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("../../docs/reference/metrics.md")).unwrap();
    let mut missing = Vec::new();
    for path in files(&root.join("src")) {
        let text = fs::read_to_string(path).unwrap();
        let names = text.split("\"relay.").skip(1).filter_map(|rest| rest.split('"').next());
        for name in names {
            let name = name.split(".{").next().unwrap();
            if !page.contains(&format!("`relay.{name}")) && !name.starts_with("refused") {
                missing.push(name.to_owned());
            }
        }
    }
    assert_eq!(missing, Vec::<String>::new());
}
