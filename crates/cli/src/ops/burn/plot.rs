//! Plots attainment over time as SVG.

use std::fmt::Write;

use crate::ops::burn::{Count, POINT_SECONDS, Series};

/// Width of a plot, in user units.
const WIDTH: f64 = 720.0;
/// Height of a plot, in user units.
const HEIGHT: f64 = 170.0;
/// Margin for the labels on the left.
const LEFT: f64 = 62.0;
/// Margin for the objective's label on the right, separate from the other labels.
const RIGHT: f64 = 62.0;
/// Margin at the top.
const TOP: f64 = 10.0;
/// Margin for the labels at the bottom.
const BOTTOM: f64 = 24.0;
/// Margin of the scale below the lowest value, as a share of the range from that
/// value to 1.
const LOW_MARGIN: f64 = 0.1;
/// Hours between labels of the time axis.
const LABEL_HOURS: usize = 1;

/// Draws the attainment of each point and the objective as a horizontal line.
/// Points without requests leave a gap. The scale ends at 1 and starts just
/// below the lowest value, so that small misses are visible.
pub fn attainment(series: &Series) -> String {
    let scale = Scale::new(series);
    let mut svg = format!(
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-label=\"Attainment over time\">\n"
    );
    time_axis(&mut svg, &scale);
    for value in [1.0, scale.low] {
        value_line(&mut svg, scale.y(value), "grid");
        value_label(&mut svg, scale.y(value), LEFT - 6.0, "y grid", value);
    }
    if let Some(objective) = series.objective {
        value_line(&mut svg, scale.y(objective), "objective");
        value_label(&mut svg, scale.y(objective), WIDTH - RIGHT + 6.0, "objective", objective);
    }
    for run in runs(&series.points) {
        line(&mut svg, &scale, &run);
    }
    svg.push_str("</svg>\n");
    svg
}

/// Maps points and values to coordinates. `low` is the lowest value of the scale.
struct Scale {
    low: f64,
    points: usize,
}

impl Scale {
    fn new(series: &Series) -> Scale {
        let values = series.points.iter().filter_map(|count| count.attainment());
        let lowest = values.chain(series.objective).fold(1.0, f64::min);
        let low = (lowest - (1.0 - lowest) * LOW_MARGIN).max(0.0);
        let low = if low < 1.0 { low } else { 0.99 };
        Scale { low, points: series.points.len() }
    }

    fn x(&self, point: usize) -> f64 {
        let step = (WIDTH - LEFT - RIGHT) / self.points.max(1) as f64;
        LEFT + (point as f64 + 0.5) * step
    }

    fn y(&self, value: f64) -> f64 {
        let share = (1.0 - value) / (1.0 - self.low);
        TOP + share * (HEIGHT - TOP - BOTTOM)
    }
}

fn time_axis(svg: &mut String, scale: &Scale) {
    let per_hour = 3600 / POINT_SECONDS as usize;
    let hours = scale.points / per_hour;
    for hour in (0..=hours).step_by(LABEL_HOURS) {
        let point = scale.points.saturating_sub(1 + hour * per_hour);
        let (x, y) = (scale.x(point), HEIGHT - 6.0);
        let label = if hour == 0 { "now".to_owned() } else { format!("−{hour} h") };
        let _ = writeln!(svg, "<text x=\"{x:.1}\" y=\"{y:.1}\" class=\"x\">{label}</text>");
    }
}

fn value_line(svg: &mut String, y: f64, class: &str) {
    let right = WIDTH - RIGHT;
    let _ = writeln!(
        svg,
        "<line x1=\"{LEFT}\" x2=\"{right}\" y1=\"{y:.1}\" y2=\"{y:.1}\" class=\"{class}\"/>"
    );
}

fn value_label(svg: &mut String, y: f64, x: f64, class: &str, value: f64) {
    let (base, percent) = (y + 4.0, value * 100.0);
    let _ =
        writeln!(svg, "<text x=\"{x}\" y=\"{base:.1}\" class=\"{class}\">{percent:.2} %</text>");
}

/// Groups consecutive points that have requests, with their attainment.
fn runs(points: &[Count]) -> Vec<Vec<(usize, f64)>> {
    let mut runs = vec![Vec::new()];
    for (idx, count) in points.iter().enumerate() {
        match (count.attainment(), runs.last_mut()) {
            (Some(value), Some(run)) => run.push((idx, value)),
            _ => runs.push(Vec::new()),
        }
    }
    runs.retain(|run| !run.is_empty());
    runs
}

fn line(svg: &mut String, scale: &Scale, run: &[(usize, f64)]) {
    let place =
        |(point, value): &(usize, f64)| format!("{:.1},{:.1}", scale.x(*point), scale.y(*value));
    if let [only] = run {
        let place = place(only);
        let (x, y) = place.split_once(',').unwrap_or(("0", "0"));
        let _ = writeln!(svg, "<circle cx=\"{x}\" cy=\"{y}\" r=\"2.5\" class=\"dot\"/>");
        return;
    }
    let places: Vec<String> = run.iter().map(place).collect();
    let _ = writeln!(svg, "<polyline points=\"{}\" class=\"line\"/>", places.join(" "));
}
