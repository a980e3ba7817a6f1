//! One question to one source.

use std::time::Duration;

use super::Source;
use crate::Digest;

/// One question to one source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChunkRequest {
    pub(super) source: Source,
    pub(super) want: Vec<Digest>,
    pub(super) hold: Duration,
    pub(super) hello: bool,
    pub(super) tell: bool,
}

impl ChunkRequest {
    /// Returns whom to ask.
    pub fn source(&self) -> &Source {
        &self.source
    }

    /// Returns the digests of which any one will do, the dearest first.
    pub fn want(&self) -> &[Digest] {
        &self.want
    }

    /// Returns whether this is the first question to a peer, which is to say
    /// what it holds of all chunks.
    pub fn is_first_contact(&self) -> bool {
        self.hello
    }

    /// Returns whether the source is only to say what it holds, once it holds
    /// any of what is wanted.
    pub fn is_holdings_only(&self) -> bool {
        self.tell
    }

    /// Returns how long the source may wait before it says "not yet".
    pub fn hold(&self) -> Duration {
        self.hold
    }
}
