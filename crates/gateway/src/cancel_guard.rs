//! Noticing callers that go.

use std::sync::Arc;
use std::time::Instant;

use stairhinge_shell::decisions::Decision;

use crate::forward::Forwarder;

/// Notes that a caller went before its answer's head was there.
pub(crate) struct CancelGuard {
    forwarder: Arc<Forwarder>,
    id: Arc<str>,
    started: Instant,
    disarmed: bool,
}

impl CancelGuard {
    /// Watches a request from its head on.
    pub(crate) fn new(
        forwarder: &Arc<Forwarder>,
        id: Arc<str>,
        started: Instant,
    ) -> CancelGuard {
        let forwarder = Arc::clone(forwarder);
        CancelGuard { forwarder, id, started, disarmed: false }
    }

    /// Notes that the head of the answer is there.
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
