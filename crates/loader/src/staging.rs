//! What lies staged at the engine.
//!
//! It outlasts the agent and may turn bad: it is offered to peers, taken over
//! by an agent that starts, and read back before each load.

use std::sync::Arc;

use bytes::Bytes;
use stairhinge::{Code, Digest, Error};
use stairhinge_chunks::{ChunkLocation, VersionManifest, find_manifest};

use crate::agent::Agent;
use crate::fetch_owner::FetchOwner;
use crate::succession::Wanted;

/// Offers what lies staged at the engine to peers.
pub(crate) async fn share_staged(agent: &Arc<Agent>, wanted: &Wanted) {
    let owner = FetchOwner::new(Arc::clone(agent));
    let manifest =
        find_manifest(&agent.drawing, &owner, &wanted.model, wanted.version)
            .await;
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
        // Verified when it is read for a peer.
        let model = Arc::clone(&wanted.model);
        agent
            .holdings
            .insert_chunk(*digest, ChunkLocation::Staged(model, index));
    }
}

/// Takes over good chunks that lie at the engine from before a restart.
pub(crate) async fn take_staged(agent: &Agent, manifest: &VersionManifest) {
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
            // The stage holds another version: the rest will not fit either.
            return;
        }
        agent.holdings.insert_chunk(*digest, ChunkLocation::Memory(bytes));
    }
}

/// Stages a chunk of a version that is being fetched.
///
/// The engine has one place for each chunk, so what lies there of the version
/// in force is taken into memory first: as long as the fetch lasts, replicas
/// of the hall that start empty can have the version in force from here only.
/// Its bytes go once the new version is loaded.
pub(crate) async fn stage(
    agent: &Agent,
    manifest: &VersionManifest,
    index: u32,
    bytes: Bytes,
) {
    let model = &manifest.model;
    let before = agent.holdings.staged_at(model, index);
    let named = manifest.digests.get(index as usize);
    let before = before.filter(|d| named != Some(d));
    if let Some(digest) = before {
        save(agent, model, index, &digest).await;
    }
    // What cannot be staged now is staged before the load.
    let _ = agent.engine.write(model, index, bytes).await;
}

async fn save(agent: &Agent, model: &str, index: u32, digest: &Digest) {
    let read = agent.engine.read(model, index).await;
    match read {
        Ok(bytes) if Digest::sha256(&bytes) == *digest => {
            agent.holdings.insert_chunk(*digest, ChunkLocation::Memory(bytes));
        }
        // Gone or spoilt there: peers are to look elsewhere.
        Ok(_) | Err(_) => agent.holdings.remove_chunk(digest),
    }
}

/// Reads every chunk back and writes those again that have turned bad.
pub(crate) async fn verify_staged(
    agent: &Agent,
    manifest: &VersionManifest,
) -> Result<(), Error> {
    let model = &manifest.model;
    for (i, digest) in manifest.digests.iter().enumerate() {
        let index = i as u32;
        let good = agent
            .engine
            .read(model, index)
            .await
            .is_ok_and(|bytes| Digest::sha256(&bytes) == *digest);
        if good {
            continue;
        }
        let Some(bytes) = agent.holdings.bytes(digest) else {
            agent.holdings.remove_chunk(digest);
            let why = format!("chunk {index} turned bad at the engine");
            return Err(Error::new(Code::CorruptChunk, why));
        };
        agent.engine.write(model, index, bytes).await?;
    }
    Ok(())
}
