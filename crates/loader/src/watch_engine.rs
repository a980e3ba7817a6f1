//! Watching the engine beside the agent, and telling the entries.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use stairhinge_gateway::EngineReport;
use stairhinge_shell::decisions::Decision;

use crate::agent::Agent;
use crate::engine::EngineState;

/// Asks the engine again and again, and publishes what it says.
pub(crate) async fn watch_engine(agent: Arc<Agent>) {
    let mut timer = tokio::time::interval(agent.settings.poll());
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut lost: Option<std::time::Instant> = None;
    loop {
        timer.tick().await;
        let state = match agent.engine_state().await {
            Ok(state) => {
                if let Some(since) = lost.take() {
                    agent.facts.log().write(&Decision::DependencyRegained {
                        dependency: "engine",
                        lost_ms: since.elapsed().as_millis() as u64,
                    });
                }
                Some(state)
            }
            Err(error) => {
                if lost.is_none() {
                    lost = Some(std::time::Instant::now());
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
        // Added as they are sent, to those who may know.
        entries: None,
        leading: None,
        listening: None,
    }
}
