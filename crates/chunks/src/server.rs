//! Serving chunks and manifests to other processes.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use stairhinge::{Code, Digest, Error};
use stairhinge_shell::Shaper;
use stairhinge_shell::http::{
    Body, answer, decoded, empty, full_ahead, full_in_turn, headers, read,
};
use tokio::time::Instant;

use crate::holdings::{ChunkLocation, Holdings};
use crate::owner::ChunkStage;
use crate::peers::{AnyChunkRequest, MANIFEST};

/// The maximum size of a request body, in bytes.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// The timeout for reading a request body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum time that a request may be held.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// Serves the chunks and manifests that this process holds.
#[derive(Clone)]
pub struct ChunkServer {
    holdings: Arc<Holdings>,
    /// The chunks that are staged outside of the process memory.
    stage: Option<Arc<dyn ChunkStage>>,
    /// The rate limit for sending chunks.
    uplink: Shaper,
}

impl ChunkServer {
    /// Returns a server of the holdings that sends over a rate-limited link.
    pub fn new(
        holdings: Arc<Holdings>,
        stage: Option<Arc<dyn ChunkStage>>,
        uplink: Shaper,
    ) -> ChunkServer {
        ChunkServer { holdings, stage, uplink }
    }

    /// Reads and parses a request for any of the given chunks.
    ///
    /// # Errors
    ///
    /// [`Code::MalformedJson`] if the body cannot be parsed, or the error of
    /// reading it.
    pub async fn read_request(
        request: Request<Incoming>,
    ) -> Result<AnyChunkRequest, Error> {
        let body = request.into_body();
        let bytes = read(body, MAX_REQUEST_BYTES, REQUEST_TIMEOUT).await?;
        serde_json::from_slice(&bytes)
            .map_err(|e| Error::new(Code::MalformedJson, e))
    }

    /// Parses the path of a manifest request into model and version. Returns
    /// `None` for any other path.
    pub fn manifest_path(path: &str) -> Option<(Cow<'_, str>, u64)> {
        version_path(path, MANIFEST)
    }

    /// Answers with the manifest of a version, waiting for it for the time
    /// given in the query, up to 2 s.
    ///
    /// # Errors
    ///
    /// [`Code::NoSource`] if the manifest does not arrive in time.
    pub async fn answer_manifest(
        &self,
        model: &str,
        version: u64,
        query: &str,
    ) -> Result<Response<Body>, Error> {
        let hold = query_duration(query, "hold_ms").min(MAX_HOLD);
        let deadline = Instant::now() + hold;
        let manifest = loop {
            let arrived = self.holdings.arrived();
            if let Some(manifest) = self.holdings.manifest(model, version) {
                break manifest;
            }
            let waited = tokio::time::timeout_at(deadline, arrived).await;
            waited.map_err(|_| {
                Error::new(Code::NoSource, format!("{model}/{version}"))
            })?;
        };
        let json = serde_json::to_string(&*manifest)
            .map_err(|e| Error::new(Code::Internal, e))?;
        Ok(answer(StatusCode::OK, json))
    }

    /// Answers with the first wanted chunk that is held, waiting for one for
    /// the time given in the request, up to 2 s. The status is 204 if none
    /// arrives, or if only the holdings were requested.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] if the response cannot be built.
    pub async fn answer_any(
        &self,
        request: &AnyChunkRequest,
    ) -> Result<Response<Body>, Error> {
        let hold = Duration::from_millis(request.hold_ms).min(MAX_HOLD);
        let deadline = Instant::now() + hold;
        let found = if request.holdings_only {
            self.until_held(request, deadline).await;
            None
        } else {
            self.first_until(request, deadline).await
        };
        let mut response = match found {
            None => {
                let mut response = Response::new(empty());
                *response.status_mut() = StatusCode::NO_CONTENT;
                response
            }
            Some((index, bytes)) => {
                let uplink = self.uplink.clone();
                let body = if request.ahead {
                    full_ahead(bytes, uplink)
                } else {
                    full_in_turn(bytes, uplink)
                };
                let mut response = Response::new(body);
                let index = HeaderValue::from(index);
                response.headers_mut().insert(headers::CHUNK, index);
                response
            }
        };
        let held = self.held_bits(request);
        if !held.is_empty() {
            let value = HeaderValue::from_str(&held)
                .map_err(|e| Error::new(Code::Internal, e))?;
            response.headers_mut().insert(headers::HELD, value);
        }
        Ok(response)
    }

    /// Waits until any wanted chunk is held, or until a deadline.
    async fn until_held(&self, request: &AnyChunkRequest, deadline: Instant) {
        loop {
            let arrived = self.holdings.arrived();
            if self.holds_any(request) {
                return;
            }
            if tokio::time::timeout_at(deadline, arrived).await.is_err() {
                return;
            }
        }
    }

    /// Returns the first wanted chunk that is held, waiting for one until a
    /// deadline.
    async fn first_until(
        &self,
        request: &AnyChunkRequest,
        deadline: Instant,
    ) -> Option<(u32, Bytes)> {
        loop {
            let arrived = self.holdings.arrived();
            let found = self.first(request).await;
            if found.is_some() {
                return found;
            }
            tokio::time::timeout_at(deadline, arrived).await.ok()?;
        }
    }

    /// Returns whether any wanted chunk is held.
    fn holds_any(&self, request: &AnyChunkRequest) -> bool {
        let known = self.holdings.manifest(&request.model, request.version);
        let Some(manifest) = known else { return false };
        let digests = request.want.iter();
        let mut digests =
            digests.filter_map(|index| manifest.digests.get(*index as usize));
        digests.any(|digest| self.holdings.holds(digest))
    }

    /// Returns the first wanted chunk that is held. Removes staged chunks that
    /// cannot be read or don't match their digest.
    async fn first(&self, request: &AnyChunkRequest) -> Option<(u32, Bytes)> {
        let manifest =
            self.holdings.manifest(&request.model, request.version)?;
        for i in &request.want {
            let digest = manifest.digests.get(*i as usize)?;
            let (model, index) = match self.holdings.get(digest) {
                None => continue,
                Some(ChunkLocation::Memory(bytes)) => {
                    return Some((*i, bytes));
                }
                Some(ChunkLocation::Staged(model, index)) => (model, index),
            };
            if let Some(bytes) = self.read_staged(&model, index, digest).await
            {
                return Some((*i, bytes));
            }
            self.holdings.remove_chunk(digest);
        }
        None
    }

    /// Reads a staged chunk. Returns `None` if it cannot be read or doesn't
    /// match its digest.
    async fn read_staged(
        &self,
        model: &str,
        index: u32,
        digest: &Digest,
    ) -> Option<Bytes> {
        let bytes = self.stage.as_ref()?.read(model, index).await.ok()?;
        (Digest::sha256(&bytes) == *digest).then_some(bytes)
    }

    /// Returns a bit for each chunk of the requested version: `1` if it is
    /// held, `0` if not.
    fn held_bits(&self, request: &AnyChunkRequest) -> String {
        let known = self.holdings.manifest(&request.model, request.version);
        known.map_or_else(String::new, |m| self.holdings.bits(&m))
    }
}

/// Parses a path of the form `{prefix}{model}/{version}` into model and
/// version.
pub(crate) fn version_path<'a>(
    path: &'a str,
    prefix: &str,
) -> Option<(Cow<'a, str>, u64)> {
    let suffix = path.strip_prefix(prefix)?;
    let (model, version) = suffix.split_once('/')?;
    Some((decoded(model)?, version.parse().ok()?))
}

/// Returns a duration given in a query in milliseconds, or 0 if it is missing
/// or invalid.
pub(crate) fn query_duration(query: &str, name: &str) -> Duration {
    let mut fields = query.split('&').filter_map(|f| f.split_once('='));
    let found = fields.find(|(field, _)| *field == name);
    let ms = found.and_then(|(_, value)| value.parse().ok());
    Duration::from_millis(ms.unwrap_or(0))
}

#[cfg(test)]
#[path = "server_tests.rs"]
mod tests;
