//! Requests to other processes for chunks, manifests and their status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response};
use serde::{Deserialize, Serialize};
use stairhinge::{Code, Error};
use stairhinge_shell::http::{Body, Client, full, headers, segment};

use crate::manifest::VersionManifest;

/// The path of requests for any of the given chunks.
pub(crate) const ANY: &str = "/weights/any";

/// The prefix of the path of manifest requests, before model and version.
pub(crate) const MANIFEST: &str = "/weights/manifest/";

/// The prefix of the path of status requests to a cache, before model and
/// version.
pub(crate) const STANDING: &str = "/weights/standing/";

/// The query of a status request that also starts the fetch of the version.
pub(crate) const DRAW: &str = "draw";

/// The maximum size of a status response, in bytes.
const MAX_STATUS_BYTES: usize = 1_024;

/// The maximum number of chunks whose holdings a status names, for which the
/// response stays below [`MAX_STATUS_BYTES`].
pub(crate) const MAX_STATUS_BITS: usize = 512;

/// The timeout of a status request. The cache is in the same hall, less than
/// a millisecond away.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a transfer may go without receiving a byte.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The maximum size of a manifest, in bytes.
const MAX_MANIFEST_BYTES: usize = 2 << 20;

/// A request for any of the given chunks of a version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AnyChunkRequest {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// The indices of the wanted chunks, in order of preference.
    pub want: Vec<u32>,
    /// How long the server may hold the request until it has one of them, in
    /// milliseconds.
    pub hold_ms: u64,
    /// Whether the server sends only its holdings, once it holds one of the
    /// chunks, and no chunk.
    #[serde(default)]
    #[serde(rename = "tell")]
    pub holdings_only: bool,
    /// How long ago an agent last requested the version, as far as the client
    /// knows, in milliseconds.
    #[serde(default)]
    pub idle_ms: u64,
    /// Whether the chunk is sent ahead of those for agents: a cache passes it
    /// on to the agents of its hall.
    #[serde(default)]
    pub ahead: bool,
}

/// The state of a version in a cache.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheStatus {
    /// The number of chunks held.
    pub held: usize,
    /// The number of chunks of the version; 0 while the manifest is unknown.
    pub chunks: usize,
    /// The time since the last chunk arrived, in milliseconds.
    pub quiet_ms: u64,
    /// Whether the last request to the origin failed.
    pub origin_lost: bool,
    /// `1` for each chunk that is held and `0` for each other one, in manifest
    /// order. Empty if the manifest is unknown or has more than
    /// [`MAX_STATUS_BITS`] chunks.
    #[serde(default)]
    pub bits: String,
}

/// The response of a peer to an [`AnyChunkRequest`].
#[derive(Debug)]
pub(crate) struct PeerResponse {
    /// A chunk with its index; `None` if the peer has none of them yet.
    pub chunk: Option<(u32, Bytes)>,
    /// Whether the peer holds each chunk of the version, in manifest order;
    /// empty if it does not know the version.
    pub held: Vec<bool>,
}

/// Requests any of the given chunks from a peer.
///
/// # Errors
///
/// [`Code::NoSource`] if the peer does not respond or refuses,
/// [`Code::Stalled`] if the transfer stalls, [`Code::CorruptChunk`] if the
/// peer sends a chunk that was not requested.
pub(crate) async fn request_any(
    client: &Client,
    addr: SocketAddr,
    request: &AnyChunkRequest,
) -> Result<PeerResponse, Error> {
    let json = serde_json::to_vec(request)
        .map_err(|e| Error::new(Code::Internal, e))?;
    let http_request: Request<Body> = Request::post(ANY)
        .header(CONTENT_TYPE, "application/json")
        .body(full(json))
        .map_err(|e| Error::new(Code::Internal, e))?;
    let timeout = STALL_TIMEOUT + Duration::from_millis(request.hold_ms);
    let response = client
        .send(addr, http_request, timeout)
        .await
        .map_err(|e| Error::new(Code::NoSource, e))?;
    let held = header_text(&response, headers::HELD);
    let held = held.bytes().map(|b| b == b'1').collect();
    match response.status().as_u16() {
        204 => Ok(PeerResponse { chunk: None, held }),
        200 => {
            let index = header_text(&response, headers::CHUNK).parse();
            let index = index.ok().filter(|i| request.want.contains(i));
            let Some(index) = index else {
                let why = "the peer sent a chunk that was not requested";
                return Err(Error::new(Code::CorruptChunk, why));
            };
            let bytes = read_body(response.into_body()).await?;
            Ok(PeerResponse { chunk: Some((index, bytes)), held })
        }
        other => Err(Error::new(
            Code::NoSource,
            format!("the peer responded with status {other}"),
        )),
    }
}

/// Requests the state of a version from a cache. With `fetch` the cache starts
/// to fetch the version.
///
/// # Errors
///
/// [`Code::NoSource`] if the cache refuses, [`Code::MalformedJson`] if its
/// response cannot be parsed, or the error of the connection.
pub async fn cache_status(
    client: &Client,
    cache: SocketAddr,
    model: &str,
    version: u64,
    fetch: bool,
) -> Result<CacheStatus, Error> {
    let query = if fetch { DRAW } else { "" };
    let model = segment(model);
    let path = format!("{STANDING}{model}/{version}?{query}");
    let response = client.get(cache, &path, MAX_STATUS_BYTES, STATUS_TIMEOUT);
    let (status, _, bytes) = response.await?;
    if status != 200 {
        return Err(Error::new(
            Code::NoSource,
            format!("the cache responded with status {status}"),
        ));
    }
    serde_json::from_slice(&bytes)
        .map_err(|e| Error::new(Code::MalformedJson, e))
}

/// Requests the manifest of a version from a peer, which may hold the request
/// for `hold`. An agent last requested the version `idle` ago.
///
/// # Errors
///
/// [`Code::NoSource`] if the peer does not have the manifest,
/// [`Code::BadManifest`] if its response cannot be parsed, or the error of the
/// connection.
pub(crate) async fn request_manifest(
    client: &Client,
    addr: SocketAddr,
    model: &str,
    version: u64,
    hold: Duration,
    idle: Duration,
) -> Result<VersionManifest, Error> {
    let (ms, idle) = (hold.as_millis(), idle.as_millis());
    let model = segment(model);
    let path =
        format!("{MANIFEST}{model}/{version}?hold_ms={ms}&idle_ms={idle}");
    let timeout = STALL_TIMEOUT + hold;
    let (status, _, bytes) =
        client.get(addr, &path, MAX_MANIFEST_BYTES, timeout).await?;
    if status != 200 {
        return Err(Error::new(
            Code::NoSource,
            format!("the peer responded with status {status}"),
        ));
    }
    serde_json::from_slice(&bytes)
        .map_err(|e| Error::new(Code::BadManifest, e))
}

fn header_text(response: &Response<Incoming>, name: &str) -> String {
    let value = response.headers().get(name);
    value.and_then(|v| v.to_str().ok()).unwrap_or("").to_string()
}

/// Reads a complete body. Fails once no byte arrives for [`STALL_TIMEOUT`].
async fn read_body(mut body: Incoming) -> Result<Bytes, Error> {
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(STALL_TIMEOUT, body.frame()).await;
        let frame = frame.map_err(|_| {
            let ms = STALL_TIMEOUT.as_millis();
            Error::new(Code::Stalled, format!("no byte received for {ms} ms"))
        })?;
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        let frame = frame.map_err(|e| Error::new(Code::NoSource, e))?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}
