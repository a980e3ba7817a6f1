//! What differs between the processes that draw chunks.

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

/// What one process draws chunks with.
#[derive(Clone)]
pub struct FetchContext {
    /// What it believes, with its clock and its log.
    pub facts: Arc<Facts>,
    /// The chunks that are here.
    pub holdings: Arc<Holdings>,
    /// Connections to peers.
    pub client: Client,
    /// The origin of weights.
    pub origin: Arc<dyn WeightOrigin>,
    /// Where peers ask this process.
    pub addr: SocketAddr,
    /// Its data hall.
    pub hall: Arc<str>,
}

impl FetchContext {
    /// Returns where the origin of weights is published to be.
    ///
    /// # Errors
    ///
    /// [`Code::NoSource`] if nowhere.
    pub fn origin_addr(&self) -> Result<SocketAddr, Error> {
        let view = self.facts.view();
        let origin = view.routes.as_ref().and_then(|r| r.origin());
        let none = || Error::new(Code::NoSource, "no origin is published");
        origin.map(|o| o.addr).ok_or_else(none)
    }
}

/// A process of the same kind that draws the same version, with its data
/// hall.
pub type Peer = (Arc<str>, SocketAddr);

/// One who draws chunks.
pub trait ChunkOwner: Send + Sync {
    /// Returns the other processes of its kind with their data halls, which
    /// share the work of context.
    fn peers(&self) -> Vec<Peer>;

    /// Returns the processes of its hall that hold chunks for it, and are
    /// asked before any peer.
    fn caches(&self) -> Vec<SocketAddr>;

    /// Returns the processes of its hall that hold all of a version, and are
    /// asked before anybody outside the hall.
    fn holders(&self, model: &str, version: u64) -> Vec<SocketAddr>;

    /// Returns the processes of its hall that may hold some of a version from
    /// before the draw began.
    fn partial_holders(&self) -> Vec<SocketAddr> {
        Vec::new()
    }

    /// Returns how long the origin's link is taken to be busy with a chunk.
    fn origin_interval(&self, chunk_bytes: u32) -> Duration;

    /// Returns how many of `most` questions the link bears at a time.
    fn max_requests(&self, most: usize) -> usize;

    /// Returns the pace of the fetch, or `None` if it should be as fast as
    /// the link bears.
    fn pace(&self) -> Option<FetchPace> {
        None
    }

    /// Takes in a verified chunk that was kept.
    fn store_chunk<'a>(
        &'a self,
        manifest: &'a VersionManifest,
        index: u32,
        bytes: Bytes,
    ) -> BoxFuture<'a, ()>;

    /// Takes note that a chunk came.
    fn record_progress(&self, source: &Source) {
        let _ = source;
    }

    /// Returns how long ago an agent last wanted what is drawn.
    fn idle(&self) -> Duration {
        Duration::ZERO
    }

    /// Takes note that the origin failed.
    fn record_origin_failure(&self) {}

    /// Reads the list of peers again, beside the fetch.
    fn refresh_peers(&self) {}

    /// Returns the part of the link that questions and what is sent may
    /// take, for the log.
    fn link_shares(&self) -> (f64, f64) {
        (1.0, 1.0)
    }
}

/// Where chunks lie that are not in memory.
pub trait ChunkStage: Send + Sync {
    /// Reads a chunk back.
    fn read<'a>(
        &'a self,
        model: &'a str,
        index: u32,
    ) -> BoxFuture<'a, Result<Bytes, Error>>;
}

/// Logs that a source failed.
pub fn log_failure(facts: &Facts, source: &str, error: &Error) {
    facts.log().write(&Decision::SourceFailed {
        source,
        code: error.code().number(),
        reason: error.message(),
    });
}
