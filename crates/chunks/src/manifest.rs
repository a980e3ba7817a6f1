//! The chunks of one version, and where they come from.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use stairhinge::{Digest, Error};

/// The digests of a version's chunks, in the engine's order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionManifest {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// The SHA-256 of each chunk.
    pub digests: Vec<Digest>,
    /// The bytes of each chunk, at most.
    pub chunk_bytes: u32,
}

impl VersionManifest {
    /// Returns the place of a chunk.
    pub fn index(&self, digest: &Digest) -> Option<u32> {
        let found = self.digests.iter().position(|d| d == digest);
        found.map(|i| i as u32)
    }
}

/// The origin of weights.
pub trait WeightOrigin: Send + Sync {
    /// Reads the manifest of a version.
    fn manifest<'a>(
        &'a self,
        addr: SocketAddr,
        model: &'a str,
        version: u64,
    ) -> BoxFuture<'a, Result<VersionManifest, Error>>;

    /// Reads a chunk.
    fn chunk<'a>(
        &'a self,
        addr: SocketAddr,
        model: &'a str,
        version: u64,
        index: u32,
    ) -> BoxFuture<'a, Result<Bytes, Error>>;
}
