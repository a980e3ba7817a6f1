//! Following a platform that publishes in quick succession.

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
async fn of_routes_in_quick_succession_only_some_are_read() {
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
    assert!(handed <= 40, "{handed} documents were read");
    // Once it is calm, a watch waits again: a single change comes by itself.
    let calls = || platform.calls.load(Ordering::Relaxed);
    let before = calls();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(calls() <= before + 3, "it goes on reading");
    platform.newest.send_modify(|n| *n += 1);
    until("one more", || facts.revision() == 2 + published).await;
}

/// A reader that says it has newer routes, and hands over old ones.
struct Behind;

impl HallReader for Behind {
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
            // Asked only by those who know something.
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
        assert_eq!(entry, BEHIND, "the one that answered is asked");
        Box::pin(async { Ok(Bytes::from_static(b"1")) })
    }
}

#[tokio::test]
async fn old_routes_of_a_reader_that_is_ahead_skip_no_revision() {
    let platform = Routes::start();
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::new(Behind));
    until("the first routes", || facts.revision() == 1).await;
    platform.newest.send_modify(|n| *n += 1);
    until("the next routes", || facts.revision() == 2).await;
}

#[tokio::test]
async fn who_shares_reading_never_waits_long_at_the_platform() {
    let platform = Routes::start();
    let (_facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::new(Nobody));
    let calls = || platform.calls.load(Ordering::Relaxed);
    until("some watches", || calls() > 3).await;
    let longest = platform.longest_wait.load(Ordering::Relaxed);
    assert!((1..=300).contains(&longest), "{longest} ms");
}

/// A hall of which nothing is known for a while, and then one entry.
struct Unknown {
    found: AtomicBool,
}

impl HallReader for Unknown {
    fn ask(&self, _question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        let found = self.found.load(Ordering::Relaxed);
        Box::pin(async move {
            if !found {
                return HallAnswer::ReadPlatform;
            }
            // It takes as long as a question does that waits for news.
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

/// Where all start for the first time, nobody reads before it had the time to
/// find others.
#[tokio::test]
async fn who_knows_nobody_at_the_first_start_leaves_the_platform_to_others() {
    let settling = Duration::from_millis(2_000);
    let start = |first| {
        let routes = Routes::start();
        let reader = Arc::new(Unknown { found: AtomicBool::new(false) });
        let shared = Arc::clone(&reader) as Arc<dyn HallReader>;
        let directory = Arc::clone(&routes) as Arc<dyn Directory>;
        let running = share_reading_from(directory, shared, settling, first);
        (routes, reader, running)
    };
    let (routes, reader, _running) = start(true);
    tokio::time::sleep(settling).await;
    reader.found.store(true, Ordering::Relaxed);
    tokio::time::sleep(settling).await;
    assert_eq!(routes.calls.load(Ordering::Relaxed), 0, "others had read");
    // Where nobody is found, it reads in the end.
    let (routes, _reader, (facts, _stopper)) = start(true);
    until("the routes are read", || facts.revision() == 1).await;
    let calls = routes.calls.load(Ordering::Relaxed);
    assert!(calls <= 2, "{calls} calls");
}

/// A reader that has old news for a while.
struct Slow {
    asked: AtomicU32,
}

impl HallReader for Slow {
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
        // It takes as long as a question does that waits for news.
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
async fn who_awaits_others_leaves_the_platform_to_them() {
    let routes = Routes::start();
    let reader = Arc::new(Slow { asked: AtomicU32::new(0) });
    let shared = Arc::clone(&reader) as Arc<dyn HallReader>;
    let (_facts, _stopper) = share_reading(Arc::clone(&routes) as _, shared);
    until("asked again and again", || {
        reader.asked.load(Ordering::Relaxed) > 5
    })
    .await;
    assert_eq!(routes.calls.load(Ordering::Relaxed), 0);
}

/// Calls that begin while the platform is silent get no answer once that is
/// over, and say so only much later.
#[tokio::test]
async fn the_end_of_a_silence_is_noticed_by_a_new_call() {
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
        // Half of the bound; a call that had begun before takes thrice that.
        assert!(over.elapsed() < BOUND / 2, "{:?}", over.elapsed());
    }
}

/// A platform that answers nothing.
struct Silent;

impl Directory for Silent {
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

/// Readers that had old news when they were first asked.
struct Later;

impl HallReader for Later {
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
async fn a_silent_platform_keeps_nobody_from_news_of_others() {
    let (facts, _stopper) = share_reading(Arc::new(Silent), Arc::new(Later));
    until("news", || facts.revision() == 1).await;
}
