//! Which versions a cache keeps in memory.
//!
//! A version that a cache drops has to cross the origin's link again if it is
//! requested later, and while the origin is unreachable it cannot be completed
//! any more. A version therefore stays as long as requests may still begin on
//! it, unless memory is short.

use std::collections::HashSet;

use crate::Digest;

/// A version of which a cache holds chunks.
#[derive(Clone, Debug)]
pub struct RetainedVersion {
    /// The version.
    pub version: u64,
    /// The digests of the chunks that are held.
    pub held: Vec<Digest>,
    /// The size of a chunk, in bytes.
    pub chunk_bytes: u32,
    /// Whether requests may still begin on the version at some replica, or an
    /// agent requested it recently.
    pub needed: bool,
}

/// Returns the versions to evict, oldest first: those that are not needed, and
/// then the oldest ones until the rest fits into `capacity` bytes. A chunk of
/// several versions counts once. The newest version is never evicted for lack
/// of memory.
pub fn versions_to_evict(
    versions: &[RetainedVersion],
    capacity: u64,
) -> Vec<u64> {
    let mut kept: Vec<&RetainedVersion> = Vec::new();
    let mut evicted = Vec::new();
    for version in versions {
        if version.needed {
            kept.push(version);
        } else {
            evicted.push(version.version);
        }
    }
    kept.sort_by_key(|v| v.version);
    while kept.len() > 1 && bytes_held(&kept) > capacity {
        evicted.push(kept.remove(0).version);
    }
    evicted.sort_unstable();
    evicted
}

/// Returns the bytes of all distinct chunks.
fn bytes_held(versions: &[&RetainedVersion]) -> u64 {
    let mut seen: HashSet<Digest> = HashSet::new();
    let mut bytes = 0;
    for version in versions {
        for digest in &version.held {
            if seen.insert(*digest) {
                bytes += u64::from(version.chunk_bytes);
            }
        }
    }
    bytes
}
