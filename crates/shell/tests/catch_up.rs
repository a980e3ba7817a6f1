//! Catching up with a platform after a time out of touch.
//!
//! What callers saw: entries answered by routes that were over the bound, some
//! of them seconds after they could reach the platform again. A watch brings
//! each revision since the last one known, whole, so the longer an entry had
//! heard nothing, the more it drew before it knew what is in force: an entry
//! that had been frozen for 5 s read five documents of 350 KB in 2.2 s, and
//! thirteen of them at once two and three each in 3 s. What proved it:
//! `documents` over 1 in the `routes_taken` lines of just the late ones.

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
async fn who_was_out_of_touch_reads_only_what_is_in_force() {
    let platform = Routes::start();
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::new(Nobody));
    until("the first routes", || facts.revision() == 1).await;
    platform.publish_unseen().await;
    // A watch that was under way has brought what came until its end.
    let known = facts.revision();
    let before = platform.handed.load(Ordering::Relaxed);
    platform.down.store(false, Ordering::Relaxed);
    until("what is in force", || facts.revision() == 7).await;
    let handed = platform.handed.load(Ordering::Relaxed) - before;
    assert_eq!(handed, 1, "documents were read, from revision {known} on");
}

/// A reader that tells what it is set to, or is silent.
#[derive(Default)]
struct Switched {
    told: AtomicU64,
}

impl HallReader for Switched {
    fn ask(&self, question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        let at = self.told.load(Ordering::Relaxed);
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

/// An entry that had been out of touch, and heard from its hall since, is out
/// of touch again: that it once read all must not count any more.
#[tokio::test]
async fn who_is_out_of_touch_again_reads_only_what_is_in_force() {
    let platform = Routes::start();
    let reader = Arc::new(Switched::default());
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::clone(&reader) as _);
    until("the first routes", || facts.revision() == 1).await;
    let handed = || platform.handed.load(Ordering::Relaxed);
    for round in 1..=2 {
        reader.told.store(0, Ordering::Relaxed);
        platform.publish_unseen().await;
        let before = handed();
        let newest = *platform.newest.borrow();
        platform.down.store(false, Ordering::Relaxed);
        until("what is in force", || facts.revision() == newest).await;
        // From now on its hall tells it that nothing is new.
        reader.told.store(newest, Ordering::Relaxed);
        assert_eq!(handed() - before, 1, "documents, time {round}");
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}
