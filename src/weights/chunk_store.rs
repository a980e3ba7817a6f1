//! A bounded in-memory store of verified chunks.
//!
//! Instances have no disks, so a copy is kept here until the engine has loaded
//! it and for as long as peers may ask for it. Only verified bytes are stored,
//! so everything sent to peers and engines is verified.

use std::collections::{HashMap, HashSet};

use crate::{Code, Digest, Error};

/// A bounded set of verified chunks, stored as `B`.
#[derive(Debug)]
pub struct ChunkStore<B> {
    capacity: u64,
    used: u64,
    chunks: HashMap<Digest, B>,
}

impl<B: AsRef<[u8]> + Clone> ChunkStore<B> {
    /// Returns an empty store of at most `capacity` bytes.
    pub fn new(capacity: u64) -> ChunkStore<B> {
        ChunkStore { capacity, used: 0, chunks: HashMap::new() }
    }

    /// Verifies bytes against a digest and stores them.
    ///
    /// # Errors
    ///
    /// [`Code::CorruptChunk`] if the digest differs, [`Code::StoreTooSmall`]
    /// if the store is full.
    pub fn put(&mut self, digest: Digest, bytes: B) -> Result<(), Error> {
        let found = Digest::of(bytes.as_ref());
        if found != digest {
            return Err(Error::new(
                Code::CorruptChunk,
                format_args!("chunk has digest {found}, expected {digest}"),
            ));
        }
        if self.chunks.contains_key(&digest) {
            return Ok(());
        }
        let size = bytes.as_ref().len() as u64;
        self.check_capacity(size)?;
        self.used += size;
        self.chunks.insert(digest, bytes);
        Ok(())
    }

    fn check_capacity(&self, size: u64) -> Result<(), Error> {
        let needed = self.used + size;
        if needed <= self.capacity {
            return Ok(());
        }
        Err(Error::new(
            Code::StoreTooSmall,
            format_args!(
                "store needs {needed} bytes, allowed: {}",
                self.capacity
            ),
        ))
    }

    /// Checks that `size` bytes fit into the empty store.
    ///
    /// # Errors
    ///
    /// [`Code::StoreTooSmall`] if `size` exceeds the capacity.
    pub fn check_fits(&self, size: u64) -> Result<(), Error> {
        if size <= self.capacity {
            return Ok(());
        }
        Err(Error::new(
            Code::StoreTooSmall,
            format_args!(
                "version of {size} bytes, allowed: {}",
                self.capacity
            ),
        ))
    }

    /// Returns the bytes of a chunk, if stored.
    pub fn get(&self, digest: &Digest) -> Option<B> {
        self.chunks.get(digest).cloned()
    }

    /// Returns whether a chunk is stored.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.chunks.contains_key(digest)
    }

    /// Removes all chunks except those in `keep`.
    pub fn retain(&mut self, keep: &HashSet<Digest>) {
        self.chunks.retain(|digest, _| keep.contains(digest));
        let sizes = self.chunks.values().map(|b| b.as_ref().len() as u64);
        self.used = sizes.sum();
    }

    /// Returns the number of bytes stored.
    pub fn used(&self) -> u64 {
        self.used
    }
}
