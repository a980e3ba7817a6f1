//! The cache in which an entry holds chunks for the agents of its data hall.
//!
//! Agents have the slowest links, and a chunk forwarded from one agent to
//! another uses two of them, in competition with the answers of the replicas.
//! The link of an entry is several times as fast: it fetches each requested
//! version once for all agents, and holds it while they request it.

mod choice;
mod owner;
mod retention;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use stairhinge::direct::HallEntry;
use stairhinge::{Code, Error};
use stairhinge_shell::Shaper;
use stairhinge_shell::http::{Body, answer};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use self::owner::CacheOwner;
use crate::fetch::fetch;
use crate::find_manifest::find_manifest;
use crate::owner::{FetchContext, log_failure};
use crate::peers::{ANY, CacheStatus, DRAW, MAX_STATUS_BITS, STANDING};
use crate::server::{ChunkServer, query_duration, version_path};

/// How long a fetch continues after the last request for the version. The
/// cache holds requests for up to 0.8 s, so an agent that still wants the
/// version sends the next one sooner than this.
const FETCH_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The held fraction of a version from which its fetch is completed although a
/// newer version is requested. The rest takes a quarter of the time of a copy,
/// 0.4 s over an origin link of 9.9 Mbit/s, and a complete version can be
/// served during an origin outage.
const COMPLETION_THRESHOLD: f64 = 0.75;

/// The maximum time that a fetch waits for an older version that is almost
/// complete.
const OLDER_VERSION_WAIT: Duration = Duration::from_millis(500);

/// How long a version is held after the last request for it. Replicas that are
/// started together begin to fetch within one or two seconds of each other.
const RETENTION: Duration = Duration::from_secs(12);

/// How long a version that the origin does not provide any more is not
/// searched for. Agents may still serve it, and ask while they want it.
const GONE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How often the cache checks whether versions are still requested.
const REQUEST_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How often a fetch checks whether the older version that it waits for is
/// complete: about the interval at which chunks arrive over an origin link of
/// 9.9 Mbit/s.
const COMPLETION_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The age of a target from which agents may already hold some of its chunks.
/// All entries learn of a new target within half of this time.
const PARTIAL_HOLDERS_AGE: Duration = Duration::from_millis(1_000);

/// The maximum number of versions held: the current one, the next one, and one
/// that was the target in between.
const MAX_VERSIONS: usize = 3;

/// The processes from which the cache of an entry can fetch.
pub trait CachePeers: Send + Sync {
    /// Returns the entries of all data halls that hold chunks.
    fn entries(&self) -> Vec<HallEntry>;

    /// Returns the agents of the own hall whose engines serve a version.
    fn holders(&self, model: &str, version: u64) -> Vec<SocketAddr>;

    /// Returns all agents of the own hall.
    fn agents(&self) -> Vec<SocketAddr>;
}

type CacheKey = (Arc<str>, u64);

/// How a cache keeps several versions and chooses which to fetch first.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// How long requests may begin on a version after a newer one has become
    /// the target.
    pub version_bound: Duration,
    /// The rate of the cache's link, in bytes per second.
    pub link_rate: u64,
}

/// The state of a cached version.
#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    /// Identifies the task that fetches and holds the version.
    task: u64,
    /// When an agent last requested it.
    last_request: Instant,
    /// When the last chunk arrived.
    last_progress: Instant,
    /// Whether the last request to the origin failed.
    origin_lost: bool,
}

/// A cache of versions for the agents of a data hall.
pub struct ChunkCache {
    context: FetchContext,
    peers: Arc<dyn CachePeers>,
    server: ChunkServer,
    /// The versions that are fetched or held.
    versions: Mutex<HashMap<CacheKey, CacheEntry>>,
    /// How versions are retained; `None` drops an incomplete version once a
    /// newer one is requested.
    retention: Option<Retention>,
    /// The version of each model that is fetched first.
    choices: Mutex<HashMap<Arc<str>, watch::Sender<Option<u64>>>>,
    /// Notified when another version is requested.
    requested: Notify,
    /// The number of tasks started.
    tasks: AtomicU64,
    /// When a request to the origin last failed, unless one has succeeded
    /// since.
    origin_failed: Mutex<Option<Instant>>,
    /// How often another version was chosen while one was being fetched.
    switches: AtomicU64,
}

impl ChunkCache {
    /// Returns an empty cache that sends over a rate-limited link. With a
    /// `retention` its holdings have to be [`Holdings::retaining`].
    ///
    /// [`Holdings::retaining`]: crate::Holdings::retaining
    pub fn new(
        context: FetchContext,
        peers: Arc<dyn CachePeers>,
        uplink: Shaper,
        retention: Option<Retention>,
    ) -> Arc<ChunkCache> {
        let holdings = Arc::clone(&context.holdings);
        Arc::new(ChunkCache {
            server: ChunkServer::new(holdings, None, uplink),
            context,
            peers,
            versions: Mutex::default(),
            retention,
            choices: Mutex::default(),
            requested: Notify::new(),
            tasks: AtomicU64::new(0),
            origin_failed: Mutex::default(),
            switches: AtomicU64::new(0),
        })
    }

    /// Answers a request for chunks, a manifest or the state of a version.
    /// Returns `None` for any other request.
    ///
    /// # Errors
    ///
    /// [`stairhinge::Code::NoSource`] if a manifest does not arrive in time,
    /// or the error of reading the request.
    pub async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Option<Result<Response<Body>, Error>> {
        let path = request.uri().path().to_string();
        if path == ANY && request.method() == Method::POST {
            return Some(self.any(request).await);
        }
        let query = request.uri().query().unwrap_or_default();
        if let Some((model, version)) = version_path(&path, STANDING) {
            if query == DRAW {
                self.record_request(&model, version, Duration::ZERO);
            }
            return Some(self.status(&model, version));
        }
        let (model, version) = ChunkServer::manifest_path(&path)?;
        self.record_request(&model, version, query_duration(query, "idle_ms"));
        Some(self.server.answer_manifest(&model, version, query).await)
    }

    fn status(
        &self,
        model: &str,
        version: u64,
    ) -> Result<Response<Body>, Error> {
        let holdings = &self.context.holdings;
        let mut status = CacheStatus::default();
        if let Some(manifest) = holdings.manifest(model, version) {
            status.held = holdings.count(&manifest);
            status.chunks = manifest.digests.len();
            if status.chunks <= MAX_STATUS_BITS {
                status.bits = holdings.bits(&manifest);
            }
        }
        if let Some(entry) = self.lock().get(&(Arc::from(model), version)) {
            status.quiet_ms = entry.last_progress.elapsed().as_millis() as u64;
            status.origin_lost = entry.origin_lost;
        }
        if self.retention.is_some() {
            status.origin_lost = self.is_origin_lost();
        }
        let json = serde_json::to_string(&status)
            .map_err(|e| Error::new(Code::Internal, e))?;
        Ok(answer(StatusCode::OK, json))
    }

    async fn any(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Error> {
        let any_request = ChunkServer::read_request(request).await?;
        let idle = Duration::from_millis(any_request.idle_ms);
        self.record_request(&any_request.model, any_request.version, idle);
        self.server.answer_any(&any_request).await
    }

    /// Records that an agent requested a version `idle` ago, and starts to
    /// fetch it unless `idle` exceeds [`FETCH_IDLE_TIMEOUT`].
    fn record_request(
        self: &Arc<Self>,
        model: &str,
        version: u64,
        idle: Duration,
    ) {
        let Some(at) = Instant::now().checked_sub(idle) else { return };
        let key: CacheKey = (Arc::from(model), version);
        let mut versions = self.lock();
        if let Some(entry) = versions.get_mut(&key) {
            entry.last_request = entry.last_request.max(at);
            return;
        }
        if idle > FETCH_IDLE_TIMEOUT || self.has_expired(&key) {
            return;
        }
        let task = self.tasks.fetch_add(1, Ordering::Relaxed);
        let entry = CacheEntry {
            task,
            last_request: at,
            last_progress: Instant::now(),
            origin_lost: false,
        };
        versions.insert(key.clone(), entry);
        if self.retention.is_some() {
            drop(versions);
            self.start_choice(&key);
            tokio::spawn(Arc::clone(self).hold_retained(key, task));
            return;
        }
        while versions.len() > MAX_VERSIONS {
            let oldest =
                versions.iter().min_by_key(|(_, entry)| entry.last_request);
            let Some((oldest, _)) = oldest else { break };
            let oldest = oldest.clone();
            versions.remove(&oldest);
            self.context.holdings.remove_version(&oldest.0, oldest.1);
        }
        drop(versions);
        tokio::spawn(Arc::clone(self).hold(key));
    }

    /// Fetches a version and holds it until it is no longer requested or is
    /// superseded.
    async fn hold(self: Arc<Self>, key: CacheKey) {
        tokio::select! {
            () = self.fetch_while_requested(&key) => {}
            () = self.until_idle(&key, RETENTION) => {}
            () = self.until_superseded(&key) => {}
        }
        self.lock().remove(&key);
        self.context.holdings.remove_version(&key.0, key.1);
    }

    /// Fetches a version while it is requested. Returns once it is complete
    /// and has not been requested for [`RETENTION`].
    ///
    /// Chunks are kept while the fetch is suspended, since agents use other
    /// entries while theirs is unreachable and return afterwards. When entries
    /// dropped the chunks at once, the origin sent 2.5 copies of a version.
    async fn fetch_while_requested(&self, key: &CacheKey) {
        loop {
            tokio::select! {
                () = self.fetch_version(key) => break,
                () = self.until_idle(key, FETCH_IDLE_TIMEOUT) => {}
            }
            self.until_requested(key).await;
        }
        self.until_idle(key, RETENTION).await;
    }

    async fn fetch_version(&self, key: &CacheKey) {
        if self.retention.is_none() {
            self.wait_for_older_version(key).await;
        }
        let (model, version) = (&key.0, key.1);
        let may_be_held = self.may_be_partly_held(key);
        let owner = CacheOwner { cache: self, key, may_be_held };
        loop {
            let found =
                find_manifest(&self.context, &owner, model, version).await;
            let manifest = match found {
                Ok(manifest) => manifest,
                Err(error) => {
                    log_failure(&self.context.facts, "cache", &error);
                    tokio::time::sleep(GONE_RETRY_DELAY).await;
                    continue;
                }
            };
            let fetched = fetch(&self.context, &owner, &manifest).await;
            let Err(error) = fetched else { return };
            log_failure(&self.context.facts, "cache", &error);
            self.context.holdings.remove_version(model, version);
        }
    }

    /// Waits until a version has not been requested for a time.
    async fn until_idle(&self, key: &CacheKey, timeout: Duration) {
        loop {
            tokio::time::sleep(REQUEST_CHECK_INTERVAL).await;
            let at = self.last_request(key);
            if at.is_none_or(|at| at.elapsed() > timeout) {
                return;
            }
        }
    }

    /// Returns when an agent last requested a version, if it is held. With
    /// retention a request for another version of the model counts as well,
    /// since an older version may be completed first.
    fn last_request(&self, key: &CacheKey) -> Option<Instant> {
        let versions = self.lock();
        let own = versions.get(key)?.last_request;
        if self.retention.is_none() {
            return Some(own);
        }
        let of_model = versions.iter().filter(|(other, _)| other.0 == key.0);
        of_model.map(|(_, entry)| entry.last_request).max()
    }

    /// Waits until a version is requested again.
    async fn until_requested(&self, key: &CacheKey) {
        loop {
            let at = self.last_request(key);
            if at.is_some_and(|at| at.elapsed() < FETCH_IDLE_TIMEOUT) {
                return;
            }
            tokio::time::sleep(REQUEST_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether agents may already hold some chunks of a version.
    fn may_be_partly_held(&self, key: &CacheKey) -> bool {
        let facts = &self.context.facts;
        let view = facts.view();
        let targeted = view.targets.targeted_at(&key.0, key.1);
        targeted.is_none_or(|at| facts.now().since(at) > PARTIAL_HOLDERS_AGE)
    }

    /// Waits up to [`OLDER_VERSION_WAIT`] for an older version that is almost
    /// complete: it completes soon if it has the origin's link to itself.
    async fn wait_for_older_version(&self, key: &CacheKey) {
        let deadline = Instant::now() + OLDER_VERSION_WAIT;
        while Instant::now() < deadline {
            let versions: Vec<CacheKey> =
                self.lock().keys().cloned().collect();
            let is_completing = versions.iter().any(|other| {
                let fraction = self.held_fraction(other);
                let older = other.0 == key.0 && other.1 < key.1;
                older && (COMPLETION_THRESHOLD..1.0).contains(&fraction)
            });
            if !is_completing {
                return;
            }
            tokio::time::sleep(COMPLETION_CHECK_INTERVAL).await;
        }
    }

    /// Waits until a newer version is requested while less than
    /// [`COMPLETION_THRESHOLD`] of this one is held: both fetches would share
    /// the origin's link. A version that replicas of the hall serve is fetched
    /// from their agents, so it isn't superseded.
    async fn until_superseded(&self, key: &CacheKey) {
        loop {
            tokio::time::sleep(REQUEST_CHECK_INTERVAL).await;
            if !self.peers.holders(&key.0, key.1).is_empty() {
                continue;
            }
            let newer = self
                .lock()
                .keys()
                .any(|(model, version)| *model == key.0 && *version > key.1);
            if newer && self.held_fraction(key) < COMPLETION_THRESHOLD {
                return;
            }
        }
    }

    /// Returns the fraction of a version that is held, from 0 to 1.
    fn held_fraction(&self, key: &CacheKey) -> f64 {
        let holdings = &self.context.holdings;
        let Some(manifest) = holdings.manifest(&key.0, key.1) else {
            return 0.0;
        };
        let held = holdings.count(&manifest) as f64;
        held / manifest.digests.len().max(1) as f64
    }

    fn update(&self, key: &CacheKey, update: impl FnOnce(&mut CacheEntry)) {
        if let Some(entry) = self.lock().get_mut(key) {
            update(entry);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CacheKey, CacheEntry>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
