//! Logs as JSON lines on standard error.
//!
//! Instances have no disks, so the platform collects what a process writes.
//! Events of the time line are JSON already (log target `event`) and pass as
//! they are; all else is wrapped.

use log::LevelFilter;
use serde_json::json;

use crate::node::wall;

/// The log target of events of the time line.
pub(crate) const EVENT: &str = "event";

/// Starts logging at a level: off, error, warn, info, debug or trace.
///
/// A second start in one process is left without effect.
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

/// Turns an error of the project into one for a program's `main`.
pub fn to_report(err: stairhinge::Error) -> eyre::Report {
    eyre::eyre!("{err}")
}
