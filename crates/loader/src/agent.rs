//! Running an agent.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stairhinge::direct::Engine;
use stairhinge::weights::LinkShare;
use stairhinge::{Code, Error, Time};
use stairhinge_chunks::{
    ChunkServer, ChunkStage, Drawing, Holdings, WeightOrigin,
};
use stairhinge_gateway::EngineReport;
use stairhinge_shell::decisions::{Decision, DecisionLog};
use stairhinge_shell::directory::{
    Collection, CountedDirectory, Directory, Facts, Follow, HallReader, News,
    Share, Sharing, follow,
};
use stairhinge_shell::http::{Client, Limits, serve};
use stairhinge_shell::{LiveSettings, SettingsWatch, Shaper, Shutdown};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

use crate::drive::drive;
use crate::engine::{EngineState, StagedEngine};
use crate::hall_entries::HallEntries;
use crate::listeners::Listeners;
use crate::read_routes::read_routes;
use crate::serve::AgentServer;
use crate::settings::AgentSettings;
use crate::watch_engine::watch_engine;
use crate::watch_link::watch_link;

/// The largest request that an agent takes, in bytes.
const MOST_REQUEST: usize = 64 << 10;

/// The most connections to an agent.
const MOST_CONNECTIONS: usize = 512;

/// How long a watch of the versions named waits at the platform. Longer than
/// the history that the platform keeps, 20 s, and a version would be found by
/// a list, which tells its naming's time no better than since the last answer:
/// replicas then leave their version as if its bound were over.
const WATCH: Duration = Duration::from_millis(10_000);

/// How long connections to an agent may rest.
const IDLE: Duration = Duration::from_secs(30);

/// What the parts of an agent share.
pub(crate) struct Agent {
    /// The settings of its start: who it is and whom it serves.
    pub settings: AgentSettings,
    /// The settings in force.
    pub live: LiveSettings<AgentSettings>,
    pub facts: Arc<Facts>,
    pub engine: Arc<dyn StagedEngine>,
    pub directory: Arc<dyn Directory>,
    pub holdings: Arc<Holdings>,
    pub client: Client,
    /// What it draws chunks with.
    pub drawing: Drawing,
    /// What chunks may take of the instance's link.
    pub uplink: Shaper,
    /// The part of the link that chunks may take now.
    share: Mutex<LinkShare>,
    /// The newest routes that an entry has told of.
    pub told: Mutex<News>,
    /// Told when the routes may be out of date.
    routes_doubted: Notify,
    /// The entries that listen, of any hall.
    pub listeners: Listeners,
    /// Those of the own hall, as asked for what is published.
    pub entries: Arc<HallEntries>,
    /// How long the newest probe of the link took, in milliseconds.
    pub link_ms: AtomicU32,
    /// When a chunk last came or went, in the process's time.
    moved: AtomicU64,
    /// How the engine stands; `None` while it does not answer.
    pub state: watch::Sender<Option<EngineState>>,
    /// What entries are told.
    pub report: watch::Sender<EngineReport>,
    /// Whether the replica is to get nothing new.
    paused: AtomicBool,
}

impl Agent {
    /// Returns the address at which peers know this agent.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.drawing.addr
    }
}

impl Agent {
    /// Takes note that the origin could not be reached where the routes say
    /// that it is.
    pub(crate) fn doubt_origin(&self) {
        let told = self.news().revision;
        if told > self.facts.revision() {
            self.routes_doubted.notify_one();
        }
    }

    /// Ends when the origin is doubted to be where the routes say.
    pub(crate) async fn origin_doubted(&self) {
        self.routes_doubted.notified().await;
    }

    /// Returns the newest that this agent knows to be published. Ages of
    /// versions are added as they are sent.
    pub(crate) fn news(&self) -> News {
        let told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        told.clone()
    }

    /// Takes in what an entry tells.
    pub(crate) fn take_news(&self, news: &News) {
        self.facts.learn_targets(&news.targets);
        let mut told =
            self.told.lock().unwrap_or_else(PoisonError::into_inner);
        if news.revision <= told.revision {
            return;
        }
        told.revision = news.revision;
        told.holder = news.holder;
        let news = told.clone();
        drop(told);
        self.report.send_modify(|report| report.news = Some(news));
    }

    /// Asks the engine how it stands.
    ///
    /// # Errors
    ///
    /// [`Code::EngineLost`] if it does not answer.
    pub(crate) async fn engine_state(&self) -> Result<EngineState, Error> {
        let state = self.engine.state().await?;
        let layers = self.engine_kind().map_or(0, |kind| kind.layers);
        Ok(state.without_partial_model(layers))
    }

    /// Returns what is published of the engine's kind.
    pub(crate) fn engine_kind(&self) -> Option<Engine> {
        self.facts.view().engine(&self.settings.service)
    }

    /// Returns the part of the link that chunks may take now.
    pub(crate) fn link_share(&self) -> MutexGuard<'_, LinkShare> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a chunk came or went.
    pub(crate) fn note_moved(&self) {
        let now = self.facts.now().as_millis();
        self.moved.store(now, Ordering::Relaxed);
    }

    /// Returns how long no chunk has come or gone.
    pub(crate) fn idle_for(&self) -> Duration {
        let moved = self.moved.load(Ordering::Relaxed);
        self.facts.now().since(Time::from_millis(moved))
    }

    /// Says whether the replica is to get nothing new.
    pub(crate) fn set_paused(&self, paused: bool) {
        if self.paused.swap(paused, Ordering::Relaxed) == paused {
            return;
        }
        // Entries are told at once, not with the engine's next report.
        self.report.send_modify(|report| report.loading = paused);
    }

    /// Returns whether the replica is to get nothing new.
    pub(crate) fn is_paused(&self) -> bool {
        self.paused.load(Ordering::Relaxed)
    }
}

/// Runs an agent until it is told to stop. With a watch it takes changed
/// settings while it runs.
///
/// # Errors
///
/// [`Code::CannotBind`] if its address is taken.
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
    let listeners = Listeners::default();
    let state = watch::Sender::new(None);
    let own = SocketAddr::new(settings.engine.ip(), settings.listen.port());
    let entries = Arc::new(HallEntries::new(
        Arc::clone(&facts),
        listeners.clone(),
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
            wait: WATCH,
            pace: Duration::from_millis(100),
            doubt: Duration::from_millis(4_000),
            burst_pace: Duration::ZERO,
            settling: Duration::ZERO,
            first_start: false,
            sharing: Some(Sharing {
                share: Arc::new(Share::new(Arc::clone(&facts))),
                reader: Arc::clone(&entries) as Arc<dyn HallReader>,
                bound: settings.version_bound(),
                watch: Some(WATCH),
            }),
        },
        shutdown.clone(),
    ));
    let live = LiveSettings::new(settings.clone());
    if let Some(watch) = watch {
        tokio::spawn(live.clone().follow(watch, log.clone()));
    }
    let uplink = Shaper::new(settings.chunk_rate());
    let drawing = Drawing {
        facts: Arc::clone(&facts),
        holdings: Arc::default(),
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
        holdings: Arc::clone(&drawing.holdings),
        client: drawing.client.clone(),
        drawing,
        uplink,
        share: Mutex::default(),
        told: Mutex::default(),
        routes_doubted: Notify::new(),
        listeners,
        entries,
        link_ms: AtomicU32::new(0),
        moved: AtomicU64::new(0),
        state,
        report: watch::Sender::new(EngineReport::default()),
        paused: AtomicBool::new(false),
    });
    tokio::spawn(watch_engine(Arc::clone(&agent)));
    tokio::spawn(read_routes(Arc::clone(&agent)));
    tokio::spawn(watch_link(Arc::clone(&agent)));
    tokio::spawn(drive(Arc::clone(&agent)));
    let limits = Limits {
        head: MOST_REQUEST,
        body: MOST_REQUEST,
        head_time: IDLE,
        body_time: IDLE,
        connections: MOST_CONNECTIONS,
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
            // Transfers are taken up elsewhere; nobody's answer passes here.
            tokio::time::sleep(Duration::from_millis(grace_ms / 8)).await;
        } => {}
    }
    log.flush();
    Ok(())
}
