//! Catching up with the platform after a loss of contact.
//!
//! Guards against entries that use routes older than the bound, even seconds
//! after they can reach the platform again. A watch returns each revision
//! since the last known one as a complete document, so the download grows with
//! the length of the outage. An entry that had been frozen for 5 s read five
//! documents of 350 KB in 2.2 s, and of thirteen entries at once each read two
//! or three in 3 s. Such entries log `documents` above 1 in `routes_taken`.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::Error;
use stairhinge_shell::directory::{
    HallAnswer, HallReader, ReaderAnswer, SharedQuestion,
};
use support::{Nobody, Routes, fresh, share_reading, until};

#[tokio::test]
async fn only_the_newest_routes_are_read_after_an_outage() {
    let platform = Routes::start();
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::new(Nobody));
    until("the first routes", || facts.revision() == 1).await;
    platform.publish_unseen().await;
    // A watch in progress may have returned revisions until its end.
    let known = facts.revision();
    let before = platform.handed.load(Ordering::Relaxed);
    platform.down.store(false, Ordering::Relaxed);
    until("the newest routes", || facts.revision() == 7).await;
    let handed = platform.handed.load(Ordering::Relaxed) - before;
    assert_eq!(handed, 1, "documents read after revision {known}");
}

/// A reader that reports the collection position that is set, or nobody to
/// ask while it is 0.
#[derive(Default)]
struct AdjustableReader {
    reported_at: AtomicU64,
}

impl HallReader for AdjustableReader {
    fn ask(&self, question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        let at = self.reported_at.load(Ordering::Relaxed);
        Box::pin(async move {
            if at == 0 || question.after.is_none() {
                return HallAnswer::ReadPlatform;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
            HallAnswer::Answered(fresh(at, question.revision, None))
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
        Nobody.leads()
    }

    fn fetch_routes(
        &self,
        entry: SocketAddr,
        within: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>> {
        Nobody.fetch_routes(entry, within)
    }
}

/// Guards against an entry that skips the catch-up in a second outage because
/// it has caught up before: in between, it had heard only from its data hall.
#[tokio::test]
async fn only_the_newest_routes_are_read_after_a_second_outage() {
    let platform = Routes::start();
    let reader = Arc::new(AdjustableReader::default());
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::clone(&reader) as _);
    until("the first routes", || facts.revision() == 1).await;
    let handed = || platform.handed.load(Ordering::Relaxed);
    for round in 1..=2 {
        reader.reported_at.store(0, Ordering::Relaxed);
        platform.publish_unseen().await;
        let before = handed();
        let newest = *platform.newest.borrow();
        platform.down.store(false, Ordering::Relaxed);
        until("the newest routes", || facts.revision() == newest).await;
        // From now on, its data hall reports no newer routes.
        reader.reported_at.store(newest, Ordering::Relaxed);
        assert_eq!(handed() - before, 1, "documents read in round {round}");
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}
