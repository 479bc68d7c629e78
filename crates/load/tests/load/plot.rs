#![allow(clippy::unwrap_used)]

use expect_test::expect;
use peatdeck_load::plot;

use crate::report::report;

/// The names of all elements in order. Parses only the subset of XML that the
/// plot uses, and panics if the text is not well-formed.
fn elements(svg: &str) -> Vec<String> {
    let mut open = Vec::new();
    let mut seen = Vec::new();
    for tag in svg.split('<').skip(1) {
        let (inner, text) = tag.split_once('>').expect("a tag ends");
        assert!(!text.contains('&') || text.contains(';'), "bare ampersand in {text}");
        if let Some(name) = inner.strip_prefix('/') {
            assert_eq!(open.pop().as_deref(), Some(name));
            continue;
        }
        let name = inner.split_whitespace().next().expect("a tag has a name");
        assert_eq!(inner.matches('"').count() % 2, 0, "quotes in {inner}");
        seen.push(name.to_owned());
        if !inner.ends_with('/') {
            open.push(name.to_owned());
        }
    }
    assert!(open.is_empty(), "not closed: {open:?}");
    seen
}

#[test]
fn the_plot_is_well_formed() {
    let report = report();
    let names = elements(&plot::attainment(&[&report, &report]));
    assert_eq!(names[0], "svg");
    assert_eq!(names.iter().filter(|name| *name == "polyline").count(), 2);
}

#[test]
fn text_is_escaped() {
    let svg = plot::attainment(&[&report()]);
    assert!(svg.contains("killed &lt;e-3&gt; &amp; e-4"), "{svg}");
}

#[test]
fn the_curve_is_the_attainment_of_each_second() {
    let svg = plot::attainment(&[&report()]);
    let curve = svg.lines().find(|line| line.starts_with("<polyline")).unwrap();
    expect![[r##"<polyline points="166.5,22.5 436.5,80.8 706.5,197.5" fill="none" stroke="#1f5fa8" stroke-width="2"/>"##]].assert_eq(curve);
}
