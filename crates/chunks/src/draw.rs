//! Putting one question for chunks, and taking in its answer.

use std::net::SocketAddr;

use bytes::Bytes;
use stairhinge::weights::{ChunkRequest, Puller, Source};
use stairhinge::{Code, Digest, Error};

use crate::holdings::Held;
use crate::manifest::VersionManifest;
use crate::owner::{ChunkOwner, Drawing};
use crate::peers::{PeerAnswer, Question, ask};

/// Puts one question to its source.
pub(crate) async fn put(
    drawing: &Drawing,
    owner: &dyn ChunkOwner,
    manifest: &VersionManifest,
    question: ChunkRequest,
) -> (Source, Result<PeerAnswer, Error>) {
    let source = question.source().clone();
    let answer = match &source {
        Source::Origin => from_origin(drawing, manifest, &question).await,
        Source::Near(name) | Source::Far(name) => {
            from_peer(drawing, owner, manifest, name, &question).await
        }
    };
    (source, answer)
}

async fn from_origin(
    drawing: &Drawing,
    manifest: &VersionManifest,
    question: &ChunkRequest,
) -> Result<PeerAnswer, Error> {
    let nothing = || Error::new(Code::Internal, "nothing was wanted");
    let addr = drawing.origin_addr()?;
    let digest = *question.want().first().ok_or_else(nothing)?;
    let index = manifest.index(&digest).ok_or_else(nothing)?;
    let (model, version) = (&manifest.model, manifest.version);
    let bytes = drawing.origin.chunk(addr, model, version, index).await?;
    Ok(PeerAnswer { chunk: Some((index, bytes)), held: Vec::new() })
}

async fn from_peer(
    drawing: &Drawing,
    owner: &dyn ChunkOwner,
    manifest: &VersionManifest,
    name: &str,
    question: &ChunkRequest,
) -> Result<PeerAnswer, Error> {
    let addr: SocketAddr =
        name.parse().map_err(|e| Error::new(Code::BadAddress, e))?;
    let mut want = Vec::new();
    for digest in question.want() {
        want.extend(manifest.index(digest));
    }
    let question = Question {
        want,
        tell: question.is_holdings_only(),
        hold_ms: question.hold().as_millis() as u64,
        model: manifest.model.clone(),
        version: manifest.version,
        idle_ms: owner.idle().as_millis() as u64,
    };
    ask(&drawing.client, addr, &question).await
}

/// Takes an answer in; returns whether it brought a chunk.
pub(crate) async fn take(
    drawing: &Drawing,
    owner: &dyn ChunkOwner,
    manifest: &VersionManifest,
    puller: &mut Puller,
    source: &Source,
    answer: Result<PeerAnswer, Error>,
) -> Result<bool, Error> {
    let answer = answer?;
    puller.record_holdings(source, answer.held.into_iter());
    let Some((place, bytes)) = answer.chunk else {
        puller.record_not_yet(source, drawing.facts.now());
        return Ok(false);
    };
    let nothing = || Error::new(Code::Internal, "no such chunk");
    let digest = *manifest.digests.get(place as usize).ok_or_else(nothing)?;
    if Digest::sha256(&bytes) != digest {
        let why = format!("not the bytes of {digest}");
        return Err(Error::new(Code::CorruptChunk, why));
    }
    keep(drawing, owner, manifest, digest, bytes).await;
    puller.record_chunk(source, &digest);
    Ok(true)
}

/// Keeps a verified chunk for others, and hands it to the owner.
async fn keep(
    drawing: &Drawing,
    owner: &dyn ChunkOwner,
    manifest: &VersionManifest,
    digest: Digest,
    bytes: Bytes,
) {
    drawing.holdings.keep(digest, Held::Bytes(bytes.clone()));
    for (i, named) in manifest.digests.iter().enumerate() {
        if *named == digest {
            owner.kept(manifest, i as u32, bytes.clone()).await;
        }
    }
}
