//! Telling and taking news of what is published.
//!
//! An entry that the platform turns away learns of a newer revision from the
//! feeds of agents, and asks the entry that holds it for the document. An
//! entry that is ahead tells agents, few of them and only those that do not
//! know yet.

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
    Directory, Facts, News, Share, SharedQuestion, Source,
};
use stairhinge_shell::http::{
    Body, Client, Failed, Handler, empty, full, read,
};
use stairhinge_shell::packed::unpack;

use crate::dispatch::Dispatcher;
use crate::hall_reader::HallReaders;
use crate::published::PUBLISHED;

/// How long after a change others are told: most learn it by themselves.
const TELL_AFTER: Duration = Duration::from_millis(150);

/// How often an entry looks whether others are behind.
const LOOK: Duration = Duration::from_millis(400);

/// How long an entry that is behind waits for the platform before it asks a
/// peer.
const ASK_AFTER: Duration = Duration::from_millis(250);

/// How long a call to a peer may take.
const WITHIN: Duration = Duration::from_millis(800);

/// The largest document, in bytes.
const MOST_DOCUMENT: usize = 8 << 20;

/// The largest question of an entry, in bytes.
const MOST_QUESTION: usize = 4_096;

/// The agents of the own hall that are told of routes.
const TOLD_OF_ROUTES: usize = 2;

/// The path at which an entry hands over its routes.
const ROUTES: &str = "/documents/routes";

/// What telling and taking news needs.
#[derive(Clone)]
pub(crate) struct NewsDesk {
    pub facts: Arc<Facts>,
    pub dispatcher: Arc<Dispatcher>,
    pub directory: Arc<dyn Directory>,
    /// Who reads for this entry, if anybody.
    pub readers: Arc<HallReaders>,
    pub client: Client,
    /// Where peers can ask this entry.
    pub addr: SocketAddr,
    pub agent_port: u16,
}

impl NewsDesk {
    /// Tells agents that are behind, until the process ends.
    pub(crate) async fn tell(self) {
        let mut changes = self.facts.changes();
        loop {
            let changed = tokio::time::timeout(LOOK, changes.changed());
            if matches!(changed.await, Ok(Err(_))) {
                return;
            }
            tokio::time::sleep(TELL_AFTER).await;
            let news = News {
                revision: self.facts.revision(),
                holder: Some(self.addr),
                targets: self.facts.target_ages(),
            };
            for addr in self.dispatcher.lagging_agents(&news, TOLD_OF_ROUTES) {
                let to = SocketAddr::new(addr.ip(), self.agent_port);
                tokio::spawn(send(self.client.clone(), to, news.clone()));
            }
        }
    }

    /// Asks for newer routes that agents tell of, until the process ends.
    pub(crate) async fn take(self) {
        loop {
            tokio::time::sleep(ASK_AFTER).await;
            let Some(told) = self.dispatcher.newest_news() else { continue };
            if told.revision <= self.facts.revision() {
                continue;
            }
            // The platform may just be about to say it itself.
            tokio::time::sleep(ASK_AFTER).await;
            // Of a hall, one entry draws a document over links between halls.
            let known = told.revision <= self.facts.revision();
            if known || self.readers.has_reader() {
                continue;
            }
            let Some(holder) = told.holder else { continue };
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
        let document = fetch_routes(&self.client, holder, WITHIN).await?;
        let record = self.directory.parse_routes(document)?;
        let source = Source::entry("peer", holder, called.elapsed());
        self.facts.learn(record, source, None);
        Ok(())
    }
}

/// Fetches the document of the routes that an entry has in force.
///
/// # Errors
///
/// [`Code::PeerLost`] if it does not hand them over in time.
pub async fn fetch_routes(
    client: &Client,
    holder: SocketAddr,
    within: Duration,
) -> Result<Bytes, Error> {
    let got = client.get(holder, ROUTES, MOST_DOCUMENT, within);
    let (status, _, document) = got.await?;
    if status != StatusCode::OK.as_u16() {
        let why = format!("{holder} answers {status}");
        return Err(Error::new(Code::PeerLost, why));
    }
    unpack(&document, MOST_DOCUMENT)
}

async fn send(client: Client, to: SocketAddr, news: News) {
    let Ok(json) = serde_json::to_vec(&news) else { return };
    let request = Request::post("/news")
        .header(CONTENT_TYPE, "application/json")
        .body(full(json));
    let Ok(request) = request else { return };
    // One that cannot be told now is told with the next look.
    let _ = client.send(to, request, WITHIN).await;
}

/// Hands on what is published, the routes in force to any peer and all to
/// entries of the own hall; and chunks to those who ask for them.
pub(crate) struct HandOver {
    pub share: Arc<Share>,
    pub cache: Arc<ChunkCache>,
}

impl Handler for HandOver {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let answered = match request.uri().path() {
                ROUTES => Ok(self.routes()),
                PUBLISHED => self.published(request).await,
                _ => self.chunks(request).await,
            };
            answered.unwrap_or_else(|e| Failed::new(e).response())
        })
    }
}

impl HandOver {
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
        let bytes = read(body, MOST_QUESTION, WITHIN).await?;
        let question: SharedQuestion = serde_json::from_slice(&bytes)
            .map_err(|e| Error::new(Code::MalformedJson, e))?;
        let answer = self.share.answer(&question).await;
        let nothing = || Error::new(Code::PlatformLost, "nothing was read");
        let json = serde_json::to_string(&answer.ok_or_else(nothing)?)
            .map_err(|e| Error::new(Code::Internal, e))?;
        Ok(stairhinge_shell::http::answer(StatusCode::OK, json))
    }
}
