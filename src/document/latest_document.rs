//! Monotone acceptance: never an older document, never two of one revision.

use std::collections::VecDeque;

use super::{Delta, Document, Seen};
use crate::{Code, Error};

/// What became of an offered document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// It is newer and in force from now on.
    Accepted,
    /// It is the one in force already.
    Unchanged,
}

/// Holds the newest document accepted so far.
///
/// The check of the bytes themselves is the caller's: a document that does
/// not parse must not be offered, or the process would hold on to it.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct LatestDocument {
    held: Option<Document>,
    floor: u64,
    past: VecDeque<Document>,
}

impl LatestDocument {
    /// How many earlier documents are kept for those that lag: a few minutes
    /// at 11,000 changes a day.
    pub const MAX_PREVIOUS: usize = 16;

    /// Returns one that holds nothing.
    pub const fn new() -> LatestDocument {
        LatestDocument { held: None, floor: 0, past: VecDeque::new() }
    }

    /// Returns one that holds nothing, of a process that knows from elsewhere
    /// (its engine's fence) that a revision has been in force here.
    pub const fn with_min_revision(floor: u64) -> LatestDocument {
        LatestDocument { held: None, floor, past: VecDeque::new() }
    }

    /// Returns the document in force.
    pub fn current(&self) -> Option<&Document> {
        self.held.as_ref()
    }

    /// Returns how far this process has got.
    pub fn seen(&self) -> Seen {
        self.held.as_ref().map_or_else(Seen::nothing, Document::seen)
    }

    /// Says whether a document with this mark would be taken. Revision 0
    /// stands for nothing, so no document may have it.
    ///
    /// # Errors
    ///
    /// [`Code::OlderRevision`] or [`Code::OtherDigest`].
    pub fn check(&self, offered: Seen) -> Result<OfferOutcome, Error> {
        let held = self.seen();
        let (old, new) = (held.revision(), offered.revision());
        let least = old.max(self.floor);
        if new < least {
            return Err(Error::new(
                Code::OlderRevision,
                format_args!("revision {new}, in force: {least}"),
            ));
        }
        if new > old {
            return Ok(OfferOutcome::Accepted);
        }
        if held.digest() == offered.digest() {
            return Ok(OfferOutcome::Unchanged);
        }
        Err(Error::new(
            Code::OtherDigest,
            format_args!(
                "revision {new} with digest {}, in force: {}",
                offered.digest(),
                held.digest()
            ),
        ))
    }

    /// Takes a document if it is newer than the one in force.
    ///
    /// # Errors
    ///
    /// As [`LatestDocument::check`].
    pub fn offer(
        &mut self,
        document: Document,
    ) -> Result<OfferOutcome, Error> {
        let taken = self.check(document.seen())?;
        if taken == OfferOutcome::Accepted
            && let Some(old) = self.held.replace(document)
        {
            self.past.push_back(old);
            if self.past.len() > LatestDocument::MAX_PREVIOUS {
                self.past.pop_front();
            }
        }
        Ok(taken)
    }

    /// Returns the difference from what somebody holds to the document in
    /// force, if what they hold was in force here lately.
    pub fn delta(&self, theirs: Seen) -> Option<Delta> {
        let old = self.past.iter().find(|d| d.seen() == theirs)?;
        Some(Delta::between(old, self.held.as_ref()?))
    }
}
