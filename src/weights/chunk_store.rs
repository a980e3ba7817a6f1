//! Verified chunks in memory, within a bound.
//!
//! Instances have no disks, so a copy lives here until the engine has it and
//! for as long as peers may ask for it. Only verified bytes get in, so all
//! that goes out to peers and engines is verified.

use std::collections::{HashMap, HashSet};

use crate::{Code, Digest, Error};

/// A bounded set of verified chunks; `B` is the caller's type of bytes.
#[derive(Debug)]
pub struct ChunkStore<B> {
    most: u64,
    used: u64,
    chunks: HashMap<Digest, B>,
}

impl<B: AsRef<[u8]> + Clone> ChunkStore<B> {
    /// Returns an empty store of at most `most` bytes.
    pub fn new(most: u64) -> ChunkStore<B> {
        ChunkStore { most, used: 0, chunks: HashMap::new() }
    }

    /// Checks bytes against a digest and keeps them.
    ///
    /// # Errors
    ///
    /// [`Code::CorruptChunk`] if the digest differs and
    /// [`Code::StoreTooSmall`] if there is no room.
    pub fn put(&mut self, digest: Digest, bytes: B) -> Result<(), Error> {
        let found = Digest::of(bytes.as_ref());
        if found != digest {
            return Err(Error::new(
                Code::CorruptChunk,
                format_args!("chunk {found}, wanted: {digest}"),
            ));
        }
        if self.chunks.contains_key(&digest) {
            return Ok(());
        }
        let size = bytes.as_ref().len() as u64;
        self.room(size)?;
        self.used += size;
        self.chunks.insert(digest, bytes);
        Ok(())
    }

    fn room(&self, size: u64) -> Result<(), Error> {
        let need = self.used + size;
        if need <= self.most {
            return Ok(());
        }
        Err(Error::new(
            Code::StoreTooSmall,
            format_args!("{need} bytes needed, allowed: {}", self.most),
        ))
    }

    /// Says whether something of `size` bytes could ever fit.
    ///
    /// # Errors
    ///
    /// [`Code::StoreTooSmall`] if it is larger than the whole store.
    pub fn check_fits(&self, size: u64) -> Result<(), Error> {
        if size <= self.most {
            return Ok(());
        }
        Err(Error::new(
            Code::StoreTooSmall,
            format_args!("version of {size} bytes, allowed: {}", self.most),
        ))
    }

    /// Returns the bytes of a chunk, if it is here.
    pub fn get(&self, digest: &Digest) -> Option<B> {
        self.chunks.get(digest).cloned()
    }

    /// Returns whether a chunk is here.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.chunks.contains_key(digest)
    }

    /// Drops all chunks but those in `keep`.
    pub fn retain(&mut self, keep: &HashSet<Digest>) {
        self.chunks.retain(|digest, _| keep.contains(digest));
        let sizes = self.chunks.values().map(|b| b.as_ref().len() as u64);
        self.used = sizes.sum();
    }

    /// Returns the bytes held.
    pub fn used(&self) -> u64 {
        self.used
    }
}
