//! Detection of callers that disconnect before their answer.

use std::sync::Arc;
use std::time::Instant;

use stairhinge_shell::decisions::Decision;

use crate::forward::Forwarder;

/// Counts and logs a request as cancelled if it is dropped, as happens when
/// the caller disconnects, before [`CancelGuard::disarm`] is called.
pub(crate) struct CancelGuard {
    forwarder: Arc<Forwarder>,
    id: Arc<str>,
    started: Instant,
    disarmed: bool,
}

impl CancelGuard {
    /// Returns a guard for a request whose head arrived at `started`.
    pub(crate) fn new(
        forwarder: &Arc<Forwarder>,
        id: Arc<str>,
        started: Instant,
    ) -> CancelGuard {
        let forwarder = Arc::clone(forwarder);
        CancelGuard { forwarder, id, started, disarmed: false }
    }

    /// Disarms the guard, since the head of the answer is available.
    pub(crate) const fn disarm(&mut self) {
        self.disarmed = true;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.disarmed {
            return;
        }
        self.forwarder.metrics.cancelled.inc();
        self.forwarder.facts.log().write(&Decision::Cancelled {
            request: &self.id,
            took_ms: self.started.elapsed().as_millis() as u64,
        });
    }
}
