//! The agent's implementation of [`ChunkOwner`].

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::weights::{FetchPace, Source};
use stairhinge_chunks::{ChunkOwner, Peer, VersionManifest};

use crate::agent::Agent;
use crate::peer_list::{Relist, peers};
use crate::staging::stage;

/// The interval between requests to the origin, as a fraction of the transfer
/// time of a chunk on its link. It is less than 1 so that the link is never
/// idle: the origin may go down soon after a version becomes the target.
const ORIGIN_INTERVAL_FRACTION: f64 = 0.7;

/// The owner of one fetch of an agent.
pub(crate) struct FetchOwner {
    agent: Arc<Agent>,
    pace: Option<FetchPace>,
    relist: Mutex<Relist>,
}

impl FetchOwner {
    /// Returns the owner of a fetch that is as fast as the link allows.
    pub(crate) fn new(agent: Arc<Agent>) -> FetchOwner {
        FetchOwner { agent, pace: None, relist: Mutex::default() }
    }

    /// Sets the pace of the fetch, or no limit for `None`.
    pub(crate) fn set_pace(&mut self, pace: Option<FetchPace>) {
        self.pace = pace;
    }
}

impl ChunkOwner for FetchOwner {
    fn peers(&self) -> Vec<Peer> {
        peers(&self.agent)
    }

    fn caches(&self) -> Vec<SocketAddr> {
        caches(&self.agent)
    }

    fn holders(&self, _: &str, _: u64) -> Vec<SocketAddr> {
        Vec::new()
    }

    fn exchanges(&self, model: &str) -> bool {
        if self.agent.settings.versions.is_none() {
            return false;
        }
        let bound = self.agent.live.get().version_bound();
        let view = self.agent.facts.view();
        view.targets.is_succession(model, bound)
    }

    fn origin_interval(&self, chunk_bytes: u32) -> Duration {
        let transfer = self.agent.live.get().transfer(chunk_bytes);
        transfer.mul_f64(ORIGIN_INTERVAL_FRACTION)
    }

    fn max_requests(&self, most: usize) -> usize {
        self.agent.link_share().max_requests(most)
    }

    fn pace(&self) -> Option<FetchPace> {
        self.pace
    }

    fn store_chunk<'a>(
        &'a self,
        manifest: &'a VersionManifest,
        index: u32,
        bytes: Bytes,
    ) -> BoxFuture<'a, ()> {
        Box::pin(async move {
            stage(&self.agent, manifest, index, bytes).await;
        })
    }

    fn record_progress(&self, _: &Source) {
        self.agent.record_transfer();
    }

    fn record_origin_failure(&self) {
        self.agent.report_origin_failure();
    }

    fn refresh_peers(&self) {
        let relist = self.relist.lock();
        relist.unwrap_or_else(PoisonError::into_inner).start(&self.agent);
    }

    fn link_shares(&self) -> (f64, f64) {
        let share = *self.agent.link_share();
        (share.download(), share.upload())
    }
}

/// Returns the entries of the hall that cache chunks for its agents.
pub(crate) fn caches(agent: &Agent) -> Vec<SocketAddr> {
    let hall = &agent.settings.hall;
    let mut caches = Vec::new();
    for entry in agent.subscribers.first_ranked() {
        if entry.hall == *hall {
            caches.push(entry.addr);
        }
    }
    caches
}
