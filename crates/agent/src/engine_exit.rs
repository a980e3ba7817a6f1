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

/// The longest span in which an exit is reported. If the backend server has
/// not answered for longer, the exit may have been at any time.
const MAX_EXIT_SPAN: Duration = Duration::from_secs(2);

/// When the backend server last answered and ran requests.
#[derive(Debug, Default)]
pub(crate) struct EngineActivity {
    /// When the backend server last answered, in milliseconds of the node's
    /// clock.
    answered_ms: AtomicU64,
    /// When a request was last in progress.
    busy_ms: AtomicU64,
    /// Whether its exit has been recorded since it last answered.
    exited: AtomicBool,
    /// Whether it has ended since it last answered.
    ended: AtomicBool,
    /// The number of its lives that have ended.
    lives: AtomicU64,
}

/// The exit of the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct BackendExit {
    /// When it was last known to be running.
    after: Time,
    /// Whether it has run no request since then.
    idle: bool,
}

impl EngineActivity {
    /// Records that the backend server answers.
    pub(crate) fn record_answer(&self, now: Time) {
        self.answered_ms.fetch_max(now.as_millis(), Ordering::SeqCst);
        self.exited.store(false, Ordering::SeqCst);
        if self.ended.swap(false, Ordering::SeqCst) {
            self.lives.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Records that the backend server has ended. Returns the number of that
    /// life, which is the same for all requests that it ended.
    pub(crate) fn record_end(&self) -> u64 {
        self.ended.store(true, Ordering::SeqCst);
        self.lives.load(Ordering::SeqCst)
    }

    /// Records that a request is in progress, or has just ended.
    pub(crate) fn record_busy(&self, now: Time) {
        self.busy_ms.fetch_max(now.as_millis(), Ordering::SeqCst);
    }

    /// Returns the exit of the backend server, which does not listen any more
    /// at `now`, if it was not returned before and its time is known. `running`
    /// is the number of requests in progress.
    fn take_exit(&self, running: usize, now: Time) -> Option<BackendExit> {
        if self.exited.swap(true, Ordering::SeqCst) {
            return None;
        }
        let answered_ms = self.answered_ms.load(Ordering::SeqCst);
        let after = Time::from_millis(answered_ms);
        if answered_ms == 0 || now.since(after) > MAX_EXIT_SPAN {
            return None;
        }
        let busy_ms = self.busy_ms.load(Ordering::SeqCst);
        let idle = running == 0 && busy_ms < answered_ms;
        Some(BackendExit { after, idle })
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

    /// Returns whether the backend server does not listen any more, and records
    /// its exit.
    pub(crate) async fn check_exit(&self) -> bool {
        if !is_connection_refused(self.settings.backend, PROBE_TIMEOUT).await {
            return false;
        }
        let running = self.in_progress.count();
        let exit = self.activity.take_exit(running, self.node.now());
        if let Some(BackendExit { after, idle }) = exit {
            let life = self.activity.record_end();
            self.node.record_exit(after, idle, life);
        }
        true
    }
}

#[cfg(test)]
#[path = "engine_exit_tests.rs"]
mod tests;
