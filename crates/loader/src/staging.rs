//! The chunks staged at the engine.
//!
//! Staged chunks outlive the agent's process and may be corrupted. They are
//! offered to peers, reused by an agent that restarts, and verified before
//! each load.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::try_join_all;
use stairhinge::{Code, Digest, Error};
use stairhinge_chunks::{
    ChunkLocation, VersionManifest, find_manifest, log_failure,
};
use stairhinge_gateway::Provenance;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::agent::Agent;
use crate::engine::EngineState;
use crate::fetch_owner::FetchOwner;
use crate::version_selection::ModelVersion;

/// How many staged chunks are read back at once, so that the check of a large
/// version is not outdated when it ends.
const CONCURRENT_READS: usize = 4;

/// How long an entry may take to tell what it remembers of a load: to connect
/// to a new process of the agent, and to call it.
const VERDICT_PERIOD: Duration = Duration::from_millis(800);

/// A task that offers the chunks staged at the engine to peers. It ends when
/// this is dropped: the manifest may be unavailable for as long as the origin
/// is.
pub(crate) struct Sharing {
    version: ModelVersion,
    task: JoinHandle<()>,
}

impl Sharing {
    /// Starts to offer the chunks of the version that the engine serves.
    pub(crate) fn start(agent: &Arc<Agent>, version: ModelVersion) -> Sharing {
        let (agent, shared) = (Arc::clone(agent), version.clone());
        let task =
            tokio::spawn(async move { share_staged(&agent, &shared).await });
        Sharing { version, task }
    }

    /// Returns the version whose chunks are offered.
    pub(crate) const fn version(&self) -> &ModelVersion {
        &self.version
    }
}

impl Drop for Sharing {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn share_staged(agent: &Arc<Agent>, wanted: &ModelVersion) {
    let started = Instant::now();
    let owner = FetchOwner::new(Arc::clone(agent));
    let found = find_manifest(
        &agent.fetch_context,
        &owner,
        &wanted.model,
        wanted.version,
    )
    .await;
    let manifest = match found {
        Ok(manifest) => manifest,
        Err(error) => return log_failure(&agent.facts, "share", &error),
    };
    let verifying = {
        let (agent, manifest) = (Arc::clone(agent), Arc::clone(&manifest));
        async move { verify_inherited(&agent, &manifest, started).await }
    };
    tokio::join!(verifying, offer_staged(agent, wanted, &manifest));
}

/// Offers the chunks staged at the engine to peers.
async fn offer_staged(
    agent: &Agent,
    wanted: &ModelVersion,
    manifest: &VersionManifest,
) {
    let Ok(staged) = agent.engine.staged(&wanted.model).await else {
        return;
    };
    for index in staged {
        let Some(digest) = manifest.digests.get(index as usize) else {
            continue;
        };
        if agent.holdings.holds(digest) {
            continue;
        }
        // The chunk is verified when it is read for a peer.
        let model = Arc::clone(&wanted.model);
        agent
            .holdings
            .insert_chunk(*digest, ChunkLocation::Staged(model, index));
    }
}

/// Confirms the load that this process found if the staged chunks are intact.
/// If they are not, one may have turned bad before or after the load. Then the
/// version is loaded again, unless an entry remembers that the load was
/// confirmed.
async fn verify_inherited(
    agent: &Agent,
    manifest: &VersionManifest,
    started: Instant,
) {
    let Ok(state) = agent.engine_state().await else { return };
    if agent.provenance(&state) != Provenance::Inherited
        || is_loaded_intact(agent, manifest, &state).await
    {
        return;
    }
    tokio::time::sleep_until(started + VERDICT_PERIOD).await;
    if agent.provenance(&state) == Provenance::Inherited {
        agent.log_load(&state, "none: found at the start", None);
        agent.request_reload();
    }
}

/// Returns whether the engine has loaded intact chunks, which is so if those
/// that are staged are intact and none was written since.
pub(crate) async fn is_loaded_intact(
    agent: &Agent,
    manifest: &VersionManifest,
    state: &EngineState,
) -> bool {
    let loaded = state.version == Some(manifest.version)
        && state.model.as_ref() == Some(&manifest.model);
    if !loaded || !staged_intact(agent, manifest).await {
        return false;
    }
    // No other load came between.
    let now = agent.engine_state().await;
    let same = now.is_ok_and(|now| now.sequence == state.sequence);
    if !same || !agent.loads().is_staging_unchanged() {
        return false;
    }
    agent.record_verified(state, "staged chunks", None);
    true
}

/// Reuses intact chunks that were staged before a restart.
pub(crate) async fn reuse_staged(agent: &Agent, manifest: &VersionManifest) {
    agent.holdings.remove_staged(manifest);
    let model = &manifest.model;
    let Ok(staged) = agent.engine.staged(model).await else { return };
    for index in staged {
        let Some(digest) = manifest.digests.get(index as usize) else {
            continue;
        };
        if agent.holdings.holds(digest) {
            continue;
        }
        let Ok(bytes) = agent.engine.read(model, index).await else {
            continue;
        };
        if Digest::sha256(&bytes) != *digest {
            // Another version is staged, so the other chunks do not match
            // either.
            return;
        }
        agent.holdings.insert_chunk(*digest, ChunkLocation::Memory(bytes));
    }
}

/// Stages a chunk of a version that is being fetched.
///
/// The engine holds one staged chunk per index, so a staged chunk of the
/// current version is first copied into memory. During the fetch such copies
/// are the only source of the current version for replicas of the hall that
/// start without weights. They are dropped after the new version is loaded.
pub(crate) async fn stage(
    agent: &Agent,
    manifest: &VersionManifest,
    index: u32,
    bytes: Bytes,
) {
    // The order in progress may take what is staged at any time.
    if agent.state.borrow().as_ref().is_some_and(|state| state.busy) {
        return;
    }
    let model = &manifest.model;
    let previous = agent.holdings.staged_at(model, index);
    let expected = manifest.digests.get(index as usize);
    let previous = previous.filter(|d| expected != Some(d));
    if let Some(digest) = previous {
        copy_to_memory(agent, model, index, &digest).await;
    }
    // A chunk that cannot be staged now is staged by the verification before
    // the load.
    let _ = agent.write_chunk(model, index, bytes).await;
}

/// Copies a staged chunk into memory, or drops it if it is not intact.
async fn copy_to_memory(
    agent: &Agent,
    model: &str,
    index: u32,
    digest: &Digest,
) {
    let read = agent.engine.read(model, index).await;
    match read {
        Ok(bytes) if Digest::sha256(&bytes) == *digest => {
            agent.holdings.insert_chunk(*digest, ChunkLocation::Memory(bytes));
        }
        // The staged chunk is missing or corrupt, and is no longer offered to
        // peers.
        Ok(_) | Err(_) => agent.holdings.remove_chunk(digest),
    }
}

/// Reads every staged chunk back, and writes corrupt or missing ones again.
///
/// # Errors
///
/// [`Code::CorruptChunk`] if the bytes of such a chunk are not in memory, or
/// the engine's error if it cannot write the chunk.
pub(crate) async fn verify_staged(
    agent: &Agent,
    manifest: &VersionManifest,
) -> Result<(), Error> {
    let mut checks = Vec::with_capacity(CONCURRENT_READS);
    for (i, digest) in manifest.digests.iter().enumerate() {
        checks.push(verify_chunk(agent, &manifest.model, i as u32, digest));
        if checks.len() == CONCURRENT_READS {
            try_join_all(checks.drain(..)).await?;
        }
    }
    try_join_all(checks).await.map(|_| ())
}

async fn verify_chunk(
    agent: &Agent,
    model: &str,
    index: u32,
    digest: &Digest,
) -> Result<(), Error> {
    if is_intact(agent, model, index, digest).await {
        return Ok(());
    }
    let Some(bytes) = agent.holdings.bytes(digest) else {
        agent.holdings.remove_chunk(digest);
        let why = format!("staged chunk {index} is missing or corrupt");
        return Err(Error::new(Code::CorruptChunk, why));
    };
    agent.write_chunk(model, index, bytes).await
}

/// Reads every staged chunk back, and returns whether all are intact.
async fn staged_intact(agent: &Agent, manifest: &VersionManifest) -> bool {
    for (i, digest) in manifest.digests.iter().enumerate() {
        if !is_intact(agent, &manifest.model, i as u32, digest).await {
            return false;
        }
    }
    true
}

async fn is_intact(
    agent: &Agent,
    model: &str,
    index: u32,
    digest: &Digest,
) -> bool {
    let read = agent.engine.read(model, index).await;
    read.is_ok_and(|bytes| Digest::sha256(&bytes) == *digest)
}
