//! A place that the placer of the hall has granted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::health::Source;
use stairhinge::placing::{Message, Outcome, PlaceEvent, RateLimit};

use super::asker::millis;
use crate::peer_socket::PeerSocket;

/// A place that another entry has granted. Dropping the lease returns the
/// place.
#[derive(Debug)]
pub(crate) struct Lease {
    wire: Arc<PeerSocket>,
    placer: SocketAddr,
    number: u64,
    outcome: Outcome,
    /// The source of the request and how long the replica took, if the outcome
    /// says whether the replica fails.
    evidence: Option<(Source, Duration)>,
}

impl Lease {
    /// Returns the lease of the place that the placer granted for a question.
    pub(super) const fn new(
        wire: Arc<PeerSocket>,
        placer: SocketAddr,
        number: u64,
    ) -> Lease {
        let outcome = Outcome::Unknown;
        Lease { wire, placer, number, outcome, evidence: None }
    }

    /// Reports to the placer that the replica has started to answer, `took`
    /// after the place was granted, with an error response if `errored` is
    /// set.
    pub(crate) fn report_began(&self, took: Duration, errored: bool) {
        let took_ms = millis(took);
        self.send_event(PlaceEvent::Began { took_ms, errored });
    }

    /// Reports the replica's rate limit to the placer. `sent_ago` and
    /// `received_ago` are the ages of the request and of the answer that set
    /// or omitted the limit.
    pub(crate) fn report_limit(
        &self,
        limit: Option<RateLimit>,
        sent_ago: Duration,
        received_ago: Duration,
    ) {
        let sent_ms = millis(sent_ago);
        let received_ms = millis(received_ago);
        self.send_event(PlaceEvent::Limit { limit, sent_ms, received_ms });
    }

    /// Reports to the placer that the replica is leaving. `received_ago` is
    /// the age of the answer that announced it, and `born` the start time of
    /// the process that sent that answer.
    pub(crate) fn report_leaving(
        &self,
        received_ago: Duration,
        born: Option<u64>,
    ) {
        let received_ms = millis(received_ago);
        self.send_event(PlaceEvent::Leaving { received_ms, born });
    }

    /// Reports to the placer that the replica sent `Retry-After`.
    pub(crate) fn report_retry_after(&self, retry_after: Duration) {
        let retry_after_ms = millis(retry_after);
        self.send_event(PlaceEvent::Rejected { retry_after_ms });
    }

    /// Sets the outcome that is reported to the placer when the place is
    /// returned.
    pub(crate) const fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Sets the source of the request, and how long the replica took, which
    /// are reported with an outcome that says whether the replica fails.
    pub(crate) fn set_evidence(
        &mut self,
        source: Option<Source>,
        took: Duration,
    ) {
        self.evidence = source.map(|source| (source, took));
    }

    fn send_event(&self, event: PlaceEvent) {
        let message = Message::Event { number: self.number, event };
        self.wire.send(self.placer, &message);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let source = self.evidence.map(|(source, _)| source);
        let took_ms = self.evidence.map(|(_, took)| millis(took));
        self.send_event(PlaceEvent::ended(self.outcome, source, took_ms));
    }
}
