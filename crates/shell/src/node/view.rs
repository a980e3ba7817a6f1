//! The published documents in force at one process.

use std::sync::Arc;

use stairhinge::declaration::Fleet;
use stairhinge::document::Listing;

/// An immutable snapshot of the published documents in force.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The declaration, if one has been accepted.
    pub fleet: Option<Arc<Fleet>>,
    /// The instance list; empty until one has been accepted.
    pub listing: Arc<Listing>,
}

impl View {
    /// Returns the revision of the declaration, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.fleet.as_ref().map_or(0, |f| f.revision())
    }
}
