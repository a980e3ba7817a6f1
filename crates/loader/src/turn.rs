//! When this replica stops receiving requests to load another version.

use std::sync::Arc;
use std::time::Duration;

use stairhinge::Time;
use stairhinge::direct::RolloutTurn;
use stairhinge::weights::FetchPace;

use crate::agent::Agent;
use stairhinge_chunks::VersionManifest;

/// How long before the version bound the last replica stops receiving
/// requests.
const LAST_PAUSE_MARGIN: Duration = Duration::from_millis(1_500);

/// How long before the version bound a replica that has not switched unloads
/// its outdated version. Once the engine has accepted the order, it begins
/// nothing that lies unread, however long it stands still afterwards.
const UNLOAD_MARGIN: Duration = Duration::from_millis(1_300);

/// This replica's turn in the rollout of a version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    number: usize,
    /// When the replica stops receiving requests, or `None` if it serves no
    /// model, so that it can switch at any time.
    pauses_at: Option<Time>,
    /// The loaded version, if it is outdated.
    outdated: Option<u64>,
}

impl Turn {
    /// Computes the turn of this replica for a version at the current time.
    /// The first turn comes no earlier than `transfer` after the version
    /// became the target.
    pub(crate) fn new(
        agent: &Agent,
        model: &str,
        version: u64,
        transfer: Duration,
    ) -> Turn {
        let view = agent.facts.view();
        let serves =
            agent.state.borrow().as_ref().is_some_and(|s| s.model.is_some());
        let held = agent.state.borrow().as_ref().and_then(|s| s.version);
        let outdated = held
            .and_then(|version| view.targets.outdated_since(model, version));
        let targeted = view.targets.targeted_at(model, version);
        let (true, Some(targeted), Some(outdated)) =
            (serves, targeted, outdated)
        else {
            return Turn { number: 0, pauses_at: None, outdated: None };
        };
        let service = &agent.settings.service;
        let mut members = Vec::new();
        for (replica, _) in view.of_service(service) {
            if replica.hall == agent.settings.hall {
                members.push(Arc::from(replica.addr.to_string()));
            }
        }
        let subject = format!("{model}@{version}");
        let own_addr = agent.settings.engine.to_string();
        let rollout =
            RolloutTurn::new(subject.as_bytes(), &members, &own_addr);
        // The first replicas finish their requests while the last chunks
        // arrive. After that the turns are spread over the remaining time.
        let earliest = targeted.after(transfer);
        let first = earliest.max(agent.facts.now());
        let bound =
            agent.live.get().version_bound().saturating_sub(LAST_PAUSE_MARGIN);
        let pauses_at = rollout.pauses_at(first, outdated.after(bound));
        Turn {
            number: rollout.turn(),
            pauses_at: Some(pauses_at),
            outdated: held,
        }
    }

    /// Computes the turn of this replica for the version of a manifest at the
    /// current time.
    pub(crate) fn for_manifest(
        agent: &Agent,
        manifest: &VersionManifest,
    ) -> Turn {
        let transfer = transfer(agent, manifest);
        Turn::new(agent, &manifest.model, manifest.version, transfer)
    }

    /// Returns when the replica stops receiving requests, or `None` if it
    /// serves no model.
    pub(crate) const fn pauses_at(&self) -> Option<Time> {
        self.pauses_at
    }

    /// Returns the index of the turn, starting at 0.
    pub(crate) const fn number(&self) -> usize {
        self.number
    }

    /// Returns the pace of a fetch that must end when the turn comes, or
    /// `None` if it should be as fast as the link allows.
    pub(crate) fn pace(
        &self,
        agent: &Agent,
        manifest: &VersionManifest,
    ) -> Option<FetchPace> {
        let pauses_at = self.pauses_at?;
        let digests = manifest.digests.iter();
        let missing = digests.filter(|d| !agent.holdings.holds(d)).count();
        let now = agent.facts.now();
        Some(FetchPace::new(missing, now, pauses_at))
    }

    /// Returns the turn after all chunks have arrived. If they arrived after
    /// the turn was due, it is computed again, which spreads the turns over
    /// the remaining time.
    pub(crate) fn after_fetch(
        self,
        agent: &Agent,
        manifest: &VersionManifest,
    ) -> Turn {
        let due = self.pauses_at.is_some_and(|at| agent.facts.now() > at);
        if due { Turn::for_manifest(agent, manifest) } else { self }
    }

    /// Waits until the loaded version must not start any more requests, and
    /// pauses the replica.
    pub(crate) async fn wait_for_expiry(&self, agent: &Agent, model: &str) {
        let mut changes = agent.facts.changes();
        // The age of a target may be corrected meanwhile.
        while let Some(expires_at) = self.expires_at(agent, model) {
            let left = expires_at.since(agent.facts.now());
            if left.is_zero() {
                return agent.set_paused(true);
            }
            let _ = tokio::time::timeout(left, changes.changed()).await;
        }
        std::future::pending().await
    }

    /// Returns when the loaded version must not start any more requests.
    fn expires_at(&self, agent: &Agent, model: &str) -> Option<Time> {
        expires_at(agent, model, self.outdated?)
    }

    /// Waits until the turn comes, and pauses the replica.
    pub(crate) async fn wait(&self, agent: &Agent) {
        let Some(pauses_at) = self.pauses_at else { return };
        let wait = pauses_at.since(agent.facts.now());
        tokio::time::sleep(wait).await;
        agent.set_paused(true);
    }
}

/// Returns when a version must not start any more requests, if it is outdated.
pub(crate) fn expires_at(
    agent: &Agent,
    model: &str,
    version: u64,
) -> Option<Time> {
    let view = agent.facts.view();
    let since = view.targets.outdated_since(model, version)?;
    let bound = agent.live.get().version_bound();
    Some(since.after(bound.saturating_sub(UNLOAD_MARGIN)))
}

/// Returns how long the chunks of a version take to transfer over this
/// instance's link.
fn transfer(agent: &Agent, manifest: &VersionManifest) -> Duration {
    let bytes =
        manifest.digests.len() as u64 * u64::from(manifest.chunk_bytes);
    let rate = agent.live.get().chunk_rate().max(1);
    Duration::from_millis(bytes * 1000 / rate)
}
