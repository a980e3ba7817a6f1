//! Detection of exits of the backend server while it runs no request.
//!
//! If another backend server ended under a request, and this one ended at the
//! same time without running it, the request did not cause that. The agent is
//! the only process that notices, because no connection is lost.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use stairhinge::Time;
use stairhinge_shell::is_connection_refused;

use crate::Agent;
use crate::poison::PROBE_TIMEOUT;

/// The delays before successive probes after another backend server has ended.
/// One that ends at the same time may listen for some milliseconds longer.
const PROBE_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(60),
    Duration::from_millis(120),
];

/// What the agent knows of the backend server's running time.
#[derive(Debug, Default)]
pub(crate) struct LastSeen {
    /// When the backend server last answered, in milliseconds of the node's
    /// clock.
    answered_ms: AtomicU64,
    /// When a request was last in progress.
    busy_ms: AtomicU64,
    /// Whether its exit has been recorded since it last answered.
    exited: AtomicBool,
}

impl LastSeen {
    /// Records that the backend server answers.
    pub(crate) fn record_answer(&self, now: Time) {
        self.answered_ms.fetch_max(now.as_millis(), Ordering::SeqCst);
        self.exited.store(false, Ordering::SeqCst);
    }

    /// Records that a request is in progress, or has just ended.
    pub(crate) fn record_busy(&self, now: Time) {
        self.busy_ms.fetch_max(now.as_millis(), Ordering::SeqCst);
    }

    fn answered(&self) -> Time {
        Time::from_millis(self.answered_ms.load(Ordering::SeqCst))
    }

    fn busy(&self) -> Time {
        Time::from_millis(self.busy_ms.load(Ordering::SeqCst))
    }
}

impl Agent {
    /// Probes the backend server each time that others have ended in
    /// succession under a request, until the process stops.
    pub(crate) async fn watch_exits(&self) {
        loop {
            self.node.repeated_crash().await;
            for delay in PROBE_DELAYS {
                tokio::time::sleep(delay).await;
                if self.check_exit().await {
                    break;
                }
            }
        }
    }

    /// Checks whether the backend server has exited, and records that.
    pub(crate) async fn check_exit(&self) -> bool {
        if !is_connection_refused(self.settings.backend, PROBE_TIMEOUT).await {
            return false;
        }
        if self.seen.exited.swap(true, Ordering::SeqCst) {
            return true;
        }
        let after = self.seen.answered();
        let idle = self.in_progress.count() == 0 && self.seen.busy() < after;
        self.node.record_exit(after, idle);
        true
    }
}
