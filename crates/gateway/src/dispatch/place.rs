//! The place that a request occupies at a replica.

use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use stairhinge::Time;
use stairhinge::direct::Replica;
use stairhinge::health::Source;
use stairhinge::placing::{Outcome, RateLimit};

use super::Dispatcher;
use crate::dialect::ReplicaNotice;
use crate::placing::{Chooser, Lease};

/// What is known of the outcome of the request that uses a place.
#[derive(Debug, Default)]
pub(super) struct PlaceOutcome {
    /// Whether the request is a trial of a replica that was ejected.
    pub trial: bool,
    /// The expected time to the first token, if this entry chose the replica
    /// and the service has an engine, in milliseconds.
    pub expected_ms: Option<f64>,
    /// The number of the request among those of the replica whose first byte
    /// is awaited.
    pub number: Option<u64>,
    /// Whether the request failed, if its outcome says anything about the
    /// replica.
    pub failed: Option<bool>,
    /// Whether the request was sent to another replica before.
    pub is_retry: bool,
    /// The replicas that the request was sent to before.
    pub tried: Vec<Arc<str>>,
    /// The source of the request, if outcomes are evaluated.
    pub source: Option<Source>,
    /// How long the replica took, as reported by the entry that used the
    /// place.
    pub took: Option<Duration>,
}

/// A place at a replica, released on drop.
#[derive(Debug)]
pub(crate) struct Place {
    pub replica: Arc<Replica>,
    /// The version that the replica is required to have, if any.
    pub version: Option<u64>,
    /// The time by which the replica has to start the request, so that it does
    /// not run on an expired version.
    pub begin_by: Option<Time>,
    /// The time by which the request has to be sent so that it is expected to
    /// start in time.
    pub send_by: Option<Time>,
    /// The number of requests known to be at the replica.
    pub load: u32,
    /// The delay of the link beyond the usual one, in milliseconds.
    pub delay_ms: u64,
    /// The age of the agent's report that `load` is based on.
    pub report_age: Option<Duration>,
    /// The replica's rate limit, if the chooser knew of one.
    pub limit: Option<RateLimit>,
    /// Which process chose the replica, and why.
    pub chooser: Chooser,
    /// The lease from the placer, if the placer granted the place.
    pub(super) lease: Option<Box<Lease>>,
    pub(super) prompt_tokens: u32,
    pub(super) given_at: Instant,
    pub(super) began: bool,
    pub(super) outcome: Box<PlaceOutcome>,
    pub(super) dispatcher: Weak<Dispatcher>,
}

impl Place {
    /// Returns the expected time to the first token in milliseconds, if this
    /// entry chose the replica and the service has an engine.
    pub(crate) fn expected_ms(&self) -> Option<u64> {
        self.outcome.expected_ms.map(|ms| ms.max(0.0).round() as u64)
    }

    /// Records that the replica has started to answer, with an error response
    /// if `errored` is set.
    pub(crate) fn record_begin(&mut self, errored: bool) {
        self.record_begin_after(self.given_at.elapsed(), errored);
    }

    /// Records that the replica has started to answer `took` after the place
    /// was granted.
    pub(crate) fn record_begin_after(
        &mut self,
        took: Duration,
        errored: bool,
    ) {
        if std::mem::replace(&mut self.began, true) {
            return;
        }
        let took = took.min(self.given_at.elapsed());
        if let Some(lease) = &self.lease {
            lease.report_began(took, errored);
        }
        if let Some(dispatcher) = self.dispatcher.upgrade() {
            let tokens = self.prompt_tokens;
            let replica = &self.replica;
            dispatcher.record_begin(&replica.incarnation, tokens, took);
            dispatcher.forget_awaited(self);
            if !errored {
                dispatcher.record_answer_begun(&replica.incarnation);
                dispatcher.record_first_token(&replica.service, took);
                dispatcher.record_first_byte(self, took);
            }
        }
    }

    /// Handles the notice in the replica's answer to a request sent at
    /// `sent_at`.
    pub(crate) fn handle_notice(&self, notice: &ReplicaNotice, sent_at: Time) {
        let Some(dispatcher) = self.dispatcher.upgrade() else { return };
        let now = dispatcher.facts().now();
        if let Some(lease) = &self.lease
            && let Ok(limit) = notice.limit
            && limit != self.limit
        {
            let sent_ago = now.since(sent_at);
            lease.report_limit(limit, sent_ago, Duration::ZERO);
        }
        if let Some(lease) = &self.lease
            && let Ok(true) = notice.leaving
        {
            lease.report_leaving(Duration::ZERO, self.replica.born);
        }
        if let Ok(Some(retry_after)) = notice.retry_after {
            let retry_after = retry_after.duration();
            dispatcher
                .record_retry_after(&self.replica.incarnation, retry_after);
            if let Some(lease) = &self.lease {
                lease.report_retry_after(retry_after);
            }
        }
        let incarnation = &self.replica.incarnation;
        dispatcher.apply_notice(incarnation, notice, sent_at, now);
    }

    /// Applies the replica's rate limit as reported by the entry that uses the
    /// place.
    pub(crate) fn apply_limit(
        &self,
        limit: Option<RateLimit>,
        sent_ago: Duration,
        received_ago: Duration,
    ) {
        let Some(dispatcher) = self.dispatcher.upgrade() else { return };
        let incarnation = &self.replica.incarnation;
        let now = dispatcher.facts().now();
        let sent_at = now.before(sent_ago);
        let received_at = now.before(received_ago);
        dispatcher.apply_limit(incarnation, limit, sent_at, received_at);
    }

    /// Marks the replica as leaving, as reported by the entry that uses the
    /// place. `received_ago` is the age of the answer that announced it.
    /// Does nothing if `born`, the start time of the process that announced
    /// it, differs from that of the process that the place is on.
    pub(crate) fn apply_leaving(
        &self,
        received_ago: Duration,
        born: Option<u64>,
    ) {
        if born != self.replica.born {
            return;
        }
        let Some(dispatcher) = self.dispatcher.upgrade() else { return };
        let incarnation = &self.replica.incarnation;
        let at = dispatcher.facts().now().before(received_ago);
        dispatcher.apply_leaving(incarnation, true, at, at);
    }

    /// Applies the replica's `Retry-After` as reported by the entry that uses
    /// the place.
    pub(crate) fn apply_retry_after(&self, retry_after: Duration) {
        let Some(dispatcher) = self.dispatcher.upgrade() else { return };
        dispatcher.record_retry_after(&self.replica.incarnation, retry_after);
    }

    /// Sets the source of the request for which the place is used, and whether
    /// this is its first attempt.
    pub(crate) const fn set_source(&mut self, source: Source, first: bool) {
        self.outcome.source = Some(source);
        self.outcome.is_retry = !first;
    }

    /// Records that the replica's answer was complete.
    pub(crate) fn record_whole(&mut self) {
        self.outcome.failed = self.outcome.failed.or(Some(false));
    }

    /// Records the end of the request as reported by the entry that used the
    /// place. `source` is `None` if the outcome says nothing about whether the
    /// replica fails.
    pub(crate) fn record_reported_end(
        &mut self,
        outcome: Outcome,
        source: Option<Source>,
        took: Option<Duration>,
    ) {
        if outcome != Outcome::Unknown {
            self.record_outcome(outcome);
        }
        self.outcome.source = source;
        // The clock of the place bounds what another process reports.
        let age = self.given_at.elapsed();
        self.outcome.took = took.map(|took| took.min(age));
        if source.is_some() && outcome == Outcome::Succeeded {
            self.record_whole();
        }
    }

    /// Records that the replica did not answer within `limit`. It says nothing
    /// about the replica if the caller or the version's expiry allowed less
    /// than `usual`: the limit is then due to the request.
    pub(crate) fn record_timeout(&mut self, limit: Duration, usual: Duration) {
        if self.begin_by.is_some() && limit < usual {
            // It was cancelled because its version expires.
            return;
        }
        self.record_outcome(Outcome::Failed);
        if limit < usual {
            self.outcome.source = None;
        }
    }

    /// Records what the outcome of the request shows about the replica. An
    /// answer counts as complete only by [`Self::record_whole`].
    pub(crate) fn record_outcome(&mut self, outcome: Outcome) {
        // An error response to a request that another replica has answered
        // with an error is due to the request, which counts once.
        let counts = outcome == Outcome::Failed
            || (outcome == Outcome::Errored && !self.outcome.is_retry);
        if counts {
            self.outcome.failed = Some(true);
        }
        if let Some(lease) = &mut self.lease {
            lease.set_outcome(outcome);
        }
        let Some(dispatcher) = self.dispatcher.upgrade() else { return };
        let incarnation = &self.replica.incarnation;
        match outcome {
            Outcome::Unknown | Outcome::Errored => {}
            Outcome::Succeeded => dispatcher.record_success(incarnation),
            Outcome::Failed => {
                let sent_ago = self.given_at.elapsed();
                dispatcher.record_failure(incarnation, sent_ago);
            }
            Outcome::Full => dispatcher.record_full(incarnation),
            Outcome::Misdirected => {
                dispatcher.record_misdirected(incarnation, self.version);
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let took =
            self.outcome.took.unwrap_or_else(|| self.given_at.elapsed());
        if let Some(lease) = &mut self.lease
            && self.outcome.failed.is_some()
        {
            lease.set_evidence(self.outcome.source, took);
        }
        if let Some(dispatcher) = self.dispatcher.upgrade() {
            if !self.began {
                dispatcher.forget_awaited(self);
            }
            dispatcher.record_ended(
                self,
                self.outcome.failed,
                self.outcome.source,
                took,
            );
        }
        if let Some(dispatcher) = self.dispatcher.upgrade() {
            dispatcher.release_place(self);
        }
    }
}

#[cfg(test)]
#[path = "place_tests.rs"]
mod tests;
