//! The lines that an entry logged about one request.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{LogLine, LoggedDecision};

/// The lines of one request, in the order in which they were written.
#[derive(Clone, Debug)]
pub struct RequestHistory {
    lines: Vec<LogLine>,
    /// Whether the entry's log shows a later start of the process.
    process_restarted: bool,
}

/// How a request ended, according to the log of its entry.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// A replica's complete answer was forwarded.
    Answered,
    /// The entry answered with an error of its own.
    Refused,
    /// A replica's answer began but was not forwarded to its end.
    Truncated,
    /// The caller disconnected.
    CallerDisconnected,
    /// The process terminated before the request ended.
    ProcessTerminated,
    /// The log ends before the request does.
    Unfinished,
}

impl Outcome {
    /// Returns the name that `stairhinge explain-request` prints.
    pub const fn name(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::Refused => "refused",
            Outcome::Truncated => "truncated",
            Outcome::CallerDisconnected => "caller disconnected",
            Outcome::ProcessTerminated => "process terminated",
            Outcome::Unfinished => "open",
        }
    }
}

impl RequestHistory {
    pub(super) fn new(first: LogLine) -> RequestHistory {
        RequestHistory { lines: vec![first], process_restarted: false }
    }

    pub(super) fn push(&mut self, line: LogLine) {
        self.lines.push(line);
    }

    pub(super) const fn set_process_restarted(&mut self) {
        self.process_restarted = true;
    }

    /// Returns the lines, in the order in which they were written.
    pub fn lines(&self) -> &[LogLine] {
        &self.lines
    }

    /// Returns the replicas that the lines name.
    pub fn replicas(&self) -> BTreeSet<&Arc<str>> {
        self.lines.iter().filter_map(|l| l.decision().replica()).collect()
    }

    /// Returns how the request ended.
    pub fn outcome(&self) -> Outcome {
        for line in self.lines.iter().rev() {
            match line.decision() {
                LoggedDecision::Cancelled { .. } => {
                    return Outcome::CallerDisconnected;
                }
                LoggedDecision::CallerCut { .. } => return Outcome::Truncated,
                LoggedDecision::Ended { code: 0, .. } => {
                    return Outcome::Answered;
                }
                // The success status had already been sent to the caller.
                LoggedDecision::Ended { status: 200..=299, .. } => {
                    return Outcome::Truncated;
                }
                LoggedDecision::Ended { .. } => return Outcome::Refused,
                _ => {}
            }
        }
        if self.process_restarted {
            Outcome::ProcessTerminated
        } else {
            Outcome::Unfinished
        }
    }
}
