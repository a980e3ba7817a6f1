//! Serving chunks to peers and to the local engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use stairhinge::{Code, Digest, Error};
use stairhinge_shell::http::{Body, Failed, empty, full, headers, shaped};

use crate::agent::Agent;

/// A peer's request for any one of the wanted chunks.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Question {
    pub(crate) want: Vec<Digest>,
    pub(crate) hold_ms: u64,
    /// Manifests for whose chunks the answer reports which are held.
    pub(crate) manifests: Vec<Digest>,
}

/// The upper limit on the wait time that a request may ask for.
const MAX_HOLD: Duration = Duration::from_secs(60);

impl Agent {
    /// Answers a request as soon as one of the wanted chunks is in the store.
    pub(crate) async fn any_chunk(
        self: Arc<Agent>,
        json: &[u8],
    ) -> Result<Response<Body>, Failed> {
        let question: Question = serde_json::from_slice(json)
            .map_err(|e| Error::new(Code::MalformedJson, e))?;
        let hold = Duration::from_millis(question.hold_ms).min(MAX_HOLD);
        let found =
            tokio::time::timeout(hold, self.await_chunk(&question)).await;
        let found = found.ok().or_else(|| self.find_chunk(&question));
        let mut response = match found {
            Some((digest, bytes)) => self.chunk_response(digest, bytes).await,
            // The chunk may never arrive: this agent may not know the version
            // yet, or may not need it. The peer limits how long it asks.
            None => empty_response(StatusCode::NO_CONTENT),
        };
        if let Some(held) = self.holdings(&question.manifests)
            && let Ok(value) = HeaderValue::from_str(&held)
        {
            response.headers_mut().insert(headers::HELD, value);
        }
        Ok(response)
    }

    async fn await_chunk(&self, question: &Question) -> (Digest, Bytes) {
        let mut arrived = self.arrived.subscribe();
        loop {
            arrived.mark_unchanged();
            if let Some(found) = self.find_chunk(question) {
                return found;
            }
            if arrived.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    fn find_chunk(&self, question: &Question) -> Option<(Digest, Bytes)> {
        let store = self.store();
        for digest in &question.want {
            if let Some(bytes) = store.get(digest) {
                return Some((*digest, bytes));
            }
        }
        None
    }

    async fn chunk_response(
        self: &Arc<Agent>,
        digest: Digest,
        bytes: Bytes,
    ) -> Response<Body> {
        let size = bytes.len() as u64;
        let mut response =
            Response::new(shaped(bytes, vec![self.links.upload.clone()]));
        let value = HeaderValue::from_str(&digest.to_string());
        if let Ok(value) = value {
            response.headers_mut().insert(headers::DIGEST, value);
        }
        self.node.metrics().sent.inc_by(size);
        response
    }

    fn holdings(&self, manifests: &[Digest]) -> Option<String> {
        if manifests.is_empty() {
            return None;
        }
        let found = self.manifests(manifests)?;
        let mut seen = std::collections::HashSet::new();
        let mut bits = Vec::new();
        let store = self.store();
        for manifest in &found {
            for chunk in manifest.chunks() {
                if seen.insert(chunk.digest()) {
                    bits.push(store.contains(&chunk.digest()));
                }
            }
        }
        Some(encode_bits(&bits))
    }

    /// Returns a chunk to the local engine, which reads the target that it
    /// loads.
    pub(crate) fn engine_chunk(
        &self,
        text: &str,
    ) -> Result<Response<Body>, Failed> {
        let digest: Digest = text.parse()?;
        let held = self.store().get(&digest);
        let bytes = held.ok_or_else(|| {
            let why = format!("chunk {digest} is not in the store");
            Failed::new(Error::new(Code::UnknownPath, why))
        })?;
        Ok(Response::new(full(bytes)))
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

/// Encodes bits as hexadecimal digits, four bits each, lowest bit first.
fn encode_bits(bits: &[bool]) -> String {
    let mut out = String::new();
    for four in bits.chunks(4) {
        let mut digit = 0;
        for (i, bit) in four.iter().enumerate() {
            digit |= u32::from(*bit) << i;
        }
        out.extend(char::from_digit(digit, 16));
    }
    out
}

/// Decodes bits from hexadecimal digits. Up to three bits at the end are
/// padding.
pub(crate) fn decode_bits(text: &str) -> Vec<bool> {
    let mut bits = Vec::new();
    for c in text.chars() {
        let digit = c.to_digit(16).unwrap_or_default();
        for i in 0..4 {
            bits.push(digit & (1 << i) != 0);
        }
    }
    bits
}
