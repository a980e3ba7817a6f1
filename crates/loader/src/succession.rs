//! Which version the engine is to take next, where several are named.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::weights::{Prospect, choose_version};
use stairhinge_chunks::{Standing, standing};

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

/// Returns the version to take next: the newest, or one named before it that
/// the hall's cache holds and that can be here sooner.
pub(crate) async fn weigh(agent: &Agent, newest: Wanted) -> Wanted {
    let versions = named(agent, &newest);
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
    let chunk = chunk_time(agent, &newest);
    let version = choose_version(&prospects, chunk);
    let version = version.unwrap_or(newest.version);
    Wanted { version, ..newest }
}

/// Whether there is more than one version to choose from.
pub(crate) fn is_open(agent: &Agent, newest: &Wanted) -> bool {
    named(agent, newest).len() > 1
}

/// Returns the versions that the engine could take, the newest first.
fn named(agent: &Agent, newest: &Wanted) -> Vec<u64> {
    let state = agent.state.borrow();
    let own = state.as_ref().and_then(|s| s.version).unwrap_or(0);
    let view = agent.facts.view();
    let mut versions = Vec::new();
    for (model, version, _) in view.targets.all() {
        if *model == newest.model && version > own {
            versions.push(version);
        }
    }
    versions.sort_unstable_by(|a, b| b.cmp(a));
    versions.truncate(MOST_WEIGHED);
    versions
}

async fn prospect(
    agent: &Agent,
    cache: SocketAddr,
    wanted: &Wanted,
    draw: bool,
) -> Option<Prospect> {
    let (model, version) = (&wanted.model, wanted.version);
    let left = left(agent, model, version);
    if left.is_zero() {
        return None;
    }
    let asked = standing(&agent.client, cache, model, version, draw).await;
    let near = asked.unwrap_or_default();
    let chunks = agent.engine_kind().map_or(0, |kind| kind.chunks as usize);
    let manifest = agent.holdings.manifest(model, version);
    let here = manifest.map_or(0, |m| agent.holdings.count(&m));
    let now = agent.facts.now();
    let turn = Turn::new(agent, model, version, Duration::ZERO);
    Some(Prospect {
        version,
        missing: chunks.saturating_sub(here),
        outside: chunks.saturating_sub(near.held.max(here)),
        stuck: is_stuck(&near),
        due: turn.pauses_at().map_or(Duration::ZERO, |at| at.since(now)),
        left,
    })
}

fn is_stuck(near: &Standing) -> bool {
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

/// Returns how long the link takes for a chunk.
fn chunk_time(agent: &Agent, wanted: &Wanted) -> Duration {
    let (model, version) = (&wanted.model, wanted.version);
    let manifest = agent.holdings.manifest(model, version);
    let bytes = manifest.map_or(0, |m| m.chunk_bytes);
    agent.live.get().transfer(bytes)
}
