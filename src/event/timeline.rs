//! The events of many processes in one order.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;

use super::Event;
use crate::Clock;

/// Chooses events by request, version or instance.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Only events whose request, attempt or key contains this.
    pub request: Option<String>,
    /// Only events of this version.
    pub version: Option<String>,
    /// Only events of this instance.
    pub instance: Option<String>,
}

impl Filter {
    fn passes(&self, event: &Event) -> bool {
        if let Some(want) = &self.request {
            let names = ["request", "attempt", "key"];
            if !names.iter().any(|n| event.field(n).contains(want.as_str())) {
                return false;
            }
        }
        if let Some(want) = &self.version
            && event.field("version") != want
        {
            return false;
        }
        match &self.instance {
            Some(want) => *event.instance == **want,
            None => true,
        }
    }
}

/// Merges events into causal order: by hybrid clock, then instance and
/// sequence, so that every reader sees the same order.
pub fn merge(mut events: Vec<Event>, filter: &Filter) -> Vec<Event> {
    events.retain(|e| filter.passes(e));
    events.sort_by(|a, b| {
        let (x, y) = ((a.clock, &a.instance), (b.clock, &b.instance));
        x.cmp(&y).then(a.seq.cmp(&b.seq))
    });
    events
}

const LEFT: u64 = 180;
const WIDTH: u64 = 1_000;
const ROW: usize = 22;

/// Draws merged events as an SVG picture: a row an instance, time to the
/// right, and each event's text where the pointer rests.
pub fn render_svg(events: &[Event]) -> String {
    let mut rows: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for event in events {
        rows.entry(Arc::clone(&event.instance)).or_default();
    }
    for (i, row) in rows.values_mut().enumerate() {
        *row = i;
    }
    let walls = events.iter().map(|e| Clock::wall(e.clock));
    let from = walls.clone().min().unwrap_or_default();
    let span = walls.max().unwrap_or_default().saturating_sub(from).max(1);
    let height = (rows.len() + 2) * ROW;
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" \
         height=\"{height}\" font-family=\"sans-serif\" font-size=\"11\">\n",
        LEFT + WIDTH + 40
    );
    for (name, row) in &rows {
        let y = (row + 1) * ROW;
        let _ = writeln!(
            out,
            "<text x=\"4\" y=\"{y}\">{}</text><line x1=\"{LEFT}\" \
             x2=\"{}\" y1=\"{y}\" y2=\"{y}\" stroke=\"#ddd\"/>",
            escape(name),
            LEFT + WIDTH
        );
    }
    for event in events {
        let x = LEFT + (Clock::wall(event.clock) - from) * WIDTH / span;
        let row = rows.get(&event.instance).copied().unwrap_or_default();
        let y = (row + 1) * ROW;
        let _ = writeln!(
            out,
            "<circle cx=\"{x}\" cy=\"{y}\" r=\"4\" fill=\"{}\">\
             <title>{}</title></circle>",
            color(&event.event),
            escape(&text(event))
        );
    }
    let y = (rows.len() + 1) * ROW;
    let _ = writeln!(out, "<text x=\"{LEFT}\" y=\"{y}\">{span} ms</text>");
    out.push_str("</svg>\n");
    out
}

fn text(event: &Event) -> String {
    let mut out = event.event.clone();
    for (name, value) in &event.fields {
        let _ = write!(out, " {name}={value}");
    }
    out
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
