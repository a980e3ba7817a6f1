//! Ordering the engine to load staged chunks.
//!
//! An engine takes what is staged when it carries out the order, which may be
//! long after it was sent: the engine stands still, or first finishes what it
//! runs. A staged chunk may turn bad at any time. So the chunks are verified
//! directly before the order, once nothing delays it any more. If the engine
//! may have taken them too long after that, they are verified again before it
//! serves: a chunk that is intact afterwards was intact before.

use std::sync::Arc;
use std::time::{Duration, Instant};

use stairhinge::direct::LayerRange;
use stairhinge::{Code, Error};
use stairhinge_chunks::VersionManifest;
use stairhinge_shell::decisions::Decision;

use crate::agent::Agent;
use crate::engine::{EngineState, LoadOrder, LoadOutcome};
use crate::staging::{is_loaded_intact, verify_staged};

/// How often the state of an engine that carries out an order is queried.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum duration of a load, after which it counts as failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);

/// The maximum age of a check of the staged chunks when the order to load them
/// is sent. It leaves an engine that stands still for a second enough time to
/// take the order.
const MAX_CHECK_AGE: Duration = Duration::from_millis(1_000);

/// The maximum age of the check when the engine has loaded the chunks. A chunk
/// that has been bad for less than 3 s may be loaded.
const MAX_LOADED_AGE: Duration = Duration::from_millis(2_500);

/// The maximum number of checks before an order. If all of them take too long,
/// the chunks are verified again after the load.
const MAX_CHECKS: u32 = 3;

/// Verifies the staged chunks once the engine is idle, orders the load, and
/// waits until it ends.
pub(crate) async fn load(
    agent: &Agent,
    manifest: &VersionManifest,
    turn: usize,
) -> Result<(), Error> {
    idle_engine(agent).await?;
    let state = agent.loaded_state().await?;
    let layers = agent.engine_kind().map_or(0, |kind| kind.layers);
    let whole = state.clone().without_partial_model(layers);
    // The engine keeps the layers that it has of the same version.
    if loaded(&state, manifest)
        && (whole.version.is_none() || agent.is_unverified(&state))
    {
        unload(agent, &manifest.model, manifest.version, &state).await?;
    }
    let (state, checked) = checked_engine(agent, manifest).await?;
    let order = LoadOrder {
        model: Arc::clone(&manifest.model),
        version: manifest.version,
        sequence: state.sequence,
        layers: None,
    };
    let check_age = checked.elapsed();
    let outcome = agent.engine.load(&order).await;
    log_order(agent, &order, turn, Some(check_age), &outcome);
    if matches!(outcome, Ok(LoadOutcome::Conflict)) {
        return Err(Error::new(
            Code::EngineRefused,
            "the engine refused the load order: its state does not match",
        ));
    }
    let state = await_loaded(agent, manifest).await?;
    confirm(agent, manifest, &order, &state, checked).await?;
    agent.state.send_replace(Some(state));
    agent.facts.log().write(&Decision::Serving {
        model: &manifest.model,
        version: manifest.version,
    });
    Ok(())
}

/// Verifies the staged chunks while the engine is idle. Returns its state and
/// when the check began.
async fn checked_engine(
    agent: &Agent,
    manifest: &VersionManifest,
) -> Result<(EngineState, Instant), Error> {
    let mut checks = 0;
    loop {
        let checked = Instant::now();
        verify_staged(agent, manifest).await?;
        checks += 1;
        let state = idle_engine(agent).await?;
        if checked.elapsed() <= MAX_CHECK_AGE || checks == MAX_CHECKS {
            return Ok((state, checked));
        }
    }
}

/// Confirms the load that `order` has started, by the age of the check or else
/// by the staged chunks.
async fn confirm(
    agent: &Agent,
    manifest: &VersionManifest,
    order: &LoadOrder,
    state: &EngineState,
    checked: Instant,
) -> Result<(), Error> {
    let check_age = checked.elapsed();
    // Another order may have come between.
    let is_own = state.sequence == order.sequence + 1;
    if is_own && check_age <= MAX_LOADED_AGE {
        agent.record_verified(state, "age of the check", Some(check_age));
        return Ok(());
    }
    if agent.is_unverified(state)
        && !is_loaded_intact(agent, manifest, state).await
    {
        agent.log_load(state, "none", Some(check_age));
        return Err(Error::new(
            Code::CorruptChunk,
            "a staged chunk may have been bad when the engine loaded it",
        ));
    }
    Ok(())
}

/// Confirms a load whose chunks may have been bad by the staged chunks, or
/// unloads it.
pub(crate) async fn confirm_or_unload(
    agent: &Agent,
    manifest: Option<&VersionManifest>,
    state: &EngineState,
) -> Result<(), Error> {
    if let Some(manifest) = manifest
        && is_loaded_intact(agent, manifest, state).await
    {
        return Ok(());
    }
    let Some((model, version)) = state.model.as_ref().zip(state.version)
    else {
        return Ok(());
    };
    unload(agent, model, version, state).await
}

/// Orders the engine to keep one layer of another version, and waits until it
/// has done so. An engine that has loaded a version whole takes no chunks of
/// it again.
async fn unload(
    agent: &Agent,
    model: &Arc<str>,
    version: u64,
    state: &EngineState,
) -> Result<(), Error> {
    let other = if version > 1 { version - 1 } else { version + 1 };
    let order = one_layer(model, other, state.sequence);
    let outcome = agent.engine.load(&order).await;
    log_order(agent, &order, 0, None, &outcome);
    outcome?;
    let state = idle_engine(agent).await?;
    if state.version == Some(version) {
        return Err(Error::new(
            Code::EngineRefused,
            "the engine did not unload the version",
        ));
    }
    Ok(())
}

/// Returns the order to keep a single layer of a version. It cannot serve
/// requests, whichever chunks are staged, and is unloaded before the rest of
/// that version is loaded.
pub(crate) fn one_layer(
    model: &Arc<str>,
    version: u64,
    sequence: u64,
) -> LoadOrder {
    LoadOrder {
        model: Arc::clone(model),
        version,
        sequence,
        layers: Some(LayerRange { from: 0, to: 1 }),
    }
}

/// Waits until the engine has finished its current order, since it refuses
/// orders while one is in progress.
async fn idle_engine(agent: &Agent) -> Result<EngineState, Error> {
    let deadline = tokio::time::Instant::now() + LOAD_TIMEOUT;
    loop {
        let state = agent.engine_state().await?;
        if !state.busy {
            return Ok(state);
        }
        if tokio::time::Instant::now() > deadline {
            return Err(Error::new(
                Code::EngineLost,
                "timed out waiting for the engine to finish an order",
            ));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Logs an order with the age of the check of the staged chunks.
pub(crate) fn log_order(
    agent: &Agent,
    order: &LoadOrder,
    turn: usize,
    check_age: Option<Duration>,
    outcome: &Result<LoadOutcome, Error>,
) {
    let outcome_text = match outcome {
        Ok(LoadOutcome::Started) => "begun",
        Ok(LoadOutcome::AlreadyLoaded) => "already loaded",
        Ok(LoadOutcome::Conflict) => "conflict",
        Err(_) => "no answer",
    };
    agent.facts.log().write(&Decision::LoadOrdered {
        model: &order.model,
        version: order.version,
        layers: order.layers.map(|l| (l.from, l.to)),
        turn,
        check_ms: check_age.map(|age| age.as_millis() as u64),
        outcome: outcome_text,
    });
}

/// Waits until the engine has loaded the version of `manifest`.
async fn await_loaded(
    agent: &Agent,
    manifest: &VersionManifest,
) -> Result<EngineState, Error> {
    let deadline = tokio::time::Instant::now() + LOAD_TIMEOUT;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let state = agent.engine_state().await;
        if let Ok(state) = state {
            if loaded(&state, manifest) {
                return Ok(state);
            }
            if !state.busy {
                return Err(Error::new(
                    Code::EngineRefused,
                    "the engine did not load the version",
                ));
            }
        }
        if tokio::time::Instant::now() > deadline {
            return Err(Error::new(
                Code::EngineLost,
                "timed out waiting for the engine to load the version",
            ));
        }
    }
}

fn loaded(state: &EngineState, manifest: &VersionManifest) -> bool {
    state.version == Some(manifest.version)
        && state.model.as_ref() == Some(&manifest.model)
}
