//! Renders the timeline as a self-contained HTML page with one lane per process and time from left
//! to right.

use std::{
    collections::BTreeMap,
    fmt::Write, //
};

use flamingoscale::timeline::Event;

use crate::timeline::format_fields;

/// Width of the SVG drawing.
const WIDTH_PX: u64 = 1_400;

/// Height of the lane of one process.
const LANE_HEIGHT_PX: usize = 64;

/// Height of the time axis above the lanes.
const AXIS_HEIGHT_PX: usize = 26;

/// Number of intervals that the marks divide the time axis into.
const AXIS_INTERVALS: u64 = 10;

/// Number of rows in a lane. Components are spread over the rows, so that their concurrent events
/// rarely overlap.
const ROWS_PER_LANE: usize = 4;

/// Space to the left of the lanes for process names.
const LEFT_MARGIN_PX: u64 = 120;

/// Colours of the components. The component of an event is the part of its kind before the first
/// dot.
const COLOURS: [&str; 16] = [
    "#1b6ca8", "#c8553d", "#2e7d32", "#8e44ad", "#b7791f", "#00838f", "#ad1457", "#5d4037",
    "#455a64", "#9e9d24", "#e67e22", "#16a085", "#d81b60", "#3949ab", "#7cb342", "#000000",
];

const STYLE: &str = "body{font:14px sans-serif;margin:24px;color:#222}h1{font-size:20px}\
svg{border:1px solid #ddd;background:#fcfcfc}table{border-collapse:collapse;margin-top:16px}\
td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #eee;font-size:13px}\
.key span{display:inline-block;margin-right:16px}.dot{border-radius:50%;width:10px;height:10px;\
display:inline-block;margin-right:5px}td.m{font-family:monospace;white-space:nowrap}";

/// Renders the page; the events must already be merged into causal order.
pub(crate) fn render(events: &[Event]) -> String {
    let layout = Layout::new(events);
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>flamingoscale time \
         line</title><style>{STYLE}</style><h1>Time line: {} events of {} processes over {} \
         ms</h1>",
        events.len(),
        layout.lanes.len(),
        layout.span_ms
    );
    layout.write_legend(&mut page);
    layout.write_lanes(&mut page, events);
    layout.write_table(&mut page, events);
    page
}

/// Maps times, processes and components to positions and colours of the drawing.
struct Layout {
    /// Wall-clock time of the first event.
    start_ms: u64,
    /// Time from the first event to the last, at least 1 ms.
    span_ms: u64,
    /// Lane number of each process, in order of first appearance.
    lanes: BTreeMap<String, usize>,
    /// Row number of each component, which also selects its colour.
    component_rows: BTreeMap<String, usize>,
}

impl Layout {
    fn new(events: &[Event]) -> Self {
        let start_ms = events.first().map_or(0, |event| event.stamp.wall_ms);
        let end_ms = events.last().map_or(0, |event| event.stamp.wall_ms);
        let mut lanes = BTreeMap::new();
        let mut component_rows = BTreeMap::new();
        for event in events {
            let lane = lanes.len();
            lanes.entry(event.process.to_string()).or_insert(lane);
            let row = component_rows.len();
            component_rows
                .entry(component(event).to_owned())
                .or_insert(row);
        }
        Self {
            start_ms,
            span_ms: (end_ms - start_ms).max(1),
            lanes,
            component_rows,
        }
    }

    fn x_px(&self, event: &Event) -> u64 {
        let elapsed_ms = event.stamp.wall_ms - self.start_ms;
        LEFT_MARGIN_PX + elapsed_ms * (WIDTH_PX - LEFT_MARGIN_PX - 20) / self.span_ms
    }

    fn colour(&self, event: &Event) -> &'static str {
        colour(self.row(event))
    }

    fn row(&self, event: &Event) -> usize {
        self.component_rows
            .get(component(event))
            .copied()
            .unwrap_or(0)
    }

    fn write_axis(&self, page: &mut String, height: usize) {
        for mark in 0..=AXIS_INTERVALS {
            let x = LEFT_MARGIN_PX + (WIDTH_PX - LEFT_MARGIN_PX - 20) * mark / AXIS_INTERVALS;
            let elapsed_ms = self.span_ms * mark / AXIS_INTERVALS;
            let _ = write!(
                page,
                "<line x1=\"{x}\" y1=\"{AXIS_HEIGHT_PX}\" x2=\"{x}\" y2=\"{height}\" stroke=\"#eee\"/>\
                 <text x=\"{x}\" y=\"16\" font-size=\"11\" text-anchor=\"middle\" \
                 fill=\"#777\">{elapsed_ms} ms</text>"
            );
        }
    }

    fn write_legend(&self, page: &mut String) {
        page.push_str("<p class=\"key\">");
        for (component, &row) in &self.component_rows {
            let (component, colour) = (escape(component), colour(row));
            let _ = write!(
                page,
                "<span><i class=\"dot\" style=\"background:{colour}\"></i>{component}</span>"
            );
        }
        page.push_str("</p>");
    }

    fn write_lanes(&self, page: &mut String, events: &[Event]) {
        let height = AXIS_HEIGHT_PX + self.lanes.len() * LANE_HEIGHT_PX + 10;
        let _ = write!(page, "<svg width=\"{WIDTH_PX}\" height=\"{height}\">");
        self.write_axis(page, height);
        for (process, lane) in &self.lanes {
            let y = AXIS_HEIGHT_PX + lane * LANE_HEIGHT_PX + LANE_HEIGHT_PX / 2;
            let process = escape(process);
            let _ = write!(
                page,
                "<text x=\"8\" y=\"{}\">{process}</text><line x1=\"{LEFT_MARGIN_PX}\" y1=\"{y}\" \
                 x2=\"{WIDTH_PX}\" y2=\"{y}\" stroke=\"#ccc\"/>",
                y + 5
            );
        }
        for event in events {
            self.write_dot(page, event);
        }
        page.push_str("</svg>");
    }

    fn write_dot(&self, page: &mut String, event: &Event) {
        let lane = self.lanes.get(&*event.process).copied().unwrap_or(0);
        let row_px = LANE_HEIGHT_PX / (ROWS_PER_LANE + 1);
        let y =
            AXIS_HEIGHT_PX + lane * LANE_HEIGHT_PX + (self.row(event) % ROWS_PER_LANE + 1) * row_px;
        let (x, colour) = (self.x_px(event), self.colour(event));
        let title = escape(&format!(
            "{} {} {}",
            event.kind,
            event.trace,
            format_fields(&event.fields)
        ));
        let _ = write!(
            page,
            "<circle cx=\"{x}\" cy=\"{y}\" r=\"5\" fill=\"{colour}\" \
             fill-opacity=\".75\"><title>{title}</title></circle>"
        );
    }

    fn write_table(&self, page: &mut String, events: &[Event]) {
        page.push_str(
            "<table><tr><th>after</th><th>process</th><th>event</th><th>of</th>\
             <th>details</th></tr>",
        );
        for event in events {
            let elapsed_ms = event.stamp.wall_ms - self.start_ms;
            let _ = write!(
                page,
                "<tr><td class=\"m\">{elapsed_ms} ms</td><td>{}</td><td style=\"color:{}\">{}</td>\
                 <td class=\"m\">{}</td><td>{}</td></tr>",
                escape(&event.process),
                self.colour(event),
                escape(&event.kind),
                escape(&event.trace),
                escape(&format_fields(&event.fields))
            );
        }
        page.push_str("</table></html>");
    }
}

fn colour(row: usize) -> &'static str {
    COLOURS[row % COLOURS.len()]
}

/// Returns the part of the event kind before the first dot.
fn component(event: &Event) -> &str {
    event.kind.split('.').next().unwrap_or("")
}

/// Escapes text for HTML and attribute values.
fn escape(text: &str) -> String {
    let escaped = text.replace('&', "&amp;").replace('<', "&lt;");
    escaped.replace('>', "&gt;").replace('"', "&quot;")
}
