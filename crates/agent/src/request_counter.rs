//! A counter of the requests in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Counts the requests in progress and notifies when there are none.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestCounter {
    count: Arc<AtomicUsize>,
    idle: Arc<Notify>,
}

impl RequestCounter {
    /// Counts a request until the return value is dropped.
    pub(crate) fn enter(&self) -> CountedRequest {
        // SeqCst: a request reads the gate after it is counted, and a drain
        // reads the count after it has closed the gate. At least one of them
        // must see the other's write.
        self.count.fetch_add(1, Ordering::SeqCst);
        CountedRequest(self.clone())
    }

    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Waits until the count may have dropped to zero. The caller must check
    /// the count again.
    pub(crate) async fn idle(&self) {
        if self.count() == 0 {
            return;
        }
        self.idle.notified().await;
    }
}

/// A request in progress, which is counted until this is dropped.
#[derive(Debug)]
pub(crate) struct CountedRequest(RequestCounter);

impl Drop for CountedRequest {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_one();
        }
    }
}
