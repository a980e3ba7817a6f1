//! From a caller's request to its final answer.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::FutureExt as _;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use stairhinge::poison::{Admission, Refusal, Suspicion};
use stairhinge::request::{
    Attempt, Failure, RequestRetry, RetryDecision, revocation_outcome,
};
use stairhinge::{Code, Error, Ran, Time};
use stairhinge_shell::http::{
    Body, Failed, Handler, Limits, answer, full, read,
};

use crate::Entry;
use crate::answer::{AnswerGuards, Streamed, whole};
use crate::checked_request::CheckedRequest;
use crate::choose::Chosen;
use crate::send::{FailedAttempt, InFlight};

/// The pause before looking again when no agent can take a request.
const PAUSE: Duration = Duration::from_millis(20);

/// When to come back if nobody can take a request.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a question for an agent's incarnation may take.
const MEET_TIMEOUT: Duration = Duration::from_millis(500);

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
                _ => self.front(request).await,
            }
        }
        .boxed()
    }
}

impl Entry {
    fn ready(&self) -> Response<Body> {
        let known = self.node.view().fleet.is_some();
        let ready = known && !self.node.leaving();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        answer(status, format!("{{\"ready\":{ready}}}"))
    }

    async fn front(
        self: Arc<Entry>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let start = Instant::now();
        match self.take(request, start).await {
            Ok(response) => response,
            Err(failed) => {
                let code = failed.error().code().number();
                let secs = start.elapsed().as_secs_f64();
                self.node.metrics().answered(code, secs);
                failed.response()
            }
        }
    }

    /// Checks and admits a request, then runs it.
    async fn take(
        self: &Arc<Entry>,
        request: Request<Incoming>,
        start: Instant,
    ) -> Result<Response<Body>, Failed> {
        let (parts, body) = request.into_parts();
        let view = self.node.view();
        let Some(fleet) = view.fleet.as_ref() else {
            let why = "this entry has no configuration yet";
            let err = Error::new(Code::NoBackend, why);
            return Err(Failed::new(err).with_back(RETRY_AFTER));
        };
        let limits = Limits::of(&self.settings.values);
        let body = read(body, limits.body, limits.body_time).await?;
        let now = self.node.now();
        let longest = self.millis("deadline_ms");
        let ask = CheckedRequest::check(&parts, body, fleet, now, longest)?;
        self.budget().record_request();
        let admitted = self.admit(&ask.workspace, ask.deadline).await?;
        let entry = Arc::clone(self);
        let kept = AnswerGuards { entry, admitted, start };
        let run = Run {
            entry: Arc::clone(self),
            course: RequestRetry::new(ask.repeatable),
            ask,
            tried: HashSet::new(),
            harmed: 0,
            waited: None,
            back: None,
            refusal: None,
        };
        run.run(kept).await
    }
}

/// One request on its way through attempts.
struct Run {
    entry: Arc<Entry>,
    ask: CheckedRequest,
    course: RequestRetry,
    tried: HashSet<Arc<str>>,
    /// Attempts that may have run.
    harmed: u64,
    /// Since when nobody could take it.
    waited: Option<Time>,
    /// When to come back, as the last agent said.
    back: Option<Duration>,
    /// Why it is kept from backend servers.
    refusal: Option<Refusal>,
}

impl Run {
    async fn run(
        mut self,
        kept: AnswerGuards,
    ) -> Result<Response<Body>, Failed> {
        loop {
            let next = match self.attempt().await {
                Ok(Answered::Whole(response)) => {
                    kept.end(0);
                    return Ok(response);
                }
                Ok(Answered::Streamed(streamed, in_flight)) => {
                    return Ok(streamed.go(kept, in_flight));
                }
                Err(next) => next,
            };
            let RetryDecision::Respond(code, ran) = next else { continue };
            return Err(self.failed(code, ran));
        }
    }

    fn failed(&self, code: Code, ran: Ran) -> Failed {
        let aim = &self.ask.aim;
        let why = match &self.refusal {
            Some(refusal) => refusal.to_string(),
            None => format!("{aim:?} after {} agents", self.tried.len()),
        };
        let failed = Failed::new(Error::new(code, why)).with_ran(ran);
        if let Some(back) = self.back {
            return failed.with_back(back);
        }
        match code.status() {
            503 | 504 => {
                let noise = rand::random::<f64>();
                failed.with_back(RETRY_AFTER.mul_f64(1.0 + noise))
            }
            _ => failed,
        }
    }

    /// Makes one attempt; what comes next if it fails.
    async fn attempt(&mut self) -> Result<Answered, RetryDecision> {
        let suspicion = self.admit_suspect()?;
        let answered = self.send_once(suspicion).await;
        if answered.is_err() {
            self.entry.node.poison().finish_run(self.ask.fingerprint);
        }
        answered
    }

    async fn send_once(
        &mut self,
        suspicion: Suspicion,
    ) -> Result<Answered, RetryDecision> {
        let Some(chosen) = self.entry.choose(&self.ask, &self.tried) else {
            return Err(self.nobody().await);
        };
        let Some(incarnation) = self.incarnation(&chosen).await else {
            self.tried.insert(Arc::clone(&chosen.name));
            let now = self.entry.node.now();
            self.entry.seat(&chosen.name, |s| s.health.record_failure(now));
            return Err(self.after(Failure::Unsent).await);
        };
        let attempt = self.entry.attempt();
        let sent = self.entry.node.now();
        let left = self.left();
        if left.is_zero() {
            let before = self.course.ran();
            return Err(RetryDecision::Respond(Code::DeadlinePassed, before));
        }
        // A frozen agent takes the connection and says nothing. A streamed
        // answer begins at once, so silence shows; one that is not streamed
        // may begin only when it is whole.
        let first = self.entry.millis("first_ms");
        let within = if self.ask.stream { left.min(first) } else { left };
        self.note(&chosen, &attempt);
        let in_flight = InFlight::new(&self.entry, &chosen.name);
        let entry = Arc::clone(&self.entry);
        let answered = entry
            .send(&self.ask, &chosen, &attempt, incarnation, suspicion, within)
            .await;
        let answered = match answered {
            Ok(response) => self.read(response).await,
            Err(FailedAttempt { failure, back }) => {
                self.back = back;
                Err(failure)
            }
        };
        let failure = match answered {
            Ok(Read::Whole(whole)) => {
                self.entry.node.answered_whole(self.ask.fingerprint);
                return Ok(Answered::Whole(whole));
            }
            Ok(Read::Streamed(streamed)) => {
                return Ok(Answered::Streamed(streamed, in_flight));
            }
            Err(failure) => failure,
        };
        drop(in_flight);
        self.tried.insert(Arc::clone(&chosen.name));
        if matches!(failure, Failure::Failed(_)) {
            // The agent has seen whether its backend server ended.
            let node = &self.entry.node;
            node.ask_poison(chosen.control, self.ask.fingerprint).await;
        }
        match self.after(failure).await {
            RetryDecision::Revoke => {
                Err(self.revoke(&chosen, attempt, incarnation, sent).await)
            }
            next => Err(next),
        }
    }

    /// Admits the request, unless it ends the backend servers that run it.
    fn admit_suspect(&mut self) -> Result<Suspicion, RetryDecision> {
        let node = &self.entry.node;
        let now = node.now();
        let admission = node.poison().admit(self.ask.fingerprint, now);
        let refusal = match admission {
            Admission::Admitted(suspicion) => return Ok(suspicion),
            Admission::Refused(refusal) => refusal,
        };
        self.back = Some(refusal.retry_after);
        self.refusal = Some(refusal);
        let before = self.course.ran();
        let code = match before {
            Ran::DidNotRun => Code::Quarantined,
            Ran::MayHaveRun | Ran::Ran => Code::LostBackend,
        };
        Err(RetryDecision::Respond(code, before))
    }

    async fn read(
        &self,
        response: Response<Incoming>,
    ) -> Result<Read, Failure> {
        let idle = self.entry.millis("idle_ms");
        if self.ask.stream && response.status() == StatusCode::OK {
            let streamed = Streamed::begin(response, idle).await?;
            return Ok(Read::Streamed(Box::new(streamed)));
        }
        let most = self.entry.settings.values.number("answer_kb") * 1024;
        let whole = whole(response, most as usize, self.left()).await?;
        Ok(Read::Whole(whole))
    }

    fn note(&mut self, chosen: &Chosen, attempt: &Attempt) {
        if !self.tried.is_empty() {
            self.entry.node.metrics().retried();
        }
        let key = self.ask.key.as_ref().map_or("", |k| k.as_str());
        let fields = [
            ("attempt", attempt.as_str()),
            ("agent", &*chosen.name),
            ("key", key),
        ];
        self.entry.node.event("request.sent", &fields);
    }

    fn left(&self) -> Duration {
        self.ask.deadline.since(self.entry.node.now())
    }

    /// An agent that nothing is known of is asked for its incarnation first.
    async fn incarnation(&self, chosen: &Chosen) -> Option<u64> {
        if let Some(known) = chosen.incarnation {
            return Some(known);
        }
        let node = &self.entry.node;
        let report = node.report();
        let met =
            node.wire().exchange(chosen.control, MEET_TIMEOUT, report).await;
        let report = met.ok()?;
        let incarnation = report.incarnation;
        node.hear(report);
        Some(incarnation)
    }

    /// Nobody can take it now: wait a little, in bounds.
    async fn nobody(&mut self) -> RetryDecision {
        let now = self.entry.node.now();
        let since = *self.waited.get_or_insert(now);
        let most = self.entry.millis("wait_ms");
        if now.since(since) >= most || self.left().is_zero() {
            return self
                .course
                .failed(Failure::Refused(Code::NoBackend), false);
        }
        self.tried.clear();
        tokio::time::sleep(PAUSE).await;
        RetryDecision::Retry
    }

    /// Decides what comes after a failure.
    async fn after(&mut self, failure: Failure) -> RetryDecision {
        let harm = matches!(failure, Failure::NoResponse | Failure::Failed(_));
        let more = match failure {
            // Another agent would ask the same guard, or know of the same
            // ends.
            Failure::Refused(Code::Quarantined) => false,
            Failure::Refused(code) if guards(code) => false,
            _ if harm => self.may_retry(),
            _ => self.may_move(),
        };
        let next = self.course.failed(failure, more);
        if next == RetryDecision::Retry && !harm && self.tried.len() > 1 {
            // Refused by several: they are switching, or behind.
            tokio::time::sleep(PAUSE).await;
        }
        next
    }

    /// A request that did not run costs its agent little, so it may move
    /// until its deadline, or until the time to wait has passed.
    fn may_move(&mut self) -> bool {
        let now = self.entry.node.now();
        let since = *self.waited.get_or_insert(now);
        let most = self.entry.millis("wait_ms");
        !self.left().is_zero() && now.since(since) < most
    }

    /// One that may have run may be tried again within tries and budget.
    fn may_retry(&mut self) -> bool {
        self.harmed += 1;
        let tries = self.entry.settings.values.number("tries");
        self.harmed < tries
            && !self.left().is_zero()
            && self.entry.budget().spend()
    }

    async fn revoke(
        &mut self,
        chosen: &Chosen,
        attempt: Attempt,
        incarnation: u64,
        sent: Time,
    ) -> RetryDecision {
        let node = &self.entry.node;
        let within = self.entry.millis("revoke_ms");
        let word = node
            .wire()
            .revoke(chosen.control, within, attempt, incarnation)
            .await;
        let since = node.now().since(sent);
        let keep = self.entry.millis("keep_ms");
        let ran = revocation_outcome(word.ok(), since, keep);
        let more = ran == Ran::DidNotRun && self.may_move();
        self.course.revoked(ran, more)
    }
}

fn guards(code: Code) -> bool {
    matches!(
        code,
        Code::GuardUnreachable | Code::GuardForgetful | Code::GuardFull
    )
}

enum Read {
    Whole(Response<Body>),
    Streamed(Box<Streamed>),
}

enum Answered {
    Whole(Response<Body>),
    Streamed(Box<Streamed>, InFlight),
}
