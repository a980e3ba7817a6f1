//! The chunks that this agent can pass on.
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
pub(crate) enum Held {
    /// In memory.
    Bytes(Bytes),
    /// Staged at the engine, as this chunk of this model.
    Staged(Arc<str>, u32),
}

#[derive(Debug, Default)]
struct Inner {
    manifests: Vec<Arc<VersionManifest>>,
    held: HashMap<Digest, Held>,
}

/// The chunks held; shared by fetching and serving.
#[derive(Debug, Default)]
pub(crate) struct Holdings {
    inner: Mutex<Inner>,
    arrived: Notify,
}

impl Holdings {
    /// The most manifests that are remembered.
    const MOST_MANIFESTS: usize = 3;

    /// Remembers a manifest.
    pub(crate) fn remember(&self, manifest: &Arc<VersionManifest>) {
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
    pub(crate) fn manifest(
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
    pub(crate) fn forget(&self, model: &str, version: u64) {
        self.lock()
            .manifests
            .retain(|m| &*m.model != model || m.version != version);
    }

    /// Takes in a verified chunk.
    pub(crate) fn keep(&self, digest: Digest, held: Held) {
        self.lock().held.insert(digest, held);
        self.arrived.notify_waiters();
    }

    /// Drops a chunk that has turned bad.
    pub(crate) fn drop_chunk(&self, digest: &Digest) {
        self.lock().held.remove(digest);
    }

    /// Returns where a chunk is, if it is held.
    pub(crate) fn get(&self, digest: &Digest) -> Option<Held> {
        self.lock().held.get(digest).cloned()
    }

    /// Returns whether a chunk is held.
    pub(crate) fn holds(&self, digest: &Digest) -> bool {
        self.lock().held.contains_key(digest)
    }

    /// Returns a chunk's bytes if they are in memory.
    pub(crate) fn bytes(&self, digest: &Digest) -> Option<Bytes> {
        match self.lock().held.get(digest) {
            Some(Held::Bytes(bytes)) => Some(bytes.clone()),
            _ => None,
        }
    }

    /// Leaves the bytes of a version to the engine, where they lie staged.
    /// Chunks of other versions stay as they are.
    pub(crate) fn settle(&self, manifest: &VersionManifest) {
        let mut inner = self.lock();
        for (i, digest) in manifest.digests.iter().enumerate() {
            let Some(held) = inner.held.get_mut(digest) else { continue };
            let model = Arc::clone(&manifest.model);
            *held = Held::Staged(model, i as u32);
        }
    }

    /// Forgets all chunks that only lie at the engine.
    pub(crate) fn forget_staged(&self) {
        self.lock().held.retain(|_, h| matches!(h, Held::Bytes(_)));
    }

    /// Returns a future that ends when the next chunk or manifest arrives.
    pub(crate) fn arrived(&self) -> tokio::sync::futures::Notified<'_> {
        self.arrived.notified()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
#[path = "holdings_tests.rs"]
mod tests;
