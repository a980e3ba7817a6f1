//! The platform's configuration service and instance list.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use stairhinge::Time;
use stairhinge::document::{Kind, Listing};
use stairhinge::weights::TokenBucket;
use stairhinge_shell::http::{Body, Handler, answer, empty, full, read};
use tokio::sync::watch;

use crate::{StandIn, limits};

/// How the service behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// It answers with the newest.
    Well,
    /// It answers with what was newest when it became stale.
    Stale,
    /// It answers nothing but errors.
    Down,
}

type Published = HashMap<Kind, (u64, Bytes)>;

#[derive(Debug)]
struct State {
    mode: Mode,
    fresh: Published,
    stale: Published,
    past: HashMap<(Kind, u64), Bytes>,
    bucket: TokenBucket,
}

/// The platform's service: `GET /v1/{config,instances}?above=N&wait_ms=N`,
/// and for operators' pipelines `PUT` with `?revision=N`.
#[derive(Debug)]
pub struct Platform {
    start: Instant,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    calls: AtomicU64,
    refused: AtomicU64,
}

impl Platform {
    /// Calls a second that are answered, over all readers.
    pub const RATE: u64 = 2_000;

    /// Returns a service that has published nothing.
    pub fn new() -> Arc<Platform> {
        let state = State {
            mode: Mode::Well,
            fresh: HashMap::new(),
            stale: HashMap::new(),
            past: HashMap::new(),
            bucket: TokenBucket::new(Platform::RATE, Platform::RATE),
        };
        Arc::new(Platform {
            start: Instant::now(),
            state: Mutex::new(state),
            changed: watch::channel(0).0,
            calls: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        })
    }

    /// Publishes a document.
    pub fn publish(&self, kind: Kind, revision: u64, bytes: Bytes) {
        let mut state = self.state();
        state.past.insert((kind, revision), bytes.clone());
        state.fresh.insert(kind, (revision, bytes));
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Publishes documents of a kind one after another, each so long after
    /// now, with their revisions.
    pub async fn play(&self, kind: Kind, series: Vec<(Duration, u64, Bytes)>) {
        let start = tokio::time::Instant::now();
        for (at, revision, bytes) in series {
            tokio::time::sleep_until(start + at).await;
            self.publish(kind, revision, bytes);
        }
    }

    /// Publishes an instance list.
    pub fn list(&self, listing: &Listing) {
        let bytes = serde_json::to_vec(listing).unwrap_or_default();
        self.publish(Kind::Listing, listing.revision, bytes.into());
    }

    /// Changes how the service behaves.
    pub fn set(&self, mode: Mode) {
        let mut state = self.state();
        if mode == Mode::Stale {
            state.stale = state.fresh.clone();
        }
        state.mode = mode;
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Becomes stale with one document as it was under a revision published
    /// earlier: its bytes are those of that revision.
    pub fn stale_at(&self, kind: Kind, revision: u64) {
        let mut state = self.state();
        state.stale = state.fresh.clone();
        let old = state.past.get(&(kind, revision)).cloned();
        if let Some(bytes) = old {
            state.stale.insert(kind, (revision, bytes));
        }
        state.mode = Mode::Stale;
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Returns the calls so far, a waiting watch counted as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the calls that were refused for their rate.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn newest(&self, kind: Kind) -> Result<Option<(u64, Bytes)>, ()> {
        let state = self.state();
        match state.mode {
            Mode::Well => Ok(state.fresh.get(&kind).cloned()),
            Mode::Stale => Ok(state.stale.get(&kind).cloned()),
            Mode::Down => Err(()),
        }
    }

    async fn get(&self, kind: Kind, query: &str) -> Response<Body> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let now = self.start.elapsed().as_millis() as u64;
        let wait = self.state().bucket.take(1, Time::from_millis(now));
        if !wait.is_zero() {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return answer(StatusCode::TOO_MANY_REQUESTS, "{}".into());
        }
        let above = number(query, "above");
        let until = Duration::from_millis(number(query, "wait_ms"));
        let newer = self.newer(kind, above);
        match tokio::time::timeout(until, newer).await {
            Ok(response) => response,
            Err(_) => match self.newest(kind) {
                Ok(Some((revision, bytes))) if revision > above => {
                    document(revision, bytes)
                }
                Ok(_) => status(StatusCode::NO_CONTENT),
                Err(()) => status(StatusCode::SERVICE_UNAVAILABLE),
            },
        }
    }

    async fn newer(&self, kind: Kind, above: u64) -> Response<Body> {
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            match self.newest(kind) {
                Err(()) => return status(StatusCode::SERVICE_UNAVAILABLE),
                Ok(Some((revision, bytes))) if revision > above => {
                    return document(revision, bytes);
                }
                Ok(_) => {}
            }
            if changed.changed().await.is_err() {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }

    async fn put(
        &self,
        kind: Kind,
        query: &str,
        body: Incoming,
    ) -> Response<Body> {
        let limits = limits();
        match read(body, limits.body, limits.body_time).await {
            Ok(bytes) => {
                self.publish(kind, number(query, "revision"), bytes);
                answer(StatusCode::OK, "{}".into())
            }
            Err(err) => answer(StatusCode::BAD_REQUEST, format!("\"{err}\"")),
        }
    }

    fn mode(&self, query: &str) -> Response<Body> {
        let mode = match query {
            "well" => Mode::Well,
            "stale" => Mode::Stale,
            "down" => Mode::Down,
            _ => return status(StatusCode::BAD_REQUEST),
        };
        self.set(mode);
        status(StatusCode::OK)
    }
}

fn document(revision: u64, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    let value = HeaderValue::from(revision);
    response.headers_mut().insert("revision", value);
    response
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

fn number(query: &str, name: &str) -> u64 {
    for pair in query.split('&') {
        let Some((key, value)) = pair.split_once('=') else { continue };
        if key == name {
            return value.parse().unwrap_or_default();
        }
    }
    0
}

impl StandIn for Platform {}

impl Handler for Platform {
    fn handle(
        self: Arc<Platform>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        async move {
            let path = request.uri().path().to_string();
            let query = request.uri().query().unwrap_or_default().to_string();
            if path == "/v1/mode" {
                return self.mode(&query);
            }
            if path == "/v1/calls" {
                let json = format!("{{\"calls\":{}}}", self.calls());
                return answer(StatusCode::OK, json);
            }
            for kind in Kind::ALL {
                if path.strip_prefix("/v1/") != Some(kind.as_str()) {
                    continue;
                }
                if request.method() == Method::PUT {
                    let body = request.into_body();
                    return self.put(kind, &query, body).await;
                }
                return self.get(kind, &query).await;
            }
            status(StatusCode::NOT_FOUND)
        }
        .boxed()
    }
}
