//! The chunks that a process can pass on.
//!
//! Each chunk was verified when it came. Its bytes stay in memory while
//! peers may still want them; afterwards they are read back from the engine
//! and verified again, since what lies there may turn bad.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use stairhinge::Digest;
use tokio::sync::Notify;

use crate::manifest::VersionManifest;

/// Where a chunk's bytes are.
#[derive(Clone, Debug)]
pub enum ChunkLocation {
    /// In memory.
    Memory(Bytes),
    /// Staged at the engine, as this chunk of this model.
    Staged(Arc<str>, u32),
}

#[derive(Debug, Default)]
struct Inner {
    manifests: Vec<Arc<VersionManifest>>,
    held: HashMap<Digest, ChunkLocation>,
}

/// The chunks held; shared by fetching and serving.
#[derive(Debug, Default)]
pub struct Holdings {
    inner: Mutex<Inner>,
    arrived: Notify,
}

impl Holdings {
    /// The most manifests that are remembered.
    const MOST_MANIFESTS: usize = 3;

    /// Remembers a manifest.
    pub fn add_manifest(&self, manifest: &Arc<VersionManifest>) {
        let mut inner = self.lock();
        inner.manifests.retain(|m| {
            m.version != manifest.version || m.model != manifest.model
        });
        if inner.manifests.len() >= Holdings::MOST_MANIFESTS {
            let oldest = inner.manifests.remove(0);
            for digest in &oldest.digests {
                inner.held.remove(digest);
            }
        }
        inner.manifests.push(Arc::clone(manifest));
        drop(inner);
        self.arrived.notify_waiters();
    }

    /// Returns the manifest of a version, if it is remembered.
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

    /// Forgets the manifest of a version.
    pub fn remove_manifest(&self, model: &str, version: u64) {
        self.lock()
            .manifests
            .retain(|m| &*m.model != model || m.version != version);
    }

    /// Drops the manifest of a version, with the chunks that no other
    /// version has.
    pub fn remove_version(&self, model: &str, version: u64) {
        let mut inner = self.lock();
        let of_version = |m: &Arc<VersionManifest>| {
            &*m.model == model && m.version == version
        };
        let Some(place) = inner.manifests.iter().position(of_version) else {
            return;
        };
        let dropped = inner.manifests.remove(place);
        for digest in &dropped.digests {
            let shared =
                inner.manifests.iter().any(|m| m.digests.contains(digest));
            if !shared {
                inner.held.remove(digest);
            }
        }
    }

    /// Takes in a verified chunk.
    pub fn insert_chunk(&self, digest: Digest, held: ChunkLocation) {
        self.lock().held.insert(digest, held);
        self.arrived.notify_waiters();
    }

    /// Drops a chunk that has turned bad.
    pub fn remove_chunk(&self, digest: &Digest) {
        self.lock().held.remove(digest);
    }

    /// Returns where a chunk is, if it is held.
    pub fn get(&self, digest: &Digest) -> Option<ChunkLocation> {
        self.lock().held.get(digest).cloned()
    }

    /// Returns whether a chunk is held.
    pub fn holds(&self, digest: &Digest) -> bool {
        self.lock().held.contains_key(digest)
    }

    /// Returns how many chunks of a version are held.
    pub fn count(&self, manifest: &VersionManifest) -> usize {
        let inner = self.lock();
        let digests = manifest.digests.iter();
        digests.filter(|d| inner.held.contains_key(*d)).count()
    }

    /// Returns a chunk's bytes if they are in memory.
    pub fn bytes(&self, digest: &Digest) -> Option<Bytes> {
        match self.lock().held.get(digest) {
            Some(ChunkLocation::Memory(bytes)) => Some(bytes.clone()),
            _ => None,
        }
    }

    /// Leaves the bytes of a version to the engine, where they lie staged.
    /// Chunks of other versions stay as they are.
    pub fn mark_staged(&self, manifest: &VersionManifest) {
        let mut inner = self.lock();
        for (i, digest) in manifest.digests.iter().enumerate() {
            let Some(held) = inner.held.get_mut(digest) else { continue };
            let model = Arc::clone(&manifest.model);
            *held = ChunkLocation::Staged(model, i as u32);
        }
    }

    /// Forgets the chunks of a version that only lie at the engine.
    pub fn remove_staged(&self, manifest: &VersionManifest) {
        let mut inner = self.lock();
        for digest in &manifest.digests {
            if let Some(ChunkLocation::Staged(..)) = inner.held.get(digest) {
                inner.held.remove(digest);
            }
        }
    }

    /// Returns the chunk that is held at a place at the engine.
    pub fn staged_at(&self, model: &str, index: u32) -> Option<Digest> {
        let inner = self.lock();
        let mut held = inner.held.iter();
        let found = held.find(|(_, held)| match held {
            ChunkLocation::Staged(m, i) => **m == *model && *i == index,
            ChunkLocation::Memory(_) => false,
        });
        found.map(|(digest, _)| *digest)
    }

    /// Drops all versions of a model before one, with the chunks that no
    /// other version has.
    pub fn remove_versions_before(&self, model: &str, version: u64) {
        let older: Vec<u64> = {
            let inner = self.lock();
            let of_model =
                inner.manifests.iter().filter(|m| &*m.model == model);
            let versions = of_model.map(|m| m.version);
            versions.filter(|v| *v < version).collect()
        };
        for version in older {
            self.remove_version(model, version);
        }
    }

    /// Returns a future that ends when the next chunk or manifest arrives.
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
