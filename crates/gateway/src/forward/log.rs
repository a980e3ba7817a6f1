//! Logging and counting of the events of a request.

use std::time::{Duration, Instant};

use stairhinge::direct::NextStep;
use stairhinge::overload::Full;
use stairhinge::placing::{Need, RateLimit};
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::directory::Collection;

use super::{FailedAttempt, Forwarder};
use crate::dispatch::{Place, ReplicaCount};
use crate::event_timing::EventTiming;
use crate::request_context::RequestContext;

impl Forwarder {
    /// Logs and counts the final answer of a request.
    pub(crate) fn log_ended(
        &self,
        context: &RequestContext,
        status: u16,
        code: u16,
        reason: &str,
        pauses: Option<&EventTiming>,
    ) {
        self.metrics.count_answer(status, code);
        self.facts.log().write(&Decision::Ended {
            request: &context.caller.id,
            status,
            code,
            reason,
            took_ms: context.elapsed_ms(),
            first_ms: pauses.and_then(|p| p.first_ms(context.started)),
            pause_ms: pauses.map(EventTiming::longest_gap_ms),
            routes_age_ms: None,
        });
    }

    /// Logs that no replica was found for a request, and returns the counts
    /// that were logged.
    pub(super) fn log_no_replica(
        &self,
        context: &RequestContext,
        need: &Need,
        from: Instant,
    ) -> ReplicaCount {
        let count = self.dispatcher.count(need);
        self.facts.log().write(&Decision::NoReplica {
            request: &context.caller.id,
            service: &context.service,
            list: self.facts.reading(Collection::Replicas).state.name(),
            listed: count.listed,
            suitable: count.suitable,
            barred: count.barred,
            evacuated: count.evacuated,
            leaving: count.leaving,
            resting: count.resting,
            limited: count.limited,
            waited_ms: from.elapsed().as_millis() as u64,
            revision: context.revision,
        });
        count
    }

    /// Logs and counts the refusal of a request for lack of capacity, with the
    /// estimate that decided.
    pub(super) fn log_overload(
        &self,
        context: &RequestContext,
        need: &Need,
        full: &Full,
        from: Instant,
    ) {
        let (priority, route_priority) = need.urgency();
        self.metrics.count_shed(full, need.urgency());
        self.facts.log().write(&Decision::OverloadRefused {
            request: &context.caller.id,
            service: &context.service,
            reason: full.reason.name(),
            priority,
            route_priority,
            retry_after_ms: full.retry_after_ms,
            promised: full.promised,
            capacity: full.capacity,
            demand: full.demand,
            age_ms: full.age_ms,
            left_ms: need.left_ms,
            waited_ms: from.elapsed().as_millis() as u64,
            revision: context.revision,
        });
    }

    /// Logs and counts an attempt that is about to be sent.
    pub(super) fn log_sent(
        &self,
        context: &RequestContext,
        place: &Place,
        attempt: u32,
        left: Duration,
        given: Duration,
    ) {
        self.metrics.attempts.inc();
        let own_choice = place.chooser.own_choice();
        self.metrics
            .count_choice(own_choice.unwrap_or("the placer of the hall"));
        self.facts.log().write(&Decision::Sent {
            request: &context.caller.id,
            replica: &place.replica.incarnation,
            attempt,
            load: place.load,
            delay_ms: place.delay_ms,
            report_age_ms: place.report_age.map(|a| a.as_millis() as u64),
            placer: place.chooser.placer(),
            own_choice,
            limit_per_s: place.limit.map(RateLimit::per_s),
            revision: context.revision,
            version: place.version,
            left_ms: left.as_millis() as u64,
            given_ms: (given < left).then_some(given.as_millis() as u64),
            waited_ms: context.elapsed_ms(),
            expected_ms: place.expected_ms(),
            begin_in_ms: self.left_to_begin(place),
            crashed: self.poison.suspicion(context).ended,
            informed_ms: self.poison.catch_up().informed_ms(),
        });
    }

    /// Logs that a request has begun, if the replica's version is outdated.
    pub(super) fn log_begun(
        &self,
        context: &RequestContext,
        place: &Place,
        version: Option<u64>,
        took: Duration,
    ) {
        let Some(left_ms) = self.left_to_begin(place) else { return };
        self.facts.log().write(&Decision::BegunOutdated {
            request: &context.caller.id,
            replica: &place.replica.incarnation,
            version,
            took_ms: took.as_millis() as u64,
            left_ms,
        });
    }

    /// Returns the time left for a replica with an outdated version to begin,
    /// in milliseconds.
    fn left_to_begin(&self, place: &Place) -> Option<u64> {
        let begin_by = place.begin_by?;
        Some(begin_by.since(self.facts.now()).as_millis() as u64)
    }

    /// Logs that a replica is silent while a request waits for it.
    pub(crate) fn log_silent(
        &self,
        context: &RequestContext,
        replica: &str,
        silent: Duration,
    ) {
        self.metrics.silences.inc();
        self.facts.log().write(&Decision::ReplicaSilent {
            request: &context.caller.id,
            replica,
            silent_ms: silent.as_millis() as u64,
        });
    }

    /// Logs why no further attempt was sent beside one in progress.
    pub(crate) fn log_not_sent(&self, context: &RequestContext, reason: &str) {
        self.facts.log().write(&Decision::NotSentFurther {
            request: &context.caller.id,
            reason,
        });
    }

    /// Logs a failed attempt, and counts it if the replica's process ended.
    pub(crate) fn log_failed(
        &self,
        context: &RequestContext,
        failed: &FailedAttempt,
        next: NextStep,
    ) {
        self.log_failed_with(context, failed, next.name());
    }

    /// Logs an attempt that failed while another one is in progress.
    pub(crate) fn log_failed_beside(
        &self,
        context: &RequestContext,
        failed: &FailedAttempt,
    ) {
        self.log_failed_with(context, failed, "wait");
    }

    fn log_failed_with(
        &self,
        context: &RequestContext,
        failed: &FailedAttempt,
        next: &'static str,
    ) {
        if failed.replica_ended == Some(true) {
            self.metrics.replica_ended_under.inc();
        }
        self.facts.log().write(&Decision::AttemptFailed {
            request: &context.caller.id,
            fingerprint: &context.fingerprint().to_string(),
            replica: &failed.replica.incarnation,
            reason: &failed.reason,
            after_ms: failed.sent.elapsed().as_millis() as u64,
            replica_ended: failed.replica_ended,
            next,
        });
    }
}
