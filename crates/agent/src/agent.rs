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
use crate::fetch::Drawn;
use crate::tally::Tally;

/// Where the chunks of the newest set came from, for `explain`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    pub(crate) version: Arc<str>,
    pub(crate) lines: Vec<String>,
    pub(crate) drawn: Drawn,
}

/// The links of an instance, up and down; one and the same if shared.
#[derive(Clone, Debug)]
pub(crate) struct Links {
    pub(crate) up: Shaper,
    pub(crate) down: Shaper,
}

/// The shared state of an agent.
#[derive(Debug)]
pub struct Agent {
    pub(crate) node: Arc<Node>,
    pub(crate) settings: Settings,
    pub(crate) start: Time,
    pub(crate) store: Mutex<ChunkStore<Bytes>>,
    pub(crate) arrived: watch::Sender<u64>,
    pub(crate) attempts: Mutex<AttemptTable>,
    pub(crate) keys: Mutex<KeyTable>,
    pub(crate) rings: Mutex<GuardHistory>,
    pub(crate) gate: ArcSwapOption<LoadedTarget>,
    /// The revision that the engine has been told of; see `Orders::tell`.
    pub(crate) told: AtomicU64,
    pub(crate) tally: Tally,
    pub(crate) links: Links,
    pub(crate) progress: Mutex<Progress>,
    pub(crate) nudge: Notify,
    pub(crate) pause: Mutex<PauseDetector>,
}

impl Agent {
    /// Returns the state of an agent that holds nothing.
    pub fn new(node: Arc<Node>, settings: &Settings) -> Arc<Agent> {
        let values = &settings.values;
        let rate = values.number("link_kb_s") * 1_000;
        let up = Shaper::new(rate);
        let shared = values.flag("link_shared");
        let down = if shared { up.clone() } else { Shaper::new(rate) };
        let most = values.number("guard_keys") as usize;
        let keep = values.millis("keep_ms");
        let start = node.now();
        let attempts = AttemptTable::new(node.incarnation(), keep, most);
        Arc::new(Agent {
            start,
            store: Mutex::new(ChunkStore::new(
                values.number("store_mb") << 20,
            )),
            arrived: watch::channel(0).0,
            attempts: Mutex::new(attempts),
            // The window comes with the first declaration; until then no
            // key is granted at all.
            keys: Mutex::new(KeyTable::new(start, Duration::ZERO, most)),
            rings: Mutex::default(),
            gate: ArcSwapOption::empty(),
            told: AtomicU64::new(0),
            tally: Tally::default(),
            links: Links { up, down },
            progress: Mutex::default(),
            nudge: Notify::new(),
            pause: Mutex::new(PauseDetector::new(start)),
            settings: settings.clone(),
            node,
        })
    }

    /// Returns what the agent tells others.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Has the agent take no new work; what is in progress goes on.
    pub fn leave(&self) {
        self.node.leave();
        self.gate.store(None);
        self.nudge.notify_one();
    }

    /// Returns the signal to stop listening: told to stop, by its platform or
    /// by an operator's drain, and nothing in progress.
    pub(crate) fn stopping(self: &Arc<Agent>, told: Shutdown) -> Shutdown {
        let (stopper, stopping) = Shutdown::new();
        let agent = Arc::clone(self);
        tokio::spawn(async move {
            told.wait().await;
            while agent.tally.count() > 0 {
                agent.tally.idle().await;
            }
            stopper.stop();
        });
        stopping
    }

    /// Beats for the guard that notices pauses, until the process stops.
    pub(crate) async fn beat(self: Arc<Agent>, end: Shutdown) {
        let mut timer = tokio::time::interval(PauseDetector::TICK_INTERVAL);
        loop {
            tokio::select! {
                _ = timer.tick() => {}
                () = end.wait() => return,
            }
            let now = self.node.now();
            lock(&self.pause).tick(now);
        }
    }

    /// Returns whether this process stood still and has not loaded what is
    /// wanted by now: what it holds may be long outdated elsewhere.
    pub(crate) fn is_behind(&self, held: &LoadedTarget) -> bool {
        let now = self.node.now();
        let mut pause = lock(&self.pause);
        if !pause.was_paused(now) {
            return false;
        }
        let view = self.node.view();
        let target = held.target();
        let fleet = view.fleet.as_ref();
        let model = fleet.and_then(|f| f.model(target.model()));
        let wanted = model.map(|m| m.served_version().name());
        if wanted == Some(target.version()) {
            pause.caught_up(now);
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

    pub(crate) fn rings(&self) -> MutexGuard<'_, GuardHistory> {
        lock(&self.rings)
    }

    pub(crate) fn progress(&self) -> MutexGuard<'_, Progress> {
        lock(&self.progress)
    }

    /// Keeps a chunk that has been verified on the way in.
    pub(crate) fn keep(
        &self,
        digest: Digest,
        bytes: Bytes,
    ) -> Result<(), stairhinge::Error> {
        self.store().put(digest, bytes)?;
        self.arrived.send_modify(|n| *n += 1);
        Ok(())
    }

    /// Returns the manifests of a target, if all are here.
    pub(crate) fn manifests(&self, names: &[Digest]) -> Option<Vec<Manifest>> {
        let store = self.store();
        let mut manifests = Vec::new();
        for name in names {
            let bytes = store.get(name)?;
            manifests.push(Manifest::parse(&bytes, *name).ok()?);
        }
        Some(manifests)
    }

    /// Returns where the agent's own chunks can be read on this instance.
    pub(crate) fn http(&self) -> SocketAddr {
        self.settings.values.address("http")
    }
}

/// A panic while holding one of these locks leaves whole values.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
