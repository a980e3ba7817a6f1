//! The chunks that a process can serve to its peers.
//!
//! Each chunk is verified on arrival. Its bytes stay in memory while peers
//! are likely to request it; afterwards they are read back from the engine
//! and verified again, since a staged chunk may get corrupted.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use stairhinge::Digest;
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

/// The chunks and manifests that a process holds, shared by the fetch and the
/// server.
#[derive(Debug, Default)]
pub struct Holdings {
    inner: Mutex<Inner>,
    arrived: Notify,
}

impl Holdings {
    /// The maximum number of manifests kept.
    const MAX_MANIFESTS: usize = 3;

    /// Adds a manifest. Beyond [`Holdings::MAX_MANIFESTS`] the oldest one is
    /// removed with its chunks.
    pub fn add_manifest(&self, manifest: &Arc<VersionManifest>) {
        let mut inner = self.lock();
        inner.manifests.retain(|m| {
            m.version != manifest.version || m.model != manifest.model
        });
        if inner.manifests.len() >= Holdings::MAX_MANIFESTS {
            let oldest = inner.manifests.remove(0);
            for digest in &oldest.digests {
                inner.held.remove(digest);
            }
        }
        inner.manifests.push(Arc::clone(manifest));
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
        let removed = inner.manifests.remove(position);
        for digest in &removed.digests {
            let shared =
                inner.manifests.iter().any(|m| m.digests.contains(digest));
            if !shared {
                inner.held.remove(digest);
            }
        }
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
