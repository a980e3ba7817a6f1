//! Which version the engine is to take next, where there are several.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::weights::{
    ChunkTransferTimes, VersionCandidate, choose_version,
};
use stairhinge_chunks::{CacheStatus, cache_status};
use stairhinge_shell::directory;

use crate::agent::Agent;
use crate::fetch_owner::caches;
use crate::turn::Turn;

/// How long no chunk may come to the hall's cache before a version counts as
/// stuck there. The origin's link takes 27 ms for a chunk of 32 KB.
const QUIET: Duration = Duration::from_millis(600);

/// The most versions that are weighed against each other.
const MOST_WEIGHED: usize = 3;

/// A version of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Wanted {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
}

/// Returns the version to take next: the newest, or an older one that can be
/// here sooner, because the hall's cache holds it or the hall serves it.
pub(crate) async fn weigh(agent: &Agent, newest: Wanted) -> Wanted {
    let versions = choices(agent, &newest);
    let Some(cache) = caches(agent).first().copied() else { return newest };
    if versions.len() < 2 {
        return newest;
    }
    let mut prospects = Vec::new();
    for version in versions {
        let wanted = Wanted { version, ..newest.clone() };
        let draw = version == newest.version;
        let found = prospect(agent, cache, &wanted, draw).await;
        prospects.extend(found);
    }
    if prospects.first().is_none_or(|p| p.version != newest.version) {
        return newest;
    }
    let times = chunk_times(agent, &newest);
    let version = choose_version(&prospects, times);
    let version = version.unwrap_or(newest.version);
    Wanted { version, ..newest }
}

/// Whether there is more than one version to choose from.
pub(crate) fn is_open(agent: &Agent, newest: &Wanted) -> bool {
    choices(agent, newest).len() > 1
}

/// Returns the versions that the engine could take, the newest first: those
/// named, and what its hall serves.
fn choices(agent: &Agent, newest: &Wanted) -> Vec<u64> {
    let state = agent.state.borrow();
    let own = state.as_ref().and_then(|s| s.version).unwrap_or(0);
    let view = agent.facts.view();
    let mut versions = served_near(agent, newest);
    for (model, version, _) in view.targets.all() {
        if *model == newest.model {
            versions.push(version);
        }
    }
    versions.retain(|v| (own + 1..=newest.version).contains(v));
    versions.sort_unstable_by(|a, b| b.cmp(a));
    versions.dedup();
    versions.truncate(MOST_WEIGHED);
    versions
}

/// Returns the versions that other replicas of the hall serve.
fn served_near(agent: &Agent, wanted: &Wanted) -> Vec<u64> {
    let layers = agent.engine_kind().map_or(0, |kind| kind.layers);
    let view = agent.facts.view();
    let mut versions = Vec::new();
    for (replica, standing) in view.of_service(&agent.settings.service) {
        let near = replica.hall == agent.settings.hall
            && replica.addr != agent.settings.engine;
        if !near || *standing != directory::Standing::Listed {
            continue;
        }
        versions.extend(replica.version(&wanted.model, layers));
    }
    versions
}

async fn prospect(
    agent: &Agent,
    cache: SocketAddr,
    wanted: &Wanted,
    draw: bool,
) -> Option<VersionCandidate> {
    let (model, version) = (&wanted.model, wanted.version);
    let left = left(agent, model, version);
    if left.is_zero() {
        return None;
    }
    let asked = cache_status(&agent.client, cache, model, version, draw).await;
    let near = asked.unwrap_or_default();
    let chunks = agent.engine_kind().map_or(0, |kind| kind.chunks as usize);
    let manifest = agent.holdings.manifest(model, version);
    let here = manifest.map_or(0, |m| agent.holdings.count(&m));
    let now = agent.facts.now();
    let turn = Turn::new(agent, model, version, Duration::ZERO);
    let stuck = is_stuck(&near);
    let served = !stuck && served_near(agent, wanted).contains(&version);
    let held = if served { chunks } else { near.held.max(here) };
    Some(VersionCandidate {
        version,
        missing: chunks.saturating_sub(here),
        missing_in_hall: chunks.saturating_sub(held),
        stalled: stuck,
        due_in: turn.pauses_at().map_or(Duration::ZERO, |at| at.since(now)),
        servable_for: left,
    })
}

fn is_stuck(near: &CacheStatus) -> bool {
    near.origin_lost || u128::from(near.quiet_ms) > QUIET.as_millis()
}

/// Returns how long a version may still begin requests.
fn left(agent: &Agent, model: &str, version: u64) -> Duration {
    let bound = agent.live.get().version_bound();
    let view = agent.facts.view();
    match view.targets.outdated_since(model, version) {
        None => Duration::MAX,
        Some(since) => since.after(bound).since(agent.facts.now()),
    }
}

/// Returns how long links take for a chunk. An origin that does not tell what
/// its link carries is taken to have one like this instance's.
fn chunk_times(agent: &Agent, wanted: &Wanted) -> ChunkTransferTimes {
    let (model, version) = (&wanted.model, wanted.version);
    let manifest = agent.holdings.manifest(model, version);
    let bytes = manifest.map_or(0, |m| m.chunk_bytes);
    let link = agent.live.get().transfer(bytes);
    let view = agent.facts.view();
    let origin = view.routes.as_ref().and_then(|r| r.origin());
    let origin = origin.and_then(|o| o.transfer(bytes)).unwrap_or(link);
    ChunkTransferTimes { link, origin }
}
