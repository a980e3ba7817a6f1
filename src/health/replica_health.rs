//! The health of one process lifetime of a replica.

use std::collections::VecDeque;
use std::time::Duration;

use super::expected_rate::{FAILING_RATE, MIN_RATE};
use super::outcome_window::{CumulativeSum, OutcomeWindow};
use super::{EjectionLimits, Expectation, Source};
use crate::Time;

/// The sum at which a replica is ejected: four failures in a row of requests
/// that do not fail elsewhere. With three, replicas were ejected when several
/// workspaces' requests began to fail everywhere.
const EJECTION_SCORE: f64 = 8.0;

/// The sum of a single source at which a replica is ejected. It is higher
/// because there are many sources.
const SOURCE_EJECTION_SCORE: f64 = 9.0;

/// The sum from which a replica is suspect: two failures of requests that do
/// not fail elsewhere.
const SUSPECT_SCORE: f64 = 4.0;

/// The sum from which a replica without requests gets a trial: one failure.
const DOUBT_SCORE: f64 = 1.0;

/// The sum with which a replica returns, so that two failures eject it again.
const RETURN_SCORE: f64 = SUSPECT_SCORE;

/// The failure rate that the candidate's cost is based on when the replica is
/// about to be ejected.
const MAX_COST_RATE: f64 = 0.8;

/// The cost of sending a request again, in milliseconds: the time to choose
/// another replica, and the value of the retry, which the budget limits.
const RETRY_COST_MS: f64 = 100.0;

/// The score of trials at which a replica returns: two successes, or three if
/// the source fails 14 in 100 requests everywhere.
const TRIAL_PASS_SCORE: f64 = 1.2;

/// The score of trials at which a replica is excluded again: one failure, or
/// two if the source fails 14 in 100 requests everywhere.
const TRIAL_FAIL_SCORE: f64 = -1.5;

/// How long a trial without an outcome keeps others from being sent. It
/// exceeds the time for which an entry waits for the head of an answer.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long after a failed trial that decides nothing yet the next one is
/// sent.
const RETRY_SPAN: Duration = Duration::from_millis(500);

/// How long the number of requests of a returning replica is limited.
const RETURN_SPAN: Duration = Duration::from_secs(2);

/// How long a replica that gets no trials, since its service has no
/// repeatable requests, waits before it returns without them.
const TRIAL_WAIT: Duration = Duration::from_secs(5);

/// How long a replica has to serve after its return until the next ejection
/// counts as the first.
const FORGET_EJECTIONS_AFTER: Duration = Duration::from_secs(20);

/// A completed request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The source of the request.
    pub source: Source,
    /// Whether it failed at the replica.
    pub failed: bool,
    /// Whether it was sent as a trial.
    pub trial: bool,
    /// The time from sending it to its end.
    pub took: Duration,
}

/// How much later than the first failure at another entry a request must have
/// been sent so that its success contradicts the ejection. The first failure
/// may have been the request's own fault.
const CONTRADICTION_SLACK: Duration = Duration::from_millis(250);

/// How long the success of a retry confirms a failure. It exceeds the deadline
/// of most requests.
const CONFIRMATION_SPAN: Duration = Duration::from_secs(5);

/// The maximum number of failures whose retries are awaited.
const MAX_UNCONFIRMED: usize = 16;

/// A failure that a successful retry at another replica would confirm.
#[derive(Clone, Copy, Debug)]
struct Unconfirmed {
    source: Source,
    trial: bool,
    /// By how much the failure was counted.
    counted: f64,
    at: Time,
}

/// What a suspicion is based on: the requests since the sum was last zero.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// The number of requests.
    pub requests: u32,
    /// How many of them failed.
    pub failures: u32,
    /// The mean failure rate that was expected of those that failed.
    pub expected: f64,
    /// The mean time that the failures took, in milliseconds.
    pub failure_ms: f64,
}

impl Evidence {
    /// Returns the failure rate.
    pub fn rate(self) -> f64 {
        f64::from(self.failures) / f64::from(self.requests.max(1))
    }

    fn record(&mut self, sample: &Sample, expected: f64) {
        self.requests = self.requests.saturating_add(1);
        if !sample.failed {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let weight = 1.0 / f64::from(self.failures);
        self.expected += (expected - self.expected) * weight;
        let ms = sample.took.as_secs_f64() * 1e3;
        self.failure_ms += (ms - self.failure_ms) * weight;
    }
}

/// Whether a replica gets requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It gets requests as its cost demands.
    InService,
    /// It gets no requests.
    Ejected,
    /// It gets repeatable requests, one at a time.
    OnTrial,
    /// It gets a growing number of requests.
    Returning,
}

impl Standing {
    /// Returns whether the replica gets no requests other than trials.
    pub const fn is_excluded(self) -> bool {
        matches!(self, Standing::Ejected | Standing::OnTrial)
    }
}

/// A change of a replica's standing that an outcome caused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthChange {
    /// It has begun to fail more than the others.
    Suspected,
    /// It fails more than the others and should be ejected if the limits
    /// allow it ([`ReplicaHealth::eject`]).
    Failing,
    /// It failed its trials and is excluded again.
    FailedTrial,
    /// It passed its trials and returns.
    Readmitted,
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    InService,
    Ejected {
        until: Time,
        trials: Trials,
        /// Whether another entry ejected it.
        reported: bool,
    },
    Returned {
        at: Time,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Trials {
    score: f64,
    /// Until when a trial that was sent may be in progress.
    running_until: Option<Time>,
    last_at: Option<Time>,
}

/// The health of one process lifetime of a replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    window: OutcomeWindow,
    sum: CumulativeSum,
    evidence: Evidence,
    state: State,
    /// The number of consecutive ejections.
    ejections: u32,
    unconfirmed: VecDeque<Unconfirmed>,
    /// When the last request that succeeded was sent.
    served_sent: Option<Time>,
    failing_since: Option<Time>,
}

impl ReplicaHealth {
    /// Returns whether [`Self::record`] needs the expected rate for this
    /// outcome. Successes of a replica that is not suspected need none.
    pub fn needs_expectation(&self, sample: &Sample, now: Time) -> bool {
        sample.failed
            || sample.trial
            || self.sum.score(now) > 0.0
            || self.window.source_score(sample.source, now) > 0.0
    }

    /// Records a completed request. `expected` follows from the outcomes at the
    /// other replicas.
    pub fn record(
        &mut self,
        sample: &Sample,
        expected: Expectation,
        limits: EjectionLimits,
        now: Time,
    ) -> Option<HealthChange> {
        let Sample { source, failed, trial, .. } = *sample;
        let step = step(failed, expected.rate);
        let standing = self.standing(now);
        let weight = if failed {
            self.window.failure_weight(source, expected.served_at, now)
        } else {
            1.0
        };
        let counted = if standing.is_excluded() { 0.0 } else { step * weight };
        let of_source = self.window.record(source, failed, counted, now);
        let sent = now.before(sample.took);
        if failed {
            self.await_retry(sample, step.max(0.0), weight, now);
            self.failing_since = self.failing_since.or(Some(sent));
        } else {
            self.served_sent = self.served_sent.max(Some(sent));
            self.failing_since = None;
        }
        match standing {
            // Requests that were sent before the ejection.
            Standing::Ejected => None,
            Standing::OnTrial if trial => self.record_trial(step, limits, now),
            Standing::OnTrial => None,
            Standing::InService | Standing::Returning => {
                self.evidence.record(sample, expected.rate);
                let before = self.sum.score(now);
                self.sum.add(counted, now);
                let score = self.sum.score(now);
                if score <= 0.0 && of_source <= 0.0 {
                    self.evidence = Evidence::default();
                }
                let failing = failed
                    && !expected.all_fail
                    && (score >= EJECTION_SCORE
                        || of_source >= SOURCE_EJECTION_SCORE);
                if failing {
                    return Some(HealthChange::Failing);
                }
                let suspected = standing == Standing::InService
                    && before < SUSPECT_SCORE
                    && score >= SUSPECT_SCORE
                    && !expected.all_fail;
                suspected.then_some(HealthChange::Suspected)
            }
        }
    }

    /// Doubts the replica because another entry suspects it, as
    /// [`Self::eject_as_reported`] ejects it.
    pub fn doubt_as_reported(&mut self, since: Time, now: Time) {
        if !self.contradicts(since) && self.sum.score(now) < DOUBT_SCORE {
            self.sum = CumulativeSum::new(DOUBT_SCORE, now);
        }
    }

    /// Returns whether a request succeeded that was sent after others began to
    /// fail at another entry.
    fn contradicts(&self, since: Time) -> bool {
        let later = since.after(CONTRADICTION_SLACK);
        self.served_sent.is_some_and(|sent| sent >= later)
    }

    fn await_retry(
        &mut self,
        sample: &Sample,
        step: f64,
        weight: f64,
        now: Time,
    ) {
        if self.unconfirmed.len() >= MAX_UNCONFIRMED {
            self.unconfirmed.pop_front();
        }
        let Sample { source, trial, .. } = *sample;
        let counted = if trial { step } else { step * weight };
        let failure = Unconfirmed { source, trial, counted, at: now };
        self.unconfirmed.push_back(failure);
    }

    /// Records that a request of a source which failed at this replica was
    /// served by another one on its retry. The failure then was not due to the
    /// request, and counts as one of requests that do not fail elsewhere.
    pub fn confirm_failure(
        &mut self,
        source: Source,
        limits: EjectionLimits,
        now: Time,
    ) -> Option<HealthChange> {
        let awaited = |f: &Unconfirmed| {
            f.source == source && now.since(f.at) < CONFIRMATION_SPAN
        };
        let index = self.unconfirmed.iter().position(awaited)?;
        let failure = self.unconfirmed.remove(index)?;
        let missing = (step(true, MIN_RATE) - failure.counted).max(0.0);
        match self.standing(now) {
            Standing::Ejected => None,
            Standing::OnTrial if failure.trial => {
                self.record_trial(missing, limits, now)
            }
            Standing::OnTrial => None,
            Standing::InService | Standing::Returning => {
                let of_source = self.window.add_step(source, missing, now);
                self.sum.add(missing, now);
                let failing = self.sum.score(now) >= EJECTION_SCORE
                    || of_source >= SOURCE_EJECTION_SCORE;
                failing.then_some(HealthChange::Failing)
            }
        }
    }

    fn record_trial(
        &mut self,
        step: f64,
        limits: EjectionLimits,
        now: Time,
    ) -> Option<HealthChange> {
        let State::Ejected { trials, .. } = &mut self.state else {
            return None;
        };
        // A retry of a failed trial may show that the request is not at fault.
        let failed = step > 0.0;
        trials.running_until = failed.then(|| now.after(RETRY_SPAN));
        trials.score -= step;
        if trials.score <= TRIAL_FAIL_SCORE {
            self.exclude(limits, now);
            return Some(HealthChange::FailedTrial);
        }
        if trials.score < TRIAL_PASS_SCORE {
            return None;
        }
        self.readmit(now);
        Some(HealthChange::Readmitted)
    }

    /// Ejects the replica. Returns for how long it is excluded.
    pub fn eject(&mut self, limits: EjectionLimits, now: Time) -> Duration {
        if let State::Returned { at } = self.state
            && now.since(at) >= FORGET_EJECTIONS_AFTER
        {
            self.ejections = 0;
        }
        self.exclude(limits, now)
    }

    fn exclude(&mut self, limits: EjectionLimits, now: Time) -> Duration {
        self.ejections = self.ejections.saturating_add(1);
        let span = limits.exclusion(self.ejections);
        self.state = State::Ejected {
            until: now.after(span),
            trials: Trials::default(),
            reported: false,
        };
        span
    }

    /// Ejects the replica for `span` because another entry did, whose requests
    /// have all failed that were sent from `since` on. Returns whether it gets
    /// no requests now: it is not ejected if a request that this entry sent
    /// later succeeded, which shows that the replica does not fail them.
    pub fn eject_as_reported(
        &mut self,
        span: Duration,
        since: Time,
        now: Time,
    ) -> bool {
        if self.contradicts(since) {
            return false;
        }
        if let State::Ejected { until, trials, .. } = &mut self.state {
            // The other entry has tried it in the meantime.
            *until = now.after(span).max(*until);
            trials.last_at = None;
            return true;
        }
        self.ejections = self.ejections.max(1);
        self.state = State::Ejected {
            until: now.after(span),
            trials: Trials::default(),
            reported: true,
        };
        true
    }

    /// Lets the replica return because the trials of another entry succeeded,
    /// if it is ejected only for that entry's outcomes. Returns whether it
    /// does.
    pub fn readmit_as_reported(&mut self, now: Time) -> bool {
        let reported =
            matches!(self.state, State::Ejected { reported, .. } if reported);
        if reported {
            self.readmit(now);
        }
        reported
    }

    /// Lets the replica return.
    pub fn readmit(&mut self, now: Time) {
        self.state = State::Returned { at: now };
        self.sum = CumulativeSum::new(RETURN_SCORE, now);
        self.window.limit_sums(RETURN_SCORE, now);
        self.evidence = Evidence::default();
    }

    /// Records the lapse of time; returns whether the replica returns because
    /// there were no requests for trials.
    pub fn update(&mut self, now: Time) -> bool {
        let State::Ejected { until, trials, .. } = self.state else {
            return false;
        };
        let from = trials.last_at.unwrap_or(until).max(until);
        if now < from.after(TRIAL_WAIT) {
            return false;
        }
        self.readmit(now);
        true
    }

    /// Returns whether the replica gets requests.
    pub fn standing(&self, now: Time) -> Standing {
        match self.state {
            State::InService => Standing::InService,
            State::Ejected { until, .. } if now < until => Standing::Ejected,
            State::Ejected { .. } => Standing::OnTrial,
            State::Returned { at } if now.since(at) < RETURN_SPAN => {
                Standing::Returning
            }
            State::Returned { .. } => Standing::InService,
        }
    }

    /// Returns whether a trial may be sent: it is on trial and none is in
    /// progress.
    pub fn wants_trial(&self, now: Time) -> bool {
        let State::Ejected { until, trials, .. } = self.state else {
            return false;
        };
        now >= until && trials.running_until.is_none_or(|at| now >= at)
    }

    /// Records that a trial was sent.
    pub fn record_trial_sent(&mut self, now: Time) {
        if let State::Ejected { trials, .. } = &mut self.state {
            trials.running_until = Some(now.after(TRIAL_TIMEOUT));
            trials.last_at = Some(now);
        }
    }

    /// Records that a trial ended without an outcome that says anything.
    pub fn record_trial_void(&mut self) {
        if let State::Ejected { trials, .. } = &mut self.state {
            trials.running_until = None;
        }
    }

    /// Returns the maximum number of requests at a replica with `slots`, or
    /// `None` if its return does not limit them.
    pub fn max_requests(&self, slots: u32, now: Time) -> Option<u32> {
        let State::Returned { at } = self.state else { return None };
        let since = now.since(at);
        if since >= RETURN_SPAN {
            return None;
        }
        let fraction = since.as_secs_f64() / RETURN_SPAN.as_secs_f64();
        Some(1 + (f64::from(slots) * fraction) as u32)
    }

    /// Returns whether requests that must run at most once should go to other
    /// replicas first.
    pub fn is_suspect(&self, now: Time) -> bool {
        self.standing(now) != Standing::InService
            || self.sum.score(now) >= SUSPECT_SCORE
    }

    /// Returns whether a request should show whether the replica fails, since
    /// its cost keeps others away from it.
    pub(super) fn is_in_doubt(&self, now: Time) -> bool {
        self.sum.score(now) >= DOUBT_SCORE
    }

    /// Returns how the suspicion changes the expected time to the first byte:
    /// a factor, and the milliseconds that failures add. Both grow with the
    /// suspicion, so that a failing replica, which looks idle, attracts no
    /// load until it is ejected.
    pub fn cost(&self, now: Time) -> (f64, f64) {
        let fraction = (self.sum.score(now) / EJECTION_SCORE).min(1.0);
        let rate = fraction * MAX_COST_RATE;
        let failure_ms = self.evidence.failure_ms + RETRY_COST_MS;
        (1.0 / (1.0 - rate), rate * failure_ms)
    }

    /// Returns what the suspicion, or the last ejection, is based on.
    pub const fn evidence(&self) -> Evidence {
        self.evidence
    }

    /// Returns the number of consecutive ejections.
    pub const fn ejections(&self) -> u32 {
        self.ejections
    }

    /// Returns until when the replica is excluded, if it is ejected or on
    /// trial.
    pub const fn excluded_until(&self) -> Option<Time> {
        match self.state {
            State::Ejected { until, .. } => Some(until),
            State::InService | State::Returned { .. } => None,
        }
    }

    /// Returns when the first of the requests was sent that have all failed
    /// since the last success, if any has.
    pub const fn failing_since(&self) -> Option<Time> {
        self.failing_since
    }

    pub(super) const fn window(&self) -> &OutcomeWindow {
        &self.window
    }
}

/// Returns the logarithm of how much likelier an outcome is at a failing
/// replica than at one that fails at the expected rate.
fn step(failed: bool, expected: f64) -> f64 {
    let expected = expected.clamp(MIN_RATE, FAILING_RATE);
    if failed {
        (FAILING_RATE / expected).ln()
    } else {
        ((1.0 - FAILING_RATE) / (1.0 - expected)).ln()
    }
}
