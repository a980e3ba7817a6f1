//! The place at a replica that a request gets.

use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use stairhinge::Time;
use stairhinge::direct::Replica;
use stairhinge::placing::{Outcome, RateLimit};

use super::Dispatcher;
use crate::dialect::ReplicaNotice;
use crate::placing::{Chooser, Lease};

/// A place at a replica; dropping it gives the place back.
#[derive(Debug)]
pub(crate) struct Place {
    pub replica: Arc<Replica>,
    /// The version to insist on, if any.
    pub version: Option<u64>,
    /// When the replica has to have begun, lest it begins on a version whose
    /// time is over.
    pub begin_by: Option<Time>,
    /// Requests known at the replica, and the age of the report of it.
    pub load: u32,
    /// How much longer than usual the way there takes, in milliseconds.
    pub delay_ms: u64,
    pub report_age: Option<Duration>,
    /// The replica's rate limit, if the chooser knew of one.
    pub limit: Option<RateLimit>,
    /// Who chose the replica.
    pub chooser: Chooser,
    /// What a placer is told of the place's use, if one gave it.
    pub(super) lease: Option<Lease>,
    pub(super) prompt_tokens: u32,
    pub(super) given: Instant,
    pub(super) began: bool,
    pub(super) dispatcher: Weak<Dispatcher>,
}

impl Place {
    /// Notes that the replica has begun to answer.
    pub(crate) fn begin(&mut self) {
        self.begin_after(self.given.elapsed());
    }

    /// Notes that the replica has begun to answer so long after the place
    /// was given.
    pub(crate) fn begin_after(&mut self, took: Duration) {
        if std::mem::replace(&mut self.began, true) {
            return;
        }
        if let Some(lease) = &self.lease {
            lease.began(took);
        }
        if let Some(dispatcher) = self.dispatcher.upgrade() {
            let tokens = self.prompt_tokens;
            dispatcher.begin(&self.replica.incarnation, tokens, took);
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
            dispatcher.rejected(&self.replica.incarnation, retry_after);
            if let Some(lease) = &self.lease {
                lease.report_rejected(retry_after);
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
    pub(crate) fn apply_rejected(&self, retry_after: Duration) {
        let Some(dispatcher) = self.dispatcher.upgrade() else { return };
        dispatcher.rejected(&self.replica.incarnation, retry_after);
    }

    /// Notes what the request brought, as far as it tells of the replica.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome) {
        if let Some(lease) = &mut self.lease {
            lease.note(outcome);
        }
        let Some(dispatcher) = self.dispatcher.upgrade() else { return };
        let incarnation = &self.replica.incarnation;
        match outcome {
            Outcome::Unknown => {}
            Outcome::Succeeded => dispatcher.succeeded(incarnation),
            Outcome::Failed => dispatcher.failed(incarnation),
            Outcome::Full => dispatcher.full(incarnation),
            Outcome::Misdirected => {
                dispatcher.misdirected(incarnation, self.version);
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(dispatcher) = self.dispatcher.upgrade() {
            dispatcher.release(self);
        }
    }
}
