//! Lists that could not be read to their end.
//!
//! A record that was read is listed, whatever follows it. Only the absence of
//! a name proves something the list must have been read for: that the name
//! would have been in a part that was read.

use std::sync::Arc;

use stairhinge::Error;

use super::Listing;

/// The names of a collection, in the order of the list, that a list does not
/// tell of.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UnreadNames {
    spans: Vec<UnreadSpan>,
}

/// The names after one, up to another one and including it, or to the end.
#[derive(Clone, Debug, Eq, PartialEq)]
struct UnreadSpan {
    after: Arc<str>,
    until: Option<Arc<str>>,
}

impl UnreadNames {
    /// Adds the names after `after`, up to `until` and including it, or to
    /// the end of the list.
    pub fn add(&mut self, after: Arc<str>, until: Option<Arc<str>>) {
        self.spans.push(UnreadSpan { after, until });
    }

    /// Returns whether the list tells of all names.
    pub const fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// Returns whether the list does not tell whether a name exists.
    pub fn contains(&self, name: &str) -> bool {
        self.spans.iter().any(|span| {
            let ended = span.until.as_deref().is_some_and(|end| name > end);
            name > &*span.after && !ended
        })
    }
}

/// A list, as far as it could be read.
#[derive(Debug)]
pub struct PartialListing {
    /// The records that were read, and the platform revision from which on
    /// later changes of all records are known by a watch.
    pub listing: Listing,
    /// The names that it does not tell of.
    pub unread: UnreadNames,
    /// Why it ends before its end, if it does.
    pub failure: Option<Error>,
}

impl PartialListing {
    /// Returns a list that was read to its end.
    pub fn whole(listing: Listing) -> PartialListing {
        let unread = UnreadNames::default();
        PartialListing { listing, unread, failure: None }
    }

    /// Returns the list if it was read to its end.
    ///
    /// # Errors
    ///
    /// The failure at which it ends.
    pub fn into_whole(self) -> Result<Listing, Error> {
        match self.failure {
            Some(failure) => Err(failure),
            None => Ok(self.listing),
        }
    }
}

#[cfg(test)]
#[path = "partial_listing_tests.rs"]
mod tests;
