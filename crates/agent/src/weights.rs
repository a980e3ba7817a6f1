//! Passing chunks on to peers, and to the engine beside.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use stairhinge::{Code, Digest, Error};
use stairhinge_shell::http::{Body, Failed, empty, full, headers, shaped};

use crate::agent::Agent;

/// A peer's question for any of some chunks.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Question {
    pub(crate) want: Vec<Digest>,
    pub(crate) hold_ms: u64,
    /// Manifests of whose chunks the answer is to say which are held.
    pub(crate) manifests: Vec<Digest>,
}

/// The longest that a question may wait here, whatever it says.
const MOST_HOLD: Duration = Duration::from_secs(60);

impl Agent {
    /// Answers a question as soon as one of the chunks is here.
    pub(crate) async fn any(
        self: Arc<Agent>,
        json: &[u8],
    ) -> Result<Response<Body>, Failed> {
        let question: Question = serde_json::from_slice(json)
            .map_err(|e| Error::new(Code::MalformedJson, e))?;
        let hold = Duration::from_millis(question.hold_ms).min(MOST_HOLD);
        let found =
            tokio::time::timeout(hold, self.await_any(&question)).await;
        let found = found.ok().or_else(|| self.find(&question));
        let mut response = match found {
            Some((digest, bytes)) => self.send(digest, bytes).await,
            // It may never come here: this agent may not have heard of the
            // version yet, or may have no need of it. The asker has patience.
            None => status(StatusCode::NO_CONTENT),
        };
        if let Some(held) = self.held(&question.manifests)
            && let Ok(value) = HeaderValue::from_str(&held)
        {
            response.headers_mut().insert(headers::HELD, value);
        }
        Ok(response)
    }

    async fn await_any(&self, question: &Question) -> (Digest, Bytes) {
        let mut arrived = self.arrived.subscribe();
        loop {
            arrived.mark_unchanged();
            if let Some(found) = self.find(question) {
                return found;
            }
            if arrived.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    fn find(&self, question: &Question) -> Option<(Digest, Bytes)> {
        let store = self.store();
        for digest in &question.want {
            if let Some(bytes) = store.get(digest) {
                return Some((*digest, bytes));
            }
        }
        None
    }

    async fn send(
        self: &Arc<Agent>,
        digest: Digest,
        bytes: Bytes,
    ) -> Response<Body> {
        let size = bytes.len() as u64;
        let mut response =
            Response::new(shaped(bytes, vec![self.links.up.clone()]));
        let value = HeaderValue::from_str(&digest.to_string());
        if let Ok(value) = value {
            response.headers_mut().insert(headers::DIGEST, value);
        }
        self.node.metrics().sent.inc_by(size);
        response
    }

    fn held(&self, manifests: &[Digest]) -> Option<String> {
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
        Some(pack(&bits))
    }

    /// Answers the engine beside this agent, which reads what it loads.
    pub(crate) fn chunk(&self, text: &str) -> Result<Response<Body>, Failed> {
        let digest: Digest = text.parse()?;
        let held = self.store().get(&digest);
        let bytes = held.ok_or_else(|| {
            let why = format!("chunk {digest} is not here");
            Failed::new(Error::new(Code::UnknownPath, why))
        })?;
        Ok(Response::new(full(bytes)))
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

/// Writes bits as hexadecimal digits, four to each.
fn pack(bits: &[bool]) -> String {
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

/// Reads bits from hexadecimal digits; the last few may be padding.
pub(crate) fn unpack(text: &str) -> Vec<bool> {
    let mut bits = Vec::new();
    for c in text.chars() {
        let digit = c.to_digit(16).unwrap_or_default();
        for i in 0..4 {
            bits.push(digit & (1 << i) != 0);
        }
    }
    bits
}
