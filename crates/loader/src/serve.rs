//! What an agent serves to peers and entries.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use stairhinge::{Code, Digest, Error};
use stairhinge_shell::Shutdown;
use stairhinge_shell::directory::News;
use stairhinge_shell::http::{
    Body, Failed, Handler, answer, empty, headers, in_turn, read,
};
use tokio::time::Instant;

use crate::agent::Agent;
use crate::feed::feed;
use crate::holdings::Held;
use crate::peers::Question;

/// The largest question, in bytes.
const MOST_QUESTION: usize = 64 << 10;

/// Within which a question has to be whole.
const QUESTION_TIME: Duration = Duration::from_secs(2);

/// The longest that a question may wait.
const MOST_HOLD: Duration = Duration::from_secs(2);

/// The HTTP side of an agent.
pub(crate) struct AgentServer {
    pub agent: Arc<Agent>,
    pub stopping: Shutdown,
}

impl Handler for AgentServer {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            match self.answer(request).await {
                Ok(response) => response,
                Err(error) => Failed::new(error).response(),
            }
        })
    }
}

impl AgentServer {
    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Error> {
        let path = request.uri().path().to_string();
        let post = request.method() == Method::POST;
        if path == "/feed" {
            return Ok(feed(&self.agent, &self.stopping, &request));
        }
        if path == "/ping" {
            return Ok(Response::new(empty()));
        }
        if path == "/weights/any" && post {
            let body = request.into_body();
            let bytes = read(body, MOST_QUESTION, QUESTION_TIME).await?;
            let question: Question = serde_json::from_slice(&bytes)
                .map_err(|e| Error::new(Code::MalformedJson, e))?;
            return self.any(question).await;
        }
        if path == "/news" && post {
            let body = request.into_body();
            let bytes = read(body, MOST_QUESTION, QUESTION_TIME).await?;
            let news: News = serde_json::from_slice(&bytes)
                .map_err(|e| Error::new(Code::MalformedJson, e))?;
            self.agent.take_news(&news);
            return Ok(Response::new(empty()));
        }
        if let Some(named) = path.strip_prefix("/weights/manifest/") {
            let hold = hold(request.uri().query().unwrap_or_default());
            return self.manifest(named, hold).await;
        }
        Err(Error::new(Code::UnknownPath, path))
    }

    /// Answers with a manifest, waiting up to `hold` for it.
    async fn manifest(
        &self,
        named: &str,
        hold: Duration,
    ) -> Result<Response<Body>, Error> {
        let unknown = || Error::new(Code::NoSource, named);
        let (model, version) = named.split_once('/').ok_or_else(unknown)?;
        let version: u64 = version.parse().map_err(|_| unknown())?;
        let holdings = &self.agent.holdings;
        let until = Instant::now() + hold;
        let manifest = loop {
            let arrived = holdings.arrived();
            if let Some(manifest) = holdings.manifest(model, version) {
                break manifest;
            }
            let waited = tokio::time::timeout_at(until, arrived).await;
            waited.map_err(|_| unknown())?;
        };
        let json = serde_json::to_string(&*manifest)
            .map_err(|e| Error::new(Code::Internal, e))?;
        Ok(answer(StatusCode::OK, json))
    }

    async fn any(&self, question: Question) -> Result<Response<Body>, Error> {
        let share = *self.agent.link_share();
        if share.is_poor() {
            let why = format!("chunks may take {:.2} of it", share.uplink());
            return Err(Error::new(Code::PoorLink, why));
        }
        let hold = Duration::from_millis(question.hold_ms).min(MOST_HOLD);
        let until = Instant::now() + hold;
        let found = if question.tell {
            self.until_held(&question, until).await;
            None
        } else {
            self.first_until(&question, until).await
        };
        let mut response = match found {
            None => {
                let mut response = Response::new(empty());
                *response.status_mut() = StatusCode::NO_CONTENT;
                response
            }
            Some((place, bytes)) => {
                self.agent.note_moved();
                let uplink = self.agent.uplink.clone();
                let mut response = Response::new(in_turn(bytes, uplink));
                let place = HeaderValue::from(place);
                response.headers_mut().insert(headers::CHUNK, place);
                response
            }
        };
        let held = self.held(&question);
        if !held.is_empty() {
            let value = HeaderValue::from_str(&held)
                .map_err(|e| Error::new(Code::Internal, e))?;
            response.headers_mut().insert(headers::HELD, value);
        }
        Ok(response)
    }

    /// Waits until any wanted chunk is held, or the time is over.
    async fn until_held(&self, question: &Question, until: Instant) {
        loop {
            let arrived = self.agent.holdings.arrived();
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
        question: &Question,
        until: Instant,
    ) -> Option<(u32, Bytes)> {
        loop {
            let arrived = self.agent.holdings.arrived();
            let found = self.first(question).await;
            if found.is_some() {
                return found;
            }
            tokio::time::timeout_at(until, arrived).await.ok()?;
        }
    }

    /// Returns whether any wanted chunk is held.
    fn holds_any(&self, question: &Question) -> bool {
        let holdings = &self.agent.holdings;
        let known = holdings.manifest(&question.model, question.version);
        let Some(manifest) = known else { return false };
        let digests = question.want.iter();
        let mut digests =
            digests.filter_map(|place| manifest.digests.get(*place as usize));
        digests.any(|digest| holdings.holds(digest))
    }

    /// Returns the first wanted chunk that is held and still good.
    async fn first(&self, question: &Question) -> Option<(u32, Bytes)> {
        let agent = &self.agent;
        let manifest =
            agent.holdings.manifest(&question.model, question.version)?;
        for place in &question.want {
            let digest = manifest.digests.get(*place as usize)?;
            let (model, index) = match agent.holdings.get(digest) {
                None => continue,
                Some(Held::Bytes(bytes)) => return Some((*place, bytes)),
                Some(Held::Staged(model, index)) => (model, index),
            };
            if let Ok(bytes) = agent.engine.read(&model, index).await
                && Digest::sha256(&bytes) == *digest
            {
                return Some((*place, bytes));
            }
            agent.holdings.drop_chunk(digest);
        }
        None
    }

    /// Returns a bit for each chunk of the version asked about.
    fn held(&self, question: &Question) -> String {
        let holdings = &self.agent.holdings;
        let known = holdings.manifest(&question.model, question.version);
        let mut bits = String::new();
        for digest in known.iter().flat_map(|m| &m.digests) {
            bits.push(if holdings.holds(digest) { '1' } else { '0' });
        }
        bits
    }
}

/// Returns how long a question may wait, by its query.
fn hold(query: &str) -> Duration {
    let ms = query.strip_prefix("hold_ms=").and_then(|t| t.parse().ok());
    Duration::from_millis(ms.unwrap_or(0)).min(MOST_HOLD)
}
