//! Propagation of published revisions between entries.
//!
//! An entry that cannot read the platform learns of a newer revision from the
//! feeds of agents, and fetches the document from the entry that holds it. An
//! entry with a newer revision announces it to a few of the agents that do not
//! know it yet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response, StatusCode};
use stairhinge::{Code, Error};
use stairhinge_chunks::ChunkCache;
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::directory::{
    Directory, Facts, News, Published, Share, SharedQuestion, Source,
};
use stairhinge_shell::http::{
    Body, Client, Failed, Handler, empty, full, read,
};
use stairhinge_shell::packed::unpack;

use crate::dispatch::Dispatcher;
use crate::hall_reader::HallReaders;
use crate::published::PUBLISHED_PATH;

/// The delay between a change and its announcement; most processes read the
/// change themselves meanwhile.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(150);

/// The interval at which an entry checks whether agents are behind.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// How long an entry that is behind waits for the platform before it asks a
/// peer, and the interval at which it checks whether it is behind.
const FETCH_DELAY: Duration = Duration::from_millis(250);

/// The timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The maximum size of a document.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// The maximum size of a question.
const MAX_QUESTION_BYTES: usize = 4_096;

/// The number of agents of the entry's own hall to which new routes are
/// announced.
const MAX_ANNOUNCED_AGENTS: usize = 2;

/// The path at which an entry serves its routes.
const ROUTES_PATH: &str = "/documents/routes";

/// Announces newer revisions to agents, and fetches newer routes from peers.
#[derive(Clone)]
pub(crate) struct RevisionGossip {
    pub facts: Arc<Facts>,
    pub dispatcher: Arc<Dispatcher>,
    pub directory: Arc<dyn Directory>,
    /// The entries that read the platform for this one.
    pub readers: Arc<HallReaders>,
    pub client: Client,
    /// The address at which peers reach this entry.
    pub addr: SocketAddr,
    pub agent_port: u16,
}

impl RevisionGossip {
    /// Announces revisions to agents that are behind, until the process ends.
    pub(crate) async fn announce(self) {
        let mut changes = self.facts.changes();
        loop {
            let changed =
                tokio::time::timeout(CHECK_INTERVAL, changes.changed());
            if matches!(changed.await, Ok(Err(_))) {
                return;
            }
            tokio::time::sleep(ANNOUNCE_DELAY).await;
            let news = News {
                revision: self.facts.revision(),
                holder: Some(self.addr),
                targets: self.facts.target_ages(),
            };
            for addr in
                self.dispatcher.lagging_agents(&news, MAX_ANNOUNCED_AGENTS)
            {
                let to = SocketAddr::new(addr.ip(), self.agent_port);
                tokio::spawn(send(self.client.clone(), to, news.clone()));
            }
        }
    }

    /// Fetches newer routes that agents report, until the process ends.
    pub(crate) async fn fetch_newer(self) {
        loop {
            tokio::time::sleep(FETCH_DELAY).await;
            let Some(newest) = self.dispatcher.newest_news() else { continue };
            if newest.revision <= self.facts.revision() {
                continue;
            }
            // The routes may still arrive from the platform.
            tokio::time::sleep(FETCH_DELAY).await;
            // Only one entry per hall fetches a document over the links
            // between halls.
            let known = newest.revision <= self.facts.revision();
            if known || self.readers.has_reader() {
                continue;
            }
            let Some(holder) = newest.holder else { continue };
            if let Err(error) = self.fetch(holder).await {
                self.facts.log().write(&Decision::SourceFailed {
                    source: "peer entry",
                    code: error.code().number(),
                    reason: error.message(),
                });
            }
        }
    }

    async fn fetch(&self, holder: SocketAddr) -> Result<(), Error> {
        let called = Instant::now();
        let document =
            fetch_routes(&self.client, holder, CALL_TIMEOUT).await?;
        let record = self.directory.parse_routes(document)?;
        let source = Source::entry("peer", holder, called.elapsed());
        self.facts.learn(record, source, Published::default());
        Ok(())
    }
}

/// Fetches the document of the routes in force at an entry.
///
/// # Errors
///
/// [`Code::PeerLost`] if the entry does not provide it in time.
pub async fn fetch_routes(
    client: &Client,
    holder: SocketAddr,
    within: Duration,
) -> Result<Bytes, Error> {
    let got = client.get(holder, ROUTES_PATH, MAX_DOCUMENT_BYTES, within);
    let (status, _, document) = got.await?;
    if status != StatusCode::OK.as_u16() {
        let why = format!("{holder} answered {status}");
        return Err(Error::new(Code::PeerLost, why));
    }
    unpack(&document, MAX_DOCUMENT_BYTES)
}

async fn send(client: Client, to: SocketAddr, news: News) {
    let Ok(json) = serde_json::to_vec(&news) else { return };
    let request = Request::post("/news")
        .header(CONTENT_TYPE, "application/json")
        .body(full(json));
    let Ok(request) = request else { return };
    // If this fails, the next check announces the news again.
    let _ = client.send(to, request, CALL_TIMEOUT).await;
}

/// Serves the routes in force to any peer, published data to entries of the
/// same hall, and chunks.
pub(crate) struct PeerHandler {
    pub share: Arc<Share>,
    pub cache: Arc<ChunkCache>,
}

impl Handler for PeerHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let answered = match request.uri().path() {
                ROUTES_PATH => Ok(self.routes()),
                PUBLISHED_PATH => self.published(request).await,
                _ => self.chunks(request).await,
            };
            answered.unwrap_or_else(|e| Failed::new(e).response())
        })
    }
}

impl PeerHandler {
    async fn chunks(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Error> {
        let path = request.uri().path().to_string();
        let answered = self.cache.answer(request).await;
        answered.unwrap_or_else(|| Err(Error::new(Code::UnknownPath, path)))
    }

    fn routes(&self) -> Response<Body> {
        let Some(packed) = self.share.packed_routes() else {
            let mut response = Response::new(empty());
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        };
        Response::new(full(packed))
    }

    async fn published(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Error> {
        let body = request.into_body();
        let bytes = read(body, MAX_QUESTION_BYTES, CALL_TIMEOUT).await?;
        let question: SharedQuestion = serde_json::from_slice(&bytes)
            .map_err(|e| Error::new(Code::MalformedJson, e))?;
        let answer = self.share.answer(&question).await;
        let no_data = || Error::new(Code::PlatformLost, "no data read yet");
        let json = serde_json::to_string(&answer.ok_or_else(no_data)?)
            .map_err(|e| Error::new(Code::Internal, e))?;
        Ok(stairhinge_shell::http::answer(StatusCode::OK, json))
    }
}
