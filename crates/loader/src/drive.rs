//! Bringing the engine to the version wanted.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use stairhinge::direct::LayerRange;
use stairhinge::{Code, Error};
use stairhinge_chunks::{
    ChunkOwner as _, VersionManifest, fetch, find_manifest, log_failure,
};
use stairhinge_shell::decisions::Decision;

use crate::agent::Agent;
use crate::engine::{EngineState, LoadOrder, LoadOutcome};
use crate::fetch_owner::FetchOwner;
use crate::first_report::first_report;
use crate::peer_list::{list_peers, peers};
use crate::staging::{share_staged, take_staged, verify_staged};
use crate::succession::{Wanted, is_open, weigh};
use crate::turn::Turn;

/// How long to wait before looking again.
const PAUSE: Duration = Duration::from_millis(100);

/// How long an agent that has just started waits to hear which versions are
/// named, and how often it looks.
const TARGETS: Duration = Duration::from_millis(1_000);
const LOOK: Duration = Duration::from_millis(20);

/// How often peers are asked for the ages of versions after a start.
const AGE_ROUNDS: u32 = 30;

/// How often versions are weighed against each other while there is a choice.
const WEIGH: Duration = Duration::from_millis(250);

/// How long a load may take before it is looked into.
const LOAD_LIMIT: Duration = Duration::from_secs(8);

/// How long chunks stay in memory for peers after a load.
const SHARE: Duration = Duration::from_secs(6);

/// Keeps the engine at the version wanted.
pub(crate) async fn drive(agent: Arc<Agent>) {
    let mut changes = agent.facts.changes();
    let mut state = agent.state.subscribe();
    // Without routes the list of replicas is of no use yet.
    while agent.facts.view().routes.is_none() {
        if changes.changed().await.is_err() {
            return;
        }
    }
    await_targets(&agent).await;
    list_peers(&agent).await;
    tokio::spawn(learn_ages(Arc::clone(&agent)));
    let mut shared: Option<Wanted> = None;
    loop {
        let Some(newest) = wanted(&agent) else {
            list_peers(&agent).await;
            let waited = tokio::time::timeout(PAUSE * 5, changes.changed());
            let _ = waited.await;
            continue;
        };
        let engine = agent.state.borrow().clone();
        let Some(engine) = engine else {
            // What it holds is not known, and nothing can be staged.
            tokio::select! {
                _ = changes.changed() => {}
                _ = state.changed() => {}
            }
            continue;
        };
        let wanted = weigh(&agent, newest).await;
        if serves(&engine, &wanted) {
            if shared.as_ref() != Some(&wanted) {
                share_staged(&agent, &wanted).await;
                shared = Some(wanted.clone());
            }
            tokio::select! {
                _ = changes.changed() => {}
                _ = state.changed() => {}
            }
            continue;
        }
        shared = None;
        let done = tokio::select! {
            done = change(&agent, &wanted) => done,
            () = another(&agent, &wanted) => Ok(()),
        };
        agent.set_paused(false);
        if let Err(error) = done {
            log_failure(&agent.facts, "change", &error);
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Waits until it is known which versions are named: without that the engine
/// would be given what was in force before.
async fn await_targets(agent: &Agent) {
    let begun = Instant::now();
    while !agent.facts.knows_declarations() && begun.elapsed() < TARGETS {
        tokio::time::sleep(LOOK).await;
    }
}

/// Asks peers how old the versions are that were named before this process
/// began; until one says it they are presumed to be old.
async fn learn_ages(agent: Arc<Agent>) {
    for _ in 0..AGE_ROUNDS {
        if !agent.facts.view().targets.has_estimates() {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        for (_, addr) in peers(&agent) {
            let Ok(report) = first_report(&agent.client, addr).await else {
                continue;
            };
            let news = report.news.unwrap_or_default();
            agent.facts.learn_targets(&news.targets);
            if !agent.facts.view().targets.has_estimates() {
                return;
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Ends when another version is to be taken.
async fn another(agent: &Agent, current: &Wanted) {
    let mut changes = agent.facts.changes();
    loop {
        let Some(newest) = wanted(agent) else {
            let _ = changes.changed().await;
            continue;
        };
        let open = is_open(agent, &newest);
        if weigh(agent, newest).await != *current {
            return;
        }
        let changed = changes.changed();
        if open {
            let _ = tokio::time::timeout(WEIGH, changed).await;
        } else if changed.await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Returns what the engine is to serve: the version named, or what its
/// fellow replicas hold as long as none has been named.
fn wanted(agent: &Agent) -> Option<Wanted> {
    let view = agent.facts.view();
    let routes = view.routes.as_ref()?;
    let service = routes.service(&agent.settings.service)?;
    let layers = service.engine?.layers;
    let model = service.models.first()?;
    let model = Arc::clone(model);
    if let Some(version) = view.targets.version(&model) {
        return Some(Wanted { model, version });
    }
    let state = agent.state.borrow();
    let own = state.as_ref().and_then(|s| s.version);
    let held = view
        .of_service(&agent.settings.service)
        .filter_map(|(r, _)| r.version(&model, layers))
        .max();
    let version = held.max(own).unwrap_or(1);
    Some(Wanted { model, version })
}

fn serves(engine: &EngineState, wanted: &Wanted) -> bool {
    !engine.busy
        && engine.model.as_ref() == Some(&wanted.model)
        && engine.version == Some(wanted.version)
}

/// Takes the engine to a version: fetch, wait for the turn, load.
async fn change(agent: &Arc<Agent>, wanted: &Wanted) -> Result<(), Error> {
    let mut owner = FetchOwner::new(Arc::clone(agent));
    if peers(agent).is_empty() {
        list_peers(agent).await;
    } else {
        owner.relist();
    }
    let drawing = &agent.drawing;
    let manifest =
        find_manifest(drawing, &owner, &wanted.model, wanted.version).await;
    take_staged(agent, &manifest).await;
    let turn = Turn::of(agent, &manifest);
    owner.set_pace(turn.pace(agent, &manifest));
    let fetched = tokio::select! {
        fetched = fetch(drawing, &owner, &manifest) => fetched,
        never = take_out_in_time(agent, &manifest, &turn) => match never {},
    };
    if let Err(error) = fetched {
        agent.holdings.forget(&wanted.model, wanted.version);
        return Err(error);
    }
    // One that has paused already has finished its work meanwhile.
    if !agent.is_paused() {
        turn.after_fetch(agent, &manifest).wait(agent).await;
    }
    load(agent, &manifest, turn.number()).await?;
    let settled = Arc::clone(agent);
    tokio::spawn(async move {
        tokio::time::sleep(SHARE).await;
        if settled.state.borrow().as_ref().and_then(|s| s.version)
            == Some(manifest.version)
        {
            let version = manifest.version;
            settled.holdings.settle(&manifest);
            settled.holdings.drop_before(&manifest.model, version);
        }
    });
    Ok(())
}

/// Takes the replica out once the time of the version that it holds is over:
/// it is ordered to keep one layer of it only.
///
/// Entries send nothing more by then. But what they sent may still be on its
/// way over a poor link, or come from one that has just woken up; only the
/// replica itself can make sure that it does not begin.
async fn take_out_in_time(
    agent: &Agent,
    manifest: &VersionManifest,
    turn: &Turn,
) -> Infallible {
    turn.wait_for_end(agent).await;
    loop {
        if let Err(error) = take_out(agent, manifest).await {
            log_failure(&agent.facts, "take out", &error);
        }
        if agent.engine_state().await.is_ok_and(|s| s.version.is_none()) {
            return std::future::pending().await;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn take_out(
    agent: &Agent,
    manifest: &VersionManifest,
) -> Result<(), Error> {
    let state = agent.engine.state().await?;
    let outdated = state.version.filter(|v| *v < manifest.version);
    let Some(version) = outdated.filter(|_| !state.busy) else {
        return Ok(());
    };
    // No request passes through one layer, whatever its chunks are now, and
    // the load of the new version replaces it.
    let order = LoadOrder {
        model: Arc::clone(&manifest.model),
        version,
        sequence: state.sequence,
        layers: Some(LayerRange { from: 0, to: 1 }),
    };
    let outcome = agent.engine.load(&order).await;
    log_order(agent, &order, 0, &outcome);
    outcome.map(|_| ())
}

/// Verifies all that is staged, orders the load and waits for its end.
async fn load(
    agent: &Arc<Agent>,
    manifest: &VersionManifest,
    turn: usize,
) -> Result<(), Error> {
    verify_staged(agent, manifest).await?;
    let state = idle_engine(agent).await?;
    let order = LoadOrder {
        model: Arc::clone(&manifest.model),
        version: manifest.version,
        sequence: state.sequence,
        layers: None,
    };
    let outcome = agent.engine.load(&order).await;
    log_order(agent, &order, turn, &outcome);
    if matches!(outcome, Ok(LoadOutcome::Conflict)) {
        return Err(Error::new(Code::EngineRefused, "its state differs"));
    }
    // An order without an answer may have been taken.
    await_loaded(agent, manifest).await
}

/// Waits until the engine has carried out what it was ordered to: it refuses
/// an order while another one is under way.
async fn idle_engine(agent: &Agent) -> Result<EngineState, Error> {
    let until = tokio::time::Instant::now() + LOAD_LIMIT;
    loop {
        let state = agent.engine_state().await?;
        if !state.busy {
            return Ok(state);
        }
        if tokio::time::Instant::now() > until {
            return Err(Error::new(Code::EngineLost, "an order hangs"));
        }
        tokio::time::sleep(PAUSE / 2).await;
    }
}

fn log_order(
    agent: &Agent,
    order: &LoadOrder,
    turn: usize,
    outcome: &Result<LoadOutcome, Error>,
) {
    let said = match outcome {
        Ok(LoadOutcome::Started) => "begun",
        Ok(LoadOutcome::AlreadyLoaded) => "held already",
        Ok(LoadOutcome::Conflict) => "conflict",
        Err(_) => "no answer",
    };
    agent.facts.log().write(&Decision::LoadOrdered {
        model: &order.model,
        version: order.version,
        layers: order.layers.map(|l| (l.from, l.to)),
        turn,
        outcome: said,
    });
}

async fn await_loaded(
    agent: &Agent,
    manifest: &VersionManifest,
) -> Result<(), Error> {
    let until = tokio::time::Instant::now() + LOAD_LIMIT;
    loop {
        tokio::time::sleep(PAUSE / 2).await;
        let state = agent.engine_state().await;
        if let Ok(state) = &state {
            if loaded(state, manifest) {
                agent.state.send_replace(Some(state.clone()));
                agent.facts.log().write(&Decision::Serving {
                    model: &manifest.model,
                    version: manifest.version,
                });
                return Ok(());
            }
            if !state.busy {
                return Err(Error::new(Code::EngineRefused, "not loaded"));
            }
        }
        if tokio::time::Instant::now() > until {
            return Err(Error::new(Code::EngineLost, "the load hangs"));
        }
    }
}

fn loaded(state: &EngineState, manifest: &VersionManifest) -> bool {
    state.version == Some(manifest.version)
        && state.model.as_ref() == Some(&manifest.model)
}
