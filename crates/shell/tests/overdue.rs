//! A process that leaves the reading of the platform to others.
//!
//! Guards against a process that waits without limit for others that can't
//! read the platform, and against many that call a platform that has failed
//! for all of them.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::Error;
use stairhinge_shell::directory::{
    HallAnswer, HallReader, ReaderAnswer, SharedQuestion, SharedRoutes,
};
use support::{BOUND, Nobody, Routes, fresh, share_reading, until};
use tokio::time::Instant;

/// Seven readers that answer once with fresh data and then ask to wait.
#[derive(Default)]
struct WaitingReaders {
    asked: AtomicU64,
}

impl HallReader for WaitingReaders {
    fn ask(&self, _question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        let asked = self.asked.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            if asked > 0 {
                return HallAnswer::Pending;
            }
            let routes = Some(SharedRoutes::Fetch);
            HallAnswer::Answered(fresh(1, 1, routes))
        })
    }

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

    fn readers_before(&self) -> usize {
        7
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
async fn a_process_that_waits_for_others_reads_within_the_bound() {
    let platform = Routes::start();
    let readers = Arc::new(WaitingReaders::default());
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::clone(&readers) as _);
    until("a question", || readers.asked.load(Ordering::Relaxed) > 1).await;
    platform.newest.send_modify(|n| *n += 1);
    let start = Instant::now();
    until("the routes", || facts.revision() == 2).await;
    assert!(start.elapsed() < BOUND, "{:?}", start.elapsed());
    let handed = platform.handed.load(Ordering::Relaxed);
    assert_eq!(handed, 1, "documents read");
    // From then on its watches return changes at once.
    for revision in 3..6 {
        tokio::time::sleep(BOUND).await;
        platform.newest.send_modify(|n| *n += 1);
        let start = Instant::now();
        until("newer routes", || facts.revision() == revision).await;
        assert!(start.elapsed() < BOUND / 4, "{:?}", start.elapsed());
    }
}

#[tokio::test]
async fn a_process_that_waits_rarely_calls_a_platform_that_has_failed() {
    for silent in [false, true] {
        let platform = Routes::start();
        let readers = Arc::new(WaitingReaders::default());
        let shared = Arc::clone(&readers) as _;
        let (facts, _stopper) =
            share_reading(Arc::clone(&platform) as _, shared);
        platform.down.store(!silent, Ordering::Relaxed);
        platform.silent.store(silent, Ordering::Relaxed);
        let rounds = 6;
        tokio::time::sleep(BOUND * rounds).await;
        let calls = platform.calls.load(Ordering::Relaxed);
        // At most one in 0.75 of the bound.
        let most = u64::from(rounds) * 4 / 3 + 1;
        assert!((1..=most).contains(&calls), "{calls} calls");
        platform.newest.send_modify(|n| *n += 1);
        platform.down.store(false, Ordering::Relaxed);
        platform.silent.store(false, Ordering::Relaxed);
        let start = Instant::now();
        until("the routes", || facts.revision() == 2).await;
        // The bound, and the time until a process is in touch again, which
        // deployments set to 1.5 of it.
        let most = BOUND + BOUND * 3 / 2;
        assert!(start.elapsed() < most, "{:?}", start.elapsed());
    }
}
