//! Reconciles the engine with the target version.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use stairhinge::Error;
use stairhinge_chunks::{
    ChunkOwner as _, VersionManifest, fetch, find_manifest, log_failure,
};
use stairhinge_shell::decisions::Decision;

use crate::agent::Agent;
use crate::engine::EngineState;
use crate::fetch_owner::FetchOwner;
use crate::first_report::first_report;
use crate::load::{confirm_or_unload, load, log_order, one_layer};
use crate::peer_list::{list_peers, peers};
use crate::staging::{Sharing, reuse_staged};
use crate::turn::Turn;
use crate::version_selection::{ModelVersion, has_choice, select_version};

/// The delay before a failed or unfinished step is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long an agent waits after its start to learn the target versions, and
/// how often it checks.
const TARGETS_TIMEOUT: Duration = Duration::from_millis(1_000);
const TARGETS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum number of times that peers are asked for the ages of the same
/// target versions.
const MAX_AGE_QUERIES: u32 = 30;

/// The interval at which the choice of a version is reconsidered while there
/// are several candidates.
const CHOICE_INTERVAL: Duration = Duration::from_millis(250);

/// How long the manifest of a loaded version is looked for to verify it.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long chunks stay in memory for peers after a load.
const SHARE_AFTER_LOAD: Duration = Duration::from_secs(6);

/// Keeps the engine at the target version.
pub(crate) async fn reconcile(agent: Arc<Agent>) {
    let mut changes = agent.facts.changes();
    let mut state = agent.state.subscribe();
    // The list of replicas cannot be used without routes.
    while agent.facts.view().routes.is_none() {
        if changes.changed().await.is_err() {
            return;
        }
    }
    await_targets(&agent).await;
    list_peers(&agent).await;
    tokio::spawn(learn_ages(Arc::clone(&agent)));
    let mut sharing: Option<Sharing> = None;
    loop {
        let Some(newest) = target_version(&agent) else {
            list_peers(&agent).await;
            let change_or_timeout =
                tokio::time::timeout(RETRY_DELAY * 5, changes.changed());
            let _ = change_or_timeout.await;
            continue;
        };
        let engine = agent.state.borrow().clone();
        let Some(engine) = engine else {
            // The engine does not answer: its version is unknown, and chunks
            // cannot be staged.
            tokio::select! {
                _ = changes.changed() => {}
                _ = state.changed() => {}
            }
            continue;
        };
        if agent.is_unverified(&engine) && !engine.busy {
            sharing = None;
            if let Err(error) = verify_loaded(&agent, &engine).await {
                log_failure(&agent.facts, "verify", &error);
                tokio::time::sleep(RETRY_DELAY).await;
            }
            continue;
        }
        let wanted = select_version(&agent, newest).await;
        if serves(&engine, &wanted) && !agent.needs_reload(&engine) {
            if sharing.as_ref().is_none_or(|s| *s.version() != wanted) {
                sharing = Some(Sharing::start(&agent, wanted));
            }
            tokio::select! {
                _ = changes.changed() => {}
                _ = state.changed() => {}
            }
            continue;
        }
        sharing = None;
        let result = tokio::select! {
            result = switch_version(&agent, &wanted) => result,
            () = selection_changed(&agent, &wanted) => Ok(()),
        };
        agent.set_paused(false);
        if let Err(error) = result {
            log_failure(&agent.facts, "change", &error);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Verifies what the engine has loaded, or unloads it. Chunks may be staged
/// only after that, since they would hide what the engine has taken.
async fn verify_loaded(
    agent: &Arc<Agent>,
    engine: &EngineState,
) -> Result<(), Error> {
    let Some((model, version)) = engine.model.as_ref().zip(engine.version)
    else {
        return Ok(());
    };
    let owner = FetchOwner::new(Arc::clone(agent));
    let found = find_manifest(&agent.fetch_context, &owner, model, version);
    let found = tokio::time::timeout(MANIFEST_TIMEOUT, found).await;
    let manifest = found.ok().and_then(Result::ok);
    confirm_or_unload(agent, manifest.as_deref(), engine).await?;
    let state = agent.engine_state().await?;
    agent.state.send_replace(Some(state));
    Ok(())
}

/// Waits until the target versions are known, up to [`TARGETS_TIMEOUT`].
/// Without them the engine would load the previous version.
async fn await_targets(agent: &Agent) {
    let started = Instant::now();
    while !agent.facts.knows_declarations()
        && started.elapsed() < TARGETS_TIMEOUT
    {
        tokio::time::sleep(TARGETS_POLL_INTERVAL).await;
    }
}

/// Asks peers for the ages of versions that were targeted while this process
/// was out of touch or not running, and for versions that it never heard of.
/// Until a peer answers, such versions are presumed to be as old as they can
/// be.
async fn learn_ages(agent: Arc<Agent>) {
    let mut changes = agent.facts.changes();
    let mut asked = Vec::new();
    loop {
        let known = targets(&agent);
        if known != asked && agent.facts.view().targets.is_uncertain() {
            ask_ages(&agent).await;
            asked = known;
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the known target versions.
fn targets(agent: &Agent) -> Vec<(Arc<str>, u64)> {
    let ages = agent.facts.target_ages().into_iter();
    let mut known: Vec<_> = ages.map(|t| (t.model, t.version)).collect();
    known.sort_unstable();
    known
}

/// Asks peers until all target versions and their ages are known.
async fn ask_ages(agent: &Agent) {
    for _ in 0..MAX_AGE_QUERIES {
        for (_, addr) in peers(agent) {
            let Ok(report) = first_report(&agent.client, addr).await else {
                continue;
            };
            let news = report.news.unwrap_or_default();
            agent.facts.learn_targets(&news.targets);
            if !agent.facts.view().targets.is_uncertain() {
                return;
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns when a version other than `current` should be loaded.
async fn selection_changed(agent: &Agent, current: &ModelVersion) {
    let mut changes = agent.facts.changes();
    loop {
        let Some(newest) = target_version(agent) else {
            let _ = changes.changed().await;
            continue;
        };
        let has_choice = has_choice(agent, &newest);
        if select_version(agent, newest).await != *current {
            return;
        }
        let changed = changes.changed();
        if has_choice {
            let _ = tokio::time::timeout(CHOICE_INTERVAL, changed).await;
        } else if changed.await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Returns the version that the engine should serve: the target, or else the
/// newest version held by a replica of the service while no target is set.
fn target_version(agent: &Agent) -> Option<ModelVersion> {
    let view = agent.facts.view();
    let routes = view.routes.as_ref()?;
    let service = routes.service(&agent.settings.service)?;
    let layers = service.engine?.layers;
    let model = service.models.first()?;
    let model = Arc::clone(model);
    if let Some(version) = view.targets.version(&model) {
        return Some(ModelVersion { model, version });
    }
    let state = agent.state.borrow();
    let own = state.as_ref().and_then(|s| s.version);
    let held = view
        .of_service(&agent.settings.service)
        .filter_map(|(r, _)| r.version(&model, layers))
        .max();
    let version = held.max(own).unwrap_or(1);
    Some(ModelVersion { model, version })
}

fn serves(engine: &EngineState, wanted: &ModelVersion) -> bool {
    !engine.busy
        && engine.model.as_ref() == Some(&wanted.model)
        && engine.version == Some(wanted.version)
}

/// Switches the engine to a version: fetches its chunks, waits for the
/// replica's turn, and loads it.
async fn switch_version(
    agent: &Arc<Agent>,
    wanted: &ModelVersion,
) -> Result<(), Error> {
    // The loaded version expires whether or not the wanted one is available.
    let (manifest, turn) = tokio::select! {
        fetched = fetch_version(agent, wanted) => fetched?,
        never = unload_when_expired(agent, wanted) => match never {},
    };
    // A replica that is paused already has finished its requests.
    if !agent.is_paused() {
        turn.after_fetch(agent, &manifest).wait(agent).await;
    }
    agent.begin_reload();
    load(agent, &manifest, turn.number()).await?;
    let agent_after_load = Arc::clone(agent);
    tokio::spawn(async move {
        tokio::time::sleep(SHARE_AFTER_LOAD).await;
        if agent_after_load.state.borrow().as_ref().and_then(|s| s.version)
            == Some(manifest.version)
        {
            let version = manifest.version;
            agent_after_load.holdings.mark_staged(&manifest);
            agent_after_load
                .holdings
                .remove_versions_before(&manifest.model, version);
        }
    });
    Ok(())
}

/// Fetches the chunks of a version, and returns its manifest and the replica's
/// turn.
async fn fetch_version(
    agent: &Arc<Agent>,
    wanted: &ModelVersion,
) -> Result<(Arc<VersionManifest>, Turn), Error> {
    let mut owner = FetchOwner::new(Arc::clone(agent));
    if peers(agent).is_empty() {
        list_peers(agent).await;
    } else {
        owner.refresh_peers();
    }
    let fetch_context = &agent.fetch_context;
    let manifest =
        find_manifest(fetch_context, &owner, &wanted.model, wanted.version)
            .await?;
    evict_versions(agent, &wanted.model);
    reuse_staged(agent, &manifest).await;
    let turn = Turn::for_manifest(agent, &manifest);
    owner.set_pace(turn.pace(agent, &manifest));
    if let Err(error) = fetch(fetch_context, &owner, &manifest).await {
        agent.holdings.remove_manifest(&wanted.model, wanted.version);
        return Err(error);
    }
    Ok((manifest, turn))
}

/// Evicts the versions that may not be served any more or do not fit into the
/// memory, if the agent keeps versions in quick succession.
fn evict_versions(agent: &Agent, model: &str) {
    let bound = agent.live.get().version_bound();
    let now = agent.facts.now();
    let needed = |version| {
        let view = agent.facts.view();
        let outdated = view.targets.outdated_since(model, version);
        outdated.is_none_or(|since| now.since(since) < bound)
    };
    for (version, held) in agent.holdings.evict(model, needed) {
        agent.facts.log().write(&Decision::VersionEvicted {
            model,
            version,
            held,
            needed: needed(version),
        });
    }
}

/// Unloads an outdated version when it may no longer be served, by ordering
/// the engine to keep only one layer of it.
///
/// Entries send no more requests by then. But a request may still be delayed
/// on a slow link, or be sent by an entry that was suspended. Only the replica
/// itself can make sure that such a request does not start.
async fn unload_when_expired(
    agent: &Agent,
    wanted: &ModelVersion,
) -> Infallible {
    let (model, version) = (&wanted.model, wanted.version);
    let turn = Turn::new(agent, model, version, Duration::ZERO);
    turn.wait_for_expiry(agent, model).await;
    loop {
        if let Err(error) = unload_outdated(agent, wanted).await {
            log_failure(&agent.facts, "unload", &error);
        }
        if agent.engine_state().await.is_ok_and(|s| s.version.is_none()) {
            return std::future::pending().await;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Orders the engine to keep only one layer if it has loaded a version older
/// than `wanted` and is not busy.
async fn unload_outdated(
    agent: &Agent,
    wanted: &ModelVersion,
) -> Result<(), Error> {
    let state = agent.engine.state().await?;
    let outdated = state.version.filter(|v| *v < wanted.version);
    let Some(version) = outdated.filter(|_| !state.busy) else {
        return Ok(());
    };
    // Loading the new version replaces the layer.
    let order = one_layer(&wanted.model, version, state.sequence);
    let outcome = agent.engine.load(&order).await;
    log_order(agent, &order, 0, None, &outcome);
    outcome.map(|_| ())
}
