//! Polls the agent's engine and publishes its state to entries.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use stairhinge_gateway::EngineReport;
use stairhinge_shell::decisions::Decision;

use crate::agent::Agent;
use crate::engine::EngineState;

/// Polls the engine's state, publishes it, and logs when the engine is lost
/// and regained.
pub(crate) async fn watch_engine(agent: Arc<Agent>) {
    let mut timer = tokio::time::interval(agent.settings.poll());
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut lost_since: Option<std::time::Instant> = None;
    loop {
        timer.tick().await;
        let state = match agent.engine_state().await {
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
        loading: agent.is_paused() || state.busy,
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
