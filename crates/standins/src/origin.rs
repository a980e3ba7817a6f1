//! The origin of weights, behind a shaped link.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};

use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use stairhinge::Digest;
use stairhinge_shell::Shaper;
use stairhinge_shell::http::{Body, Handler, answer, read, shaped};

use crate::{Faults, Pack, StandIn, limits};

/// The origin of weights: `GET /blobs/DIGEST`, `PUT /blobs`, `GET /sent`.
#[derive(Debug)]
pub struct Origin {
    blobs: RwLock<HashMap<Digest, Bytes>>,
    link: Shaper,
    sent: AtomicU64,
    calls: AtomicU64,
    faults: Faults,
}

impl Origin {
    /// Returns an empty origin whose link carries `rate` bytes a second; 0
    /// is not shaped.
    pub fn new(rate: u64) -> Arc<Origin> {
        Arc::new(Origin {
            blobs: RwLock::default(),
            link: Shaper::new(rate),
            sent: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            faults: Faults::default(),
        })
    }

    /// Adds a version's weights.
    pub fn add(&self, pack: &Pack) {
        if let Ok(mut blobs) = self.blobs.write() {
            blobs.extend(pack.blobs().iter().cloned());
        }
    }

    /// Returns the bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the requests answered so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns what it can be told to do wrong.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    fn get(&self, text: &str) -> Response<Body> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let missing = || answer(StatusCode::NOT_FOUND, "{}".into());
        let Ok(digest) = text.parse::<Digest>() else { return missing() };
        let found =
            self.blobs.read().ok().and_then(|b| b.get(&digest).cloned());
        let Some(mut bytes) = found else { return missing() };
        if self.faults.spent(self.sent()) {
            return answer(StatusCode::SERVICE_UNAVAILABLE, "{}".into());
        }
        if self.faults.next_corrupt() {
            let mut wrong = bytes.to_vec();
            if let Some(last) = wrong.last_mut() {
                *last ^= 1;
            }
            bytes = Bytes::from(wrong);
        }
        self.sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Response::new(shaped(bytes, vec![self.link.clone()]))
    }

    async fn put(&self, body: Incoming) -> Response<Body> {
        let limits = limits();
        match read(body, limits.body, limits.body_time).await {
            Ok(bytes) => {
                let digest = Digest::of(&bytes);
                if let Ok(mut blobs) = self.blobs.write() {
                    blobs.insert(digest, bytes);
                }
                answer(StatusCode::OK, format!("{{\"digest\":\"{digest}\"}}"))
            }
            Err(err) => answer(StatusCode::BAD_REQUEST, format!("\"{err}\"")),
        }
    }
}

impl StandIn for Origin {}

impl Handler for Origin {
    fn handle(
        self: Arc<Origin>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        async move {
            let path = request.uri().path().to_string();
            if request.method() == Method::PUT && path == "/blobs" {
                return self.put(request.into_body()).await;
            }
            if path == "/sent" {
                let (sent, calls) = (self.sent(), self.calls());
                let json = format!("{{\"sent\":{sent},\"calls\":{calls}}}");
                return answer(StatusCode::OK, json);
            }
            match path.strip_prefix("/blobs/") {
                Some(digest) => self.get(digest),
                None => answer(StatusCode::NOT_FOUND, "{}".into()),
            }
        }
        .boxed()
    }
}
