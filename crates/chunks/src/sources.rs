//! Whom a process may draw chunks from.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::rank;
use stairhinge::weights::{
    Chunk, FetchTimeouts, Puller, SourceRanking, Takeover,
};

use crate::manifest::VersionManifest;
use crate::owner::{ChunkOwner, FetchContext, Peer};

/// How many draws on the origin a fetch makes before peers are asked.
const ORIGIN_COPIES: u32 = 1;

/// A peer that answers is not left because it has nothing yet: while the
/// origin is down nobody has, and all would turn to the origin at once.
const NEVER: Duration = Duration::from_secs(3_600);

/// When a process that is not in charge of a chunk draws it from the origin.
const TAKEOVER: Takeover = Takeover {
    after: Duration::from_millis(1_500),
    step: Duration::from_millis(250),
};

/// How many processes of its hall each one passes a chunk on to.
const FANOUT: usize = 2;

/// The processes that may have chunks of a version, as of now.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Sources {
    peers: Vec<Peer>,
    caches: Vec<SocketAddr>,
    holders: Vec<SocketAddr>,
    partial_holders: Vec<SocketAddr>,
}

impl Sources {
    /// Returns those that an owner knows.
    pub(crate) fn of(
        owner: &dyn ChunkOwner,
        manifest: &VersionManifest,
    ) -> Sources {
        Sources {
            peers: owner.peers(),
            caches: owner.caches(),
            holders: owner.holders(&manifest.model, manifest.version),
            partial_holders: owner.partial_holders(),
        }
    }

    /// Returns how many there are, with the origin.
    pub(crate) fn count(&self) -> usize {
        let near = self.caches.len()
            + self.holders.len()
            + self.partial_holders.len();
        (self.peers.len() + near).max(1) + 1
    }

    /// Returns whether a cache of the hall holds chunks for this process.
    pub(crate) fn has_cache(&self) -> bool {
        !self.caches.is_empty()
    }

    /// Returns the ranks of all of them for a version.
    pub(crate) fn walk(
        &self,
        context: &FetchContext,
        manifest: &VersionManifest,
    ) -> SourceRanking {
        let me: Arc<str> = Arc::from(context.addr.to_string());
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
            &me,
            ORIGIN_COPIES,
        )
        .with_fanout(FANOUT)
        .with_caches(names(&self.caches))
        .with_holders(names(&self.holders))
        .with_partial_holders(names(&self.partial_holders))
    }

    /// Returns a puller of what is missing of a version.
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
        let me = context.addr.to_string();
        let turn = rank::score(subject(manifest).as_bytes(), &me) as usize;
        let turn = turn % chunks.len().max(1);
        let patience = FetchTimeouts::new()
            .with_hold(Duration::from_millis(800))
            .with_not_yet_limit(NEVER)
            .with_suspicion(Duration::from_millis(2_000))
            .with_takeover(TAKEOVER)
            .with_origin_interval(owner.origin_interval(manifest.chunk_bytes));
        let walk = self.walk(context, manifest);
        let holdings = &context.holdings;
        Puller::new(walk, &chunks, patience, turn, |d| holdings.holds(d))
    }
}

fn names(addrs: &[SocketAddr]) -> Vec<Arc<str>> {
    addrs.iter().map(|addr| Arc::from(addr.to_string())).collect()
}

/// Returns what names a version in ranks.
fn subject(manifest: &VersionManifest) -> String {
    format!("{}@{}", manifest.model, manifest.version)
}
