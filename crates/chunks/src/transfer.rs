//! Sending one request for chunks, and handling the response.

use std::net::SocketAddr;

use bytes::Bytes;
use stairhinge::weights::{ChunkRequest, Puller, Source};
use stairhinge::{Code, Digest, Error};

use crate::holdings::ChunkLocation;
use crate::manifest::VersionManifest;
use crate::owner::{ChunkOwner, FetchContext};
use crate::peers::{AnyChunkRequest, PeerResponse, request_any};

/// Sends one request to its source.
pub(crate) async fn send_request(
    context: &FetchContext,
    owner: &dyn ChunkOwner,
    manifest: &VersionManifest,
    request: ChunkRequest,
) -> (Source, Result<PeerResponse, Error>) {
    let source = request.source().clone();
    let response = match &source {
        Source::Origin => from_origin(context, manifest, &request).await,
        Source::Near(name) | Source::Far(name) => {
            from_peer(context, owner, manifest, name, &request).await
        }
    };
    (source, response)
}

async fn from_origin(
    context: &FetchContext,
    manifest: &VersionManifest,
    request: &ChunkRequest,
) -> Result<PeerResponse, Error> {
    let unknown = || Error::new(Code::Internal, "unknown chunk requested");
    let addr = context.origin_addr()?;
    let digest = *request.want().first().ok_or_else(unknown)?;
    let index = manifest.index(&digest).ok_or_else(unknown)?;
    let (model, version) = (&manifest.model, manifest.version);
    let bytes = context.origin.chunk(addr, model, version, index).await?;
    Ok(PeerResponse { chunk: Some((index, bytes)), held: Vec::new() })
}

async fn from_peer(
    context: &FetchContext,
    owner: &dyn ChunkOwner,
    manifest: &VersionManifest,
    name: &str,
    request: &ChunkRequest,
) -> Result<PeerResponse, Error> {
    let addr: SocketAddr =
        name.parse().map_err(|e| Error::new(Code::BadAddress, e))?;
    let mut want = Vec::new();
    for digest in request.want() {
        want.extend(manifest.index(digest));
    }
    let any_request = AnyChunkRequest {
        want,
        holdings_only: request.is_holdings_only(),
        hold_ms: request.hold().as_millis() as u64,
        model: manifest.model.clone(),
        version: manifest.version,
        idle_ms: owner.idle().as_millis() as u64,
        ahead: owner.goes_ahead(),
    };
    request_any(&context.client, addr, &any_request).await
}

/// Verifies and stores the chunk of a response, and updates the puller.
/// Returns whether the response contained a chunk.
///
/// # Errors
///
/// The error of the request, or [`Code::CorruptChunk`] if the bytes don't have
/// the digest of the chunk.
pub(crate) async fn handle_response(
    context: &FetchContext,
    owner: &dyn ChunkOwner,
    manifest: &VersionManifest,
    puller: &mut Puller,
    source: &Source,
    response: Result<PeerResponse, Error>,
) -> Result<bool, Error> {
    let response = response?;
    puller.record_holdings(source, response.held.into_iter());
    let Some((index, bytes)) = response.chunk else {
        puller.record_not_yet(source, context.facts.now());
        return Ok(false);
    };
    let unknown = || Error::new(Code::Internal, "chunk index out of range");
    let digest = *manifest.digests.get(index as usize).ok_or_else(unknown)?;
    if Digest::sha256(&bytes) != digest {
        let why = format!("received bytes do not match digest {digest}");
        return Err(Error::new(Code::CorruptChunk, why));
    }
    store_chunk(context, owner, manifest, digest, bytes).await;
    puller.record_chunk(source, &digest);
    Ok(true)
}

/// Stores a verified chunk for peers, and passes it to the owner for each
/// index at which the manifest contains it.
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
    for (i, listed) in manifest.digests.iter().enumerate() {
        if *listed == digest {
            owner.store_chunk(manifest, i as u32, bytes.clone()).await;
        }
    }
}
