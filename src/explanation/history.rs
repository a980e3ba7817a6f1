//! What one entry logged of one request.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{LogLine, LoggedDecision};

/// The lines of one request, in the order in which they were written.
#[derive(Clone, Debug)]
pub struct RequestHistory {
    lines: Vec<LogLine>,
    /// Whether the entry's log goes on with another start.
    cut: bool,
}

/// How a request ended, as far as its entry knows.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// A replica's answer was passed on whole.
    Answered,
    /// The system's own answer, and no replica's.
    Refused,
    /// A replica's answer began, and was not passed on to its end.
    BrokenOff,
    /// The caller left.
    CallerLeft,
    /// The process ended before the request did.
    ProcessEnded,
    /// The log ends before the request does.
    Open,
}

impl Outcome {
    /// Returns its name.
    pub const fn name(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::Refused => "refused",
            Outcome::BrokenOff => "broken off",
            Outcome::CallerLeft => "caller left",
            Outcome::ProcessEnded => "process ended",
            Outcome::Open => "open",
        }
    }
}

impl RequestHistory {
    pub(super) fn new(first: LogLine) -> RequestHistory {
        RequestHistory { lines: vec![first], cut: false }
    }

    pub(super) fn push(&mut self, line: LogLine) {
        self.lines.push(line);
    }

    pub(super) const fn set_cut(&mut self) {
        self.cut = true;
    }

    /// Returns the lines.
    pub fn lines(&self) -> &[LogLine] {
        &self.lines
    }

    /// Returns the replicas that it was sent to.
    pub fn replicas(&self) -> BTreeSet<&Arc<str>> {
        self.lines.iter().filter_map(|l| l.decision().replica()).collect()
    }

    /// Returns how it ended.
    pub fn outcome(&self) -> Outcome {
        for line in self.lines.iter().rev() {
            match line.decision() {
                LoggedDecision::Cancelled { .. } => {
                    return Outcome::CallerLeft;
                }
                LoggedDecision::Ended { code: 0, .. } => {
                    return Outcome::Answered;
                }
                // A status of success stood in the head already.
                LoggedDecision::Ended { status: 200..=299, .. } => {
                    return Outcome::BrokenOff;
                }
                LoggedDecision::Ended { .. } => return Outcome::Refused,
                _ => {}
            }
        }
        if self.cut { Outcome::ProcessEnded } else { Outcome::Open }
    }
}
