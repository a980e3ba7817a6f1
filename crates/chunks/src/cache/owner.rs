//! A cache as one that draws chunks.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::weights::Source;
use tokio::time::Instant;

use super::{ChunkCache, HELD_FOR, Version};
use crate::manifest::VersionManifest;
use crate::owner::{ChunkOwner, Peer};

/// A cache as one that draws chunks.
pub(super) struct CacheOwner<'a> {
    pub cache: &'a ChunkCache,
    pub key: &'a Version,
    /// Whether agents may hold some of the version.
    pub late: bool,
}

impl ChunkOwner for CacheOwner<'_> {
    fn peers(&self) -> Vec<Peer> {
        let me = self.cache.context.addr;
        let mut peers = Vec::new();
        for entry in self.cache.peers.entries() {
            if entry.addr != me {
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
        if self.late { self.cache.peers.agents() } else { Vec::new() }
    }

    // Few entries draw at a time, so each chunk has its share of the
    // origin's link at once.
    fn origin_interval(&self, _: u32) -> Duration {
        Duration::ZERO
    }

    fn max_requests(&self, most: usize) -> usize {
        most
    }

    fn record_progress(&self, source: &Source) {
        self.cache.note(self.key, |draw| {
            draw.moved = Instant::now();
            draw.origin_lost &= *source != Source::Origin;
        });
    }

    fn record_origin_failure(&self) {
        self.cache.note(self.key, |draw| draw.origin_lost = true);
    }

    fn idle(&self) -> Duration {
        let at = self.cache.lock().get(self.key).map(|draw| draw.asked);
        at.map_or(HELD_FOR, |at| at.elapsed())
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
