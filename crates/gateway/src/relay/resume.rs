//! Resumption of a stream at another replica.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::FutureExt as _;
use stairhinge::direct::{AttemptResult, NextStep, Repeat, Replica};
use stairhinge::placing::Need;
use stairhinge::poison::Suspicion;
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::http::BodyError;

use super::run::{ReadFailure, Run};
use super::{DATA_TIMEOUT, MIN_LEFT_UNREAD, Relay, Search};
use crate::forward::{
    AttemptError, BEGIN_TIMEOUT, BeginResult, FailedAttempt, FailedTry,
    Further, FurtherError, OpenAttempt, SEARCH_INTERVAL,
};

impl Relay {
    /// Returns whether another replica should be asked, since those that may
    /// send the next event are silent or reported down.
    pub(super) fn is_silent(&self) -> bool {
        if self.search.is_some()
            || Instant::now() < self.search_at
            || !self.may_resume()
        {
            return false;
        }
        for open in &self.open {
            if open.sent.elapsed() < BEGIN_TIMEOUT {
                return false;
            }
        }
        for run in &self.runs {
            let replica = &run.replica().incarnation;
            if run.silence() < DATA_TIMEOUT
                && !self.forwarder.dispatcher.is_engine_down(replica)
            {
                return false;
            }
        }
        true
    }

    /// Returns whether the limits on attempts, time and retries allow another
    /// attempt.
    fn may_resume(&self) -> bool {
        self.context.route.repeat == Repeat::Resume
            && !self.suspicion.is_quarantined()
            && self.attempt < self.context.route.attempts
            && !self.context.remaining().is_zero()
            && self.forwarder.has_retry(&self.context.service)
    }

    const fn in_progress(&self) -> bool {
        !self.runs.is_empty() || !self.open.is_empty() || self.search.is_some()
    }

    /// Begins to look for another replica, `beside` those that may still go
    /// on.
    pub(super) fn begin_search(&mut self, beside: bool) {
        for run in &self.runs {
            let replica = &run.replica().incarnation;
            let silence = run.silence();
            self.forwarder.log_silent(&self.context, replica, silence);
        }
        let further = Further {
            need: self.need(),
            attempt: self.attempt + 1,
            after_event: self.last_event,
            beside,
        };
        let forwarder = Arc::clone(&self.forwarder);
        let context = Arc::clone(&self.context);
        let sent = forwarder.send_further(context, further).boxed();
        self.search = Some(Search { sent, beside });
    }

    fn need(&self) -> Need {
        let context = &self.context;
        Need {
            service: Arc::clone(&context.service),
            model: context.caller.model.clone(),
            version: self.version,
            tried: self.tried.clone(),
            silent: Vec::new(),
            // Started streams take precedence over new requests.
            priority: 0,
            route_priority: 0,
            prompt_tokens: context.caller.prompt_tokens,
            objective: context.route.objective(),
            regions: context.regions.clone(),
            suspicion: self.suspicion,
            shared_run: None,
            workspace: None,
            left_ms: 0,
            answer_tokens: None,
            fingerprint: None,
            continued: self.forwarder.dispatcher.has_admission(),
            // A stream that has been interrupted once is no trial.
            repeatable: false,
        }
    }

    /// Handles the result of a search.
    pub(super) async fn handle_found(
        &mut self,
        found: Result<OpenAttempt, FurtherError>,
    ) -> Result<(), BodyError> {
        let search = self.search.take();
        let error = match found {
            Ok(open) => {
                self.attempt += 1;
                self.tried.push(Arc::clone(&open.replica().incarnation));
                self.open.push(open);
                return Ok(());
            }
            Err(error) => error,
        };
        if self.in_progress() {
            self.forwarder.log_not_sent(&self.context, &error.reason);
        }
        let reason = error.reason;
        if let Some(failed) = error.failed {
            let FailedTry { replica, sent, suspicion, error } = *failed;
            self.tried.push(Arc::clone(&replica.incarnation));
            let lost = error.connection_lost;
            let written = Duration::ZERO;
            let examined =
                self.examine(replica, sent, reason, lost, suspicion, written);
            let failed = examined.await;
            return self.go_on_without(failed);
        }
        if self.in_progress() {
            self.search_at = Instant::now() + SEARCH_INTERVAL;
            return Ok(());
        }
        if search.is_some_and(|search| !search.beside) {
            // Searches are limited like attempts, since nothing else is left.
            self.attempt += 1;
        }
        if !self.may_resume() {
            return Err(self.abort(&format!("resuming: {reason}")));
        }
        self.begin_search(false);
        Ok(())
    }

    /// Handles the response to a further attempt.
    pub(super) async fn handle_begin(
        &mut self,
        open: OpenAttempt,
        begun: BeginResult,
    ) -> Result<(), BodyError> {
        let replica = Arc::clone(open.replica());
        let (sent, suspicion) = (open.sent, open.suspicion);
        let accepted = self.forwarder.accept(&self.context, open, begun).await;
        let (reason, lost) = match accepted {
            Ok(answered) if answered.head.status.is_success() => {
                let headers = answered.head.headers;
                let watch = &self.forwarder.silence;
                let upstream = answered.upstream;
                let run = Run::new(upstream, headers, suspicion, watch, true);
                self.runs.push(run);
                return Ok(());
            }
            Ok(answered) => {
                let status = answered.head.status;
                (format!("{} answered {status}", replica.incarnation), false)
            }
            Err(error) => {
                if matches!(error.result, AttemptResult::Declined) {
                    self.attempt -= 1;
                }
                let AttemptError { reason, connection_lost, .. } = error;
                (reason, connection_lost)
            }
        };
        let written = Duration::ZERO;
        let examined =
            self.examine(replica, sent, reason, lost, suspicion, written);
        let failed = examined.await;
        self.go_on_without(failed)
    }

    /// Handles the failure of a run.
    pub(super) async fn handle_failed_run(
        &mut self,
        run: Run,
        failure: ReadFailure,
    ) -> Result<(), BodyError> {
        let unread = failure.cut
            && self.waited >= MIN_LEFT_UNREAD
            && !run.is_resumption;
        let failed = self.release(run, failure, unread).await;
        if unread && failed.replica_ended != Some(true) && !self.in_progress()
        {
            return Err(self.abort_unread(&failed.reason));
        }
        self.go_on_without(failed)
    }

    /// Continues after an attempt has failed: with the others or, if there is
    /// none, with another replica.
    ///
    /// # Errors
    ///
    /// If there is neither.
    fn go_on_without(
        &mut self,
        failed: FailedAttempt,
    ) -> Result<(), BodyError> {
        if self.in_progress() {
            self.forwarder.log_failed_beside(&self.context, &failed);
            self.search_at = Instant::now();
            return Ok(());
        }
        let may_resume = self.may_resume();
        let next = if may_resume { NextStep::Retry } else { NextStep::Fail };
        self.forwarder.log_failed(&self.context, &failed, next);
        if !may_resume {
            return Err(self.abort(&failed.reason));
        }
        self.begin_search(false);
        Ok(())
    }

    /// Logs that the only run that is left has gone on with the stream, if
    /// that is news.
    pub(super) fn announce_run(&mut self) {
        let [run] = &mut self.runs[..] else { return };
        let replica = &run.upstream.place.replica.incarnation;
        let request = &self.context.caller.id;
        let after_event = self.last_event;
        let log = self.forwarder.facts.log();
        if std::mem::take(&mut run.is_resumption) {
            self.waited = Duration::ZERO;
            self.forwarder.metrics.resumed.inc();
            log.write(&Decision::Resumed { request, replica, after_event });
        } else if let Some(silent) = run.past_silence(DATA_TIMEOUT) {
            let silent_ms = silent.as_millis() as u64;
            log.write(&Decision::WentOn {
                request,
                replica,
                silent_ms,
                after_event,
            });
        }
    }

    /// Examines a replica whose answer is incomplete, and updates the
    /// suspicion against the request, which was `suspicion` when it was sent
    /// there. It has sent its answer for as long as `written`.
    pub(super) async fn examine(
        &mut self,
        replica: Arc<Replica>,
        sent: Instant,
        reason: String,
        cut: bool,
        suspicion: Suspicion,
        written: Duration,
    ) -> FailedAttempt {
        let context = &self.context;
        let checked = self
            .forwarder
            .check_replica_ended(context, &replica, cut, suspicion, written);
        let (replica_ended, known) = checked.await;
        if replica_ended == Some(true) {
            self.suspicion = known;
        }
        FailedAttempt { replica, sent, reason, replica_ended }
    }
}
