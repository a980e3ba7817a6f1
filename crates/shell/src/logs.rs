//! Logging as JSON lines on standard error.
//!
//! Instances have no disks, so the platform collects the output of a process.
//! Timeline events (log target `event`) already are JSON and are written
//! unchanged; all other messages are wrapped in a JSON object.

use log::LevelFilter;
use serde_json::json;

use crate::node::wall;

/// The log target of timeline events.
pub(crate) const EVENT: &str = "event";

/// Starts logging at a level: off, error, warn, info, debug or trace.
///
/// Further calls in the same process have no effect. An unknown level is
/// taken as info.
pub fn start(level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let logger = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for(EVENT, level)
        .filter(move |meta| meta.level() <= level)
        .format(|out, message, record| {
            if record.target() == EVENT {
                out.finish(format_args!("{message}"));
                return;
            }
            let line = json!({
                "wall": wall(),
                "level": record.level().as_str(),
                "target": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr());
    let _ = logger.apply();
}

/// Converts an error into a report that a program's `main` can return.
pub fn to_report(err: stairhinge::Error) -> eyre::Report {
    eyre::eyre!("{err}")
}
