//! The chunks that an entry holds for the agents of its data hall.
//!
//! Agents stand on the narrowest links, and what one of them passes on to
//! another goes over two of these, beside the answers of its replica. An
//! entry has a link several times as wide: it draws what agents ask it for,
//! once for all of them, and holds it as long as they ask.

mod owner;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use stairhinge::direct::HallEntry;
use stairhinge::{Code, Error};
use stairhinge_shell::Shaper;
use stairhinge_shell::http::{Body, answer};
use tokio::time::Instant;

use self::owner::CacheOwner;
use crate::fetch::fetch;
use crate::find_manifest::find_manifest;
use crate::owner::{FetchContext, log_failure};
use crate::peers::{ANY, CacheStatus, DRAW, STANDING};
use crate::server::{ChunkServer, span, version_path};

/// How long a version is drawn on though nobody asks for it: questions wait
/// for 0.8 s here, so who still wants it asks again sooner.
const DRAWN_FOR: Duration = Duration::from_millis(1_200);

/// The part of a version from which it is drawn to its end though a newer one
/// is asked for: what is left takes a fourth of a copy's time, 0.4 s over an
/// origin's link of 9.9 Mbit/s, and it may bridge an origin that goes away.
const ALMOST_HELD: f64 = 0.75;

/// How long a version waits for an older one of which little is missing.
const OLDER_FIRST: Duration = Duration::from_millis(500);

/// How long a version is held though nobody asks for it. Replicas that come
/// together begin within a second or two of one another.
const HELD_FOR: Duration = Duration::from_secs(12);

/// How often versions that nobody asks for are looked for.
const LOOK: Duration = Duration::from_millis(250);

/// How often a version looks whether the older one that it waits for is here:
/// about as often as chunks come over an origin's link of 9.9 Mbit/s.
const LOOK_CLOSELY: Duration = Duration::from_millis(25);

/// How long after its naming a version is drawn that agents may hold in part:
/// all entries learn of it within half of that.
const LATE: Duration = Duration::from_millis(1_000);

/// The most versions that are held at a time: the one in force, the one that
/// comes, and one that was named in between.
const MOST_VERSIONS: usize = 3;

/// What an entry knows of others that a cache draws from.
pub trait CachePeers: Send + Sync {
    /// Returns the entries that hold chunks, of all data halls.
    fn entries(&self) -> Vec<HallEntry>;

    /// Returns the agents of the own hall whose engines serve a version.
    fn holders(&self, model: &str, version: u64) -> Vec<SocketAddr>;

    /// Returns all agents of the own hall.
    fn agents(&self) -> Vec<SocketAddr>;
}

type Version = (Arc<str>, u64);

/// How the draw of a version stands.
#[derive(Clone, Copy, Debug)]
struct Draw {
    /// When an agent last wanted it.
    asked: Instant,
    /// When a chunk last came.
    moved: Instant,
    /// Whether the origin failed when it was last asked.
    origin_lost: bool,
}

/// Holds versions for the agents of a data hall.
pub struct ChunkCache {
    context: FetchContext,
    peers: Arc<dyn CachePeers>,
    server: ChunkServer,
    /// The versions drawn or held.
    draws: Mutex<HashMap<Version, Draw>>,
}

impl ChunkCache {
    /// Returns an empty cache that sends over a shaped link.
    pub fn new(
        context: FetchContext,
        peers: Arc<dyn CachePeers>,
        uplink: Shaper,
    ) -> Arc<ChunkCache> {
        let holdings = Arc::clone(&context.holdings);
        Arc::new(ChunkCache {
            server: ChunkServer::new(holdings, None, uplink),
            context,
            peers,
            draws: Mutex::default(),
        })
    }

    /// Answers a question for chunks or a manifest, or `None` if a request
    /// is neither.
    ///
    /// # Errors
    ///
    /// [`stairhinge::Code::NoSource`] if a manifest does not come in time.
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
                self.want(model, version, Duration::ZERO);
            }
            return Some(self.standing(model, version));
        }
        let (model, version) = ChunkServer::manifest_path(&path)?;
        self.want(model, version, span(query, "idle_ms"));
        Some(self.server.answer_manifest(model, version, query).await)
    }

    fn standing(
        &self,
        model: &str,
        version: u64,
    ) -> Result<Response<Body>, Error> {
        let holdings = &self.context.holdings;
        let mut standing = CacheStatus::default();
        if let Some(manifest) = holdings.manifest(model, version) {
            standing.held = holdings.count(&manifest);
            standing.chunks = manifest.digests.len();
        }
        if let Some(draw) = self.lock().get(&(Arc::from(model), version)) {
            standing.quiet_ms = draw.moved.elapsed().as_millis() as u64;
            standing.origin_lost = draw.origin_lost;
        }
        let json = serde_json::to_string(&standing)
            .map_err(|e| Error::new(Code::Internal, e))?;
        Ok(answer(StatusCode::OK, json))
    }

    async fn any(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Error> {
        let question = ChunkServer::read_request(request).await?;
        let idle = Duration::from_millis(question.idle_ms);
        self.want(&question.model, question.version, idle);
        self.server.answer_any(&question).await
    }

    /// Takes note that an agent wanted a version `idle` ago, and begins to
    /// draw it if that was just now.
    fn want(self: &Arc<Self>, model: &str, version: u64, idle: Duration) {
        let Some(at) = Instant::now().checked_sub(idle) else { return };
        let key: Version = (Arc::from(model), version);
        let mut draws = self.lock();
        if let Some(draw) = draws.get_mut(&key) {
            draw.asked = draw.asked.max(at);
            return;
        }
        if idle > DRAWN_FOR {
            return;
        }
        let draw =
            Draw { asked: at, moved: Instant::now(), origin_lost: false };
        draws.insert(key.clone(), draw);
        while draws.len() > MOST_VERSIONS {
            let oldest = draws.iter().min_by_key(|(_, draw)| draw.asked);
            let Some((oldest, _)) = oldest else { break };
            let oldest = oldest.clone();
            draws.remove(&oldest);
            self.context.holdings.remove_version(&oldest.0, oldest.1);
        }
        drop(draws);
        tokio::spawn(Arc::clone(self).hold(key));
    }

    /// Draws a version and holds it as long as it is asked for.
    async fn hold(self: Arc<Self>, key: Version) {
        tokio::select! {
            () = self.draw_while_asked(&key) => {}
            () = self.unasked(&key, HELD_FOR) => {}
            () = self.superseded(&key) => {}
        }
        self.lock().remove(&key);
        self.context.holdings.remove_version(&key.0, key.1);
    }

    /// Draws a version as long as it is asked for, and ends once it is held
    /// and nobody asks for it any more.
    ///
    /// What has come is held meanwhile: agents turn to other entries while
    /// those that they ask are away, and back again. Entries that dropped it
    /// then had the origin send a version 2.5 times.
    async fn draw_while_asked(&self, key: &Version) {
        loop {
            tokio::select! {
                () = self.draw(key) => break,
                () = self.unasked(key, DRAWN_FOR) => {}
            }
            self.asked(key).await;
        }
        self.unasked(key, HELD_FOR).await;
    }

    async fn draw(&self, key: &Version) {
        self.let_older_end(key).await;
        let (model, version) = (&key.0, key.1);
        let late = self.is_late(key);
        let owner = CacheOwner { cache: self, key, late };
        loop {
            let manifest =
                find_manifest(&self.context, &owner, model, version).await;
            let drawn = fetch(&self.context, &owner, &manifest).await;
            let Err(error) = drawn else { return };
            log_failure(&self.context.facts, "cache", &error);
            self.context.holdings.remove_version(model, version);
        }
    }

    /// Ends once a version has not been asked for during a span.
    async fn unasked(&self, key: &Version, span: Duration) {
        loop {
            tokio::time::sleep(LOOK).await;
            let at = self.lock().get(key).map(|draw| draw.asked);
            if at.is_none_or(|at| at.elapsed() > span) {
                return;
            }
        }
    }

    /// Ends once a version is asked for.
    async fn asked(&self, key: &Version) {
        loop {
            let at = self.lock().get(key).map(|draw| draw.asked);
            if at.is_some_and(|at| at.elapsed() < DRAWN_FOR) {
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Whether others may have drawn some of a version before.
    fn is_late(&self, key: &Version) -> bool {
        let facts = &self.context.facts;
        let view = facts.view();
        let named = view.targets.targeted_at(&key.0, key.1);
        named.is_none_or(|at| facts.now().since(at) > LATE)
    }

    /// Waits for an older version of which little is missing, for a moment:
    /// it is whole soon if it has the origin's link for itself.
    async fn let_older_end(&self, key: &Version) {
        let until = Instant::now() + OLDER_FIRST;
        while Instant::now() < until {
            let versions: Vec<Version> = self.lock().keys().cloned().collect();
            let ending = versions.iter().any(|other| {
                let part = self.held_part(other);
                let older = other.0 == key.0 && other.1 < key.1;
                older && (ALMOST_HELD..1.0).contains(&part)
            });
            if !ending {
                return;
            }
            tokio::time::sleep(LOOK_CLOSELY).await;
        }
    }

    /// Ends once a newer version is asked for while a good part of this one
    /// has yet to come: both would come over the origin's link. One that
    /// replicas of the hall serve comes from these.
    async fn superseded(&self, key: &Version) {
        loop {
            tokio::time::sleep(LOOK).await;
            if !self.peers.holders(&key.0, key.1).is_empty() {
                continue;
            }
            let newer = self
                .lock()
                .keys()
                .any(|(model, version)| *model == key.0 && *version > key.1);
            if newer && self.held_part(key) < ALMOST_HELD {
                return;
            }
        }
    }

    /// Returns the part of a version that is held.
    fn held_part(&self, key: &Version) -> f64 {
        let holdings = &self.context.holdings;
        let Some(manifest) = holdings.manifest(&key.0, key.1) else {
            return 0.0;
        };
        let held = holdings.count(&manifest) as f64;
        held / manifest.digests.len().max(1) as f64
    }

    fn note(&self, key: &Version, note: impl FnOnce(&mut Draw)) {
        if let Some(draw) = self.lock().get_mut(key) {
            note(draw);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Version, Draw>> {
        self.draws.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
