//! Plots attainment over time as SVG.

use std::fmt::Write;

use crate::report::{Report, Slot};

/// Width of the plot, in pixels.
const WIDTH: f64 = 900.0;
/// Height of one report's panel, in pixels.
const PANEL: f64 = 220.0;
/// Space around the axes of a panel, in pixels.
const MARGIN: f64 = 45.0;
/// Shares at which a horizontal grid line is drawn.
const GRID: [f64; 5] = [0.0, 0.25, 0.5, 0.75, 1.0];

/// Draws a panel for each report, one below the other. The line is the
/// attainment of the requests planned in each second. The bars are the number
/// of these requests, relative to the second with the most.
pub fn attainment(reports: &[&Report]) -> String {
    let height = PANEL * reports.len() as f64;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         viewBox=\"0 0 {WIDTH} {height}\" font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    for (index, report) in reports.iter().enumerate() {
        let top = PANEL * index as f64;
        svg.push_str(&panel(report, top));
    }
    svg.push_str("</svg>\n");
    svg
}

fn panel(report: &Report, top: f64) -> String {
    let axes = Axes { top, slots: report.timeline.len() };
    let mut svg = String::new();
    text(&mut svg, MARGIN, top + 15.0, "start", &report.label);
    for share in GRID {
        grid_line(&mut svg, &axes, share);
    }
    bars(&mut svg, &axes, &report.timeline);
    curve(&mut svg, &axes, &report.timeline);
    for event in &report.events {
        mark(&mut svg, &axes, event.at.as_secs_f64(), &event.what);
    }
    let end = format!("{} s", report.timeline.len());
    text(&mut svg, WIDTH - MARGIN, top + PANEL - 8.0, "end", &end);
    svg
}

struct Axes {
    top: f64,
    slots: usize,
}

impl Axes {
    fn x(&self, slot: f64) -> f64 {
        MARGIN + (WIDTH - 2.0 * MARGIN) * slot / self.slots.max(1) as f64
    }

    fn y(&self, share: f64) -> f64 {
        self.top + PANEL - MARGIN / 2.0 - (PANEL - MARGIN) * share
    }
}

fn grid_line(svg: &mut String, axes: &Axes, share: f64) {
    let (left, right, y) = (MARGIN, WIDTH - MARGIN, axes.y(share));
    writeln!(
        svg,
        "<line x1=\"{left:.1}\" y1=\"{y:.1}\" x2=\"{right:.1}\" y2=\"{y:.1}\" stroke=\"#ddd\"/>"
    )
    .ok();
    text(svg, left - 5.0, y + 4.0, "end", &format!("{:.0}%", share * 100.0));
}

fn bars(svg: &mut String, axes: &Axes, timeline: &[Slot]) {
    let most = timeline.iter().map(|slot| slot.planned).max().unwrap_or(0).max(1);
    for (index, slot) in timeline.iter().enumerate() {
        let share = slot.planned as f64 / most as f64;
        let (left, right) = (axes.x(index as f64), axes.x(index as f64 + 0.9));
        let (upper, lower) = (axes.y(share), axes.y(0.0));
        writeln!(
            svg,
            "<rect x=\"{left:.1}\" y=\"{upper:.1}\" width=\"{:.1}\" height=\"{:.1}\" fill=\"#e8eef7\"/>",
            right - left,
            lower - upper,
        )
        .ok();
    }
}

fn curve(svg: &mut String, axes: &Axes, timeline: &[Slot]) {
    let points: Vec<String> = timeline
        .iter()
        .enumerate()
        .filter(|(_, slot)| slot.planned > 0)
        .map(|(index, slot)| {
            let share = slot.in_time as f64 / slot.planned as f64;
            format!("{:.1},{:.1}", axes.x(index as f64 + 0.45), axes.y(share))
        })
        .collect();
    writeln!(
        svg,
        "<polyline points=\"{}\" fill=\"none\" stroke=\"#1f5fa8\" stroke-width=\"2\"/>",
        points.join(" ")
    )
    .ok();
}

fn mark(svg: &mut String, axes: &Axes, at: f64, what: &str) {
    let (x, upper, lower) = (axes.x(at), axes.y(1.0), axes.y(0.0));
    writeln!(
        svg,
        "<line x1=\"{x:.1}\" y1=\"{upper:.1}\" x2=\"{x:.1}\" y2=\"{lower:.1}\" stroke=\"#b03030\" stroke-dasharray=\"4 3\"/>"
    )
    .ok();
    text(svg, x + 3.0, lower - 6.0, "start", what);
}

fn text(svg: &mut String, x: f64, y: f64, anchor: &str, content: &str) {
    let content = escape(content);
    writeln!(svg, "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{content}</text>").ok();
}

/// Escapes text for XML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
