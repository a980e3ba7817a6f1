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

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::{Nobody, Routes, share_reading, until};

#[tokio::test]
async fn who_was_out_of_touch_reads_only_what_is_in_force() {
    let platform = Routes::start();
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::new(Nobody));
    until("the first routes", || facts.revision() == 1).await;
    platform.down.store(true, Ordering::Relaxed);
    for _ in 0..6 {
        platform.newest.send_modify(|n| *n += 1);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    // A watch that was under way has brought what came until its end.
    let known = facts.revision();
    let before = platform.handed.load(Ordering::Relaxed);
    platform.down.store(false, Ordering::Relaxed);
    until("what is in force", || facts.revision() == 7).await;
    let handed = platform.handed.load(Ordering::Relaxed) - before;
    assert_eq!(handed, 1, "documents were read, from revision {known} on");
}
