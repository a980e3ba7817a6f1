//! The state that an entry keeps for each replica.

use std::time::{Duration, Instant};

use stairhinge::Time;
use stairhinge::direct::Replica;
use stairhinge::direct::balance::Load;
use stairhinge::health::{FirstByteSpeed, ReplicaHealth};
use stairhinge::placing::{
    KnownLeaving, KnownLimit, KnownRetryAfter, Need, SentWindow,
};
use stairhinge::poison::{Fingerprint, PoisonTable};
use stairhinge::routing::Health;

use super::confirmed::ConfirmedLoad;
use crate::report::EngineReport;

/// A replica that takes longer than this to start a request counts as slow.
pub(super) const SLOW_START: Duration = Duration::from_millis(700);

/// The latency penalty of a slow replica in comparison with others, in
/// milliseconds.
const SLOW_COST_MS: f64 = 150.0;

/// The usual delay of a link probe while chunks are transferred, in
/// milliseconds.
const USUAL_LINK_MS: u32 = 60;

/// How long a replica counts as slow after a slow start or a failure.
const SLOW_RETENTION: Duration = Duration::from_secs(5);

/// How long a report is used after it was received or confirmed.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_500);

/// The age from which a report is late. Agents send a line at least twice a
/// second, even if nothing has changed.
const REPORT_LATE_AFTER: Duration = Duration::from_millis(750);

/// The probe delay above which a link counts as saturated, in milliseconds.
const SATURATED_LINK_MS: u32 = 250;

/// How long a replica is excluded after it answered that it is not the
/// intended one or lacks the required version. A crashed replica stays listed
/// for three heartbeats, 3.6 s, beside its successor at the same address; a
/// late list entry arrives within 2 s.
const MISDIRECTED_RETENTION: Duration = Duration::from_millis(2_000);

/// How long the rate limit or leaving announcement of an unlisted replica is
/// retained after it was last received. List entries can expire while the
/// platform's store is unavailable.
const NOTICE_RETENTION: Duration = Duration::from_secs(120);

/// An agent's report and when it was last received or confirmed.
#[derive(Debug)]
pub(super) struct ReceivedReport {
    pub report: EngineReport,
    pub at: Instant,
}

impl ReceivedReport {
    /// Returns whether the report is recent enough to be used.
    pub(super) fn is_fresh(&self) -> bool {
        self.at.elapsed() < REPORT_VALIDITY
    }
}

/// A replica's answer that it is not the intended one or does not have the
/// required version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Misdirected {
    /// The required version, if any.
    pub version: Option<u64>,
    pub at: Instant,
}

/// The state that an entry keeps for one replica.
#[derive(Debug, Default)]
pub(super) struct KnownReplica {
    /// The start time of the process that the state belongs to, if it was
    /// announced.
    pub born: Option<u64>,
    pub load: Load,
    pub offset: Option<f64>,
    /// Its exclusion after failed connections, timeouts and `Retry-After`.
    pub health: Health,
    /// Its exclusion by the outcomes of its requests.
    pub outcomes: ReplicaHealth,
    /// Its observed speed.
    pub first_byte: FirstByteSpeed,
    /// When it last failed or was slow to start a request.
    pub slow_at: Option<Instant>,
    pub reported: Option<ReceivedReport>,
    /// Whether its agent was asked for reports, and has neither answered nor
    /// been found to be unreachable yet.
    pub awaits_agent: bool,
    /// The load that its agent has confirmed.
    pub confirmed: ConfirmedLoad,
    pub full_until: Option<Instant>,
    /// The remaining cold time in its last list entry, in milliseconds.
    pub cold_ms: u64,
    /// When it stops being cold.
    pub cold_until: Option<Time>,
    /// The requests that were recently sent to it.
    pub sent: SentWindow,
    /// Its rate limit, as last announced in its answers.
    pub limit: KnownLimit,
    /// Whether it is leaving, as last announced in its answers.
    pub leaving: KnownLeaving,
    /// Until when it asked this entry to send it no requests.
    pub retry_after: KnownRetryAfter,
    /// Whether its last notice was invalid.
    pub notice_invalid: bool,
    /// The last answer that it was not the intended replica.
    pub misdirected: Option<Misdirected>,
    /// Until when it may crash on a suspected request assigned to it.
    pub suspect_until: Option<Instant>,
    /// That request, if all its runs share one replica.
    pub shared_run: Option<Fingerprint>,
    /// Until when it may crash on a trial run assigned to it: a request that
    /// is quarantined if it crashes one more replica.
    pub trial_until: Option<Instant>,
}

impl KnownReplica {
    /// Records that a request was assigned as a trial. Returns the number of
    /// consecutive ejections, or `None` if the replica is not on trial.
    pub(super) fn record_trial_sent(&mut self, now: Time) -> Option<u32> {
        if !self.outcomes.standing(now).is_excluded() {
            return None;
        }
        self.outcomes.record_trial_sent(now);
        Some(self.outcomes.ejections())
    }

    /// Resets the state if it belongs to an earlier process of the replica.
    /// Counts of requests in progress are kept, because each request ends by
    /// itself, and so is the report, because the agent keeps running.
    pub(super) fn reset_if_restarted(&mut self, replica: &Replica) {
        if self.born != replica.born {
            self.reset(replica);
        }
    }

    /// Returns whether this state belongs to the listed process of the
    /// replica.
    pub(super) fn matches_process(&self, replica: &Replica) -> bool {
        self.born == replica.born
    }

    /// Updates the state from the replica's list entry. Returns how long the
    /// replica is cold, in milliseconds, if it has just become cold.
    pub(super) fn update_from_listing(
        &mut self,
        replica: &Replica,
        now: Time,
    ) -> Option<u64> {
        self.reset_if_restarted(replica);
        if self.cold_ms == replica.cold_ms {
            return None;
        }
        let was_cold = self.is_cold(now);
        self.cold_ms = replica.cold_ms;
        let span = Duration::from_millis(replica.cold_ms);
        self.cold_until = Some(now.after(span));
        (!was_cold && self.is_cold(now)).then_some(replica.cold_ms)
    }

    /// Drops the agent's report; returns whether there was one.
    pub(super) fn drop_report(&mut self) -> bool {
        self.awaits_agent = false;
        self.load = self.load.without_report();
        self.reported.take().is_some()
    }

    /// Whether the state must be retained while the replica is not listed: its
    /// rate limit or leaving announcement was received within
    /// `NOTICE_RETENTION`, or its `Retry-After` has not expired.
    pub(super) fn has_recent_notice(&self, now: Time) -> bool {
        let limit_set_at = self.limit.last_set().map(|(_, at)| at);
        let last_at = limit_set_at.max(self.leaving.last_at());
        let recent =
            last_at.is_some_and(|at| now.since(at) < NOTICE_RETENTION);
        recent || self.retry_after.remaining(now).is_some()
    }

    /// Returns whether the replica is cold and can handle few requests.
    pub(super) fn is_cold(&self, now: Time) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    fn reset(&mut self, replica: &Replica) {
        // A restarted engine has nothing loaded.
        let confirmed = match self.confirmed {
            ConfirmedLoad::Unknown => ConfirmedLoad::Unknown,
            ConfirmedLoad::Expected(since) => ConfirmedLoad::Expected(since),
            _ => ConfirmedLoad::Nothing,
        };
        *self = KnownReplica {
            born: replica.born,
            confirmed,
            awaits_agent: self.awaits_agent,
            load: self.load,
            offset: self.offset,
            reported: self.reported.take(),
            sent: std::mem::take(&mut self.sent),
            ..KnownReplica::default()
        };
    }

    /// Records that a request was assigned to the replica.
    pub(super) fn record_assigned(&mut self, need: &Need, now: Time) {
        self.sent.record(now);
        self.health.record_sent(now);
        self.load.own_pending += 1;
        self.load.own_pending_tokens += need.prompt_tokens;
        let until = Some(Instant::now() + PoisonTable::TRIAL_PERIOD);
        if need.suspicion.ended > 0 {
            self.suspect_until = until;
            self.shared_run = need.shared_run;
        }
        if need.suspicion.requires_exclusive_run() {
            self.trial_until = until;
        }
    }

    /// Returns whether a request suspected of crashing replicas was recently
    /// assigned to it, other than a run with which this one shares it.
    pub(super) fn has_suspect(&self, need: &Need) -> bool {
        let until = self.suspect_until;
        !self.shares_run(need)
            && until.is_some_and(|until| Instant::now() < until)
    }

    /// Returns whether a trial run was recently assigned to it, other than one
    /// with which this request shares it.
    pub(super) fn has_trial(&self, need: &Need) -> bool {
        let until = self.trial_until;
        !self.shares_run(need)
            && until.is_some_and(|until| Instant::now() < until)
    }

    fn shares_run(&self, need: &Need) -> bool {
        need.shared_run.is_some() && need.shared_run == self.shared_run
    }

    /// Returns the known delay of the link to it beyond the usual one, in
    /// milliseconds.
    pub(super) fn delay_ms(&self) -> f64 {
        let reported = self.reported.as_ref();
        let link = reported.map_or(0, |r| r.report.link_ms);
        let slow = if self.was_slow() { SLOW_COST_MS } else { 0.0 };
        slow.max(f64::from(link.saturating_sub(USUAL_LINK_MS)))
    }

    /// Returns the factor by which the engine is slower than usual, by its
    /// agent's report.
    pub(super) fn slowdown(&self) -> f64 {
        let reported = self.reported.as_ref();
        reported.map_or(1.0, |r| f64::from(r.report.pace).max(1.0))
    }

    /// Returns whether requests may take long to reach it: it was slow
    /// recently, its agent's reports, which use the same link, are late, or
    /// the link is saturated.
    pub(super) fn is_slow(&self) -> bool {
        let late = self.reported.as_ref().is_none_or(|r| {
            r.at.elapsed() > REPORT_LATE_AFTER
                || r.report.link_ms > SATURATED_LINK_MS
        });
        self.was_slow() || late
    }

    /// Returns whether it recently answered that it is not the intended
    /// replica and no later report shows a different version. A report of the
    /// same version does not clear this: the address then belongs to another
    /// replica.
    pub(super) fn is_misdirected(&self) -> bool {
        let Some(said) = self.misdirected else { return false };
        let newer = self.reported.as_ref().is_some_and(|r| {
            r.at > said.at
                && said.version.is_some()
                && r.report.version != said.version
        });
        !newer && said.at.elapsed() < MISDIRECTED_RETENTION
    }

    fn was_slow(&self) -> bool {
        self.slow_at.is_some_and(|at| at.elapsed() < SLOW_RETENTION)
    }
}

#[cfg(test)]
#[path = "known_tests.rs"]
mod tests;
