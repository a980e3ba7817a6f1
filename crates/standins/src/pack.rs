//! Made-up weights, cut into chunks.

use bytes::Bytes;
use stairhinge::weights::Manifest;
use stairhinge::{Digest, Error};

/// A version's weights, ready for an origin.
#[derive(Clone, Debug)]
pub struct Pack {
    manifest: Digest,
    whole: Digest,
    size: u64,
    blobs: Vec<(Digest, Bytes)>,
}

impl Pack {
    /// Cuts weights into chunks of `chunk` bytes.
    ///
    /// # Errors
    ///
    /// If they make no manifest.
    pub fn new(weights: &Bytes, chunk: usize) -> Result<Pack, Error> {
        let manifest = Manifest::cut(weights, chunk)?;
        let mut blobs = Vec::new();
        for (i, named) in manifest.chunks().iter().enumerate() {
            let from = i * chunk;
            let to = (from + chunk).min(weights.len());
            blobs.push((named.digest(), weights.slice(from..to)));
        }
        let head = Bytes::from(manifest.encode());
        let name = Digest::of(&head);
        blobs.push((name, head));
        let whole = Digest::of(weights);
        let size = weights.len() as u64;
        Ok(Pack { manifest: name, whole, size, blobs })
    }

    /// Returns the digest that a declaration names.
    pub fn manifest(&self) -> Digest {
        self.manifest
    }

    /// Returns the digest of all weights together, as an engine tells it.
    pub fn whole(&self) -> Digest {
        self.whole
    }

    /// Returns the bytes of the weights.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// Returns chunks and manifest by digest.
    pub fn blobs(&self) -> &[(Digest, Bytes)] {
        &self.blobs
    }
}

/// Makes up `size` bytes of weights; the same for the same seed.
pub fn weights(seed: u64, size: usize) -> Bytes {
    let mut out = Vec::with_capacity(size + 64);
    let mut block = Digest::of(&seed.to_le_bytes());
    while out.len() < size {
        out.extend_from_slice(block.as_bytes());
        block = Digest::of(block.as_bytes());
    }
    out.truncate(size);
    Bytes::from(out)
}
