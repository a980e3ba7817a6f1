//! When this replica gets nothing new, to change to another version.

use std::sync::Arc;
use std::time::Duration;

use stairhinge::Time;
use stairhinge::direct::RolloutTurn;
use stairhinge::weights::FetchPace;

use crate::agent::Agent;
use stairhinge_chunks::VersionManifest;

/// How much sooner than the bound the last replica gets nothing more.
const MARGIN: Duration = Duration::from_millis(900);

/// How much sooner than the bound a replica that has not changed is taken
/// out.
const TAKE_OUT: Duration = Duration::from_millis(700);

/// This replica's turn in a change of version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    number: usize,
    /// `None` for a replica that serves nothing, so that nobody misses it.
    pauses_at: Option<Time>,
    /// When the version that the replica holds may not begin anything more.
    ends_at: Option<Time>,
}

impl Turn {
    /// Works out the turn of this replica for a version, as of now; the
    /// first turn comes no sooner than `transfer` after its naming.
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
        let named = view.targets.targeted_at(model, version);
        let (true, Some(named), Some(outdated)) = (serves, named, outdated)
        else {
            return Turn { number: 0, pauses_at: None, ends_at: None };
        };
        let service = &agent.settings.service;
        let mut members = Vec::new();
        for (replica, _) in view.of_service(service) {
            if replica.hall == agent.settings.hall {
                members.push(Arc::from(replica.addr.to_string()));
            }
        }
        let subject = format!("{model}@{version}");
        let me = agent.settings.engine.to_string();
        let rollout = RolloutTurn::new(subject.as_bytes(), &members, &me);
        // The first ones finish their work while the last chunks come. Once
        // these are here, the turns are spread over what time is left.
        let soonest = named.after(transfer);
        let first = soonest.max(agent.facts.now());
        let bound = agent.live.get().version_bound().saturating_sub(MARGIN);
        let pauses_at = rollout.pauses_at(first, outdated.after(bound));
        let end = agent.live.get().version_bound().saturating_sub(TAKE_OUT);
        Turn {
            number: rollout.turn(),
            pauses_at: Some(pauses_at),
            ends_at: Some(outdated.after(end)),
        }
    }

    /// Works out the turn of this replica for a version, as of now.
    pub(crate) fn of(agent: &Agent, manifest: &VersionManifest) -> Turn {
        let transfer = transfer(agent, manifest);
        Turn::new(agent, &manifest.model, manifest.version, transfer)
    }

    /// Returns when the replica gets nothing new, or `None` if it serves
    /// nothing.
    pub(crate) const fn pauses_at(&self) -> Option<Time> {
        self.pauses_at
    }

    /// Returns the turn, counted from 0.
    pub(crate) const fn number(&self) -> usize {
        self.number
    }

    /// Returns the pace of a fetch that has to end with the turn, or `None`
    /// if it should be as fast as the link bears.
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

    /// Returns the turn once all chunks are here: the same, unless they came
    /// after it was due. Then the turns are spread over what time is left.
    pub(crate) fn after_fetch(
        self,
        agent: &Agent,
        manifest: &VersionManifest,
    ) -> Turn {
        let due = self.pauses_at.is_some_and(|at| agent.facts.now() > at);
        if due { Turn::of(agent, manifest) } else { self }
    }

    /// Waits until the version that the replica holds may begin nothing more.
    pub(crate) async fn wait_for_end(&self, agent: &Agent) {
        let Some(ends_at) = self.ends_at else {
            return std::future::pending().await;
        };
        tokio::time::sleep(ends_at.since(agent.facts.now())).await;
        agent.set_paused(true);
    }

    /// Waits until the turn has come, and pauses the replica.
    pub(crate) async fn wait(&self, agent: &Agent) {
        let Some(pauses_at) = self.pauses_at else { return };
        let wait = pauses_at.since(agent.facts.now());
        tokio::time::sleep(wait).await;
        agent.set_paused(true);
    }
}

/// Returns how long the chunks of a version take over this instance's link.
fn transfer(agent: &Agent, manifest: &VersionManifest) -> Duration {
    let bytes =
        manifest.digests.len() as u64 * u64::from(manifest.chunk_bytes);
    let rate = agent.live.get().chunk_rate().max(1);
    Duration::from_millis(bytes * 1000 / rate)
}
