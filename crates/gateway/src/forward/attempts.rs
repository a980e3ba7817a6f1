//! A request's attempts, one after the other, and what each one tells.

use std::sync::Arc;
use std::time::Instant;

use hyper::Response;
use stairhinge::direct::{
    AttemptResult, NextStep, Replica, Shortage, next_step,
};
use stairhinge::placing::{Need, NoPlaceReason};
use stairhinge::poison::Suspicion;
use stairhinge::{Code, Error};
use stairhinge_shell::http::{Body, Failed};

use super::refuse::{lost, quarantined, refused};
use super::{Forwarder, Missed};
use crate::connect::has_ended;
use crate::dispatch::{Place, ReplicaCount};
use crate::request_context::RequestContext;

/// How long a request may wait for a replica with room, as a part of its
/// objective: its caller can still come back and be in time. A replica's slot
/// gets free in a hall of 24 engines each 6 ms.
const WAIT_PART: u32 = 8;

/// An attempt that did not end well.
pub(crate) struct FailedAttempt {
    pub replica: Arc<Replica>,
    pub sent: Instant,
    pub reason: String,
    /// Whether the replica's process has ended, if that was asked.
    pub replica_ended: Option<bool>,
}

impl Forwarder {
    /// Sends a request to one replica after the other. If none does better,
    /// the caller gets the failure that a replica answered, as it is: it tells
    /// more than that the backend was lost.
    pub(super) async fn attempts(
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

    /// Sends a request to one replica after the other, and keeps the last
    /// failure that one of them answered.
    async fn try_replicas(
        self: &Arc<Self>,
        context: &Arc<RequestContext>,
        failure: &mut Option<Response<Body>>,
    ) -> Result<Response<Body>, Failed> {
        let mut need = need(context);
        let mut ran = false;
        let mut attempt = 1;
        loop {
            let place = self.admitted_place(context, &mut need, ran).await?;
            let suspicion = need.suspicion;
            need.tried.push(Arc::clone(&place.replica.incarnation));
            let sent = Instant::now();
            let replica = Arc::clone(&place.replica);
            let after = context.caller.after_event;
            let mut missed =
                match self.send(context, place, attempt, after).await {
                    Ok(answered) => {
                        let passed =
                            self.pass_on(context, answered, suspicion);
                        match passed.await {
                            Ok(response) => return Ok(response),
                            Err(missed) => missed,
                        }
                    }
                    Err(missed) => missed,
                };
            *failure = missed.failure.take().or(failure.take());
            ran |= matches!(missed.result, AttemptResult::NoResponse);
            let (replica_ended, known) =
                self.examine(context, &replica, missed.cut, suspicion).await;
            let may = attempt < context.route.attempts
                && !known.is_quarantined()
                && !context.left().is_zero()
                && self.spend(&context.service);
            let repeat = context.route.repeat;
            let next = next_step(missed.result, repeat, ran, may);
            let failed = FailedAttempt {
                replica,
                sent,
                reason: missed.reason.clone(),
                replica_ended,
            };
            self.log_failed(context, &failed, next);
            match next {
                NextStep::Retry => self.metrics.retries.inc(),
                NextStep::Refuse => return Err(declined(&missed)),
                NextStep::Fail => return Err(lost(context, &missed)),
            };
            attempt += 1;
        }
    }

    /// Waits for a place at a replica, for a request that may be sent on both
    /// before and after that. `need` gets what is known of it.
    async fn admitted_place(
        &self,
        context: &RequestContext,
        need: &mut Need,
        ran: bool,
    ) -> Result<Place, Failed> {
        let admitted = self.poison.admit(context);
        need.suspicion = admitted.map_err(|r| quarantined(&r, ran))?;
        let place = self.place(context, need, ran).await;
        let place = place.inspect_err(|_| self.poison.released(context))?;
        let admitted = self.poison.still_admits(context, need.suspicion);
        admitted.map_err(|r| quarantined(&r, ran))?;
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
        let until =
            context.deadline.min(from + context.route.objective() / WAIT_PART);
        let left = context.left();
        let found = self.placing.place(need.clone(), until, left).await;
        self.metrics.observe_wait(from.elapsed().as_secs_f64());
        let lack = match found {
            Ok(place) => return Ok(place),
            Err(lack) => lack,
        };
        let count = self.log_no_replica(context, need, from);
        if ran {
            return Err(Failed::new(Error::new(Code::LostBackend, lack)));
        }
        let (code, shortage) = match lack {
            NoPlaceReason::Room => (Code::NoBackend, Shortage::NoCapacity),
            NoPlaceReason::Replica => {
                (Code::NoBackend, no_replica_shortage(&count))
            }
            NoPlaceReason::Region => (Code::NoRegion, Shortage::NoReplica),
        };
        Err(refused(Error::new(code, lack), shortage))
    }

    /// Looks at a replica from which no whole answer came: whether its process
    /// has ended, and what is known of the request now, of which `sent` was
    /// known when it was sent there. The replica is asked only where the
    /// connection to it ended, since all else has other causes.
    pub(crate) async fn examine(
        &self,
        context: &RequestContext,
        replica: &Replica,
        cut: bool,
        sent: Suspicion,
    ) -> (Option<bool>, Suspicion) {
        self.poison.released(context);
        if !cut {
            return (None, sent);
        }
        if !has_ended(replica.addr).await {
            return (Some(false), sent);
        }
        let known = self.poison.ended_under(context, replica, sent);
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
fn declined(missed: &Missed) -> Failed {
    let why = format!("declined: {}", missed.reason);
    let shortage = match missed.result {
        AttemptResult::Unsent => Shortage::Unreachable,
        _ => Shortage::Declined,
    };
    refused(Error::new(Code::NoBackend, why), shortage)
}

fn need(context: &RequestContext) -> Need {
    Need {
        service: Arc::clone(&context.service),
        model: context.caller.model.clone(),
        version: None,
        tried: Vec::new(),
        priority: context.priority,
        route_priority: context.route.priority,
        prompt_tokens: context.caller.prompt_tokens,
        objective: context.route.objective(),
        regions: context.regions.clone(),
        suspicion: Suspicion::default(),
    }
}
