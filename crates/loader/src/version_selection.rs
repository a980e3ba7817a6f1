//! Selects the version to load next if there are several candidates.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use stairhinge::weights::{
    ChunkTransferTimes, VersionCandidate, choose_version,
};
use stairhinge_chunks::{CacheStatus, cache_status};
use stairhinge_shell::decisions::{Decision, VersionInputs};

use crate::agent::Agent;
use crate::fetch_owner::caches;
use crate::turn::Turn;

/// The time without a new chunk in the hall's cache after which a version
/// counts as stalled there. For comparison, the origin's link takes 27 ms to
/// transfer a chunk of 32 KB.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);

/// The maximum number of versions to choose from.
const MAX_CANDIDATES: usize = 3;

/// A version of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ModelVersion {
    /// The name of the model.
    pub model: Arc<str>,
    /// The version of its weights.
    pub version: u64,
}

/// Returns the version to load next: the newest, or an older one that can
/// arrive earlier because the hall's cache holds it or the hall serves it.
pub(crate) async fn select_version(
    agent: &Agent,
    newest: ModelVersion,
) -> ModelVersion {
    let versions = candidate_versions(agent, &newest);
    let mut caches = caches(agent);
    // A cache that has lost its memory does not show what its hall holds.
    if agent.settings.versions.is_none() {
        caches.truncate(1);
    }
    if caches.is_empty() || versions.len() < 2 {
        return newest;
    }
    let mut candidates = Vec::new();
    for version in versions {
        let wanted = ModelVersion { version, ..newest.clone() };
        let fetch = version == newest.version;
        let found = candidate(agent, &caches, &wanted, fetch).await;
        candidates.extend(found);
    }
    if candidates.first().is_none_or(|p| p.version != newest.version) {
        return newest;
    }
    let times = chunk_times(agent, &newest);
    let version = choose_version(&candidates, times);
    let version = version.unwrap_or(newest.version);
    log_choice(agent, &newest.model, version, &candidates);
    ModelVersion { version, ..newest }
}

/// Logs a choice that differs from the last one, with its inputs.
fn log_choice(
    agent: &Agent,
    model: &Arc<str>,
    version: u64,
    candidates: &[VersionCandidate],
) {
    if agent.settings.versions.is_none() {
        return;
    }
    let mut chosen =
        agent.chosen.lock().unwrap_or_else(PoisonError::into_inner);
    let previous = chosen.replace(version);
    drop(chosen);
    if previous == Some(version) {
        return;
    }
    let chunks = agent.engine_kind().map_or(0, |kind| kind.chunks as usize);
    let facts = &agent.facts;
    let view = facts.view();
    let mut inputs = Vec::new();
    for candidate in candidates {
        let targeted = view.targets.targeted_at(model, candidate.version);
        let age = targeted.map(|at| facts.now().since(at));
        let in_hall = chunks.saturating_sub(candidate.missing_in_hall);
        inputs.push(VersionInputs {
            version: candidate.version,
            chunks,
            held: chunks.saturating_sub(candidate.missing),
            in_hall,
            // An agent knows of no other hall.
            in_fleet: in_hall,
            age_ms: age.map(|age| age.as_millis() as u64),
        });
    }
    facts.log().write(&Decision::VersionChosen {
        model,
        version: Some(version),
        previous,
        origin: candidates.iter().all(|c| !c.stalled),
        candidates: inputs,
    });
}

/// Returns whether there is more than one version to choose from.
pub(crate) fn has_choice(agent: &Agent, newest: &ModelVersion) -> bool {
    candidate_versions(agent, newest).len() > 1
}

/// Returns the versions that the engine could load, newest first: the target
/// versions and those served in its hall.
fn candidate_versions(agent: &Agent, newest: &ModelVersion) -> Vec<u64> {
    let state = agent.state.borrow();
    let own = state.as_ref().and_then(|s| s.version).unwrap_or(0);
    let view = agent.facts.view();
    let mut versions = versions_served_in_hall(agent, newest);
    for (model, version, _) in view.targets.all() {
        if *model == newest.model {
            versions.push(version);
        }
    }
    versions.retain(|v| (own + 1..=newest.version).contains(v));
    versions.sort_unstable_by(|a, b| b.cmp(a));
    versions.dedup();
    versions.truncate(MAX_CANDIDATES);
    versions
}

/// Returns the versions that other replicas of the hall serve.
fn versions_served_in_hall(agent: &Agent, wanted: &ModelVersion) -> Vec<u64> {
    let layers = agent.engine_kind().map_or(0, |kind| kind.layers);
    let view = agent.facts.view();
    let mut versions = Vec::new();
    for (replica, standing) in view.of_service(&agent.settings.service) {
        let in_hall = replica.hall == agent.settings.hall
            && replica.addr != agent.settings.engine;
        if !in_hall || !standing.is_listed() {
            continue;
        }
        versions.extend(replica.version(&wanted.model, layers));
    }
    versions
}

/// Returns the state of a version as a candidate, or `None` if it may not be
/// served any more. With `fetch` the hall's cache is also told to fetch it.
async fn candidate(
    agent: &Agent,
    caches: &[SocketAddr],
    wanted: &ModelVersion,
    fetch: bool,
) -> Option<VersionCandidate> {
    let (model, version) = (&wanted.model, wanted.version);
    let remaining = servable_for(agent, model, version);
    if remaining.is_zero() {
        return None;
    }
    let mut held_in_hall = 0;
    let mut cache_stalled = true;
    let asked = caches.iter().map(|cache| {
        cache_status(&agent.client, *cache, model, version, fetch)
    });
    for status in join_all(asked).await {
        let status = status.unwrap_or_default();
        held_in_hall = held_in_hall.max(status.held);
        cache_stalled &= is_stalled(&status);
    }
    let chunks = agent.engine_kind().map_or(0, |kind| kind.chunks as usize);
    let manifest = agent.holdings.manifest(model, version);
    let here = manifest.map_or(0, |m| agent.holdings.count(&m));
    let now = agent.facts.now();
    let turn = Turn::new(agent, model, version, Duration::ZERO);
    let served = !cache_stalled
        && versions_served_in_hall(agent, wanted).contains(&version);
    let held = if served { chunks } else { held_in_hall.max(here) };
    Some(VersionCandidate {
        version,
        missing: chunks.saturating_sub(here),
        missing_in_hall: chunks.saturating_sub(held),
        stalled: cache_stalled,
        due_in: turn.pauses_at().map_or(Duration::ZERO, |at| at.since(now)),
        servable_for: remaining,
    })
}

fn is_stalled(hall_cache: &CacheStatus) -> bool {
    hall_cache.origin_lost
        || u128::from(hall_cache.quiet_ms) > STALL_TIMEOUT.as_millis()
}

/// Returns how long a version may still start requests.
fn servable_for(agent: &Agent, model: &str, version: u64) -> Duration {
    let bound = agent.live.get().version_bound();
    let view = agent.facts.view();
    match view.targets.outdated_since(model, version) {
        None => Duration::MAX,
        Some(since) => since.after(bound).since(agent.facts.now()),
    }
}

/// Returns how long links take to transfer a chunk. If the bandwidth of the
/// origin's link is not published, it is assumed to equal that of this
/// instance's link.
fn chunk_times(agent: &Agent, wanted: &ModelVersion) -> ChunkTransferTimes {
    let (model, version) = (&wanted.model, wanted.version);
    let manifest = agent.holdings.manifest(model, version);
    let bytes = manifest.map_or(0, |m| m.chunk_bytes);
    let link = agent.live.get().transfer(bytes);
    let view = agent.facts.view();
    let origin = view.routes.as_ref().and_then(|r| r.origin());
    let origin = origin.and_then(|o| o.transfer(bytes)).unwrap_or(link);
    ChunkTransferTimes { link, origin }
}
