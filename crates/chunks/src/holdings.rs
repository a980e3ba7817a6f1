//! The chunks that a process can serve to its peers.
//!
//! Each chunk is verified on arrival. Its bytes stay in memory while peers
//! are likely to request it; afterwards they are read back from the engine
//! and verified again, since a staged chunk may get corrupted.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use stairhinge::Digest;
use stairhinge::weights::{RetainedVersion, versions_to_evict};
use tokio::sync::Notify;

use crate::manifest::VersionManifest;

/// Where the bytes of a chunk are stored.
#[derive(Clone, Debug)]
pub enum ChunkLocation {
    /// In memory.
    Memory(Bytes),
    /// Staged at the engine, under this model and chunk index.
    Staged(Arc<str>, u32),
}

#[derive(Debug, Default)]
struct Inner {
    manifests: Vec<Arc<VersionManifest>>,
    held: HashMap<Digest, ChunkLocation>,
}

impl Inner {
    /// Removes the manifest at a position, with the chunks that no other
    /// version contains.
    fn remove(&mut self, position: usize) {
        let removed = self.manifests.remove(position);
        for digest in &removed.digests {
            let shared =
                self.manifests.iter().any(|m| m.digests.contains(digest));
            if !shared {
                self.held.remove(digest);
            }
        }
    }
}

/// The chunks and manifests that a process holds, shared by the fetch and the
/// server.
#[derive(Debug, Default)]
pub struct Holdings {
    inner: Mutex<Inner>,
    arrived: Notify,
    /// The maximum size of all chunks in memory, in bytes, if versions are
    /// evicted by [`Holdings::evict`] and not by their number.
    capacity: Option<u64>,
}

impl Holdings {
    /// The maximum number of manifests kept.
    const MAX_MANIFESTS: usize = 3;

    /// The maximum number of manifests kept if memory is bounded by a number
    /// of bytes. More versions than this do not become the target within the
    /// time for which one may be served.
    const MAX_RETAINED: usize = 16;

    /// Returns empty holdings that keep versions while they are needed and
    /// fit into `capacity` bytes.
    pub fn retaining(capacity: u64) -> Holdings {
        Holdings { capacity: Some(capacity), ..Holdings::default() }
    }

    /// Returns whether versions are evicted by [`Holdings::evict`].
    pub const fn is_retaining(&self) -> bool {
        self.capacity.is_some()
    }

    /// Evicts the versions of a model that are not needed, and the oldest ones
    /// that do not fit into the memory. Returns them with the number of chunks
    /// that were held of each.
    pub fn evict(
        &self,
        model: &str,
        needed: impl Fn(u64) -> bool,
    ) -> Vec<(u64, usize)> {
        let Some(capacity) = self.capacity else { return Vec::new() };
        let mut versions = Vec::new();
        let inner = self.lock();
        for manifest in &inner.manifests {
            if *manifest.model != *model {
                continue;
            }
            let held = manifest.digests.iter().filter(|d| {
                let held = inner.held.get(*d);
                matches!(held, Some(ChunkLocation::Memory(_)))
            });
            versions.push(RetainedVersion {
                version: manifest.version,
                held: held.copied().collect(),
                chunk_bytes: manifest.chunk_bytes,
                needed: needed(manifest.version),
            });
        }
        drop(inner);
        let mut evicted = Vec::new();
        for version in versions_to_evict(&versions, capacity) {
            self.remove_version(model, version);
            let found = versions.iter().find(|v| v.version == version);
            evicted.push((version, found.map_or(0, |v| v.held.len())));
        }
        evicted
    }

    /// Returns the versions of all models, each with the number of chunks
    /// held.
    pub fn held_by_version(&self) -> Vec<(Arc<str>, u64, usize)> {
        let manifests = self.lock().manifests.clone();
        let mut held = Vec::new();
        for manifest in manifests {
            let count = self.count(&manifest);
            held.push((Arc::clone(&manifest.model), manifest.version, count));
        }
        held
    }

    /// Adds a manifest. Beyond [`Holdings::MAX_MANIFESTS`] the oldest one is
    /// removed, with the chunks that no other version contains.
    pub fn add_manifest(&self, manifest: &Arc<VersionManifest>) {
        let mut inner = self.lock();
        inner.manifests.retain(|m| {
            m.version != manifest.version || m.model != manifest.model
        });
        let limit = if self.capacity.is_some() {
            Holdings::MAX_RETAINED
        } else {
            Holdings::MAX_MANIFESTS
        };
        inner.manifests.push(Arc::clone(manifest));
        if inner.manifests.len() > limit {
            inner.remove(0);
        }
        drop(inner);
        self.arrived.notify_waiters();
    }

    /// Returns the manifest of a version, if known.
    pub fn manifest(
        &self,
        model: &str,
        version: u64,
    ) -> Option<Arc<VersionManifest>> {
        let inner = self.lock();
        let found = inner
            .manifests
            .iter()
            .find(|m| &*m.model == model && m.version == version);
        found.map(Arc::clone)
    }

    /// Removes the manifest of a version and keeps its chunks.
    pub fn remove_manifest(&self, model: &str, version: u64) {
        self.lock()
            .manifests
            .retain(|m| &*m.model != model || m.version != version);
    }

    /// Removes the manifest of a version, with the chunks that no other
    /// version contains.
    pub fn remove_version(&self, model: &str, version: u64) {
        let mut inner = self.lock();
        let is_version = |m: &Arc<VersionManifest>| {
            &*m.model == model && m.version == version
        };
        let Some(position) = inner.manifests.iter().position(is_version)
        else {
            return;
        };
        inner.remove(position);
    }

    /// Inserts a verified chunk.
    pub fn insert_chunk(&self, digest: Digest, location: ChunkLocation) {
        self.lock().held.insert(digest, location);
        self.arrived.notify_waiters();
    }

    /// Removes a chunk that is corrupt or cannot be read any more.
    pub fn remove_chunk(&self, digest: &Digest) {
        self.lock().held.remove(digest);
    }

    /// Returns the location of a chunk, if it is held.
    pub fn get(&self, digest: &Digest) -> Option<ChunkLocation> {
        self.lock().held.get(digest).cloned()
    }

    /// Returns whether a chunk is held.
    pub fn holds(&self, digest: &Digest) -> bool {
        self.lock().held.contains_key(digest)
    }

    /// Returns how many chunks of a version are held, counting duplicates.
    pub fn count(&self, manifest: &VersionManifest) -> usize {
        let inner = self.lock();
        let digests = manifest.digests.iter();
        digests.filter(|d| inner.held.contains_key(*d)).count()
    }

    /// Returns `1` for each chunk of a version that is held, and `0` for each
    /// other one.
    pub(crate) fn bits(&self, manifest: &VersionManifest) -> String {
        let inner = self.lock();
        let digests = manifest.digests.iter();
        let held = digests.map(|d| inner.held.contains_key(d));
        held.map(|held| if held { '1' } else { '0' }).collect()
    }

    /// Returns the bytes of a chunk, if they are in memory.
    pub fn bytes(&self, digest: &Digest) -> Option<Bytes> {
        match self.lock().held.get(digest) {
            Some(ChunkLocation::Memory(bytes)) => Some(bytes.clone()),
            _ => None,
        }
    }

    /// Frees the bytes of a version's chunks, which are staged at the engine.
    /// Chunks of other versions are unaffected.
    pub fn mark_staged(&self, manifest: &VersionManifest) {
        let mut inner = self.lock();
        for (i, digest) in manifest.digests.iter().enumerate() {
            let Some(held) = inner.held.get_mut(digest) else { continue };
            let model = Arc::clone(&manifest.model);
            *held = ChunkLocation::Staged(model, i as u32);
        }
    }

    /// Removes the chunks of a version that are staged at the engine only.
    pub fn remove_staged(&self, manifest: &VersionManifest) {
        let mut inner = self.lock();
        for digest in &manifest.digests {
            if let Some(ChunkLocation::Staged(..)) = inner.held.get(digest) {
                inner.held.remove(digest);
            }
        }
    }

    /// Returns the digest of the chunk staged at the engine under an index.
    pub fn staged_at(&self, model: &str, index: u32) -> Option<Digest> {
        let inner = self.lock();
        let mut held = inner.held.iter();
        let found = held.find(|(_, held)| match held {
            ChunkLocation::Staged(m, i) => **m == *model && *i == index,
            ChunkLocation::Memory(_) => false,
        });
        found.map(|(digest, _)| *digest)
    }

    /// Removes all versions of a model before `version`, with the chunks that
    /// no other version contains.
    pub fn remove_versions_before(&self, model: &str, version: u64) {
        let older_versions: Vec<u64> = {
            let inner = self.lock();
            let of_model =
                inner.manifests.iter().filter(|m| &*m.model == model);
            let versions = of_model.map(|m| m.version);
            versions.filter(|v| *v < version).collect()
        };
        for version in older_versions {
            self.remove_version(model, version);
        }
    }

    /// Returns a future that completes when the next chunk or manifest
    /// arrives.
    pub fn arrived(&self) -> tokio::sync::futures::Notified<'_> {
        self.arrived.notified()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
#[path = "holdings_tests.rs"]
mod tests;
