//! Answering others' questions for chunks and manifests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use stairhinge::{Code, Digest, Error};
use stairhinge_shell::Shaper;
use stairhinge_shell::http::{Body, answer, empty, headers, in_turn, read};
use tokio::time::Instant;

use crate::holdings::{ChunkLocation, Holdings};
use crate::owner::ChunkStage;
use crate::peers::{AnyChunkRequest, MANIFEST};

/// The largest question, in bytes.
const MOST_QUESTION: usize = 64 << 10;

/// Within which a question has to be whole.
const QUESTION_TIME: Duration = Duration::from_secs(2);

/// The longest that a question may wait.
const MOST_HOLD: Duration = Duration::from_secs(2);

/// Answers from what is held here.
#[derive(Clone)]
pub struct ChunkServer {
    holdings: Arc<Holdings>,
    /// Where chunks lie that are not in memory.
    stage: Option<Arc<dyn ChunkStage>>,
    /// What chunks may take of the link.
    uplink: Shaper,
}

impl ChunkServer {
    /// Returns a server of what is held, over a shaped link.
    pub fn new(
        holdings: Arc<Holdings>,
        stage: Option<Arc<dyn ChunkStage>>,
        uplink: Shaper,
    ) -> ChunkServer {
        ChunkServer { holdings, stage, uplink }
    }

    /// Reads a question.
    ///
    /// # Errors
    ///
    /// [`Code::MalformedJson`], or that of a body that is not whole.
    pub async fn read_request(
        request: Request<Incoming>,
    ) -> Result<AnyChunkRequest, Error> {
        let body = request.into_body();
        let bytes = read(body, MOST_QUESTION, QUESTION_TIME).await?;
        serde_json::from_slice(&bytes)
            .map_err(|e| Error::new(Code::MalformedJson, e))
    }

    /// Reads the model and the version that a path asks the manifest of, if
    /// it does.
    pub fn manifest_path(path: &str) -> Option<(&str, u64)> {
        version_path(path, MANIFEST)
    }

    /// Answers with the manifest of a version, waiting for it as long as the
    /// query of the question says.
    ///
    /// # Errors
    ///
    /// [`Code::NoSource`] if it does not come.
    pub async fn answer_manifest(
        &self,
        model: &str,
        version: u64,
        query: &str,
    ) -> Result<Response<Body>, Error> {
        let hold = span(query, "hold_ms").min(MOST_HOLD);
        let until = Instant::now() + hold;
        let manifest = loop {
            let arrived = self.holdings.arrived();
            if let Some(manifest) = self.holdings.manifest(model, version) {
                break manifest;
            }
            let waited = tokio::time::timeout_at(until, arrived).await;
            waited.map_err(|_| {
                Error::new(Code::NoSource, format!("{model}/{version}"))
            })?;
        };
        let json = serde_json::to_string(&*manifest)
            .map_err(|e| Error::new(Code::Internal, e))?;
        Ok(answer(StatusCode::OK, json))
    }

    /// Answers with the first wanted chunk that is held, waiting for one.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] if the answer cannot be made.
    pub async fn answer_any(
        &self,
        question: &AnyChunkRequest,
    ) -> Result<Response<Body>, Error> {
        let hold = Duration::from_millis(question.hold_ms).min(MOST_HOLD);
        let until = Instant::now() + hold;
        let found = if question.tell {
            self.until_held(question, until).await;
            None
        } else {
            self.first_until(question, until).await
        };
        let mut response = match found {
            None => {
                let mut response = Response::new(empty());
                *response.status_mut() = StatusCode::NO_CONTENT;
                response
            }
            Some((place, bytes)) => {
                let uplink = self.uplink.clone();
                let mut response = Response::new(in_turn(bytes, uplink));
                let place = HeaderValue::from(place);
                response.headers_mut().insert(headers::CHUNK, place);
                response
            }
        };
        let held = self.held(question);
        if !held.is_empty() {
            let value = HeaderValue::from_str(&held)
                .map_err(|e| Error::new(Code::Internal, e))?;
            response.headers_mut().insert(headers::HELD, value);
        }
        Ok(response)
    }

    /// Waits until any wanted chunk is held, or the time is over.
    async fn until_held(&self, question: &AnyChunkRequest, until: Instant) {
        loop {
            let arrived = self.holdings.arrived();
            if self.holds_any(question) {
                return;
            }
            if tokio::time::timeout_at(until, arrived).await.is_err() {
                return;
            }
        }
    }

    /// Returns the first wanted chunk that is held, waiting for one.
    async fn first_until(
        &self,
        question: &AnyChunkRequest,
        until: Instant,
    ) -> Option<(u32, Bytes)> {
        loop {
            let arrived = self.holdings.arrived();
            let found = self.first(question).await;
            if found.is_some() {
                return found;
            }
            tokio::time::timeout_at(until, arrived).await.ok()?;
        }
    }

    /// Returns whether any wanted chunk is held.
    fn holds_any(&self, question: &AnyChunkRequest) -> bool {
        let known = self.holdings.manifest(&question.model, question.version);
        let Some(manifest) = known else { return false };
        let digests = question.want.iter();
        let mut digests =
            digests.filter_map(|place| manifest.digests.get(*place as usize));
        digests.any(|digest| self.holdings.holds(digest))
    }

    /// Returns the first wanted chunk that is held and still good.
    async fn first(&self, question: &AnyChunkRequest) -> Option<(u32, Bytes)> {
        let manifest =
            self.holdings.manifest(&question.model, question.version)?;
        for place in &question.want {
            let digest = manifest.digests.get(*place as usize)?;
            let (model, index) = match self.holdings.get(digest) {
                None => continue,
                Some(ChunkLocation::Memory(bytes)) => {
                    return Some((*place, bytes));
                }
                Some(ChunkLocation::Staged(model, index)) => (model, index),
            };
            if let Some(bytes) = self.staged(&model, index, digest).await {
                return Some((*place, bytes));
            }
            self.holdings.remove_chunk(digest);
        }
        None
    }

    /// Returns a chunk that is not in memory, if it is still good.
    async fn staged(
        &self,
        model: &str,
        index: u32,
        digest: &Digest,
    ) -> Option<Bytes> {
        let bytes = self.stage.as_ref()?.read(model, index).await.ok()?;
        (Digest::sha256(&bytes) == *digest).then_some(bytes)
    }

    /// Returns a bit for each chunk of the version asked about.
    fn held(&self, question: &AnyChunkRequest) -> String {
        let known = self.holdings.manifest(&question.model, question.version);
        let mut bits = String::new();
        for digest in known.iter().flat_map(|m| &m.digests) {
            let held = self.holdings.holds(digest);
            bits.push(if held { '1' } else { '0' });
        }
        bits
    }
}

/// Reads the model and the version that a path has after its start, if it
/// begins so.
pub(crate) fn version_path<'a>(
    path: &'a str,
    start: &str,
) -> Option<(&'a str, u64)> {
    let named = path.strip_prefix(start)?;
    let (model, version) = named.split_once('/')?;
    Some((model, version.parse().ok()?))
}

/// Returns a span that a query names in milliseconds, 0 if it does not.
pub(crate) fn span(query: &str, name: &str) -> Duration {
    let mut fields = query.split('&').filter_map(|f| f.split_once('='));
    let found = fields.find(|(field, _)| *field == name);
    let ms = found.and_then(|(_, value)| value.parse().ok());
    Duration::from_millis(ms.unwrap_or(0))
}
