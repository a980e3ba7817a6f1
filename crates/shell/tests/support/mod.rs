//! An in-memory platform, and an entry that follows it.
#![allow(dead_code)]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::direct::{RouteTable, RouteTableParts};
use stairhinge::{Code, Error};
use stairhinge_shell::decisions::DecisionLog;
use stairhinge_shell::directory::{
    Change, Collection, Directory, Facts, Follow, Freshness, HallAnswer,
    HallReader, Listing, ReaderAnswer, Record, Share, SharedAnswer,
    SharedQuestion, SharedRoutes, Sharing, Watched, follow,
};
use stairhinge_shell::{Shutdown, Stopper};
use tokio::sync::watch;

/// An in-memory platform that publishes increasing revisions of routes.
pub struct Routes {
    pub newest: watch::Sender<u64>,
    /// The number of documents that it has returned.
    pub handed: AtomicU64,
    pub calls: AtomicU64,
    /// The longest wait that a watch has requested, in milliseconds.
    pub longest_wait: AtomicU64,
    /// Whether all calls fail at once.
    pub down: AtomicBool,
    /// Whether new calls get no response and fail only after [`LOST_AFTER`].
    pub silent: AtomicBool,
}

impl Routes {
    /// Publishes six revisions, 200 ms apart, while all calls fail.
    pub async fn publish_unseen(&self) {
        self.down.store(true, Ordering::Relaxed);
        for _ in 0..6 {
            self.newest.send_modify(|n| *n += 1);
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    pub fn start() -> Arc<Routes> {
        Arc::new(Routes {
            newest: watch::Sender::new(1),
            handed: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            longest_wait: AtomicU64::new(0),
            down: AtomicBool::new(false),
            silent: AtomicBool::new(false),
        })
    }
}

/// A data hall without another entry to ask.
pub struct Nobody;

impl HallReader for Nobody {
    fn ask(&self, _question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        Box::pin(async { HallAnswer::ReadPlatform })
    }

    fn ask_until_fresh(
        &self,
        _question: SharedQuestion,
    ) -> BoxFuture<'_, ReaderAnswer> {
        Box::pin(std::future::pending())
    }

    fn is_alone(&self) -> bool {
        false
    }

    fn leads(&self) -> bool {
        true
    }

    fn fetch_routes(
        &self,
        _entry: SocketAddr,
        _within: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>> {
        unreachable!("no entry has answered")
    }
}

fn lost() -> Error {
    Error::new(Code::PlatformLost, "it is down")
}

pub fn record(revision: u64) -> Record {
    let parts = RouteTableParts { revision, ..RouteTableParts::default() };
    let table = RouteTable::new(parts).unwrap();
    Record::Routes(Arc::new(table), Bytes::new())
}

/// Parses a document, which consists of its revision number.
pub fn parsed(document: &[u8]) -> Result<Record, Error> {
    let text = std::str::from_utf8(document).unwrap();
    Ok(record(text.parse().unwrap()))
}

/// How long a call to an unresponsive platform takes to fail.
pub const LOST_AFTER: Duration = Duration::from_millis(1_500);

async fn unanswered<T>() -> Result<T, Error> {
    tokio::time::sleep(LOST_AFTER).await;
    Err(lost())
}

impl Directory for Routes {
    fn list(
        &self,
        collection: Collection,
        _freshness: Freshness,
    ) -> BoxFuture<'_, Result<Listing, Error>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if self.down.load(Ordering::Relaxed) {
            return Box::pin(async { Err(lost()) });
        }
        if self.silent.load(Ordering::Relaxed) {
            return Box::pin(unanswered());
        }
        let at = *self.newest.borrow();
        if collection == Collection::Evacuations {
            let records = Vec::new();
            return Box::pin(async move { Ok(Listing { records, at }) });
        }
        self.handed.fetch_add(1, Ordering::Relaxed);
        let records = vec![Ok(record(at))];
        Box::pin(async move { Ok(Listing { records, at }) })
    }

    fn parse_routes(&self, document: Bytes) -> Result<Record, Error> {
        parsed(&document)
    }

    fn watch(
        &self,
        collection: Collection,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Watched, Error>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if self.down.load(Ordering::Relaxed) {
            return Box::pin(async { Err(lost()) });
        }
        if self.silent.load(Ordering::Relaxed) {
            return Box::pin(unanswered());
        }
        if collection == Collection::Targets {
            let at = *self.newest.borrow();
            return Box::pin(
                async move { Ok(Watched::Changes(Vec::new(), at)) },
            );
        }
        let wait_ms = wait.as_millis() as u64;
        self.longest_wait.fetch_max(wait_ms, Ordering::Relaxed);
        let mut newest = self.newest.subscribe();
        Box::pin(async move {
            let newer = newest.wait_for(|n| *n > after);
            let _ = tokio::time::timeout(wait, newer).await;
            let at = *self.newest.borrow();
            let mut changes = Vec::new();
            for revision in after + 1..=at {
                changes.push(Change::Set(record(revision)));
            }
            self.handed.fetch_add(changes.len() as u64, Ordering::Relaxed);
            Ok(Watched::Changes(changes, at))
        })
    }
}

/// The time limit for published routes to come into force.
pub const BOUND: Duration = Duration::from_millis(900);

/// Follows the routes as an entry that asks another entry first.
pub fn share_reading(
    directory: Arc<dyn Directory>,
    reader: Arc<dyn HallReader>,
) -> (Arc<Facts>, Stopper) {
    share_reading_from(directory, reader, Duration::ZERO, false)
}

/// Follows the routes like [`share_reading`], from a start after which no
/// caller depends on the process for the time `settling`.
pub fn share_reading_from(
    directory: Arc<dyn Directory>,
    reader: Arc<dyn HallReader>,
    settling: Duration,
    first_start: bool,
) -> (Arc<Facts>, Stopper) {
    let log = DecisionLog::new(DecisionLog::MOST_BYTES);
    let facts = Arc::new(Facts::new(log, Duration::ZERO));
    let (stopper, shutdown) = Shutdown::new();
    let share = Arc::new(Share::new(Arc::clone(&facts)));
    let plan = Follow {
        collection: Collection::Declarations,
        wait: Duration::from_secs(4),
        pace: Duration::from_millis(10),
        unlisted_grace: Duration::from_secs(4),
        burst_read_interval: Duration::from_millis(300),
        settling,
        first_start,
        sharing: Some(Sharing { share, reader, bound: BOUND, watch: None }),
    };
    tokio::spawn(follow(directory, Arc::clone(&facts), plan, shutdown));
    (facts, stopper)
}

pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let end = tokio::time::Instant::now() + Duration::from_secs(30);
    while !condition() {
        assert!(
            tokio::time::Instant::now() < end,
            "timed out waiting for: {what}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The address of the only reader in these tests.
pub const BEHIND: SocketAddr =
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// Returns a fresh answer of the reader at [`BEHIND`].
pub fn fresh(
    at: u64,
    revision: u64,
    routes: Option<SharedRoutes>,
) -> ReaderAnswer {
    let shared = SharedAnswer {
        at,
        age_ms: 0,
        failed_ms: None,
        answered_ms: None,
        revision,
        routes,
        evacuations: None,
        targets: Vec::new(),
        replicas: None,
    };
    ReaderAnswer { entry: BEHIND, shared }
}
