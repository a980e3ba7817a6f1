//! Handles a caller's request, from its checks to its final answer.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::FutureExt as _;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use stairhinge::poison::{Fingerprint, Refusal};
use stairhinge::request::{
    Attempt, Failure, RequestRetry, RetryDecision, revocation_outcome,
};
use stairhinge::{Code, Error, Ran, Time};
use stairhinge_shell::http::{
    Body, Failed, Handler, Limits, answer, full, read,
};
use stairhinge_shell::node::AdmittedRun;

use crate::Entry;
use crate::answer::{
    ReadLimits, RequestTracker, StreamRun, StreamedAnswer, read_whole,
};
use crate::checked_request::CheckedRequest;
use crate::choose::ChosenAgent;
use crate::send::{FailedAttempt, InFlight};

/// Pause before the next choice of an agent, after none was available or
/// several refused.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// `Retry-After` of a request that the entry can't serve, before jitter.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Timeout of a control call that asks an agent for its incarnation.
const INCARNATION_TIMEOUT: Duration = Duration::from_millis(500);

impl Handler for Entry {
    fn handle(
        self: Arc<Entry>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        async move {
            match request.uri().path() {
                "/healthz" => answer(StatusCode::OK, "{}".into()),
                "/readyz" => self.ready(),
                "/metrics" => Response::new(full(self.node.metrics_text())),
                _ => self.handle_request(request).await,
            }
        }
        .boxed()
    }
}

impl Entry {
    fn ready(&self) -> Response<Body> {
        let has_fleet = self.node.view().fleet.is_some();
        let has_started = has_fleet && self.node.is_caught_up();
        let ready = has_started && !self.node.leaving();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        answer(status, format!("{{\"ready\":{ready}}}"))
    }

    async fn handle_request(
        self: Arc<Entry>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let start = Instant::now();
        match self.run_request(request, start).await {
            Ok(response) => response,
            Err(failed) => {
                let code = failed.error().code().number();
                let secs = start.elapsed().as_secs_f64();
                self.node.metrics().answered(code, secs);
                failed.response()
            }
        }
    }

    /// Checks and admits a request, then runs it to its answer.
    async fn run_request(
        self: &Arc<Entry>,
        request: Request<Incoming>,
        start: Instant,
    ) -> Result<Response<Body>, Failed> {
        let (parts, body) = request.into_parts();
        let view = self.node.view();
        let Some(fleet) = view.fleet.as_ref() else {
            let why = "the entry has received no configuration yet";
            let err = Error::new(Code::NoBackend, why);
            return Err(Failed::new(err).with_retry_after(RETRY_AFTER));
        };
        let limits = Limits::of(&self.settings.values);
        let body = read(body, limits.body, limits.body_time).await?;
        let now = self.node.now();
        let max_deadline = self.millis("deadline_ms");
        let checked =
            CheckedRequest::check(&parts, body, fleet, now, max_deadline)?;
        self.retry_budget().record_request();
        let admitted =
            self.admit(&checked.workspace, checked.deadline).await?;
        let entry = Arc::clone(self);
        let tracker = RequestTracker { entry, admitted, start };
        let run = RequestRun {
            entry: Arc::clone(self),
            retry: RequestRetry::new(checked.repeatable),
            checked,
            tried: HashSet::new(),
            attempts_maybe_run: 0,
            waiting_since: None,
            retry_after: None,
            refusal: None,
        };
        run.run(tracker).await
    }
}

/// An admitted request and the state of its attempts.
struct RequestRun {
    entry: Arc<Entry>,
    checked: CheckedRequest,
    retry: RequestRetry,
    tried: HashSet<Arc<str>>,
    /// Number of failed attempts that may have run.
    attempts_maybe_run: u64,
    /// When an attempt first failed without running, or no agent was
    /// available; `wait_ms` counts from here.
    waiting_since: Option<Time>,
    /// `Retry-After` of the last failed attempt, or of the refusal.
    retry_after: Option<Duration>,
    /// Why the poison table refused the request.
    refusal: Option<Refusal>,
}

impl RequestRun {
    async fn run(
        mut self,
        tracker: RequestTracker,
    ) -> Result<Response<Body>, Failed> {
        loop {
            let next = match self.attempt().await {
                Ok(Answered::Whole(response)) => {
                    tracker.finish(0);
                    return Ok(response);
                }
                Ok(Answered::Streamed(streamed, run)) => {
                    let request = self.checked.features.request;
                    return Ok(streamed.forward(tracker, run, request));
                }
                Err(next) => next,
            };
            let RetryDecision::Respond(code, ran) = next else { continue };
            return Err(self.error_response(code, ran));
        }
    }

    fn error_response(&self, code: Code, ran: Ran) -> Failed {
        let requested = &self.checked.requested;
        let why = match &self.refusal {
            Some(refusal) => refusal.to_string(),
            None => format!("{requested:?} after {} agents", self.tried.len()),
        };
        let failed = Failed::new(Error::new(code, why)).with_ran(ran);
        if let Some(retry_after) = self.retry_after {
            return failed.with_retry_after(retry_after);
        }
        match code.status() {
            503 | 504 => {
                let jitter = rand::random::<f64>();
                failed.with_retry_after(RETRY_AFTER.mul_f64(1.0 + jitter))
            }
            _ => failed,
        }
    }

    /// Makes one attempt. An error says how to continue after a failure.
    async fn attempt(&mut self) -> Result<Answered, RetryDecision> {
        let run = self.check_poison().await?;
        let answered = self.send_once(run).await;
        if answered.is_err() {
            let mut table = self.entry.node.poison();
            table.finish_features(&self.checked.features);
        }
        answered
    }

    async fn send_once(
        &mut self,
        run: AdmittedRun,
    ) -> Result<Answered, RetryDecision> {
        let fingerprint = self.checked.features.request;
        let shares_replica =
            self.entry.node.poison().shares_replica(fingerprint);
        let chosen =
            self.entry.choose(&self.checked, &self.tried, shares_replica);
        let Some(chosen) = chosen else {
            return Err(self.wait_for_agent().await);
        };
        let asked_at = self.entry.node.now();
        let Some(incarnation) = self.incarnation(&chosen).await else {
            self.tried.insert(Arc::clone(&chosen.name));
            let now = self.entry.node.now();
            self.entry.update_agent(&chosen.name, |s| {
                s.health.record_failure(asked_at, now)
            });
            return Err(self.decide_next(Failure::Unsent).await);
        };
        let attempt = self.entry.new_attempt();
        let sent = self.entry.node.now();
        let time_left = self.time_left();
        if time_left.is_zero() {
            let before = self.retry.ran();
            return Err(RetryDecision::Respond(Code::DeadlinePassed, before));
        }
        // A hung agent accepts the connection and sends nothing. A streamed
        // answer begins at once, so `first_ms` detects this. An answer that
        // isn't streamed may begin only when it is complete.
        let first_byte = self.entry.millis("first_ms");
        let within = if self.checked.stream {
            time_left.min(first_byte)
        } else {
            time_left
        };
        self.record_attempt(&chosen, &attempt);
        let in_flight = InFlight::new(&self.entry, &chosen.name);
        let entry = Arc::clone(&self.entry);
        let answered = entry
            .send(
                &self.checked,
                &chosen,
                &attempt,
                incarnation,
                run.suspicion,
                within,
            )
            .await;
        let answered = match answered {
            Ok(response) => self.read_answer(response).await,
            Err(FailedAttempt { failure, retry_after }) => {
                self.retry_after = retry_after;
                Err(failure)
            }
        };
        let failure = match answered {
            Ok(ReadAnswer::Whole(whole)) => {
                // The agent counts the answer.
                let features = &self.checked.features;
                self.entry.node.record_answer(features, None);
                return Ok(Answered::Whole(whole));
            }
            Ok(ReadAnswer::Streamed(streamed)) => {
                let control = chosen.control;
                let run = StreamRun { in_flight, admitted: run, control };
                return Ok(Answered::Streamed(streamed, run));
            }
            Err(failure) => failure,
        };
        drop(in_flight);
        self.tried.insert(Arc::clone(&chosen.name));
        if matches!(failure, Failure::Failed(_)) {
            // The agent knows whether its backend server ended during the
            // attempt.
            let node = &self.entry.node;
            let request = self.checked.features.request;
            node.ask_poison(chosen.control, request).await;
        }
        match self.decide_next(failure).await {
            RetryDecision::Revoke => {
                Err(self.revoke(&chosen, attempt, incarnation, sent).await)
            }
            next => Err(next),
        }
    }

    /// Starts a run of the request, unless the poison table refuses it because
    /// backend servers ended while running it.
    async fn check_poison(&mut self) -> Result<AdmittedRun, RetryDecision> {
        let features = &self.checked.features;
        let refusal = match self.entry.node.admit_run(features).await {
            Ok(run) => return Ok(run),
            Err(refusal) => refusal,
        };
        self.log_refusal(&refusal);
        self.retry_after = Some(refusal.retry_after);
        self.refusal = Some(refusal);
        let before = self.retry.ran();
        let code = match before {
            Ran::DidNotRun => Code::Quarantined,
            Ran::MayHaveRun | Ran::Ran => Code::LostBackend,
        };
        Err(RetryDecision::Respond(code, before))
    }

    fn log_refusal(&self, refusal: &Refusal) {
        let names = |features: &[Fingerprint]| {
            let names: Vec<String> =
                features.iter().map(ToString::to_string).collect();
            names.join(" ")
        };
        let parts = self.checked.parts.iter().filter(|part| {
            refusal.features.contains(&Fingerprint::of_part(part))
        });
        let parts: Vec<&str> = parts.map(|part| &**part).collect();
        let fields = [
            ("fingerprint", names(&refusal.features)),
            ("parts", parts.join(" ")),
            ("replicas", refusal.replicas.join(" ")),
        ];
        let fields = fields.each_ref().map(|(name, text)| (*name, &**text));
        self.entry.node.event("poison.refused", &fields);
    }

    async fn read_answer(
        &self,
        response: Response<Incoming>,
    ) -> Result<ReadAnswer, Failure> {
        let idle = self.entry.millis("idle_ms");
        if self.checked.stream && response.status() == StatusCode::OK {
            let deadline = Instant::now() + self.time_left();
            let limits = ReadLimits { idle, deadline };
            let streamed = StreamedAnswer::begin(response, limits).await?;
            return Ok(ReadAnswer::Streamed(Box::new(streamed)));
        }
        let limit = self.entry.settings.values.number("answer_kb") * 1024;
        let whole =
            read_whole(response, limit as usize, self.time_left()).await?;
        Ok(ReadAnswer::Whole(whole))
    }

    fn record_attempt(&mut self, chosen: &ChosenAgent, attempt: &Attempt) {
        if !self.tried.is_empty() {
            self.entry.node.metrics().retried();
        }
        let key = self.checked.key.as_ref().map_or("", |k| k.as_str());
        let fields = [
            ("attempt", attempt.as_str()),
            ("agent", &*chosen.name),
            ("key", key),
        ];
        self.entry.node.event("request.sent", &fields);
    }

    fn time_left(&self) -> Duration {
        self.checked.deadline.since(self.entry.node.now())
    }

    /// Returns the agent's incarnation, asking the agent if the entry doesn't
    /// know it.
    async fn incarnation(&self, chosen: &ChosenAgent) -> Option<u64> {
        if let Some(known) = chosen.incarnation {
            return Some(known);
        }
        let node = &self.entry.node;
        let report = node.report();
        let exchanged = node
            .wire()
            .exchange(chosen.control, INCARNATION_TIMEOUT, report)
            .await;
        let report = exchanged.ok()?;
        let incarnation = report.incarnation;
        node.receive_report(report);
        Some(incarnation)
    }

    /// Pauses because no agent is available, or gives up after `wait_ms` or at
    /// the deadline.
    async fn wait_for_agent(&mut self) -> RetryDecision {
        let now = self.entry.node.now();
        let since = *self.waiting_since.get_or_insert(now);
        let limit = self.entry.millis("wait_ms");
        if now.since(since) >= limit || self.time_left().is_zero() {
            return self
                .retry
                .failed(Failure::Refused(Code::NoBackend), false);
        }
        self.tried.clear();
        tokio::time::sleep(RETRY_PAUSE).await;
        RetryDecision::Retry
    }

    /// Decides how to continue after a failed attempt.
    async fn decide_next(&mut self, failure: Failure) -> RetryDecision {
        let may_have_run =
            matches!(failure, Failure::NoResponse | Failure::Failed(_));
        let may_continue = match failure {
            // Another agent would ask the same guard, or know of the same
            // backend servers that ended.
            Failure::Refused(Code::Quarantined) => false,
            Failure::Refused(code) if is_guard_failure(code) => false,
            _ if may_have_run => self.may_run_again(),
            _ => self.may_send_elsewhere(),
        };
        let next = self.retry.failed(failure, may_continue);
        if next == RetryDecision::Retry
            && !may_have_run
            && self.tried.len() > 1
        {
            // Several agents refused: they are switching versions, or hold an
            // older configuration.
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        next
    }

    /// Returns whether a request that did not run may go to another agent.
    /// Such a failure costs its agent little, so only the deadline and
    /// `wait_ms` limit it.
    fn may_send_elsewhere(&mut self) -> bool {
        let now = self.entry.node.now();
        let since = *self.waiting_since.get_or_insert(now);
        let limit = self.entry.millis("wait_ms");
        !self.time_left().is_zero() && now.since(since) < limit
    }

    /// Returns whether a request that may have run may be attempted again:
    /// `tries`, the deadline and the retry budget limit this.
    fn may_run_again(&mut self) -> bool {
        self.attempts_maybe_run += 1;
        let tries = self.entry.settings.values.number("tries");
        self.attempts_maybe_run < tries
            && !self.time_left().is_zero()
            && self.entry.retry_budget().spend()
    }

    async fn revoke(
        &mut self,
        chosen: &ChosenAgent,
        attempt: Attempt,
        incarnation: u64,
        sent: Time,
    ) -> RetryDecision {
        let node = &self.entry.node;
        let within = self.entry.millis("revoke_ms");
        let reported = node
            .wire()
            .revoke(chosen.control, within, attempt, incarnation)
            .await;
        let elapsed = node.now().since(sent);
        let retention = self.entry.millis("keep_ms");
        let ran = revocation_outcome(reported.ok(), elapsed, retention);
        let may_continue = ran == Ran::DidNotRun && self.may_send_elsewhere();
        self.retry.revoked(ran, may_continue)
    }
}

/// Returns whether an agent refused because of the guard of the request's key.
fn is_guard_failure(code: Code) -> bool {
    matches!(
        code,
        Code::GuardUnreachable | Code::GuardForgetful | Code::GuardFull
    )
}

/// An agent's answer: read completely, or begun to stream.
enum ReadAnswer {
    Whole(Response<Body>),
    Streamed(Box<StreamedAnswer>),
}

/// The result of a successful attempt. A streamed answer stays counted as in
/// progress at its agent.
enum Answered {
    Whole(Response<Body>),
    Streamed(Box<StreamedAnswer>, StreamRun),
}
