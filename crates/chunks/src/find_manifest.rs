//! Finding the manifest of a version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use stairhinge::weights::ManifestSource;
use stairhinge::{Code, Error, rank};

use crate::manifest::VersionManifest;
use crate::owner::{ChunkOwner, FetchContext, log_failure};
use crate::peers::manifest as ask_manifest;

/// How long to wait before asking again.
const PAUSE: Duration = Duration::from_millis(100);

/// How long a question waits at a peer that does not have it yet.
const HOLD: Duration = Duration::from_millis(800);

/// How long a question of one waits that also asks the origin.
const SHORT_HOLD: Duration = Duration::from_millis(100);

/// How many of the hall are asked before the ranks of peers are gone through.
const NEAR_ASKED: usize = 2;

/// Returns the manifest of a version, from whoever has it.
pub async fn find_manifest(
    context: &FetchContext,
    owner: &dyn ChunkOwner,
    model: &Arc<str>,
    version: u64,
) -> Arc<VersionManifest> {
    let search = Search { context, owner, model, version };
    let started = Instant::now();
    let mut round = 0;
    loop {
        if let Some(manifest) = context.holdings.manifest(model, version) {
            return manifest;
        }
        match search.ask(round, started.elapsed()).await {
            Ok(manifest) => {
                let manifest = Arc::new(manifest);
                context.holdings.add_manifest(&manifest);
                return manifest;
            }
            Err(error) => log_failure(&context.facts, "manifest", &error),
        }
        round += 1;
        tokio::time::sleep(PAUSE).await;
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
    async fn ask(
        &self,
        round: usize,
        waited: Duration,
    ) -> Result<VersionManifest, Error> {
        let near = self.near();
        let found = match near.get(round) {
            Some(addr) => self.of(*addr, HOLD).await?,
            None => self.of_ranks(round - near.len(), waited).await?,
        };
        self.check(found)
    }

    /// Returns those of the hall that are asked before the ranks of peers are
    /// gone through: caches, and for a cache who serves the version, since
    /// the origin may be away and hand out the newest one only.
    fn near(&self) -> Vec<SocketAddr> {
        let mut near = self.owner.caches();
        near.extend(self.owner.holders(self.model, self.version));
        let me = self.score(self.context.addr) as usize;
        let start = me % near.len().max(1);
        near.rotate_left(start);
        near.truncate(NEAR_ASKED);
        near
    }

    /// Asks the origin or a peer, as ranks have it.
    async fn of_ranks(
        &self,
        round: usize,
        waited: Duration,
    ) -> Result<VersionManifest, Error> {
        let (ranked, place) = self.ranked();
        match ManifestSource::next(place, ranked.len(), round, waited) {
            ManifestSource::Origin => self.of_origin().await,
            ManifestSource::Agent(asked) => {
                let none = || Error::new(Code::NoSource, "no peer is listed");
                let addr = *ranked.get(asked).ok_or_else(none)?;
                let draws = place < ManifestSource::ORIGIN_FETCHERS;
                self.of(addr, if draws { SHORT_HOLD } else { HOLD }).await
            }
        }
    }

    async fn of_origin(&self) -> Result<VersionManifest, Error> {
        let addr = self.context.origin_addr()?;
        let origin = &self.context.origin;
        let answer = origin.manifest(addr, self.model, self.version).await;
        answer.inspect_err(|_| self.owner.record_origin_failure())
    }

    async fn of(
        &self,
        addr: SocketAddr,
        hold: Duration,
    ) -> Result<VersionManifest, Error> {
        let client = &self.context.client;
        let idle = self.owner.idle();
        let (model, version) = (self.model, self.version);
        ask_manifest(client, addr, model, version, hold, idle).await
    }

    /// Returns all who draw the version in rank order for its manifest, with
    /// the place of this process.
    fn ranked(&self) -> (Vec<SocketAddr>, usize) {
        let me = self.context.addr;
        let mut scored = vec![(self.score(me), me)];
        for (_, addr) in self.owner.peers() {
            scored.push((self.score(addr), addr));
        }
        scored.sort_unstable_by(|a, b| b.cmp(a));
        let ranked: Vec<SocketAddr> =
            scored.into_iter().map(|s| s.1).collect();
        let place = ranked.iter().position(|addr| *addr == me).unwrap_or(0);
        (ranked, place)
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
        let fits = found.version == version
            && found.model == *model
            && !found.digests.is_empty()
            && found.digests.len() == expected;
        if fits {
            return Ok(found);
        }
        let why = format!(
            "model {:?}, version {}, {} chunks; expected {model:?}, \
             {version}, {expected}",
            found.model,
            found.version,
            found.digests.len()
        );
        Err(Error::new(Code::BadManifest, why))
    }
}
