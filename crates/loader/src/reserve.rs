//! The version before the newest one: fetched to its end where most of it is
//! out, and served until the newest one is here.

use std::sync::Arc;
use std::time::Duration;

use stairhinge::Time;
use stairhinge::direct::VersionOverlap;

use crate::agent::Agent;
use crate::drive::{Wanted, wanted};
use crate::find_manifest::find_manifest;
use crate::manifest::VersionManifest;
use crate::turn::{Turn, transfer};

/// How often arrivals are looked for, beside being told of them.
const LOOK: Duration = Duration::from_millis(100);

/// Ends when another version is wanted, and `current` is not to be fetched
/// to its end before it.
pub(crate) async fn superseded(agent: &Agent, current: &Wanted) {
    let newest = newer(agent, current).await;
    let Some(until) = finish_until(agent, current, &newest) else { return };
    let rest = until.since(agent.facts.now());
    tokio::select! {
        () = whole(agent, current) => {}
        () = tokio::time::sleep(rest) => {}
        never = remember_manifest(agent, &newest) => match never {},
    }
}

/// Ends when another version is wanted, and returns it.
async fn newer(agent: &Agent, current: &Wanted) -> Wanted {
    let mut changes = agent.facts.changes();
    loop {
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        if let Some(other) = wanted(agent).filter(|w| w != current) {
            return other;
        }
    }
}

/// Returns until when `current` is fetched first.
fn finish_until(
    agent: &Agent,
    current: &Wanted,
    newest: &Wanted,
) -> Option<Time> {
    if newest.model != current.model {
        return None;
    }
    let holdings = &agent.holdings;
    let manifest = holdings.manifest(&current.model, current.version)?;
    overlap(agent, &manifest, newest.version)?.finish_until()
}

/// Returns the overlap of a version with a later one, where both were named
/// while somebody looked.
fn overlap(
    agent: &Agent,
    earlier: &VersionManifest,
    later: u64,
) -> Option<VersionOverlap> {
    let view = agent.facts.view();
    let named = |version| view.targets.named_at(&earlier.model, version);
    Some(VersionOverlap::new(
        named(earlier.version)?,
        named(later)?,
        transfer(agent, earlier),
        agent.live.get().version_bound(),
    ))
}

/// Ends when all chunks of a version are in memory.
async fn whole(agent: &Agent, version: &Wanted) {
    loop {
        let arrived = agent.holdings.arrived();
        if agent.holdings.is_whole(&version.model, version.version) {
            return;
        }
        let _ = tokio::time::timeout(LOOK, arrived).await;
    }
}

/// Finds the manifest of the version that is fetched next: the origin may
/// soon be out of reach.
async fn remember_manifest(
    agent: &Agent,
    version: &Wanted,
) -> std::convert::Infallible {
    find_manifest(agent, &version.model, version.version).await;
    std::future::pending().await
}

/// A version older than the one wanted that is whole here, and newer than
/// what the engine holds.
#[derive(Clone, Debug)]
pub(crate) struct Reserve {
    pub manifest: Arc<VersionManifest>,
    pub turn: Turn,
}

impl Reserve {
    /// Returns the reserve for the time in which `wanted` is fetched.
    pub(crate) fn find(agent: &Agent, wanted: &Wanted) -> Option<Reserve> {
        let held = agent.state.borrow().as_ref().and_then(|s| s.version);
        let manifest =
            agent.holdings.newest_whole(&wanted.model, wanted.version)?;
        if held.is_some_and(|held| held >= manifest.version) {
            return None;
        }
        let view = agent.facts.view();
        let outdated =
            view.targets.outdated_since(&wanted.model, manifest.version)?;
        let end = outdated.after(agent.live.get().version_bound());
        if end.since(agent.facts.now()) < VersionOverlap::WORTH_SERVING {
            return None;
        }
        let from = overlap(agent, &manifest, wanted.version)?.reserve_from();
        let turn = Turn::from(agent, &manifest, from);
        Some(Reserve { manifest, turn })
    }
}

/// Ends when the reserve is to be loaded.
pub(crate) async fn due(agent: &Agent, reserve: Option<&Reserve>) {
    match reserve {
        Some(reserve) => reserve.turn.wait(agent).await,
        None => std::future::pending().await,
    }
}
