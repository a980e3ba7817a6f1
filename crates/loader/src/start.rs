//! What an agent that has started waits for before its engine serves.

use std::sync::Arc;

use stairhinge_shell::Obstacle;
use stairhinge_shell::directory::Collection;

use crate::agent::Agent;

/// Returns what the engine of an agent waits for before it serves, if
/// anything.
pub(crate) fn obstacle(agent: &Arc<Agent>) -> Option<Obstacle> {
    let waits = |waits_for| Some(Obstacle { waits_for, failure: None });
    let state = agent.state.borrow().clone();
    let Some(state) = state else { return waits("engine") };
    if state.version.is_some() {
        return None;
    }
    if agent.facts.view().routes.is_none() {
        return waits("routes");
    }
    let targets = agent.facts.reading(Collection::Targets);
    if targets.failure.is_some() {
        let failure = targets.failure;
        return Some(Obstacle { waits_for: "target versions", failure });
    }
    waits("weights")
}
