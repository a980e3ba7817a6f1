//! The cache of an entry as the owner of a fetch.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::weights::Source;
use tokio::time::Instant;

use super::{CacheKey, ChunkCache, RETENTION};
use crate::manifest::VersionManifest;
use crate::owner::{ChunkOwner, Peer};

/// One fetch of a cache.
pub(super) struct CacheOwner<'a> {
    pub cache: &'a ChunkCache,
    pub key: &'a CacheKey,
    /// Whether agents may already hold some chunks of the version.
    pub may_be_held: bool,
}

impl ChunkOwner for CacheOwner<'_> {
    fn peers(&self) -> Vec<Peer> {
        let own_addr = self.cache.context.addr;
        let mut peers = Vec::new();
        for entry in self.cache.peers.entries() {
            if entry.addr != own_addr {
                peers.push((entry.hall, entry.addr));
            }
        }
        peers.sort();
        peers
    }

    fn caches(&self) -> Vec<SocketAddr> {
        Vec::new()
    }

    fn holders(&self, model: &str, version: u64) -> Vec<SocketAddr> {
        self.cache.peers.holders(model, version)
    }

    fn partial_holders(&self) -> Vec<SocketAddr> {
        if self.may_be_held { self.cache.peers.agents() } else { Vec::new() }
    }

    // Few entries fetch at a time, so each chunk gets its share of the
    // origin's link even if all are requested at once.
    fn origin_interval(&self, _: u32) -> Duration {
        Duration::ZERO
    }

    fn max_requests(&self, limit: usize) -> usize {
        limit
    }

    fn record_progress(&self, source: &Source) {
        self.cache.update(self.key, |state| {
            state.last_progress = Instant::now();
            state.origin_lost &= *source != Source::Origin;
        });
        if *source == Source::Origin {
            self.cache.set_origin_failed(false);
        }
    }

    fn record_origin_failure(&self) {
        self.cache.update(self.key, |state| state.origin_lost = true);
        self.cache.set_origin_failed(true);
    }

    fn idle(&self) -> Duration {
        let at = self.cache.last_request(self.key);
        at.map_or(RETENTION, |at| at.elapsed())
    }

    fn goes_ahead(&self) -> bool {
        self.cache.is_succession(&self.key.0)
    }

    fn store_chunk<'a>(
        &'a self,
        _: &'a VersionManifest,
        _: u32,
        _: Bytes,
    ) -> BoxFuture<'a, ()> {
        Box::pin(std::future::ready(()))
    }
}
