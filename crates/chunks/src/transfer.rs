//! Putting one question for chunks, and taking in its answer.

use std::net::SocketAddr;

use bytes::Bytes;
use stairhinge::weights::{ChunkRequest, Puller, Source};
use stairhinge::{Code, Digest, Error};

use crate::holdings::ChunkLocation;
use crate::manifest::VersionManifest;
use crate::owner::{ChunkOwner, FetchContext};
use crate::peers::{AnyChunkRequest, PeerAnswer, ask};

/// Puts one question to its source.
pub(crate) async fn send_request(
    context: &FetchContext,
    owner: &dyn ChunkOwner,
    manifest: &VersionManifest,
    question: ChunkRequest,
) -> (Source, Result<PeerAnswer, Error>) {
    let source = question.source().clone();
    let answer = match &source {
        Source::Origin => from_origin(context, manifest, &question).await,
        Source::Near(name) | Source::Far(name) => {
            from_peer(context, owner, manifest, name, &question).await
        }
    };
    (source, answer)
}

async fn from_origin(
    context: &FetchContext,
    manifest: &VersionManifest,
    question: &ChunkRequest,
) -> Result<PeerAnswer, Error> {
    let nothing = || Error::new(Code::Internal, "nothing was wanted");
    let addr = context.origin_addr()?;
    let digest = *question.want().first().ok_or_else(nothing)?;
    let index = manifest.index(&digest).ok_or_else(nothing)?;
    let (model, version) = (&manifest.model, manifest.version);
    let bytes = context.origin.chunk(addr, model, version, index).await?;
    Ok(PeerAnswer { chunk: Some((index, bytes)), held: Vec::new() })
}

async fn from_peer(
    context: &FetchContext,
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
    let question = AnyChunkRequest {
        want,
        tell: question.is_holdings_only(),
        hold_ms: question.hold().as_millis() as u64,
        model: manifest.model.clone(),
        version: manifest.version,
        idle_ms: owner.idle().as_millis() as u64,
    };
    ask(&context.client, addr, &question).await
}

/// Takes an answer in; returns whether it brought a chunk.
pub(crate) async fn handle_response(
    context: &FetchContext,
    owner: &dyn ChunkOwner,
    manifest: &VersionManifest,
    puller: &mut Puller,
    source: &Source,
    answer: Result<PeerAnswer, Error>,
) -> Result<bool, Error> {
    let answer = answer?;
    puller.record_holdings(source, answer.held.into_iter());
    let Some((place, bytes)) = answer.chunk else {
        puller.record_not_yet(source, context.facts.now());
        return Ok(false);
    };
    let nothing = || Error::new(Code::Internal, "no such chunk");
    let digest = *manifest.digests.get(place as usize).ok_or_else(nothing)?;
    if Digest::sha256(&bytes) != digest {
        let why = format!("not the bytes of {digest}");
        return Err(Error::new(Code::CorruptChunk, why));
    }
    store_chunk(context, owner, manifest, digest, bytes).await;
    puller.record_chunk(source, &digest);
    Ok(true)
}

/// Keeps a verified chunk for others, and hands it to the owner.
async fn store_chunk(
    context: &FetchContext,
    owner: &dyn ChunkOwner,
    manifest: &VersionManifest,
    digest: Digest,
    bytes: Bytes,
) {
    context
        .holdings
        .insert_chunk(digest, ChunkLocation::Memory(bytes.clone()));
    for (i, named) in manifest.digests.iter().enumerate() {
        if *named == digest {
            owner.store_chunk(manifest, i as u32, bytes.clone()).await;
        }
    }
}
