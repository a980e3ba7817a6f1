//! The sequence of a request's attempts, and the evaluation of each.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Response;
use stairhinge::direct::{
    AttemptResult, NextStep, Repeat, Replica, Shortage, next_step,
};
use stairhinge::placing::{Need, NoPlaceReason};
use stairhinge::poison::Suspicion;
use stairhinge::{Code, Error};
use stairhinge_shell::directory::{Collection, ReadState};
use stairhinge_shell::http::{Body, Failed};

use super::further::MAX_SILENT_NAMED;
use super::hedge::HedgedAttempts;
use super::refuse::{lost, quarantined, refused, shed};
use super::{AttemptError, Forwarder};
use crate::connect::has_ended;
use crate::dispatch::{NoPlace, Place, ReplicaCount};
use crate::placing::millis;
use crate::request_context::RequestContext;

/// A request waits for a replica with capacity for at most its latency
/// objective divided by this, so that its caller can still retry in time. In
/// a hall of 24 engines a slot becomes free every 6 ms.
const WAIT_DIVISOR: u32 = 8;

/// Like [`WAIT_DIVISOR`], with admission control. Requests wait in the order
/// of their urgency then, and a longer wait keeps urgent ones from being
/// refused between two places that become free.
const ADMISSION_WAIT_DIVISOR: u32 = 4;

/// An attempt that failed.
pub(crate) struct FailedAttempt {
    pub replica: Arc<Replica>,
    pub sent: Instant,
    pub reason: String,
    /// Whether the replica's process has ended, if that was checked.
    pub replica_ended: Option<bool>,
}

/// The attempts of a request so far.
pub(super) struct Tries {
    pub need: Need,
    /// Whether one of them may have run.
    pub ran: bool,
    /// The number of the latest one, from 1.
    pub attempt: u32,
    /// The replicas of the failed ones that may have run.
    pub ran_by: Vec<Arc<str>>,
    /// The last error response of a replica.
    pub failure: Option<Response<Body>>,
}

impl Tries {
    const fn new(need: Need) -> Tries {
        Tries {
            need,
            ran: false,
            attempt: 0,
            ran_by: Vec::new(),
            failure: None,
        }
    }

    /// Records that another attempt is made.
    pub(super) fn begin(&mut self, replica: &Replica) {
        self.attempt += 1;
        self.need.tried.push(Arc::clone(&replica.incarnation));
    }
}

/// An attempt that failed, and the error.
pub(crate) struct FailedTry {
    pub replica: Arc<Replica>,
    pub sent: Instant,
    /// The suspicion against the request when it was sent.
    pub suspicion: Suspicion,
    pub error: AttemptError,
}

impl Forwarder {
    /// Sends a request to one replica after the other. If none succeeds, the
    /// caller gets the last error response of a replica unchanged, because it
    /// is more informative than an error about a lost backend.
    pub(super) async fn run_attempts(
        self: Arc<Self>,
        context: Arc<RequestContext>,
    ) -> Result<Response<Body>, Failed> {
        let mut failure = None;
        let tried = self.try_replicas(&context, &mut failure).await;
        match (tried, failure) {
            (Err(_), Some(response)) => {
                let status = response.status().as_u16();
                self.log_ended(&context, status, 0, "", None);
                Ok(response)
            }
            (tried, _) => tried,
        }
    }

    /// Sends a request to one replica after the other, and stores the last
    /// error response of a replica in `failure`.
    async fn try_replicas(
        self: &Arc<Self>,
        context: &Arc<RequestContext>,
        failure: &mut Option<Response<Body>>,
    ) -> Result<Response<Body>, Failed> {
        let mut tries = Tries::new(need(context));
        let tried = self.try_in_turn(context, &mut tries).await;
        *failure = tries.failure.take();
        tried
    }

    async fn try_in_turn(
        self: &Arc<Self>,
        context: &Arc<RequestContext>,
        tries: &mut Tries,
    ) -> Result<Response<Body>, Failed> {
        loop {
            let ran = tries.ran;
            let need = &mut tries.need;
            let place = self.admitted_place(context, need, ran).await?;
            // The retry of a request that failed is no trial.
            need.repeatable = false;
            let suspicion = need.suspicion;
            let replica = Arc::clone(&place.replica);
            tries.begin(&replica);
            let (attempt, sent) = (tries.attempt, Instant::now());
            let after = context.caller.after_event;
            let open = self.send(context, place, attempt, after, suspicion);
            let failed = match open.await {
                Ok(open) => {
                    let hedged =
                        HedgedAttempts::new(self, context, tries, open);
                    match hedged.run().await {
                        Ok(response) => return Ok(response),
                        Err(failed) => failed,
                    }
                }
                Err(error) => FailedTry { replica, sent, suspicion, error },
            };
            let (failed, error, known) =
                self.examine_try(context, failed, tries).await;
            let may_retry = tries.attempt < context.route.attempts
                && !known.is_quarantined()
                && !context.remaining().is_zero()
                && self.spend_retry(&context.service);
            let repeat = context.route.repeat;
            let next = next_step(error.result, repeat, tries.ran, may_retry);
            self.log_failed(context, &failed, next);
            match next {
                NextStep::Retry => self.metrics.retries.inc(),
                NextStep::Refuse => return Err(declined(&error)),
                NextStep::Fail => return Err(lost(context, &error)),
            };
        }
    }

    /// Notes the effects of a failed attempt, and returns its description and
    /// the suspicion against the request.
    pub(super) async fn examine_try(
        &self,
        context: &RequestContext,
        failed: FailedTry,
        tries: &mut Tries,
    ) -> (FailedAttempt, AttemptError, Suspicion) {
        let FailedTry { replica, sent, suspicion, mut error } = failed;
        tries.failure = error.failure.take().or(tries.failure.take());
        if matches!(error.result, AttemptResult::NoResponse) {
            tries.ran = true;
            tries.ran_by.push(Arc::clone(&replica.incarnation));
        }
        let lost = error.connection_lost;
        let written = Duration::ZERO;
        let checked = self
            .check_replica_ended(context, &replica, lost, suspicion, written);
        let (replica_ended, known) = checked.await;
        let reason = error.reason.clone();
        let failed = FailedAttempt { replica, sent, reason, replica_ended };
        (failed, error, known)
    }

    /// Waits for a place at a replica, and checks both before and after that
    /// whether the request is quarantined. Stores the suspicion against it in
    /// `need`.
    async fn admitted_place(
        &self,
        context: &RequestContext,
        need: &mut Need,
        ran: bool,
    ) -> Result<Place, Failed> {
        let admitted = self.poison.admit(context).await;
        need.suspicion = admitted.map_err(|r| quarantined(&r, ran))?;
        need.shared_run = self.poison.shared_run(context);
        let place = self.place(context, need, ran).await;
        let place = place.inspect_err(|_| self.poison.finish_run(context))?;
        let admitted = self.poison.recheck(context, need.suspicion);
        admitted.map_err(|r| {
            self.poison.finish_run(context);
            quarantined(&r, ran)
        })?;
        Ok(place)
    }

    /// Waits for a place at a replica.
    async fn place(
        &self,
        context: &RequestContext,
        need: &Need,
        ran: bool,
    ) -> Result<Place, Failed> {
        let from = Instant::now();
        let admission = self.dispatcher.has_admission();
        let divisor =
            if admission { ADMISSION_WAIT_DIVISOR } else { WAIT_DIVISOR };
        let until =
            context.deadline.min(from + context.route.objective() / divisor);
        let left = context.remaining();
        let mut need = need.clone();
        // A request whose attempt failed is late for no fault of its caller,
        // so its time left is not judged.
        if admission && need.tried.is_empty() {
            let hint = context.caller.answer_tokens;
            need.workspace = context.workspace.clone();
            need.left_ms = millis(left).max(1);
            need.answer_tokens = (hint > 0).then_some(hint);
            need.fingerprint = Some(context.fingerprint());
        }
        need.silent = self.silence.silent(MAX_SILENT_NAMED);
        let found = self.placing.place(need.clone(), until, left).await;
        self.metrics.observe_wait(from.elapsed().as_secs_f64());
        let reason = match found {
            Ok(place) => return Ok(place),
            Err(NoPlace::Full(full)) => {
                self.log_overload(context, &need, &full, from);
                return Err(shed(&full, ran));
            }
            Err(NoPlace::Reason(reason)) => reason,
        };
        let count = self.log_no_replica(context, &need, from);
        if ran {
            return Err(Failed::new(Error::new(Code::LostBackend, reason)));
        }
        let (code, shortage) = match reason {
            NoPlaceReason::Room => (Code::NoBackend, Shortage::NoCapacity),
            NoPlaceReason::Replica if self.may_be_unread(&count) => {
                let why = "no replica is known, and the list is not read yet";
                let error = Error::new(Code::ListUnread, why);
                return Err(refused(error, Shortage::NoReplica));
            }
            NoPlaceReason::Replica => {
                (Code::NoBackend, no_replica_shortage(&count))
            }
            NoPlaceReason::Region => (Code::NoRegion, Shortage::NoReplica),
        };
        Err(refused(Error::new(code, reason), shortage))
    }

    /// Returns whether no replica of a service is known only because the list
    /// has not been read to its end.
    fn may_be_unread(&self, count: &ReplicaCount) -> bool {
        let reading = self.facts.reading(Collection::Replicas);
        count.listed == 0 && reading.state != ReadState::Whole
    }

    /// Checks a replica that returned no complete answer. Returns whether its
    /// process has ended, if that was checked, and the updated suspicion
    /// against the request. `sent` is the suspicion at the time of sending,
    /// and `written` for how long the replica has sent its answer.
    /// Only a lost connection leads to the check, because other failures have
    /// other causes.
    pub(crate) async fn check_replica_ended(
        &self,
        context: &RequestContext,
        replica: &Replica,
        connection_lost: bool,
        sent: Suspicion,
        written: Duration,
    ) -> (Option<bool>, Suspicion) {
        if !connection_lost {
            self.poison.finish_run(context);
            return (None, sent);
        }
        if !has_ended(replica.addr).await {
            self.poison.finish_run(context);
            return (Some(false), sent);
        }
        // The crash is known to others before they learn that the run is over.
        let known = self.poison.record_crash(context, replica, sent, written);
        self.poison.finish_run(context);
        (Some(true), known)
    }
}

/// Returns the shortage to report when no replica could serve a request.
fn no_replica_shortage(count: &ReplicaCount) -> Shortage {
    match count.min_retry_after {
        Some(left) if count.suitable == 0 => Shortage::RetryAfter(left),
        _ => Shortage::NoReplica,
    }
}

/// Returns the refusal of a request that no replica has run.
fn declined(error: &AttemptError) -> Failed {
    let why = format!("declined: {}", error.reason);
    let shortage = match error.result {
        AttemptResult::Unsent => Shortage::Unreachable,
        _ => Shortage::Declined,
    };
    refused(Error::new(Code::NoBackend, why), shortage)
}

/// Returns the requirements that a replica has to meet for a request.
fn need(context: &RequestContext) -> Need {
    Need {
        service: Arc::clone(&context.service),
        model: context.caller.model.clone(),
        version: None,
        tried: Vec::new(),
        silent: Vec::new(),
        priority: context.priority,
        route_priority: context.route.priority,
        prompt_tokens: context.caller.prompt_tokens,
        objective: context.route.objective(),
        regions: context.regions.clone(),
        suspicion: Suspicion::default(),
        shared_run: None,
        workspace: None,
        left_ms: 0,
        answer_tokens: None,
        fingerprint: None,
        continued: false,
        repeatable: context.route.repeat != Repeat::Never
            && context.route.attempts > 1,
    }
}
