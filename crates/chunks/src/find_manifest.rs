//! Search for the manifest of a version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use stairhinge::weights::ManifestSource;
use stairhinge::{Code, Error, rank};

use crate::manifest::VersionManifest;
use crate::owner::{ChunkOwner, FetchContext, log_failure};
use crate::peers::request_manifest;

/// The delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a peer that does not have the manifest yet may hold a request.
const HOLD: Duration = Duration::from_millis(800);

/// How long a peer may hold a request of a process that also asks the origin.
const SHORT_HOLD: Duration = Duration::from_millis(100);

/// The maximum number of processes of the hall that are asked before the
/// ranked peers.
const MAX_NEAR_ATTEMPTS: usize = 2;

/// Returns the manifest of a version from the holdings, or else from a cache,
/// a peer or the origin. Retries until one of them has it, also while the
/// origin is unreachable, so callers drop the search once they do not want the
/// version any more.
///
/// # Errors
///
/// [`Code::VersionGone`] if the origin does not provide the version any more,
/// and no peer has the manifest.
pub async fn find_manifest(
    context: &FetchContext,
    owner: &dyn ChunkOwner,
    model: &Arc<str>,
    version: u64,
) -> Result<Arc<VersionManifest>, Error> {
    let search = Search { context, owner, model, version };
    let started = Instant::now();
    let mut attempt = 0;
    loop {
        if let Some(manifest) = context.holdings.manifest(model, version) {
            return Ok(manifest);
        }
        let found = match search.attempt(attempt, started.elapsed()).await {
            Err(error) if error.code() == Code::VersionGone => {
                search.ask_all_peers().await.ok_or(error)?
            }
            Err(error) => {
                log_failure(&context.facts, "manifest", &error);
                attempt += 1;
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            Ok(manifest) => manifest,
        };
        let manifest = Arc::new(found);
        context.holdings.add_manifest(&manifest);
        return Ok(manifest);
    }
}

/// A search for the manifest of one version.
struct Search<'a> {
    context: &'a FetchContext,
    owner: &'a dyn ChunkOwner,
    model: &'a Arc<str>,
    version: u64,
}

impl Search<'_> {
    async fn attempt(
        &self,
        attempt: usize,
        elapsed: Duration,
    ) -> Result<VersionManifest, Error> {
        let near = self.near();
        let found = match near.get(attempt) {
            Some(addr) => self.ask_peer(*addr, HOLD).await?,
            None => self.ask_ranked(attempt - near.len(), elapsed).await?,
        };
        self.check(found)
    }

    /// Returns the processes of the hall to ask before the ranked peers: its
    /// caches and, for a cache, the agents that serve the version, since the
    /// origin may be down, and may only provide the newest version.
    fn near(&self) -> Vec<SocketAddr> {
        let mut near = self.owner.caches();
        near.extend(self.owner.holders(self.model, self.version));
        let own_score = self.score(self.context.addr) as usize;
        let start = own_score % near.len().max(1);
        near.rotate_left(start);
        near.truncate(MAX_NEAR_ATTEMPTS);
        near
    }

    /// Asks the origin or a peer, depending on the own rank.
    async fn ask_ranked(
        &self,
        attempt: usize,
        elapsed: Duration,
    ) -> Result<VersionManifest, Error> {
        let (ranked, own_rank) = self.ranked();
        match ManifestSource::next(own_rank, ranked.len(), attempt, elapsed) {
            ManifestSource::Origin => self.ask_origin().await,
            ManifestSource::Agent(peer_rank) => {
                let no_peer =
                    || Error::new(Code::NoSource, "no peer is listed");
                let addr = *ranked.get(peer_rank).ok_or_else(no_peer)?;
                let asks_origin = own_rank < ManifestSource::ORIGIN_FETCHERS;
                self.ask_peer(
                    addr,
                    if asks_origin { SHORT_HOLD } else { HOLD },
                )
                .await
            }
        }
    }

    async fn ask_origin(&self) -> Result<VersionManifest, Error> {
        let addr = self.context.origin_addr()?;
        let origin = &self.context.origin;
        let response = origin.manifest(addr, self.model, self.version).await;
        response.inspect_err(|error| {
            // An origin that refuses a version is not lost.
            if error.code() != Code::VersionGone {
                self.owner.record_origin_failure();
            }
        })
    }

    /// Asks each peer once. Returns `None` if no peer has the manifest.
    async fn ask_all_peers(&self) -> Option<VersionManifest> {
        let (ranked, own_rank) = self.ranked();
        for (rank, addr) in ranked.into_iter().enumerate() {
            if rank == own_rank {
                continue;
            }
            let answer = self.ask_peer(addr, SHORT_HOLD).await;
            match answer.and_then(|found| self.check(found)) {
                Ok(manifest) => return Some(manifest),
                Err(error) => {
                    log_failure(&self.context.facts, "manifest", &error);
                }
            }
        }
        None
    }

    async fn ask_peer(
        &self,
        addr: SocketAddr,
        hold: Duration,
    ) -> Result<VersionManifest, Error> {
        let client = &self.context.client;
        let idle = self.owner.idle();
        let (model, version) = (self.model, self.version);
        request_manifest(client, addr, model, version, hold, idle).await
    }

    /// Returns all processes that fetch the version, ranked for its manifest,
    /// with the own rank.
    fn ranked(&self) -> (Vec<SocketAddr>, usize) {
        let own_addr = self.context.addr;
        let mut scored = vec![(self.score(own_addr), own_addr)];
        for (_, addr) in self.owner.peers() {
            scored.push((self.score(addr), addr));
        }
        scored.sort_unstable_by(|a, b| b.cmp(a));
        let ranked: Vec<SocketAddr> =
            scored.into_iter().map(|s| s.1).collect();
        let own_rank =
            ranked.iter().position(|addr| *addr == own_addr).unwrap_or(0);
        (ranked, own_rank)
    }

    fn score(&self, addr: SocketAddr) -> u64 {
        let subject = format!("manifest {}@{}", self.model, self.version);
        rank::score(subject.as_bytes(), &addr.to_string())
    }

    fn check(&self, found: VersionManifest) -> Result<VersionManifest, Error> {
        let (model, version) = (self.model, self.version);
        let view = self.context.facts.view();
        let routes = view.routes.as_ref();
        let chunks =
            routes.and_then(|r| r.engine_for_model(model)).map(|e| e.chunks);
        let expected = chunks.map_or(found.digests.len(), |c| c as usize);
        let matches = found.version == version
            && found.model == *model
            && !found.digests.is_empty()
            && found.digests.len() == expected;
        if matches {
            return Ok(found);
        }
        let why = format!(
            "got model {:?}, version {}, {} chunks; expected {model:?}, \
             version {version}, {expected} chunks",
            found.model,
            found.version,
            found.digests.len()
        );
        Err(Error::new(Code::BadManifest, why))
    }
}
