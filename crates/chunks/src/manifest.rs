//! The manifest of a version, and the origin that provides its chunks.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use stairhinge::{Digest, Error};

/// The digests of a version's chunks, in the order in which the engine reads
/// them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionManifest {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// The SHA-256 digest of each chunk.
    pub digests: Vec<Digest>,
    /// The maximum size of a chunk, in bytes.
    pub chunk_bytes: u32,
}

impl VersionManifest {
    /// Returns the index of the first chunk with this digest.
    pub fn index(&self, digest: &Digest) -> Option<u32> {
        let found = self.digests.iter().position(|d| d == digest);
        found.map(|i| i as u32)
    }
}

/// A client of the origin, which provides all versions of the weights.
pub trait WeightOrigin: Send + Sync {
    /// Requests the manifest of a version from the origin at `addr`.
    ///
    /// # Errors
    ///
    /// [`Code::VersionGone`] if the origin does not provide the version any
    /// more, or any other code if it may do so later.
    ///
    /// [`Code::VersionGone`]: stairhinge::Code::VersionGone
    fn manifest<'a>(
        &'a self,
        addr: SocketAddr,
        model: &'a str,
        version: u64,
    ) -> BoxFuture<'a, Result<VersionManifest, Error>>;

    /// Requests one chunk of a version from the origin at `addr`.
    fn chunk<'a>(
        &'a self,
        addr: SocketAddr,
        model: &'a str,
        version: u64,
        index: u32,
    ) -> BoxFuture<'a, Result<Bytes, Error>>;
}
