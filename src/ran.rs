//! What is known of whether a request ran.
//!
//! The callers' people act on this word (a second letter, a second claim
//! notice), so "did not run" is said only where it is certain, and any doubt
//! is "may have run".

use std::fmt;

/// Whether a request ran, as far as the system can tell.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Ran {
    /// It certainly did not run, and this copy of it never will.
    DidNotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran, or is running.
    Ran,
}

impl Ran {
    /// Returns the words used in the `stairhinge-ran` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Ran::DidNotRun => "did not run",
            Ran::MayHaveRun => "may have run",
            Ran::Ran => "ran",
        }
    }

    /// Reads the words of the `stairhinge-ran` header.
    pub fn parse(s: &str) -> Option<Ran> {
        [Ran::DidNotRun, Ran::MayHaveRun, Ran::Ran]
            .into_iter()
            .find(|r| r.as_str() == s)
    }
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
