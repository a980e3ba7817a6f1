//! Whether a request ran.
//!
//! Callers decide by it whether to repeat an operation such as sending a
//! letter or a claim notice. "did not run" is therefore reported only if it
//! is certain, and "may have run" in all other cases.

use std::fmt;

/// Whether a request ran, as far as is known.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Ran {
    /// The request certainly did not run, and this copy of it never will.
    DidNotRun,
    /// The request may have run.
    MayHaveRun,
    /// The request ran or is running.
    Ran,
}

impl Ran {
    /// Returns the value used in the `stairhinge-ran` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Ran::DidNotRun => "did not run",
            Ran::MayHaveRun => "may have run",
            Ran::Ran => "ran",
        }
    }

    /// Parses the value of a `stairhinge-ran` header.
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
