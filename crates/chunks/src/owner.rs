//! The interface between a fetch and the process that runs it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::weights::{FetchPace, Source};
use stairhinge::{Code, Error};
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::directory::Facts;
use stairhinge_shell::http::Client;

use crate::holdings::Holdings;
use crate::manifest::{VersionManifest, WeightOrigin};

/// The state and connections that a process uses to fetch chunks.
#[derive(Clone)]
pub struct FetchContext {
    /// The known routes, targets and replicas, with the clock and the log.
    pub facts: Arc<Facts>,
    /// The chunks held by this process.
    pub holdings: Arc<Holdings>,
    /// The HTTP client for requests to peers.
    pub client: Client,
    /// The client of the origin.
    pub origin: Arc<dyn WeightOrigin>,
    /// The address at which peers send requests to this process.
    pub addr: SocketAddr,
    /// The data hall of this process.
    pub hall: Arc<str>,
}

impl FetchContext {
    /// Returns the published address of the origin.
    ///
    /// # Errors
    ///
    /// [`Code::NoSource`] if no origin is published.
    pub fn origin_addr(&self) -> Result<SocketAddr, Error> {
        let view = self.facts.view();
        let origin = view.routes.as_ref().and_then(|r| r.origin());
        let unpublished =
            || Error::new(Code::NoSource, "the routes name no origin");
        origin.map(|o| o.addr).ok_or_else(unpublished)
    }
}

/// Another process of the same kind that fetches the same version: its data
/// hall and its address.
pub type Peer = (Arc<str>, SocketAddr);

/// A process that fetches chunks: it knows the sources, limits the requests
/// and stores the chunks received.
pub trait ChunkOwner: Send + Sync {
    /// Returns the other processes of the same kind, which share the fetch
    /// from the origin.
    fn peers(&self) -> Vec<Peer>;

    /// Returns the caches of the own hall, which are asked before any peer.
    fn caches(&self) -> Vec<SocketAddr>;

    /// Returns the processes of the own hall that hold a complete version.
    /// They are asked before any process outside the hall.
    fn holders(&self, model: &str, version: u64) -> Vec<SocketAddr>;

    /// Returns the processes of the own hall that may hold chunks of a version
    /// since before the fetch began.
    fn partial_holders(&self) -> Vec<SocketAddr> {
        Vec::new()
    }

    /// Returns the estimated time that the origin's link takes to send one
    /// chunk.
    fn origin_interval(&self, chunk_bytes: u32) -> Duration;

    /// Returns how many of at most `limit` requests may be outstanding.
    fn max_requests(&self, limit: usize) -> usize;

    /// Returns the pace of the fetch, or `None` if it runs at the full rate of
    /// the link.
    fn pace(&self) -> Option<FetchPace> {
        None
    }

    /// Stores a verified chunk in addition to the holdings, such as at an
    /// engine.
    fn store_chunk<'a>(
        &'a self,
        manifest: &'a VersionManifest,
        index: u32,
        bytes: Bytes,
    ) -> BoxFuture<'a, ()>;

    /// Records that a chunk arrived from a source.
    fn record_progress(&self, source: &Source) {
        let _ = source;
    }

    /// Returns how long ago an agent last requested the version being
    /// fetched.
    fn idle(&self) -> Duration {
        Duration::ZERO
    }

    /// Returns whether peers should send chunks to this process ahead of those
    /// for agents.
    fn goes_ahead(&self) -> bool {
        false
    }

    /// Returns whether the agents of the hall take chunks of a version from
    /// each other as well as from the caches.
    fn exchanges(&self, model: &str) -> bool {
        let _ = model;
        false
    }

    /// Records that a request to the origin failed.
    fn record_origin_failure(&self) {}

    /// Starts to refresh the list of peers in the background.
    fn refresh_peers(&self) {}

    /// Returns the shares of the link that downloads and uploads may use, each
    /// from 0 to 1, for the log.
    fn link_shares(&self) -> (f64, f64) {
        (1.0, 1.0)
    }
}

/// Chunks that are staged outside of the process memory.
pub trait ChunkStage: Send + Sync {
    /// Reads a staged chunk.
    fn read<'a>(
        &'a self,
        model: &'a str,
        index: u32,
    ) -> BoxFuture<'a, Result<Bytes, Error>>;
}

/// Logs the failure of a source.
pub fn log_failure(facts: &Facts, source: &str, error: &Error) {
    facts.log().write(&Decision::SourceFailed {
        source,
        code: error.code().number(),
        reason: error.message(),
    });
}
