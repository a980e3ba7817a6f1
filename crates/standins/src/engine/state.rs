//! An engine's state and orders.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use stairhinge::Digest;
use stairhinge::serving::Fence;
use stairhinge_shell::http::{
    Body, BodyError, Client, Handler, answer, headers, read, stream,
};
use tokio::sync::mpsc;

use super::Record;
use super::life::Life;
use crate::batch::Batch;
use crate::{Gate, StandIn, limits};

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// The time of a step.
    pub step: Duration,
    /// The most requests in a batch.
    pub batch: usize,
    /// The most requests before the batch.
    pub queue: usize,
    /// Whether it checks the fence of orders.
    pub fences: bool,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            step: Duration::from_millis(9),
            batch: 16,
            queue: 64,
            fences: true,
        }
    }
}

/// What an engine holds.
#[derive(Clone, Debug, Default)]
pub(super) struct Held {
    pub(super) fence: Fence,
    pub(super) loaded: Fence,
    pub(super) version: String,
    pub(super) manifests: Vec<Digest>,
    pub(super) whole: Option<Digest>,
}

/// A model engine.
pub struct Engine {
    pub(super) settings: EngineSettings,
    pub(super) held: Mutex<Held>,
    pub(super) batch: Arc<Batch>,
    pub(super) records: Mutex<HashMap<u64, Record>>,
    pub(super) break_after: AtomicU32,
    frozen: AtomicBool,
    /// How late orders to go on in a role arrive, in milliseconds.
    role_delay: AtomicU64,
    client: Client,
    loads: AtomicU32,
    /// Rises when the weights are replaced.
    pub(super) epoch: AtomicU64,
    pub(super) life: Life,
    /// Whether answers end with their connection, without a length or chunks.
    pub(super) unframed: AtomicBool,
    /// Whether answers go on without end.
    pub(super) endless: AtomicBool,
    gate: Arc<Gate>,
}

#[derive(Deserialize)]
struct Load {
    version: String,
    manifests: Vec<Digest>,
    chunks: Vec<Digest>,
    source: SocketAddr,
}

/// How long the engine waits for one chunk from its agent.
const CHUNK: Duration = Duration::from_secs(10);

impl Engine {
    /// Returns an engine that holds nothing.
    pub fn new(settings: EngineSettings) -> Arc<Engine> {
        let gate = Gate::new();
        let still = Arc::clone(&gate);
        Arc::new(Engine {
            settings,
            held: Mutex::default(),
            batch: Batch::start(settings.batch, settings.step, still),
            records: Mutex::default(),
            break_after: AtomicU32::new(0),
            frozen: AtomicBool::new(false),
            role_delay: AtomicU64::new(0),
            client: Client::new(),
            loads: AtomicU32::new(0),
            epoch: AtomicU64::new(0),
            life: Life::new(),
            unframed: AtomicBool::new(false),
            endless: AtomicBool::new(false),
            gate,
        })
    }

    /// Returns what ran here.
    pub fn records(&self) -> Vec<Record> {
        let records = lock(&self.records);
        let mut numbered: Vec<_> = records.iter().collect();
        numbered.sort_by_key(|(n, _)| **n);
        numbered.into_iter().map(|(_, r)| r.clone()).collect()
    }

    /// Loses what it holds, as a restart would; the fence too.
    pub fn forget(&self) {
        *lock(&self.held) = Held::default();
    }

    /// Takes an order from somebody else to hold another version, as an
    /// engine that checks no fences would from an old agent.
    pub fn impose(&self, version: &str) {
        let mut held = lock(&self.held);
        held.version = version.to_string();
        held.manifests = vec![Digest::of(version.as_bytes())];
        held.whole = Some(Digest::of(version.as_bytes()));
    }

    /// Returns the requests in the batch and before it.
    pub fn load(&self) -> (usize, usize) {
        self.batch.load()
    }

    /// Breaks off answers after some tokens; 0 is off.
    pub fn break_after(&self, tokens: u32) {
        self.break_after.store(tokens, Ordering::Relaxed);
    }

    /// Accepts requests but answers nothing, until told otherwise.
    pub fn freeze(&self, frozen: bool) {
        self.frozen.store(frozen, Ordering::Relaxed);
    }

    /// Makes its process stand still for a time: its steps, orders and
    /// connections, which stay open.
    pub fn stand_still(&self, span: Duration) {
        self.gate.stand_still(span);
    }

    /// Makes a share of its open connections silent for good; returns how many
    /// those are.
    pub fn silence_open(&self, share: f64) -> usize {
        self.gate.silence_open(share)
    }

    /// Has orders to go on in a role arrive late, after others that were sent
    /// later.
    pub fn delay_roles(&self, span: Duration) {
        let ms = span.as_millis() as u64;
        self.role_delay.store(ms, Ordering::Relaxed);
    }

    /// Makes answers end with their connection, without a length or chunks.
    pub fn set_unframed(&self, unframed: bool) {
        self.unframed.store(unframed, Ordering::Relaxed);
    }

    /// Makes answers go on without end, until their connections are closed.
    pub fn set_endless(&self, endless: bool) {
        self.endless.store(endless, Ordering::Relaxed);
    }

    /// Has its process end under requests with this prompt.
    pub fn end_under(&self, prompt: &str) {
        self.life.end_under(prompt);
    }

    /// Has its process end under requests with this word in their prompts.
    pub fn end_under_word(&self, word: &str) {
        self.life.end_under_word(word);
    }

    /// Ends its process.
    pub fn end(&self) {
        self.life.end();
    }

    /// Returns how often its process has ended.
    pub fn ends(&self) -> u32 {
        self.life.ends()
    }

    /// Waits until its process is to end.
    pub async fn ending(&self) {
        self.life.ending().await;
    }

    /// Notes that nobody listens at its address any more: what runs breaks
    /// off, and it holds nothing.
    pub fn down(&self) {
        self.forget();
        self.epoch.fetch_add(1, Ordering::SeqCst);
        self.life.down();
    }

    /// Notes that a new process listens at its address.
    pub fn up(&self) {
        self.life.up();
    }

    /// Returns the version that it holds, or the empty string.
    pub fn version(&self) -> String {
        lock(&self.held).version.clone()
    }

    /// Returns the revision that it was last told of by a fence.
    pub fn revision(&self) -> u64 {
        lock(&self.held).fence.revision()
    }

    /// Returns how many load orders moved weights.
    pub fn loads(&self) -> u32 {
        self.loads.load(Ordering::Relaxed)
    }

    fn told(&self) -> Response<Body> {
        let held = lock(&self.held).clone();
        let (running, waiting) = self.batch.load();
        let json = json!({
            "fence": held.fence.to_string(),
            "loaded": held.loaded.to_string(),
            "version": held.version,
            "manifests": held.manifests,
            "running": running,
            "waiting": waiting,
        });
        answer(StatusCode::OK, json.to_string())
    }

    async fn take_load(&self, fence: Fence, body: Bytes) -> Response<Body> {
        let Ok(load) = serde_json::from_slice::<Load>(&body) else {
            return answer(StatusCode::BAD_REQUEST, "{}".into());
        };
        if !self.accept(fence) {
            return answer(StatusCode::CONFLICT, "{}".into());
        }
        let same = lock(&self.held).manifests == load.manifests;
        let whole = if same {
            lock(&self.held).whole
        } else {
            match self.draw(&load).await {
                Ok(whole) => Some(whole),
                Err(why) => {
                    let json = json!({ "error": why }).to_string();
                    return answer(StatusCode::BAD_GATEWAY, json);
                }
            }
        };
        let mut held = lock(&self.held);
        if !same {
            // Whatever still runs on the weights that go is broken off.
            self.epoch.fetch_add(1, Ordering::SeqCst);
        }
        // A later agent may have come while the chunks were drawn, or a later
        // load order.
        let later = held.fence.incarnation() != fence.incarnation()
            || held.loaded > fence;
        if self.settings.fences && later {
            return answer(StatusCode::CONFLICT, "{}".into());
        }
        held.loaded = fence;
        held.version = load.version;
        held.manifests = load.manifests;
        held.whole = whole;
        answer(StatusCode::OK, "{}".into())
    }

    async fn draw(&self, load: &Load) -> Result<Digest, String> {
        if load.chunks.is_empty() {
            return Err("no chunks".into());
        }
        self.loads.fetch_add(1, Ordering::Relaxed);
        let mut all = Vec::new();
        for digest in &load.chunks {
            self.gate.passed().await;
            let path = format!("/chunks/{digest}");
            let most = limits().body;
            let got = self.client.get(load.source, &path, most, CHUNK).await;
            let (status, _, bytes) = got.map_err(|e| e.to_string())?;
            if status != 200 || Digest::of(&bytes) != *digest {
                return Err(format!("chunk {digest}: status {status}"));
            }
            all.extend_from_slice(&bytes);
        }
        Ok(Digest::of(&all))
    }

    fn unload(&self, fence: Fence) -> Response<Body> {
        if !self.accept(fence) {
            return answer(StatusCode::CONFLICT, "{}".into());
        }
        let mut held = lock(&self.held);
        let fence = held.fence;
        *held = Held { fence, ..Held::default() };
        answer(StatusCode::OK, "{}".into())
    }

    fn accept(&self, fence: Fence) -> bool {
        let mut held = lock(&self.held);
        if self.settings.fences && fence < held.fence {
            return false;
        }
        held.fence = fence;
        true
    }

    async fn route(
        self: Arc<Engine>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        if self.life.is_down() {
            return broken();
        }
        let (parts, body) = request.into_parts();
        let limits = limits();
        let Ok(body) = read(body, limits.body, limits.body_time).await else {
            return answer(StatusCode::BAD_REQUEST, "{}".into());
        };
        while self.frozen.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        self.gate.passed().await;
        let fence = parts.headers.get(headers::FENCE);
        let fence = fence.and_then(|v| v.to_str().ok());
        let fence: Option<Fence> = fence.and_then(|s| s.parse().ok());
        match (parts.uri.path(), fence) {
            ("/engine", _) => self.told(),
            ("/record", _) => {
                let json = serde_json::to_string(&self.records());
                answer(StatusCode::OK, json.unwrap_or_default())
            }
            ("/engine/load", Some(fence)) => self.take_load(fence, body).await,
            ("/engine/unload", Some(fence)) => self.unload(fence),
            ("/engine/role", Some(fence)) => {
                let ms = self.role_delay.load(Ordering::Relaxed);
                tokio::time::sleep(Duration::from_millis(ms)).await;
                let good = self.accept(fence);
                let status =
                    if good { StatusCode::OK } else { StatusCode::CONFLICT };
                answer(status, "{}".into())
            }
            ("/v1/chat/completions", fence) => self.chat(&parts, fence, &body),
            _ => answer(StatusCode::NOT_FOUND, "{}".into()),
        }
    }
}

impl Handler for Engine {
    fn handle(
        self: Arc<Engine>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        self.route(request).boxed()
    }
}

impl StandIn for Engine {
    fn gate(&self) -> Option<Arc<Gate>> {
        Some(Arc::clone(&self.gate))
    }
}

/// Returns an answer that breaks its connection off.
fn broken() -> Response<Body> {
    let (tx, rx) = mpsc::channel(1);
    let _ = tx.try_send(Err(BodyError("the process has ended".into())));
    Response::new(stream(rx))
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
