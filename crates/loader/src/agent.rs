//! The state shared by the tasks of an agent, and its startup.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use stairhinge::direct::Engine;
use stairhinge::weights::LinkShare;
use stairhinge::{Code, Error, Time};
use stairhinge_chunks::{
    ChunkServer, ChunkStage, FetchContext, Holdings, WeightOrigin,
};
use stairhinge_gateway::{EngineReport, Provenance};
use stairhinge_shell::decisions::{Decision, DecisionLog};
use stairhinge_shell::directory::{
    Collection, CountedDirectory, Directory, Facts, Follow, HallReader, News,
    Share, Sharing, follow,
};
use stairhinge_shell::http::{Client, Limits, serve};
use stairhinge_shell::{
    LiveSettings, SettingsWatch, Shaper, Shutdown, report_start,
};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

use crate::engine::{EngineState, StagedEngine};
use crate::hall_entries::{HallEntries, UNLISTED_GRACE};
use crate::load_history::LoadHistory;
use crate::read_routes::read_routes;
use crate::reconcile::reconcile;
use crate::serve::AgentServer;
use crate::settings::AgentSettings;
use crate::start;
use crate::subscribers::Subscribers;
use crate::watch_engine::watch_engine;
use crate::watch_link::watch_link;

/// The maximum size of a request's head and of its body, in bytes.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// The maximum number of open connections to an agent.
const MAX_CONNECTIONS: usize = 512;

/// The maximum time to wait for the head of a request, and for its body.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The state shared by the tasks of an agent.
pub(crate) struct Agent {
    /// The settings at startup, which include its identity and addresses.
    pub settings: AgentSettings,
    /// The current settings.
    pub live: LiveSettings<AgentSettings>,
    pub facts: Arc<Facts>,
    pub engine: Arc<dyn StagedEngine>,
    pub directory: Arc<dyn Directory>,
    pub holdings: Arc<Holdings>,
    pub client: Client,
    /// The context for fetching chunks.
    pub fetch_context: FetchContext,
    /// Limits the rate at which chunks are sent over the instance's link.
    pub uplink: Shaper,
    /// The share of the link that chunks may currently use.
    share: Mutex<LinkShare>,
    /// The newest routes revision reported by an entry, and its holder.
    pub known_news: Mutex<News>,
    /// Notified when the routes may be out of date.
    routes_suspect: Notify,
    /// The entries of all halls that subscribe to this agent's feed.
    pub subscribers: Subscribers,
    /// The entries of the agent's hall, used to read published state.
    pub entries: Arc<HallEntries>,
    /// The duration of the last link probe, in milliseconds.
    pub link_ms: AtomicU32,
    /// When a chunk was last received or sent, in milliseconds of the
    /// process's clock.
    last_transfer_ms: AtomicU64,
    /// The state of the engine, or `None` while it does not answer.
    pub state: watch::Sender<Option<EngineState>>,
    /// The report sent to entries.
    pub report: watch::Sender<EngineReport>,
    /// Whether the replica must not receive new requests.
    paused: AtomicBool,
    /// The version that was last chosen among several, if versions in quick
    /// succession are kept.
    pub chosen: Mutex<Option<u64>>,
    /// What is known about the chunks that the engine has loaded.
    loads: Mutex<LoadHistory>,
    /// Whether the load that this process has found is to be repeated, since
    /// nobody can confirm it.
    reload: AtomicBool,
}

impl Agent {
    /// Returns the address at which peers know this agent.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.fetch_context.addr
    }
}

impl Agent {
    /// Notes that the origin could not be reached at the address given by the
    /// routes. Requests a new read if newer routes are known to exist.
    pub(crate) fn report_origin_failure(&self) {
        let known = self.news().revision;
        if known > self.facts.revision() {
            self.routes_suspect.notify_one();
        }
    }

    /// Waits until the address of the origin in the routes is suspect.
    pub(crate) async fn origin_suspect(&self) {
        self.routes_suspect.notified().await;
    }

    /// Returns the newest published state known to this agent. The ages of
    /// target versions are added when the news is sent.
    pub(crate) fn news(&self) -> News {
        let known =
            self.known_news.lock().unwrap_or_else(PoisonError::into_inner);
        known.clone()
    }

    /// Applies news from an entry.
    pub(crate) fn take_news(&self, news: &News) {
        self.facts.learn_targets(&news.targets);
        let mut known =
            self.known_news.lock().unwrap_or_else(PoisonError::into_inner);
        if news.revision <= known.revision {
            return;
        }
        known.revision = news.revision;
        known.holder = news.holder;
        let news = known.clone();
        drop(known);
        self.report.send_modify(|report| report.news = Some(news));
    }

    /// Queries the engine's state.
    ///
    /// # Errors
    ///
    /// [`Code::EngineLost`] if it does not answer.
    pub(crate) async fn engine_state(&self) -> Result<EngineState, Error> {
        let state = self.loaded_state().await?;
        let layers = self.engine_kind().map_or(0, |kind| kind.layers);
        Ok(state.without_partial_model(layers))
    }

    /// Queries the engine's state, which names a version also if only some of
    /// its layers are loaded.
    ///
    /// # Errors
    ///
    /// [`Code::EngineLost`] if it does not answer.
    pub(crate) async fn loaded_state(&self) -> Result<EngineState, Error> {
        let query = self.loads().begin_query(Instant::now());
        let state = self.engine.state().await?;
        self.loads().record_state(&state, query, Instant::now());
        Ok(state)
    }

    /// Stages a chunk at the engine.
    ///
    /// # Errors
    ///
    /// [`Code::EngineLost`] if it does not answer.
    pub(crate) async fn write_chunk(
        &self,
        model: &str,
        index: u32,
        bytes: Bytes,
    ) -> Result<(), Error> {
        // The write counts as failed if this future is dropped.
        let mut write = Write { agent: self, succeeded: false };
        self.loads().begin_write();
        let result = self.engine.write(model, index, bytes).await;
        write.succeeded = result.is_ok();
        result
    }

    /// Returns the published properties of the engine's service.
    pub(crate) fn engine_kind(&self) -> Option<Engine> {
        self.facts.view().engine(&self.settings.service)
    }

    /// Returns the share of the link that chunks may currently use.
    pub(crate) fn link_share(&self) -> MutexGuard<'_, LinkShare> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a chunk was received or sent.
    pub(crate) fn record_transfer(&self) {
        let now = self.facts.now().as_millis();
        self.last_transfer_ms.store(now, Ordering::Relaxed);
    }

    /// Returns the time since a chunk was last received or sent.
    pub(crate) fn idle_for(&self) -> Duration {
        let last_transfer_ms = self.last_transfer_ms.load(Ordering::Relaxed);
        self.facts.now().since(Time::from_millis(last_transfer_ms))
    }

    /// Sets whether the replica must not receive new requests.
    pub(crate) fn set_paused(&self, paused: bool) {
        if self.paused.swap(paused, Ordering::Relaxed) == paused {
            return;
        }
        // Notifies entries immediately instead of with the engine's next
        // report.
        let state = self.state.borrow().clone();
        let unverified = state.is_some_and(|state| self.is_unverified(&state));
        self.report
            .send_modify(|report| report.loading = paused || unverified);
    }

    /// Returns what is known about the chunks that the engine has loaded.
    pub(crate) fn provenance(&self, state: &EngineState) -> Provenance {
        self.loads().provenance(state)
    }

    /// Returns whether the engine has loaded a version that may include a
    /// chunk that had turned bad.
    pub(crate) fn is_unverified(&self, state: &EngineState) -> bool {
        state.version.is_some()
            && self.provenance(state) == Provenance::Unverified
    }

    /// Records whether an entry remembers that the load which this process has
    /// found was confirmed.
    pub(crate) fn record_verdict(&self, sequence: u64, confirmed: bool) {
        let state = self.state.borrow().clone();
        let Some(state) = state.filter(|s| s.sequence == sequence) else {
            return;
        };
        if self.provenance(&state) != Provenance::Inherited {
            return;
        }
        if confirmed {
            self.record_verified(&state, "an entry remembers", None);
        } else {
            self.loads().reject_inherited();
            self.log_load(&state, "rejected by an entry", None);
        }
        // Wakes the reconciliation.
        self.state.send_modify(|_| {});
    }

    /// Requests that the load which this process has found is repeated once
    /// its chunks are available.
    pub(crate) fn request_reload(&self) {
        self.reload.store(true, Ordering::Relaxed);
        // Wakes the reconciliation.
        self.state.send_modify(|_| {});
    }

    /// Returns whether the load that this process has found is to be repeated.
    pub(crate) fn needs_reload(&self, state: &EngineState) -> bool {
        self.reload.load(Ordering::Relaxed)
            && self.provenance(state) == Provenance::Inherited
    }

    /// Keeps requests from the load that this process has found, if it is to be
    /// repeated.
    pub(crate) fn begin_reload(&self) {
        if self.reload.swap(false, Ordering::Relaxed) {
            self.loads().reject_inherited();
        }
    }

    /// Records that the engine has loaded intact chunks.
    pub(crate) fn record_verified(
        &self,
        state: &EngineState,
        evidence: &'static str,
        check_age: Option<Duration>,
    ) {
        self.loads().record_verified(state.sequence);
        self.log_load(state, evidence, check_age);
    }

    /// Logs what is known about the chunks that the engine has loaded.
    pub(crate) fn log_load(
        &self,
        state: &EngineState,
        evidence: &'static str,
        check_age: Option<Duration>,
    ) {
        self.facts.log().write(&Decision::LoadJudged {
            version: state.version.unwrap_or_default(),
            sequence: state.sequence,
            evidence,
            check_ms: check_age.map(|age| age.as_millis() as u64),
        });
    }

    pub(crate) fn loads(&self) -> MutexGuard<'_, LoadHistory> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the replica must not receive new requests.
    pub(crate) fn is_paused(&self) -> bool {
        self.paused.load(Ordering::Relaxed)
    }
}

/// A write of a chunk in progress.
struct Write<'a> {
    agent: &'a Agent,
    succeeded: bool,
}

impl Drop for Write<'_> {
    fn drop(&mut self) {
        self.agent.loads().end_write(self.succeeded);
    }
}

/// Runs an agent until shutdown. With a `watch` it applies changed settings
/// while it runs.
///
/// # Errors
///
/// [`Code::CannotBind`] if it cannot listen on its address.
pub async fn run(
    settings: AgentSettings,
    directory: Arc<dyn Directory>,
    engine: Arc<dyn StagedEngine>,
    origin: Arc<dyn WeightOrigin>,
    log: DecisionLog,
    shutdown: Shutdown,
    watch: Option<SettingsWatch>,
) -> Result<(), Error> {
    log.write(&Decision::Start {
        role: "agent",
        instance: &settings.instance,
        hall: &settings.hall,
        engine: Some(settings.engine),
    });
    let counted = CountedDirectory::new(directory, log.clone());
    let directory: Arc<dyn Directory> = Arc::new(counted);
    let addr = settings.listen;
    let listener = TcpListener::bind(addr).await.map_err(|e| {
        Error::new(Code::CannotBind, format_args!("{addr}: {e}"))
    })?;
    let facts = Arc::new(Facts::new(log.clone(), settings.presumed_age()));
    let client = Client::new();
    let subscribers = Subscribers::default();
    let state = watch::Sender::new(None);
    let own = SocketAddr::new(settings.engine.ip(), settings.listen.port());
    let entries = Arc::new(HallEntries::new(
        Arc::clone(&facts),
        subscribers.clone(),
        Arc::clone(&settings.hall),
        own,
        client.clone(),
        state.subscribe(),
        settings.first_start,
    ));
    tokio::spawn(follow(
        Arc::clone(&directory),
        Arc::clone(&facts),
        Follow {
            collection: Collection::Targets,
            wait: settings.target_watch(),
            pace: Duration::from_millis(100),
            unlisted_grace: UNLISTED_GRACE,
            burst_read_interval: Duration::ZERO,
            settling: Duration::ZERO,
            first_start: false,
            sharing: Some(Sharing {
                share: Arc::new(Share::new(Arc::clone(&facts))),
                reader: Arc::clone(&entries) as Arc<dyn HallReader>,
                bound: settings.version_bound(),
                watch: Some(settings.target_watch()),
            }),
        },
        shutdown.clone(),
    ));
    let live = LiveSettings::new(settings.clone());
    if let Some(watch) = watch {
        tokio::spawn(live.clone().follow(watch, log.clone()));
    }
    let uplink = Shaper::new(settings.chunk_rate());
    let holdings = settings.versions.map_or_else(Holdings::default, |v| {
        Holdings::retaining(v.memory_bytes())
    });
    let fetch_context = FetchContext {
        facts: Arc::clone(&facts),
        holdings: Arc::new(holdings),
        client,
        origin,
        addr: own,
        hall: Arc::clone(&settings.hall),
    };
    let agent = Arc::new(Agent {
        settings,
        live: live.clone(),
        facts,
        engine,
        directory,
        holdings: Arc::clone(&fetch_context.holdings),
        client: fetch_context.client.clone(),
        fetch_context,
        uplink,
        share: Mutex::default(),
        known_news: Mutex::default(),
        routes_suspect: Notify::new(),
        subscribers,
        entries,
        link_ms: AtomicU32::new(0),
        last_transfer_ms: AtomicU64::new(0),
        state,
        report: watch::Sender::new(EngineReport::default()),
        paused: AtomicBool::new(false),
        chosen: Mutex::default(),
        loads: Mutex::default(),
        reload: AtomicBool::new(false),
    });
    tokio::spawn(watch_engine(Arc::clone(&agent)));
    tokio::spawn(read_routes(Arc::clone(&agent)));
    tokio::spawn(watch_link(Arc::clone(&agent)));
    tokio::spawn(reconcile(Arc::clone(&agent)));
    let starting = Arc::clone(&agent);
    tokio::spawn(report_start(log.clone(), move || {
        start::obstacle(&starting)
    }));
    let limits = Limits {
        head: MAX_REQUEST_BYTES,
        body: MAX_REQUEST_BYTES,
        head_time: IDLE_TIMEOUT,
        body_time: IDLE_TIMEOUT,
        connections: MAX_CONNECTIONS,
        linger: Duration::ZERO,
    };
    let stopping = shutdown.clone();
    let chunks = ChunkServer::new(
        Arc::clone(&agent.holdings),
        Some(Arc::clone(&agent.engine) as Arc<dyn ChunkStage>),
        agent.uplink.clone(),
    );
    let stopping_server = shutdown.clone();
    let server =
        Arc::new(AgentServer { agent, chunks, stopping: stopping_server });
    tokio::select! {
        () = serve(listener, limits, shutdown, server) => {}
        () = async {
            stopping.wait().await;
            let grace_ms = live.get().grace_s * 1000;
            log.write(&Decision::Stop { grace_ms });
            // Peers continue interrupted transfers from other sources, and no
            // answers to callers pass through an agent.
            tokio::time::sleep(Duration::from_millis(grace_ms / 8)).await;
        } => {}
    }
    log.flush();
    Ok(())
}
