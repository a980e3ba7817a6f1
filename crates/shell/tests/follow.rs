//! Following the routes that a platform publishes.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::Error;
use stairhinge_shell::Shutdown;
use stairhinge_shell::decisions::DecisionLog;
use stairhinge_shell::directory::{
    Collection, Directory, Facts, Follow, Freshness, HallAnswer, HallReader,
    Listing, ReaderAnswer, Record, SharedQuestion, SharedRoutes, Watched,
    follow,
};
use support::{
    BEHIND, BOUND, LOST_AFTER, Nobody, Routes, fresh, parsed, share_reading,
    share_reading_from, until,
};

#[tokio::test]
async fn not_every_revision_of_a_burst_is_read() {
    let platform = Routes::start();
    let log = DecisionLog::new(DecisionLog::MOST_BYTES);
    let facts = Arc::new(Facts::new(log, Duration::ZERO));
    let (_stopper, shutdown) = Shutdown::new();
    let plan = Follow {
        collection: Collection::Declarations,
        wait: Duration::from_secs(4),
        pace: Duration::from_millis(50),
        unlisted_grace: Duration::from_secs(4),
        burst_read_interval: Duration::from_millis(300),
        settling: Duration::ZERO,
        first_start: false,
        sharing: None,
    };
    let directory: Arc<dyn Directory> = platform.clone();
    tokio::spawn(follow(directory, Arc::clone(&facts), plan, shutdown));
    until("the first routes", || facts.revision() == 1).await;
    let published = 100;
    for _ in 0..published {
        platform.newest.send_modify(|n| *n += 1);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    until("the newest routes", || facts.revision() == 1 + published).await;
    let handed = platform.handed.load(Ordering::Relaxed);
    assert!(handed <= 40, "{handed} documents read");
    // After the burst, watches wait again and return a single change at once.
    let calls = || platform.calls.load(Ordering::Relaxed);
    let before = calls();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(calls() <= before + 3, "it keeps polling after the burst");
    platform.newest.send_modify(|n| *n += 1);
    until("one more", || facts.revision() == 2 + published).await;
}

/// A reader that announces newer routes but returns old ones.
struct StaleRoutesReader;

impl HallReader for StaleRoutesReader {
    fn ask_until_fresh(
        &self,
        question: SharedQuestion,
    ) -> BoxFuture<'_, ReaderAnswer> {
        Nobody.ask_until_fresh(question)
    }

    fn is_alone(&self) -> bool {
        false
    }

    fn leads(&self) -> bool {
        true
    }

    fn ask(&self, question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        Box::pin(async move {
            // Only an entry that already knows routes gets an answer.
            if question.after.is_none() {
                return HallAnswer::ReadPlatform;
            }
            let answer = fresh(1_000, 2, Some(SharedRoutes::Fetch));
            HallAnswer::Answered(answer)
        })
    }

    fn fetch_routes(
        &self,
        entry: SocketAddr,
        _within: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>> {
        assert_eq!(
            entry, BEHIND,
            "the routes are fetched from the entry that answered"
        );
        Box::pin(async { Ok(Bytes::from_static(b"1")) })
    }
}

#[tokio::test]
async fn stale_routes_from_a_reader_do_not_hide_newer_ones() {
    let platform = Routes::start();
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::new(StaleRoutesReader));
    until("the first routes", || facts.revision() == 1).await;
    platform.newest.send_modify(|n| *n += 1);
    until("the next routes", || facts.revision() == 2).await;
}

#[tokio::test]
async fn watches_of_an_entry_that_shares_reads_are_short() {
    let platform = Routes::start();
    let (_facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::new(Nobody));
    let calls = || platform.calls.load(Ordering::Relaxed);
    until("some watches", || calls() > 3).await;
    let longest = platform.longest_wait.load(Ordering::Relaxed);
    assert!((1..=300).contains(&longest), "{longest} ms");
}

/// A data hall in which another entry is found only after a while.
struct UndiscoveredReader {
    found: AtomicBool,
}

impl HallReader for UndiscoveredReader {
    fn ask(&self, _question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        let found = self.found.load(Ordering::Relaxed);
        Box::pin(async move {
            if !found {
                return HallAnswer::ReadPlatform;
            }
            // Takes time, as a question that waits for news does.
            tokio::time::sleep(Duration::from_millis(20)).await;
            HallAnswer::Answered(fresh(7, 0, None))
        })
    }

    fn ask_until_fresh(
        &self,
        question: SharedQuestion,
    ) -> BoxFuture<'_, ReaderAnswer> {
        Nobody.ask_until_fresh(question)
    }

    fn is_alone(&self) -> bool {
        !self.found.load(Ordering::Relaxed)
    }

    fn leads(&self) -> bool {
        false
    }

    fn fetch_routes(
        &self,
        entry: SocketAddr,
        within: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>> {
        Nobody.fetch_routes(entry, within)
    }
}

/// At the first start of all entries, none of them reads from the platform
/// before it had time to discover the others.
#[tokio::test]
async fn discovery_precedes_platform_reads_at_the_first_start() {
    let settling = Duration::from_millis(2_000);
    let start = |first| {
        let routes = Routes::start();
        let reader =
            Arc::new(UndiscoveredReader { found: AtomicBool::new(false) });
        let shared = Arc::clone(&reader) as Arc<dyn HallReader>;
        let directory = Arc::clone(&routes) as Arc<dyn Directory>;
        let running = share_reading_from(directory, shared, settling, first);
        (routes, reader, running)
    };
    let (routes, reader, _running) = start(true);
    tokio::time::sleep(settling).await;
    reader.found.store(true, Ordering::Relaxed);
    tokio::time::sleep(settling).await;
    assert_eq!(
        routes.calls.load(Ordering::Relaxed),
        0,
        "the platform was called in spite of a reader"
    );
    // An entry that finds no other one reads eventually.
    let (routes, _reader, (facts, _stopper)) = start(true);
    until("the routes are read", || facts.revision() == 1).await;
    let calls = routes.calls.load(Ordering::Relaxed);
    assert!(calls <= 2, "{calls} calls");
}

/// A reader that is itself waiting for news for a while.
struct AwaitingReader {
    asked: AtomicU32,
}

impl HallReader for AwaitingReader {
    fn ask_until_fresh(
        &self,
        question: SharedQuestion,
    ) -> BoxFuture<'_, ReaderAnswer> {
        Nobody.ask_until_fresh(question)
    }

    fn is_alone(&self) -> bool {
        false
    }

    fn leads(&self) -> bool {
        false
    }

    fn ask(&self, _question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        let asked = self.asked.fetch_add(1, Ordering::Relaxed);
        let news = if (1..4).contains(&asked) {
            HallAnswer::Pending
        } else {
            let answer = fresh(7, 0, None);
            HallAnswer::Answered(answer)
        };
        // Takes time, as a question that waits for news does.
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            news
        })
    }

    fn fetch_routes(
        &self,
        entry: SocketAddr,
        within: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>> {
        Nobody.fetch_routes(entry, within)
    }
}

#[tokio::test]
async fn an_entry_that_awaits_a_reader_does_not_call_the_platform() {
    let routes = Routes::start();
    let reader = Arc::new(AwaitingReader { asked: AtomicU32::new(0) });
    let shared = Arc::clone(&reader) as Arc<dyn HallReader>;
    let (_facts, _stopper) = share_reading(Arc::clone(&routes) as _, shared);
    until("repeated questions", || reader.asked.load(Ordering::Relaxed) > 5)
        .await;
    assert_eq!(routes.calls.load(Ordering::Relaxed), 0);
}

/// Guards against waiting for a stuck call: calls that begin while the
/// platform does not respond get no response after its recovery either, and
/// fail only much later.
#[tokio::test]
async fn a_new_call_detects_that_the_platform_responds_again() {
    let platform = Routes::start();
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::new(Nobody));
    until("the first routes", || facts.revision() == 1).await;
    for turn in 0..3 {
        platform.silent.store(true, Ordering::Relaxed);
        let span = LOST_AFTER * 2 + Duration::from_millis(250 * turn);
        tokio::time::sleep(span).await;
        platform.newest.send_modify(|n| *n += 1);
        let newest = *platform.newest.borrow();
        platform.silent.store(false, Ordering::Relaxed);
        let over = tokio::time::Instant::now();
        until("the newest routes", || facts.revision() == newest).await;
        // Half of the bound; a call from before the recovery takes three times
        // as long.
        assert!(over.elapsed() < BOUND / 2, "{:?}", over.elapsed());
    }
}

/// A platform that never responds.
struct UnresponsivePlatform;

impl Directory for UnresponsivePlatform {
    fn list(
        &self,
        _collection: Collection,
        _freshness: Freshness,
    ) -> BoxFuture<'_, Result<Listing, Error>> {
        Box::pin(std::future::pending())
    }

    fn parse_routes(&self, document: Bytes) -> Result<Record, Error> {
        parsed(&document)
    }

    fn watch(
        &self,
        _collection: Collection,
        _after: u64,
        _wait: Duration,
    ) -> BoxFuture<'_, Result<Watched, Error>> {
        Box::pin(std::future::pending())
    }
}

/// Readers that have no answer at first and push news later.
struct LateReader;

impl HallReader for LateReader {
    fn ask(&self, _question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        Box::pin(async { HallAnswer::ReadPlatform })
    }

    fn ask_until_fresh(
        &self,
        _question: SharedQuestion,
    ) -> BoxFuture<'_, ReaderAnswer> {
        let answer = fresh(9, 1, Some(SharedRoutes::Fetch));
        Box::pin(async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            answer
        })
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
        Box::pin(async { Ok(Bytes::from_static(b"1")) })
    }
}

#[tokio::test]
async fn news_of_other_entries_is_used_while_the_platform_hangs() {
    let (facts, _stopper) =
        share_reading(Arc::new(UnresponsivePlatform), Arc::new(LateReader));
    until("news", || facts.revision() == 1).await;
}
