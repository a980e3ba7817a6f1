//! Finding the manifest of a version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use stairhinge::weights::ManifestSource;
use stairhinge::{Code, Error, rank};

use crate::agent::Agent;
use crate::fetch::log_failure;
use crate::manifest::VersionManifest;
use crate::peer_list::{origin_addr, peers};
use crate::peers::manifest as ask_manifest;

/// How long to wait before asking again.
const PAUSE: Duration = Duration::from_millis(100);

/// How long a question waits at a peer that does not have it yet.
const HOLD: Duration = Duration::from_millis(800);

/// How long a question of one waits that also asks the origin.
const SHORT_HOLD: Duration = Duration::from_millis(100);

/// Returns the manifest of a version, from whoever has it.
pub(crate) async fn find_manifest(
    agent: &Agent,
    model: &Arc<str>,
    version: u64,
) -> Arc<VersionManifest> {
    let started = Instant::now();
    let mut round = 0;
    loop {
        if let Some(manifest) = agent.holdings.manifest(model, version) {
            return manifest;
        }
        let waited = started.elapsed();
        match ask_for_manifest(agent, model, version, round, waited).await {
            Ok(manifest) => {
                let manifest = Arc::new(manifest);
                agent.holdings.remember(&manifest);
                return manifest;
            }
            Err(error) => log_failure(agent, "manifest", &error),
        }
        round += 1;
        tokio::time::sleep(PAUSE).await;
    }
}

/// Returns all agents in rank order for a version's manifest, with the place
/// of this one.
fn ranked(
    agent: &Agent,
    model: &str,
    version: u64,
) -> (Vec<SocketAddr>, usize) {
    let subject = format!("manifest {model}@{version}");
    let me = agent.addr();
    let mut scored = vec![(score(&subject, me), me)];
    for (_, addr) in peers(agent) {
        scored.push((score(&subject, addr), addr));
    }
    scored.sort_unstable_by(|a, b| b.cmp(a));
    let ranked: Vec<SocketAddr> = scored.into_iter().map(|s| s.1).collect();
    let place = ranked.iter().position(|addr| *addr == me).unwrap_or(0);
    (ranked, place)
}

fn score(subject: &str, addr: SocketAddr) -> u64 {
    rank::score(subject.as_bytes(), &addr.to_string())
}

async fn ask_for_manifest(
    agent: &Agent,
    model: &Arc<str>,
    version: u64,
    round: usize,
    waited: Duration,
) -> Result<VersionManifest, Error> {
    let (ranked, place) = ranked(agent, model, version);
    let source = ManifestSource::next(place, ranked.len(), round, waited);
    let found = match source {
        ManifestSource::Origin => {
            let addr = origin_addr(agent)?;
            let answer = agent.origin.manifest(addr, model, version).await;
            answer.inspect_err(|_| agent.doubt_origin())?
        }
        ManifestSource::Agent(asked) => {
            let none = || Error::new(Code::NoSource, "no peer is listed");
            let addr = *ranked.get(asked).ok_or_else(none)?;
            let draws = place < ManifestSource::DRAWERS;
            let hold = if draws { SHORT_HOLD } else { HOLD };
            let client = &agent.client;
            ask_manifest(client, addr, model, version, hold).await?
        }
    };
    let engine = agent.engine_kind();
    let expected = engine.map_or(found.digests.len(), |e| e.chunks as usize);
    let fits = found.version == version
        && found.model == *model
        && !found.digests.is_empty()
        && found.digests.len() == expected;
    if fits {
        return Ok(found);
    }
    let why = format!(
        "model {:?}, version {}, {} chunks; expected {model:?}, {version}, \
         {expected}",
        found.model,
        found.version,
        found.digests.len()
    );
    Err(Error::new(Code::BadManifest, why))
}
