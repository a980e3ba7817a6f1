//! The published documents in force at one process.

use std::sync::Arc;

use stairhinge::declaration::Fleet;
use stairhinge::document::Listing;

/// The published documents in force; replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The declaration, if any has been taken.
    pub fleet: Option<Arc<Fleet>>,
    /// The instance list; empty until one has been taken.
    pub listing: Arc<Listing>,
}

impl View {
    /// Returns the revision of the declaration; 0 is none.
    pub fn revision(&self) -> u64 {
        self.fleet.as_ref().map_or(0, |f| f.revision())
    }
}
