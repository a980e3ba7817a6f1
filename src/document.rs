//! The documents that the platform publishes, and how a process accepts them.
//!
//! The platform publishes two documents: the declaration and the instance
//! list. Each carries a revision, and a process never replaces a document by
//! an older revision. Processes also pull documents from one another, so a
//! data hall converges while the platform's service is down or stale.

mod delta;
mod latest_document;
mod listing;
mod patch;
mod placement;
mod platform_access;

pub use self::delta::Delta;
pub use self::latest_document::{LatestDocument, OfferOutcome};
pub use self::listing::{Instance, Listing, Presence, Role};
pub use self::patch::Patch;
pub use self::placement::{agents_by_hall, assign_agents, assigned_model};
pub use self::platform_access::{PlatformAccess, platform_access};

use std::sync::Arc;

use crate::Digest;

/// The kind of a published document.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// The declaration.
    Config,
    /// The instance list.
    Listing,
}

impl Kind {
    /// Both kinds.
    pub const ALL: [Kind; 2] = [Kind::Config, Kind::Listing];

    /// Returns the name used in logs and in the platform's URL paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Config => "config",
            Kind::Listing => "instances",
        }
    }
}

/// The revision of a document that a process holds, with its digest.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Seen {
    revision: u64,
    digest: Digest,
}

impl Seen {
    /// Returns the value for a revision and the digest of its bytes.
    pub const fn new(revision: u64, digest: Digest) -> Seen {
        Seen { revision, digest }
    }

    /// Returns the value of a process that holds no document: revision 0 and
    /// the digest of no bytes.
    pub fn nothing() -> Seen {
        Seen { revision: 0, digest: Digest::of(b"") }
    }

    /// Returns the revision; 0 means that no document is held.
    pub const fn revision(self) -> u64 {
        self.revision
    }

    /// Returns the digest of the document's bytes.
    pub const fn digest(self) -> Digest {
        self.digest
    }
}

/// One revision of a document: its bytes, revision and digest.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Document {
    seen: Seen,
    bytes: Arc<[u8]>,
}

impl Document {
    /// Returns the document with the given revision and bytes, and computes
    /// its digest.
    pub fn new(revision: u64, bytes: impl Into<Arc<[u8]>>) -> Document {
        let bytes = bytes.into();
        let seen = Seen::new(revision, Digest::of(&bytes));
        Document { seen, bytes }
    }

    /// Returns the revision together with the digest.
    pub fn seen(&self) -> Seen {
        self.seen
    }

    /// Returns the revision.
    pub fn revision(&self) -> u64 {
        self.seen.revision
    }

    /// Returns the document's bytes.
    pub fn bytes(&self) -> &Arc<[u8]> {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
