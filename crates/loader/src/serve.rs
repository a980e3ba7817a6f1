//! Handles HTTP requests from peers and entries.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use stairhinge::{Code, Error};
use stairhinge_chunks::ChunkServer;
use stairhinge_shell::Shutdown;
use stairhinge_shell::directory::News;
use stairhinge_shell::http::{Body, Failed, Handler, empty, read};

use crate::agent::Agent;
use crate::feed::feed;

/// The maximum size of a news message, in bytes.
const MAX_NEWS_BYTES: usize = 64 << 10;

/// The time within which a news message must be received.
const NEWS_TIMEOUT: Duration = Duration::from_secs(2);

/// The HTTP request handler of an agent.
pub(crate) struct AgentServer {
    pub agent: Arc<Agent>,
    pub chunks: ChunkServer,
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
        if let Some((sequence, confirmed)) = verdict_path(&path) {
            self.agent.record_verdict(sequence, confirmed);
            return Ok(Response::new(empty()));
        }
        if path == "/weights/any" && post {
            return self.any(request).await;
        }
        if path == "/news" && post {
            let body = request.into_body();
            let bytes = read(body, MAX_NEWS_BYTES, NEWS_TIMEOUT).await?;
            let news: News = serde_json::from_slice(&bytes)
                .map_err(|e| Error::new(Code::MalformedJson, e))?;
            self.agent.take_news(&news);
            return Ok(Response::new(empty()));
        }
        if let Some((model, version)) = ChunkServer::manifest_path(&path) {
            let query = request.uri().query().unwrap_or_default();
            return self.chunks.answer_manifest(&model, version, query).await;
        }
        Err(Error::new(Code::UnknownPath, path))
    }

    /// Answers a request for chunks, unless the link is too poor.
    async fn any(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Error> {
        let question = ChunkServer::read_request(request).await?;
        let share = *self.agent.link_share();
        if share.is_poor() {
            let reason = format!(
                "link share for sending chunks is only {:.2}",
                share.upload()
            );
            return Err(Error::new(Code::PoorLink, reason));
        }
        let response = self.chunks.answer_any(&question).await?;
        if response.status() == StatusCode::OK {
            self.agent.record_transfer();
        }
        Ok(response)
    }
}

/// Parses the path by which an entry tells whether an agent had confirmed the
/// load with a sequence number.
fn verdict_path(path: &str) -> Option<(u64, bool)> {
    let (sequence, verdict) = path.strip_prefix("/loads/")?.split_once('/')?;
    let confirmed = match verdict {
        "confirmed" => true,
        "rejected" => false,
        _ => return None,
    };
    Some((sequence.parse().ok()?, confirmed))
}
