//! The newest document that a process has accepted.
//!
//! Revisions only increase, and a revision is accepted with one digest only.

use std::collections::VecDeque;

use super::{Delta, Document, Seen};
use crate::{Code, Error};

/// The result of offering a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The document is newer than the current one and replaces it.
    Accepted,
    /// The document equals the current one.
    Unchanged,
}

/// The newest document accepted so far, with the ones before it.
///
/// The caller validates the contents. A document that does not parse must not
/// be offered: once accepted, it would stay until a newer revision arrives.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct LatestDocument {
    current: Option<Document>,
    min_revision: u64,
    previous: VecDeque<Document>,
}

impl LatestDocument {
    /// The number of previous documents kept to compute deltas for peers that
    /// lag: a few minutes at 11,000 changes a day.
    pub const MAX_PREVIOUS: usize = 16;

    /// Returns an instance that holds no document.
    pub const fn new() -> LatestDocument {
        LatestDocument {
            current: None,
            min_revision: 0,
            previous: VecDeque::new(),
        }
    }

    /// Returns an instance that holds no document and accepts no revision
    /// below `min_revision`.
    ///
    /// A restarted process passes the revision in its engine's fence, which it
    /// had accepted before the restart.
    pub const fn with_min_revision(min_revision: u64) -> LatestDocument {
        LatestDocument {
            current: None,
            min_revision,
            previous: VecDeque::new(),
        }
    }

    /// Returns the current document.
    pub fn current(&self) -> Option<&Document> {
        self.current.as_ref()
    }

    /// Returns the revision and digest of the current document.
    pub fn seen(&self) -> Seen {
        self.current.as_ref().map_or_else(Seen::nothing, Document::seen)
    }

    /// Returns what [`LatestDocument::offer`] would return for a document with
    /// this revision and digest. Revision 0 stands for no document, so a
    /// document with it is never accepted.
    ///
    /// # Errors
    ///
    /// [`Code::OlderRevision`] if the revision is older than the current or
    /// the minimum one, [`Code::OtherDigest`] if the current document has the
    /// same revision and another digest.
    pub fn check(&self, offered: Seen) -> Result<OfferOutcome, Error> {
        let current = self.seen();
        let (current_revision, offered_revision) =
            (current.revision(), offered.revision());
        let required = current_revision.max(self.min_revision);
        if offered_revision < required {
            return Err(Error::new(
                Code::OlderRevision,
                format_args!(
                    "revision {offered_revision}, \
                     accepted: {required} or newer"
                ),
            ));
        }
        if offered_revision > current_revision {
            return Ok(OfferOutcome::Accepted);
        }
        if current.digest() == offered.digest() {
            return Ok(OfferOutcome::Unchanged);
        }
        Err(Error::new(
            Code::OtherDigest,
            format_args!(
                "revision {offered_revision} has digest {}, \
                 the accepted one {}",
                offered.digest(),
                current.digest()
            ),
        ))
    }

    /// Accepts a document if it is newer than the current one.
    ///
    /// # Errors
    ///
    /// The same as [`LatestDocument::check`].
    pub fn offer(
        &mut self,
        document: Document,
    ) -> Result<OfferOutcome, Error> {
        let outcome = self.check(document.seen())?;
        if outcome == OfferOutcome::Accepted
            && let Some(replaced) = self.current.replace(document)
        {
            self.previous.push_back(replaced);
            if self.previous.len() > LatestDocument::MAX_PREVIOUS {
                self.previous.pop_front();
            }
        }
        Ok(outcome)
    }

    /// Returns the delta from the document that a peer holds to the current
    /// one, if the peer's document is among the previous ones kept here.
    pub fn delta(&self, theirs: Seen) -> Option<Delta> {
        let base = self.previous.iter().find(|d| d.seen() == theirs)?;
        Some(Delta::between(base, self.current.as_ref()?))
    }
}
