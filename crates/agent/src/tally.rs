//! Counts the requests in progress behind the gate.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Counts the requests in progress and tells when there are none.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    count: Arc<AtomicUsize>,
    idle: Arc<Notify>,
}

impl Tally {
    /// Counts a request until the return value is dropped.
    pub(crate) fn enter(&self) -> Entered {
        // SeqCst: the gate is read after this, and the drain reads the count
        // after closing the gate; one of the two must see the other.
        self.count.fetch_add(1, Ordering::SeqCst);
        Entered(self.clone())
    }

    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Waits until the count may have fallen to zero.
    pub(crate) async fn idle(&self) {
        if self.count() == 0 {
            return;
        }
        self.idle.notified().await;
    }
}

/// One request in progress.
#[derive(Debug)]
pub(crate) struct Entered(Tally);

impl Drop for Entered {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_one();
        }
    }
}
