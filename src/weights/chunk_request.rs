//! A request for chunks from one source.

use std::time::Duration;

use super::Source;
use crate::Digest;

/// A request for chunks from one source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChunkRequest {
    pub(super) source: Source,
    pub(super) want: Vec<Digest>,
    pub(super) hold: Duration,
    pub(super) first_contact: bool,
    pub(super) holdings_only: bool,
}

impl ChunkRequest {
    /// Returns the source to ask.
    pub fn source(&self) -> &Source {
        &self.source
    }

    /// Returns the wanted digests in order of preference. The source sends any
    /// one of them.
    pub fn want(&self) -> &[Digest] {
        &self.want
    }

    /// Returns whether this is the first request to a peer, which reports its
    /// holdings of all chunks in reply.
    pub fn is_first_contact(&self) -> bool {
        self.first_contact
    }

    /// Returns whether the source only reports its holdings, once it holds any
    /// of the wanted chunks, and sends no chunk.
    pub fn is_holdings_only(&self) -> bool {
        self.holdings_only
    }

    /// Returns how long the source may hold the request before it answers "not
    /// yet".
    pub fn hold(&self) -> Duration {
        self.hold
    }
}
