//! The main function of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use stairhinge::{Code, Error};
use stairhinge_chunks::{
    ChunkCache, FetchContext, Holdings, Retention, WeightOrigin,
};
use stairhinge_shell::decisions::{Decision, DecisionLog};
use stairhinge_shell::directory::{
    Collection, CountedDirectory, Directory, Facts, Follow, HallReader, Share,
    Sharing, follow,
};
use stairhinge_shell::http::{Client, Limits, serve};
use stairhinge_shell::{
    LiveSettings, SettingsWatch, Shaper, Shutdown, Stopper, report_start,
};
use tokio::net::TcpListener;

use crate::buffers::Buffers;
use crate::cache_site::FeedSite;
use crate::catch_up::CatchUpGate;
use crate::dialect::Dialect;
use crate::dispatch::{DispatchBounds, Dispatcher, HealthBounds};
use crate::feed::{FeedConfig, follow_agents};
use crate::forward::Forwarder;
use crate::hall_reader::HallReaders;
use crate::health_gossip::HealthGossip;
use crate::metrics::{EntryMetrics, MetricsHandler};
use crate::news::{PeerHandler, RevisionGossip};
use crate::peer_list::PeerList;
use crate::peer_socket::PeerSocket;
use crate::placing::HallPlacing;
use crate::poison::{PoisonGossip, PoisonWatch};
use crate::ready::ReadinessHandler;
use crate::settings::EntrySettings;
use crate::start::StartState;

/// The interval at which idle connections are closed and gauges updated.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);

/// The time within which load balancers detect that an entry is not ready.
const BALANCER_DETECTION: Duration = Duration::from_millis(3_000);

/// The maximum number of connections of agents and other entries: enough for
/// a hall of 221 agents, each with one or two pending questions, and the
/// entries of the fleet.
const PEER_CONNECTIONS: usize = 640;

/// The size of the kernel's send buffer for a caller, in bytes; the kernel
/// doubles it. At a round trip of 10 ms it carries 50 Mbit/s.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// The part of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// Runs an entry until shutdown is requested and its requests have ended, or
/// the grace period is over. If `watch` is given, changed settings are applied
/// at runtime.
///
/// # Errors
///
/// [`Code::CannotBind`] if an address is in use.
pub async fn run(
    settings: EntrySettings,
    directory: Arc<dyn Directory>,
    dialect: Arc<dyn Dialect>,
    origin: Arc<dyn WeightOrigin>,
    log: DecisionLog,
    shutdown: Shutdown,
    watch: Option<SettingsWatch>,
) -> Result<(), Error> {
    log.write(&Decision::Start {
        role: "entry",
        instance: &settings.instance,
        hall: &settings.hall,
        engine: None,
    });
    let counted = Arc::new(CountedDirectory::new(directory, log.clone()));
    let directory: Arc<dyn Directory> = Arc::clone(&counted) as _;
    let listener = bind(settings.listen).await?;
    let ready = bind(settings.ready).await?;
    let facts = Arc::new(Facts::new(log.clone(), settings.presumed_age()));
    let metrics = Arc::new(EntryMetrics::new());
    let bounds = DispatchBounds {
        version: settings.version_bound(),
        evacuation: settings.evacuation_bound(),
        cold: settings.cold,
        regions: settings.regions.clone().unwrap_or_default(),
        overload: settings.overload,
        health: settings.health.map(HealthBounds::new).transpose()?,
    };
    let hall = Arc::clone(&settings.hall);
    let instance = Arc::clone(&settings.instance);
    let dispatcher =
        Dispatcher::new(Arc::clone(&facts), instance, hall, bounds);
    let port = settings.agent_port;
    let share = Arc::new(Share::new(Arc::clone(&facts)));
    let readers = settings
        .peers
        .map(|own| Arc::new(HallReaders::new(Arc::clone(&dispatcher), own)));
    for follow_plan in follow_plans(&settings, &share, readers.as_ref()) {
        tokio::spawn(follow(
            Arc::clone(&directory),
            Arc::clone(&facts),
            follow_plan,
            shutdown.clone(),
        ));
    }
    let feeds = FeedConfig {
        addr: settings.peers,
        agent_port: port,
        hall_placing: settings.hall_placing,
    };
    tokio::spawn(follow_agents(Arc::clone(&dispatcher), feeds));
    if let Some((addr, readers)) = settings.peers.zip(readers) {
        let gossip = RevisionGossip {
            readers,
            facts: Arc::clone(&facts),
            dispatcher: Arc::clone(&dispatcher),
            directory: Arc::clone(&directory),
            client: Client::new(),
            addr,
            agent_port: port,
        };
        tokio::spawn(gossip.clone().announce());
        tokio::spawn(gossip.fetch_newer());
    }
    let live = LiveSettings::new(settings.clone());
    if let Some(watch) = watch {
        tokio::spawn(live.clone().follow(watch, log.clone()));
    }
    let catch_up = Arc::new(CatchUpGate::new(
        Arc::clone(&facts),
        settings.peers.is_some(),
        settings.first_start,
    ));
    let start = StartState {
        facts: Arc::clone(&facts),
        catch_up: Arc::clone(&catch_up),
    };
    let starting = start.clone();
    tokio::spawn(report_start(log.clone(), move || starting.obstacle()));
    let poison =
        Arc::new(PoisonWatch::new(Arc::clone(&facts), Arc::clone(&catch_up)));
    let placing = start_placing(&settings, &dispatcher, &poison).await?;
    tokio::spawn(Arc::clone(&placing).run());
    let body_time = settings.buffers.unwrap_or_default().body_time();
    let buffers = settings.buffer_bounds()?.map(|bounds| {
        let (facts, metrics) = (Arc::clone(&facts), Arc::clone(&metrics));
        Buffers::new(bounds, body_time, facts, metrics)
    });
    if buffers.is_some() {
        limit_send_buffer(&listener);
    }
    let forwarder = Forwarder::new(
        live.clone(),
        Arc::clone(&dispatcher),
        placing,
        poison,
        dialect,
        Arc::clone(&metrics),
        shutdown.clone(),
    );
    let forwarder = Arc::new(forwarder.with_buffers(buffers));
    let peer_handler = settings.peers.map(|addr| {
        (
            addr,
            PeerHandler {
                share: Arc::clone(&share),
                cache: chunk_cache(&settings, addr, &dispatcher, origin),
            },
        )
    });
    let cache = peer_handler.as_ref().map(|(_, h)| Arc::clone(&h.cache));
    tokio::spawn(keep_house(Arc::clone(&forwarder), counted, cache));
    // Dropping the stopper stops the side listeners, so it is held until the
    // end.
    let _side_stopper = serve_side_listeners(
        &settings,
        ready,
        peer_handler,
        &metrics,
        start,
        &shutdown,
    )
    .await?;
    let stopping = shutdown.clone();
    let ended = serve(listener, limits(&settings), shutdown, forwarder);
    tokio::select! {
        () = ended => {}
        () = grace_expired(&live, stopping, &log) => {}
    }
    log.flush();
    Ok(())
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr)
        .await
        .map_err(|e| Error::new(Code::CannotBind, format_args!("{addr}: {e}")))
}

/// Limits what the kernel buffers for each caller that reads slowly, which is
/// the process's memory as well. Accepted connections inherit the limit.
fn limit_send_buffer(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    if let Err(err) = socket.set_send_buffer_size(SEND_BUFFER_BYTES) {
        log::warn!("cannot limit the send buffers of callers: {err}");
    }
}

/// Returns the placing of the entry's requests, and starts its communication
/// with other entries.
async fn start_placing(
    settings: &EntrySettings,
    dispatcher: &Arc<Dispatcher>,
    poison: &Arc<PoisonWatch>,
) -> Result<Arc<HallPlacing>, Error> {
    let dispatcher = Arc::clone(dispatcher);
    let Some(own) = settings.peers else {
        return Ok(Arc::new(HallPlacing::without_peers(dispatcher)));
    };
    let wire = Arc::new(PeerSocket::bind(own).await?);
    let peers = Arc::new(PeerList::new(Arc::clone(&dispatcher), own));
    let gossip = Arc::new(PoisonGossip::new(
        Arc::clone(poison),
        Arc::clone(&dispatcher),
        Arc::clone(&wire),
        own,
        Arc::clone(&peers),
    ));
    tokio::spawn(Arc::clone(&gossip).run());
    let catch_up = Arc::clone(poison.catch_up());
    tokio::spawn(catch_up.run(Arc::clone(&gossip), Arc::clone(&peers)));
    let health = Arc::new(HealthGossip::new(
        Arc::clone(&dispatcher),
        Arc::clone(&wire),
        peers,
    ));
    tokio::spawn(Arc::clone(&health).run());
    let places = settings.hall_placing;
    let placing =
        HallPlacing::new(dispatcher, own, wire, places, gossip, health);
    Ok(Arc::new(placing))
}

fn limits(settings: &EntrySettings) -> Limits {
    let idle = Duration::from_millis(settings.idle_ms);
    let linger = BALANCER_DETECTION.min(settings.grace() / 2);
    Limits {
        head: settings.head_bytes,
        body: settings.body_bytes,
        head_time: idle,
        body_time: idle,
        connections: settings.connections,
        linger,
    }
}

/// Returns the parameters by which the entry follows each collection.
fn follow_plans(
    settings: &EntrySettings,
    share: &Arc<Share>,
    readers: Option<&Arc<HallReaders>>,
) -> [Follow; 2] {
    let plan = |collection, pace, bound| Follow {
        collection,
        wait: Duration::from_millis(4_000),
        pace,
        unlisted_grace: settings.unlisted_grace(),
        burst_read_interval: settings.burst_read_interval(),
        settling: Duration::from_millis(settings.contact_ms),
        first_start: settings.first_start,
        sharing: readers.map(|readers| Sharing {
            share: Arc::clone(share),
            reader: Arc::clone(readers) as Arc<dyn HallReader>,
            bound,
            watch: None,
        }),
    };
    let drain = Duration::from_millis(settings.drain_ms);
    let routes = Duration::from_millis(settings.routes_ms);
    let pace = Duration::from_millis(100);
    [
        plan(Collection::Declarations, pace, routes),
        plan(Collection::Replicas, drain / 3, drain),
    ]
}

/// Returns the chunk cache for the agents of the hall, which is served at
/// `addr`.
fn chunk_cache(
    settings: &EntrySettings,
    addr: SocketAddr,
    dispatcher: &Arc<Dispatcher>,
    origin: Arc<dyn WeightOrigin>,
) -> Arc<ChunkCache> {
    let holdings = settings.versions.map_or_else(Holdings::default, |v| {
        Holdings::retaining(v.memory_bytes())
    });
    let retention = settings.versions.map(|_| Retention {
        version_bound: settings.version_bound(),
        link_rate: settings.chunk_rate(),
    });
    let drawing = FetchContext {
        facts: Arc::clone(dispatcher.facts()),
        holdings: Arc::new(holdings),
        client: Client::new(),
        origin,
        addr,
        hall: Arc::clone(&settings.hall),
    };
    let site = Arc::new(FeedSite {
        dispatcher: Arc::clone(dispatcher),
        agent_port: settings.agent_port,
    });
    let uplink = Shaper::new(settings.chunk_rate());
    ChunkCache::new(drawing, site, uplink, retention)
}

async fn serve_side_listeners(
    settings: &EntrySettings,
    ready: TcpListener,
    peer_handler: Option<(SocketAddr, PeerHandler)>,
    metrics: &Arc<EntryMetrics>,
    start: StartState,
    shutdown: &Shutdown,
) -> Result<Stopper, Error> {
    // These listeners serve until the process ends, since the readiness
    // endpoint reports the shutdown.
    let (stopper, end) = Shutdown::new();
    let mut limits = limits(settings);
    limits.connections = 64;
    let shutdown = shutdown.clone();
    let handler = Arc::new(ReadinessHandler { start, shutdown });
    tokio::spawn(serve(ready, limits, end.clone(), handler));
    if let Some(addr) = settings.metrics {
        let listener = bind(addr).await?;
        let handler = Arc::new(MetricsHandler(Arc::clone(metrics)));
        tokio::spawn(serve(listener, limits, end.clone(), handler));
    }
    if let Some((addr, peer_handler)) = peer_handler {
        let listener = bind(addr).await?;
        limits.connections = PEER_CONNECTIONS;
        tokio::spawn(serve(listener, limits, end, Arc::new(peer_handler)));
    }
    Ok(stopper)
}

async fn keep_house(
    forwarder: Arc<Forwarder>,
    directory: Arc<CountedDirectory>,
    cache: Option<Arc<ChunkCache>>,
) {
    let mut timer = tokio::time::interval(HOUSEKEEPING_INTERVAL);
    loop {
        timer.tick().await;
        forwarder.sweep_and_update_gauges();
        forwarder.metrics.set_platform_calls(&directory.counts());
        if let Some(cache) = &cache {
            forwarder.metrics.set_chunks(cache);
        }
    }
}

/// Returns once the grace period of a graceful shutdown is nearly over.
async fn grace_expired(
    settings: &LiveSettings<EntrySettings>,
    shutdown: Shutdown,
    log: &DecisionLog,
) {
    shutdown.wait().await;
    let grace = settings.get().grace();
    log.write(&Decision::Stop { grace_ms: grace.as_millis() as u64 });
    let left = grace.saturating_sub(EXIT_RESERVE);
    tokio::time::sleep(left).await;
}
