//! The shared state of an agent.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use stairhinge::request::{AttemptTable, GuardHistory, KeyTable};
use stairhinge::serving::{LoadedTarget, PauseDetector};
use stairhinge::weights::{ChunkStore, Manifest};
use stairhinge::{Digest, Time};
use stairhinge_shell::node::Node;
use stairhinge_shell::{Shaper, Shutdown};
use tokio::sync::{Notify, watch};

use crate::Settings;
use crate::engine_exit::EngineActivity;
use crate::fetch::FetchStats;
use crate::request_counter::RequestCounter;

/// The progress of the latest fetch, as shown by `explain`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) version: Arc<str>,
    pub(crate) lines: Vec<String>,
    pub(crate) stats: FetchStats,
}

/// The rate limits of an instance's link for sending and receiving. Both are
/// the same shaper if the two directions share the link's rate.
#[derive(Clone, Debug)]
pub(crate) struct Links {
    pub(crate) upload: Shaper,
    pub(crate) download: Shaper,
}

/// The shared state of an agent.
#[derive(Debug)]
pub struct Agent {
    pub(crate) node: Arc<Node>,
    pub(crate) settings: Settings,
    pub(crate) start: Time,
    pub(crate) store: Mutex<ChunkStore<Bytes>>,
    /// Incremented for each chunk that is stored.
    pub(crate) arrived: watch::Sender<u64>,
    pub(crate) attempts: Mutex<AttemptTable>,
    pub(crate) keys: Mutex<KeyTable>,
    pub(crate) guard_history: Mutex<GuardHistory>,
    /// The loaded target that requests are admitted for; `None` closes the
    /// gate.
    pub(crate) loaded: ArcSwapOption<LoadedTarget>,
    /// The highest revision that the engine has confirmed; see
    /// `Orders::inform`.
    pub(crate) engine_revision: AtomicU64,
    pub(crate) in_progress: RequestCounter,
    pub(crate) activity: EngineActivity,
    pub(crate) links: Links,
    pub(crate) progress: Mutex<Progress>,
    /// Wakes the main loop.
    pub(crate) wake: Notify,
    pub(crate) pause_detector: Mutex<PauseDetector>,
}

impl Agent {
    /// Returns the state of an agent with an empty chunk store.
    pub fn new(node: Arc<Node>, settings: &Settings) -> Arc<Agent> {
        let values = &settings.values;
        let rate = values.number("link_kb_s") * 1_000;
        let upload = Shaper::new(rate);
        let shared = values.flag("link_shared");
        let download = if shared { upload.clone() } else { Shaper::new(rate) };
        let max_keys = values.number("guard_keys") as usize;
        let keep = values.millis("keep_ms");
        let start = node.now();
        let attempts = AttemptTable::new(node.incarnation(), keep, max_keys);
        Arc::new(Agent {
            start,
            store: Mutex::new(ChunkStore::new(
                values.number("store_mb") << 20,
            )),
            arrived: watch::channel(0).0,
            attempts: Mutex::new(attempts),
            // The key window is part of the declaration. Until the first
            // one is adopted, no key is granted.
            keys: Mutex::new(KeyTable::new(start, Duration::ZERO, max_keys)),
            guard_history: Mutex::default(),
            loaded: ArcSwapOption::empty(),
            engine_revision: AtomicU64::new(0),
            in_progress: RequestCounter::default(),
            activity: EngineActivity::default(),
            links: Links { upload, download },
            progress: Mutex::default(),
            wake: Notify::new(),
            pause_detector: Mutex::new(PauseDetector::new(start)),
            settings: settings.clone(),
            node,
        })
    }

    /// Returns the node, which exchanges reports and documents with peers.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Stops admitting new requests. Requests in progress continue.
    pub fn leave(&self) {
        self.node.leave();
        self.loaded.store(None);
        self.wake.notify_one();
    }

    /// Returns the signal to stop listening. It is sent after `requested` was
    /// signalled, once no request is in progress.
    pub(crate) fn stopping(
        self: &Arc<Agent>,
        requested: Shutdown,
    ) -> Shutdown {
        let (stopper, stopping) = Shutdown::new();
        let agent = Arc::clone(self);
        tokio::spawn(async move {
            requested.wait().await;
            while agent.in_progress.count() > 0 {
                agent.in_progress.idle().await;
            }
            stopper.stop();
        });
        stopping
    }

    /// Ticks the pause detector until the process stops.
    pub(crate) async fn run_pause_detector(self: Arc<Agent>, end: Shutdown) {
        let mut timer = tokio::time::interval(PauseDetector::TICK_INTERVAL);
        loop {
            tokio::select! {
                _ = timer.tick() => {}
                () = end.wait() => return,
            }
            let now = self.node.now();
            lock(&self.pause_detector).tick(now);
        }
    }

    /// Returns whether this process was paused and has not loaded the assigned
    /// version since. The version that it holds may be outdated.
    pub(crate) fn is_behind(&self, held: &LoadedTarget) -> bool {
        let now = self.node.now();
        let mut detector = lock(&self.pause_detector);
        if !detector.was_paused(now) {
            return false;
        }
        let view = self.node.view();
        let target = held.target();
        let fleet = view.fleet.as_ref();
        let model = fleet.and_then(|f| f.model(target.model()));
        let wanted = model.map(|m| m.served_version().name());
        if wanted == Some(target.version()) {
            detector.caught_up(now);
            return false;
        }
        true
    }

    pub(crate) fn store(&self) -> MutexGuard<'_, ChunkStore<Bytes>> {
        lock(&self.store)
    }

    pub(crate) fn attempts(&self) -> MutexGuard<'_, AttemptTable> {
        lock(&self.attempts)
    }

    pub(crate) fn keys(&self) -> MutexGuard<'_, KeyTable> {
        lock(&self.keys)
    }

    pub(crate) fn guard_history(&self) -> MutexGuard<'_, GuardHistory> {
        lock(&self.guard_history)
    }

    pub(crate) fn progress(&self) -> MutexGuard<'_, Progress> {
        lock(&self.progress)
    }

    /// Verifies and stores a chunk.
    pub(crate) fn store_chunk(
        &self,
        digest: Digest,
        bytes: Bytes,
    ) -> Result<(), stairhinge::Error> {
        self.store().put(digest, bytes)?;
        self.arrived.send_modify(|n| *n += 1);
        Ok(())
    }

    /// Returns the named manifests if all of them are in the store.
    pub(crate) fn manifests(&self, names: &[Digest]) -> Option<Vec<Manifest>> {
        let store = self.store();
        let mut manifests = Vec::new();
        for name in names {
            let bytes = store.get(name)?;
            manifests.push(Manifest::parse(&bytes, *name).ok()?);
        }
        Some(manifests)
    }

    /// Returns the address at which the agent serves its chunks.
    pub(crate) fn http_addr(&self) -> SocketAddr {
        self.settings.values.address("http")
    }
}

/// Locks a mutex even if it is poisoned: a panic while one of these locks is
/// held leaves a consistent value.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
