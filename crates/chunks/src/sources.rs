//! The sources from which a process can fetch chunks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::rank;
use stairhinge::weights::{
    Chunk, FetchTimeouts, Puller, SourceRanking, Takeover,
};

use crate::manifest::VersionManifest;
use crate::owner::{ChunkOwner, FetchContext, Peer};

/// How many halls each fetch a full copy from the origin.
const ORIGIN_COPIES: u32 = 1;

/// How long a peer may answer "not yet", in effect without limit. While the
/// origin is down no peer has new chunks, and a limit would make all processes
/// turn to the origin at once.
const NOT_YET_LIMIT: Duration = Duration::from_secs(3_600);

/// When a process fetches a chunk from the origin that another process is
/// responsible for.
const TAKEOVER: Takeover = Takeover {
    after: Duration::from_millis(1_500),
    step: Duration::from_millis(250),
};

/// How many processes of its hall each process forwards a chunk to.
const FANOUT: usize = 2;

/// The processes that may currently hold chunks of a version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Sources {
    peers: Vec<Peer>,
    caches: Vec<SocketAddr>,
    holders: Vec<SocketAddr>,
    partial_holders: Vec<SocketAddr>,
    exchanges: bool,
    rarest_first: bool,
}

impl Sources {
    /// Returns the sources that an owner knows.
    pub(crate) fn of(
        owner: &dyn ChunkOwner,
        manifest: &VersionManifest,
    ) -> Sources {
        Sources {
            peers: owner.peers(),
            caches: owner.caches(),
            holders: owner.holders(&manifest.model, manifest.version),
            partial_holders: owner.partial_holders(),
            exchanges: owner.exchanges(&manifest.model),
            rarest_first: owner.goes_ahead()
                || owner.exchanges(&manifest.model),
        }
    }

    /// Returns the number of sources, including the origin.
    pub(crate) fn count(&self) -> usize {
        let near = self.caches.len()
            + self.holders.len()
            + self.partial_holders.len();
        (self.peers.len() + near).max(1) + 1
    }

    /// Returns whether no other process depends on the chunks fetched here,
    /// because the caches of the hall serve all agents.
    pub(crate) fn may_be_paced(&self) -> bool {
        !self.caches.is_empty() && !self.exchanges
    }

    /// Returns the ranking of all sources for a version.
    pub(crate) fn ranking(
        &self,
        context: &FetchContext,
        manifest: &VersionManifest,
    ) -> SourceRanking {
        let own_name: Arc<str> = Arc::from(context.addr.to_string());
        let mut halls: Vec<(Arc<str>, Vec<Arc<str>>)> = Vec::new();
        for (hall, addr) in &self.peers {
            let name = Arc::from(addr.to_string());
            match halls.iter_mut().find(|(h, _)| h == hall) {
                Some((_, names)) => names.push(name),
                None => halls.push((Arc::clone(hall), vec![name])),
            }
        }
        let subject = subject(manifest);
        let hall = &context.hall;
        SourceRanking::new(
            subject.as_bytes(),
            &halls,
            hall,
            &own_name,
            ORIGIN_COPIES,
        )
        .with_fanout(FANOUT)
        .with_caches(names(&self.caches))
        .with_exchange(self.exchanges)
        .with_rarest_first(self.rarest_first)
        .with_holders(names(&self.holders))
        .with_partial_holders(names(&self.partial_holders))
    }

    /// Returns a puller of the missing chunks of a version.
    pub(crate) fn puller(
        &self,
        context: &FetchContext,
        owner: &dyn ChunkOwner,
        manifest: &VersionManifest,
    ) -> Puller {
        let mut chunks = Vec::new();
        for digest in &manifest.digests {
            chunks.push(Chunk::with_digest(*digest, manifest.chunk_bytes));
        }
        let own_name = context.addr.to_string();
        let offset =
            rank::score(subject(manifest).as_bytes(), &own_name) as usize;
        let offset = offset % chunks.len().max(1);
        let timeouts = FetchTimeouts::new()
            .with_hold(Duration::from_millis(800))
            .with_not_yet_limit(NOT_YET_LIMIT)
            .with_suspicion(Duration::from_millis(2_000))
            .with_takeover(TAKEOVER)
            .with_origin_interval(owner.origin_interval(manifest.chunk_bytes));
        let ranking = self.ranking(context, manifest);
        let holdings = &context.holdings;
        Puller::new(ranking, &chunks, timeouts, offset, |d| holdings.holds(d))
    }
}

fn names(addrs: &[SocketAddr]) -> Vec<Arc<str>> {
    addrs.iter().map(|addr| Arc::from(addr.to_string())).collect()
}

/// Returns the subject under which the sources of a version are ranked.
fn subject(manifest: &VersionManifest) -> String {
    format!("{}@{}", manifest.model, manifest.version)
}
