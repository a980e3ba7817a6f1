//! Logs why a process ends.

use std::panic::PanicHookInfo;

use stairhinge::Error;

use crate::decisions::{Decision, DecisionLog};

/// Logs the end of a program's main function, and flushes the log.
pub fn report_end(log: &DecisionLog, ended: &Result<(), Error>) {
    let (code, reason) = match ended {
        Ok(()) => (None, "stopped"),
        Err(error) => (Some(error.code().number()), error.message()),
    };
    log.write(&Decision::End { code, reason });
    log.flush();
}

/// Logs each panic from now on. A panic ends a task and not the process, so
/// that nothing else shows why the task's work is no longer done.
pub fn report_panics(log: &DecisionLog) {
    let log = log.clone();
    std::panic::set_hook(Box::new(move |panic| {
        let place = panic.location().map(ToString::to_string);
        log.write(&Decision::Panicked {
            place: place.as_deref().unwrap_or_default(),
            reason: message(panic),
        });
        // The process may end before the log is written next.
        if std::thread::current().name() == Some("main") {
            log.flush();
        }
    }));
}

fn message<'a>(panic: &'a PanicHookInfo<'_>) -> &'a str {
    panic.payload_as_str().unwrap_or("no message")
}

#[cfg(test)]
#[path = "end_report_tests.rs"]
mod tests;
