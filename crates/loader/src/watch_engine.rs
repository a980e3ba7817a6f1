//! Polls the agent's engine and publishes its state to entries.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stairhinge::Error;
use stairhinge_gateway::EngineReport;
use stairhinge_shell::decisions::Decision;

use crate::agent::Agent;
use crate::engine::EngineState;
use crate::turn::expires_at;

/// How long the engine may take to answer before it counts as silent while its
/// version is about to expire.
const SILENT_AFTER: Duration = Duration::from_millis(150);

/// How long before its version expires a silent engine stops receiving
/// requests.
const EXPIRY_WINDOW: Duration = Duration::from_millis(3_000);

/// Polls the engine's state, publishes it, and logs when the engine is lost
/// and regained.
pub(crate) async fn watch_engine(agent: Arc<Agent>) {
    let mut timer = tokio::time::interval(agent.settings.poll());
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut lost_since: Option<std::time::Instant> = None;
    loop {
        timer.tick().await;
        let state = match query_engine(&agent).await {
            Ok(state) => {
                if let Some(since) = lost_since.take() {
                    agent.facts.log().write(&Decision::DependencyRegained {
                        dependency: "engine",
                        lost_ms: since.elapsed().as_millis() as u64,
                    });
                }
                Some(state)
            }
            Err(error) => {
                if lost_since.is_none() {
                    lost_since = Some(std::time::Instant::now());
                    agent.facts.log().write(&Decision::DependencyLost {
                        dependency: "engine",
                        code: error.code().number(),
                        reason: error.message(),
                    });
                }
                None
            }
        };
        publish(&agent, state);
    }
}

/// Queries the engine's state, and holds requests back from an engine that is
/// silent for a moment.
async fn query_engine(agent: &Agent) -> Result<EngineState, Error> {
    let query = agent.engine_state();
    tokio::pin!(query);
    match tokio::time::timeout(SILENT_AFTER, &mut query).await {
        Ok(result) => result,
        Err(_) => {
            hold_back_if_expiring(agent);
            query.await
        }
    }
}

/// Reports until the engine's next answer that it must not receive requests,
/// if its version is about to expire. What lies unread in its connections
/// begins once it goes on, perhaps after the expiry.
fn hold_back_if_expiring(agent: &Agent) {
    let state = agent.state.borrow().clone();
    let Some(EngineState {
        model: Some(model), version: Some(version), ..
    }) = state
    else {
        return;
    };
    let Some(at) = expires_at(agent, &model, version) else { return };
    if at.since(agent.facts.now()) > EXPIRY_WINDOW {
        return;
    }
    agent.facts.log().write(&Decision::EngineHeldBack {
        version,
        silent_ms: SILENT_AFTER.as_millis() as u64,
    });
    agent.report.send_modify(|report| report.loading = true);
}

fn publish(agent: &Agent, state: Option<EngineState>) {
    let report = report(agent, state.as_ref());
    agent.report.send_if_modified(|old| {
        let changed = *old != report;
        *old = report;
        changed
    });
    agent.state.send_if_modified(|old| {
        let changed = *old != state;
        *old = state;
        changed
    });
}

fn report(agent: &Agent, state: Option<&EngineState>) -> EngineReport {
    let Some(state) = state else { return EngineReport::default() };
    EngineReport {
        up: true,
        loading: agent.is_paused() || state.busy || agent.is_unverified(state),
        provenance: agent.provenance(state),
        sequence: state.sequence,
        model: state.model.clone(),
        version: state.version,
        running: state.running,
        queued: state.queued,
        pace: state.pace,
        link_ms: agent.link_ms.load(Ordering::Relaxed),
        news: Some(agent.news()),
        // Added by the feed for entries of the agent's hall.
        entries: None,
        leading: None,
        listening: None,
    }
}
