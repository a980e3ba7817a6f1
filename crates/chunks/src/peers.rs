//! Asking other processes for chunks.

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
use stairhinge_shell::http::{Body, Client, full, headers};

use crate::manifest::VersionManifest;

/// The path at which any of some chunks is asked for.
pub(crate) const ANY: &str = "/weights/any";

/// The path at which manifests are asked for, before model and version.
pub(crate) const MANIFEST: &str = "/weights/manifest/";

/// The path at which a cache tells how a version stands.
pub(crate) const STANDING: &str = "/weights/standing/";

/// The query of a question how a version stands that is to be drawn.
pub(crate) const DRAW: &str = "draw";

/// The largest answer of how a version stands, in bytes.
const MOST_STANDING: usize = 1_024;

/// Within which a cache has to tell how a version stands: it is in the same
/// hall, less than a millisecond away.
const STANDING_TIME: Duration = Duration::from_millis(300);

/// The longest silence within a transfer.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The largest manifest, in bytes.
const MOST_MANIFEST: usize = 2 << 20;

/// A question for any of some chunks of a version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AnyChunkRequest {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// The places of the chunks, the dearest first.
    pub want: Vec<u32>,
    /// How long to wait for one, in milliseconds.
    pub hold_ms: u64,
    /// Whether it is only to be told what is held, once one is.
    #[serde(default)]
    pub tell: bool,
    /// How long ago an agent last wanted the version, as far as the asker
    /// knows, in milliseconds.
    #[serde(default)]
    pub idle_ms: u64,
}

/// What a cache holds of a version.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct CacheStatus {
    /// Chunks that it holds.
    pub held: usize,
    /// Chunks of the version; 0 while that is not known.
    pub chunks: usize,
    /// How long no chunk of it has come, in milliseconds.
    pub quiet_ms: u64,
    /// Whether the origin failed when it was last asked.
    pub origin_lost: bool,
}

/// What a peer answered.
#[derive(Debug)]
pub(crate) struct PeerAnswer {
    /// A chunk with its place, or none yet.
    pub chunk: Option<(u32, Bytes)>,
    /// Whether it holds each chunk of the version, in the engine's order;
    /// empty if it does not know the version.
    pub held: Vec<bool>,
}

/// Asks a peer for any of some chunks.
///
/// # Errors
///
/// [`Code::NoSource`] if it does not answer, [`Code::Stalled`] if it stops.
pub(crate) async fn ask(
    client: &Client,
    addr: SocketAddr,
    question: &AnyChunkRequest,
) -> Result<PeerAnswer, Error> {
    let json = serde_json::to_vec(question)
        .map_err(|e| Error::new(Code::Internal, e))?;
    let request: Request<Body> = Request::post(ANY)
        .header(CONTENT_TYPE, "application/json")
        .body(full(json))
        .map_err(|e| Error::new(Code::Internal, e))?;
    let within = STALL_TIMEOUT + Duration::from_millis(question.hold_ms);
    let response = client
        .send(addr, request, within)
        .await
        .map_err(|e| Error::new(Code::NoSource, e))?;
    let held = text(&response, headers::HELD);
    let held = held.bytes().map(|b| b == b'1').collect();
    match response.status().as_u16() {
        204 => Ok(PeerAnswer { chunk: None, held }),
        200 => {
            let place = text(&response, headers::CHUNK).parse();
            let place = place.ok().filter(|p| question.want.contains(p));
            let Some(place) = place else {
                let why = "not one of the chunks asked for";
                return Err(Error::new(Code::CorruptChunk, why));
            };
            let bytes = whole(response.into_body()).await?;
            Ok(PeerAnswer { chunk: Some((place, bytes)), held })
        }
        other => Err(Error::new(Code::NoSource, format!("answers {other}"))),
    }
}

/// Asks a cache how a version stands there; with `draw` the cache begins to
/// draw it.
///
/// # Errors
///
/// [`Code::NoSource`] if it does not answer.
pub async fn cache_status(
    client: &Client,
    cache: SocketAddr,
    model: &str,
    version: u64,
    draw: bool,
) -> Result<CacheStatus, Error> {
    let query = if draw { DRAW } else { "" };
    let path = format!("{STANDING}{model}/{version}?{query}");
    let got = client.get(cache, &path, MOST_STANDING, STANDING_TIME);
    let (status, _, bytes) = got.await?;
    if status != 200 {
        return Err(Error::new(Code::NoSource, format!("answers {status}")));
    }
    serde_json::from_slice(&bytes)
        .map_err(|e| Error::new(Code::MalformedJson, e))
}

/// Asks a peer for the manifest of a version; the question waits there for
/// `hold`. An agent last wanted the version `idle` ago.
///
/// # Errors
///
/// [`Code::NoSource`] if it does not have it.
pub(crate) async fn manifest(
    client: &Client,
    addr: SocketAddr,
    model: &str,
    version: u64,
    hold: Duration,
    idle: Duration,
) -> Result<VersionManifest, Error> {
    let (ms, idle) = (hold.as_millis(), idle.as_millis());
    let path =
        format!("{MANIFEST}{model}/{version}?hold_ms={ms}&idle_ms={idle}");
    let within = STALL_TIMEOUT + hold;
    let (status, _, bytes) =
        client.get(addr, &path, MOST_MANIFEST, within).await?;
    if status != 200 {
        return Err(Error::new(Code::NoSource, format!("answers {status}")));
    }
    serde_json::from_slice(&bytes)
        .map_err(|e| Error::new(Code::BadManifest, e))
}

fn text(response: &Response<Incoming>, name: &str) -> String {
    let value = response.headers().get(name);
    value.and_then(|v| v.to_str().ok()).unwrap_or("").to_string()
}

/// Reads a body whole, as long as it makes progress.
async fn whole(mut body: Incoming) -> Result<Bytes, Error> {
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(STALL_TIMEOUT, body.frame()).await;
        let frame = frame.map_err(|_| {
            let ms = STALL_TIMEOUT.as_millis();
            Error::new(Code::Stalled, format!("no byte for {ms} ms"))
        })?;
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        let frame = frame.map_err(|e| Error::new(Code::NoSource, e))?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}
