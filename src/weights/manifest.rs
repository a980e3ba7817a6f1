//! The list of chunks that make up a version or an adapter.

use serde::{Deserialize, Serialize};

use crate::{Code, Digest, Error};

/// A chunk, identified by the digest of its bytes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Chunk {
    digest: Digest,
    size: u32,
}

impl Chunk {
    /// Returns the chunk with these bytes.
    pub fn of(bytes: &[u8]) -> Chunk {
        Chunk { digest: Digest::of(bytes), size: bytes.len() as u32 }
    }

    /// Returns a chunk with a known digest and an upper bound on its size.
    pub const fn with_digest(digest: Digest, max_size: u32) -> Chunk {
        Chunk { digest, size: max_size }
    }

    /// Returns the digest of the chunk's bytes.
    pub const fn digest(self) -> Digest {
        self.digest
    }

    /// Returns the size in bytes.
    pub const fn size(self) -> u32 {
        self.size
    }
}

/// The chunks of a version in the order in which an engine reads them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    chunks: Vec<Chunk>,
}

impl Manifest {
    /// The most chunks of one manifest, which keeps its JSON below 2 MB.
    pub const MAX_CHUNKS: usize = 16_384;

    /// Returns a manifest of chunks.
    ///
    /// # Errors
    ///
    /// [`Code::BadManifest`] if there are no chunks or more than
    /// [`Manifest::MAX_CHUNKS`].
    pub fn new(chunks: Vec<Chunk>) -> Result<Manifest, Error> {
        let count = chunks.len();
        if count == 0 || count > Manifest::MAX_CHUNKS {
            return Err(Error::new(
                Code::BadManifest,
                format_args!(
                    "manifest has {count} chunks, allowed: 1 to {}",
                    Manifest::MAX_CHUNKS
                ),
            ));
        }
        Ok(Manifest { chunks })
    }

    /// Splits bytes into chunks of `size` bytes; the last one may be shorter.
    ///
    /// # Errors
    ///
    /// As [`Manifest::new`].
    pub fn cut(bytes: &[u8], size: usize) -> Result<Manifest, Error> {
        Manifest::new(bytes.chunks(size.max(1)).map(Chunk::of).collect())
    }

    /// Parses a manifest after checking its bytes against the declared digest.
    ///
    /// # Errors
    ///
    /// [`Code::CorruptChunk`] if the digest differs, [`Code::BadManifest`] if
    /// the bytes are not a valid manifest.
    pub fn parse(bytes: &[u8], digest: Digest) -> Result<Manifest, Error> {
        let found = Digest::of(bytes);
        if found != digest {
            return Err(Error::new(
                Code::CorruptChunk,
                format_args!(
                    "manifest has digest {found}, declared: {digest}"
                ),
            ));
        }
        let raw: Manifest = serde_json::from_slice(bytes)
            .map_err(|e| Error::new(Code::BadManifest, e))?;
        Manifest::new(raw.chunks)
    }

    /// Returns the encoded manifest, as it is published by digest.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the chunks in order.
    pub fn chunks(&self) -> &[Chunk] {
        &self.chunks
    }

    /// Returns the total size of all chunks in bytes.
    pub fn size(&self) -> u64 {
        self.chunks.iter().map(|c| u64::from(c.size)).sum()
    }
}
