//! Published documents and how a process takes them.
//!
//! Two documents come from the platform: the declaration and the instance
//! list. Both carry a revision and both only move forward in a process. They
//! also pass from process to process, so that a hall converges while the
//! platform's service is down or stale.

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

/// Which of the two published documents.
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

    /// Returns the name used in logs and in the platform's paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Config => "config",
            Kind::Listing => "instances",
        }
    }
}

/// How far somebody has got with one document.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Seen {
    revision: u64,
    digest: Digest,
}

impl Seen {
    /// Returns a mark for a revision and the digest of its bytes.
    pub const fn new(revision: u64, digest: Digest) -> Seen {
        Seen { revision, digest }
    }

    /// Returns the mark of somebody who has seen nothing.
    pub fn nothing() -> Seen {
        Seen { revision: 0, digest: Digest::of(b"") }
    }

    /// Returns the revision; 0 is none.
    pub const fn revision(self) -> u64 {
        self.revision
    }

    /// Returns the digest of the bytes.
    pub const fn digest(self) -> Digest {
        self.digest
    }
}

/// The bytes of one revision of a document.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Document {
    seen: Seen,
    bytes: Arc<[u8]>,
}

impl Document {
    /// Returns a document with a revision and its bytes.
    pub fn new(revision: u64, bytes: impl Into<Arc<[u8]>>) -> Document {
        let bytes = bytes.into();
        let seen = Seen::new(revision, Digest::of(&bytes));
        Document { seen, bytes }
    }

    /// Returns revision and digest.
    pub fn seen(&self) -> Seen {
        self.seen
    }

    /// Returns the revision.
    pub fn revision(&self) -> u64 {
        self.seen.revision
    }

    /// Returns the bytes.
    pub fn bytes(&self) -> &Arc<[u8]> {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
