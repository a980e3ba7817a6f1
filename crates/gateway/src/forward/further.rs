//! Sending of a request to a further replica.

use std::sync::Arc;
use std::time::{Duration, Instant};

use stairhinge::placing::Need;
use stairhinge::poison::Suspicion;

use super::Forwarder;
use super::attempts::FailedTry;
use super::send::OpenAttempt;
use crate::dispatch::Place;
use crate::request_context::RequestContext;

/// How long a further attempt waits for a replica with capacity.
const MAX_PLACE_WAIT: Duration = Duration::from_millis(600);

/// The maximum number of silent replicas that a placer is told to avoid.
pub(super) const MAX_SILENT_NAMED: usize = 16;

/// A further attempt of a request.
pub(crate) struct Further {
    pub need: Need,
    /// Its number, from 1.
    pub attempt: u32,
    /// The last event that the caller has received.
    pub after_event: Option<u64>,
    /// Whether another attempt is in progress.
    pub beside: bool,
}

/// Why a further attempt was not sent.
pub(crate) struct FurtherError {
    pub reason: String,
    /// The failed attempt, if the replica could not be reached.
    pub failed: Option<Box<FailedTry>>,
}

impl FurtherError {
    /// Returns an error for which no replica is responsible.
    fn without_attempt(reason: impl ToString) -> FurtherError {
        FurtherError { reason: reason.to_string(), failed: None }
    }
}

impl Forwarder {
    /// Finds a replica for a further attempt and sends it. The retry budget is
    /// charged only when it is sent.
    ///
    /// # Errors
    ///
    /// If it could not be sent.
    pub(crate) async fn send_further(
        self: Arc<Self>,
        context: Arc<RequestContext>,
        further: Further,
    ) -> Result<OpenAttempt, FurtherError> {
        let Further { mut need, attempt, after_event, beside } = further;
        need.suspicion = self.admit_further(&context, beside).await?;
        let suspicion = need.suspicion;
        let found = self.find_further(&context, need, beside).await;
        let place = found.inspect_err(|_| {
            if !beside {
                self.poison.finish_run(&context);
            }
        })?;
        let replica = Arc::clone(&place.replica);
        let sent = Instant::now();
        let open = self.send(&context, place, attempt, after_event, suspicion);
        open.await.map_err(|error| {
            let reason = error.reason.clone();
            let failed = FailedTry { replica, sent, suspicion, error };
            FurtherError { reason, failed: Some(Box::new(failed)) }
        })
    }

    /// Finds a replica for an admitted attempt, and charges the retry budget.
    async fn find_further(
        &self,
        context: &RequestContext,
        mut need: Need,
        beside: bool,
    ) -> Result<Place, FurtherError> {
        need.shared_run = self.poison.shared_run(context);
        need.repeatable = false;
        need.silent = self.silence.silent(MAX_SILENT_NAMED);
        let suspicion = need.suspicion;
        let left = context.remaining();
        let until = Instant::now() + MAX_PLACE_WAIT.min(left);
        let found = self.placing.place(need, until, left).await;
        let place = found.map_err(|lack| {
            let why = format!("no other replica: {lack}");
            FurtherError::without_attempt(why)
        })?;
        self.poison
            .recheck(context, suspicion)
            .map_err(FurtherError::without_attempt)?;
        let replica = &place.replica.incarnation;
        if beside && self.silence.is_silent(replica) {
            let why = format!("{replica} is silent, too");
            return Err(FurtherError::without_attempt(why));
        }
        if !self.spend_retry(&context.service) {
            let why = "the retry budget is spent";
            return Err(FurtherError::without_attempt(why));
        }
        Ok(place)
    }

    /// Admits a further attempt, and returns the suspicion against the
    /// request. While one attempt of a suspected request is in progress, no
    /// other one begins.
    async fn admit_further(
        &self,
        context: &RequestContext,
        beside: bool,
    ) -> Result<Suspicion, FurtherError> {
        if !beside {
            let admitted = self.poison.admit(context).await;
            return admitted.map_err(FurtherError::without_attempt);
        }
        let known = self.poison.suspicion(context);
        if known.ended > 0 || context.is_claimed() {
            let why = "the request is suspected to crash replicas";
            return Err(FurtherError::without_attempt(why));
        }
        Ok(known)
    }
}
