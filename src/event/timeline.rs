//! Merging and drawing the events of many processes.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;

use super::Event;
use crate::Clock;

/// Selects events by request, version and instance; all given conditions must
/// hold.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Selects events whose request, attempt or key contains this text.
    pub request: Option<String>,
    /// Selects events of this version.
    pub version: Option<String>,
    /// Selects events of this instance.
    pub instance: Option<String>,
}

impl Filter {
    fn matches(&self, event: &Event) -> bool {
        if let Some(text) = &self.request {
            let names = ["request", "attempt", "key"];
            if !names.iter().any(|n| event.field(n).contains(text.as_str())) {
                return false;
            }
        }
        if let Some(expected) = &self.version
            && event.field("version") != expected
        {
            return false;
        }
        match &self.instance {
            Some(expected) => *event.instance == **expected,
            None => true,
        }
    }
}

/// Returns the events that pass the filter in causal order: by hybrid logical
/// clock, then by instance and sequence number, so that the order is the same
/// for every reader.
pub fn merge(mut events: Vec<Event>, filter: &Filter) -> Vec<Event> {
    events.retain(|e| filter.matches(e));
    events.sort_by(|a, b| {
        let (key_a, key_b) = ((a.clock, &a.instance), (b.clock, &b.instance));
        key_a.cmp(&key_b).then(a.seq.cmp(&b.seq))
    });
    events
}

const LABEL_WIDTH_PX: u64 = 180;
const PLOT_WIDTH_PX: u64 = 1_000;
const ROW_HEIGHT_PX: usize = 22;

/// Draws merged events as an SVG image, with one row for each instance and
/// time on the horizontal axis. The text of an event is shown as its tooltip.
pub fn render_svg(events: &[Event]) -> String {
    let mut rows: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for event in events {
        rows.entry(Arc::clone(&event.instance)).or_default();
    }
    for (i, row) in rows.values_mut().enumerate() {
        *row = i;
    }
    let times = events.iter().map(|e| Clock::wall(e.clock));
    let start = times.clone().min().unwrap_or_default();
    let span_ms = times.max().unwrap_or_default().saturating_sub(start).max(1);
    let height = (rows.len() + 2) * ROW_HEIGHT_PX;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" \
         height=\"{height}\" font-family=\"sans-serif\" font-size=\"11\">\n",
        LABEL_WIDTH_PX + PLOT_WIDTH_PX + 40
    );
    for (name, row) in &rows {
        let y = (row + 1) * ROW_HEIGHT_PX;
        let _ = writeln!(
            svg,
            "<text x=\"4\" y=\"{y}\">{}</text><line x1=\"{LABEL_WIDTH_PX}\" \
             x2=\"{}\" y1=\"{y}\" y2=\"{y}\" stroke=\"#ddd\"/>",
            escape(name),
            LABEL_WIDTH_PX + PLOT_WIDTH_PX
        );
    }
    for event in events {
        let x = LABEL_WIDTH_PX
            + (Clock::wall(event.clock) - start) * PLOT_WIDTH_PX / span_ms;
        let row = rows.get(&event.instance).copied().unwrap_or_default();
        let y = (row + 1) * ROW_HEIGHT_PX;
        let _ = writeln!(
            svg,
            "<circle cx=\"{x}\" cy=\"{y}\" r=\"4\" fill=\"{}\">\
             <title>{}</title></circle>",
            color(&event.event),
            escape(&describe(event))
        );
    }
    let y = (rows.len() + 1) * ROW_HEIGHT_PX;
    let _ = writeln!(
        svg,
        "<text x=\"{LABEL_WIDTH_PX}\" y=\"{y}\">{span_ms} ms</text>"
    );
    svg.push_str("</svg>\n");
    svg
}

fn describe(event: &Event) -> String {
    let mut text = event.event.clone();
    for (name, value) in &event.fields {
        let _ = write!(text, " {name}={value}");
    }
    text
}

fn color(event: &str) -> &'static str {
    match event.split('.').next() {
        Some("config") => "#3465a4",
        Some("weights") => "#73d216",
        Some("serving") => "#f57900",
        Some("request") => "#75507b",
        _ => "#555753",
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('"', "&quot;")
}
