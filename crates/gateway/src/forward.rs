//! Forwarding of a request, up to the head of its answer.

mod attempts;
mod buffered;
mod ending;
mod further;
mod hedge;
mod log;
mod pass_on;
mod refuse;
mod send;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderValue,
};
use hyper::http::request::Parts;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use rand::RngExt as _;
use stairhinge::direct::{AttemptResult, Repeat, RetryShare, Shortage};
use stairhinge::placing::Outcome;
use stairhinge::poison::Suspicion;
use stairhinge::{Code, Error, Time};
use stairhinge_shell::directory::{Collection, Facts};
use stairhinge_shell::http::{Body, Failed, Handler, full, read};
use stairhinge_shell::{LiveSettings, Shutdown};

pub(crate) use self::attempts::{FailedAttempt, FailedTry};
pub(crate) use self::buffered::left_unread_reason;
pub(crate) use self::ending::Ending;
pub(crate) use self::further::{Further, FurtherError};
pub(crate) use self::hedge::SEARCH_INTERVAL;
use self::refuse::refused;
pub(crate) use self::send::{BEGIN_TIMEOUT, BeginResult, OpenAttempt};
use crate::admit::{find_route, find_workspace};
use crate::buffers::Buffers;
use crate::cancel_guard::CancelGuard;
use crate::dialect::{CallerRequest, Dialect};
use crate::dispatch::{Dispatcher, Place};
use crate::hop_headers::{means_not_run, remove_hop_headers};
use crate::metrics::EntryMetrics;
use crate::placing::HallPlacing;
use crate::poison::PoisonWatch;
use crate::pool::Pool;
use crate::relay::{Relay, Upstream, relay, relay_buffered};
use crate::request_context::RequestContext;
use crate::settings::EntrySettings;
use crate::silence::SilenceWatch;

/// The time limit of a request whose caller sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Forwards the requests of one entry.
pub(crate) struct Forwarder {
    settings: LiveSettings<EntrySettings>,
    pub facts: Arc<Facts>,
    pub dispatcher: Arc<Dispatcher>,
    pub placing: Arc<HallPlacing>,
    dialect: Arc<dyn Dialect>,
    pub metrics: Arc<EntryMetrics>,
    pub pool: Pool,
    pub poison: Arc<PoisonWatch>,
    pub silence: Arc<SilenceWatch>,
    /// The bounded buffers; `None` if they are disabled.
    buffers: Option<Arc<Buffers>>,
    retry_shares: Mutex<HashMap<Arc<str>, RetryShare>>,
    /// When this entry started, unless the whole platform started with it.
    restarted: Option<Time>,
    shutdown: Shutdown,
}

/// An attempt that received the head of its answer.
pub(crate) struct Answered {
    pub head: response::Parts,
    pub upstream: Upstream,
}

/// The failure of an attempt that got no usable answer.
pub(crate) struct AttemptError {
    pub result: AttemptResult,
    pub reason: String,
    /// Whether the connection was lost during the attempt.
    pub connection_lost: bool,
    /// The replica's complete error response, if any. The caller gets it if no
    /// other replica succeeds.
    pub failure: Option<Response<Body>>,
}

impl AttemptError {
    fn new(result: AttemptResult, reason: impl ToString) -> AttemptError {
        let reason = reason.to_string();
        AttemptError { result, reason, connection_lost: false, failure: None }
    }

    fn connection_lost(reason: impl ToString) -> AttemptError {
        let error = AttemptError::new(AttemptResult::NoResponse, reason);
        AttemptError { connection_lost: true, ..error }
    }
}

impl Handler for Forwarder {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(self.serve(request))
    }
}

impl Forwarder {
    /// Returns a forwarder without connections.
    pub(crate) fn new(
        settings: LiveSettings<EntrySettings>,
        dispatcher: Arc<Dispatcher>,
        placing: Arc<HallPlacing>,
        poison: Arc<PoisonWatch>,
        dialect: Arc<dyn Dialect>,
        metrics: Arc<EntryMetrics>,
        shutdown: Shutdown,
    ) -> Forwarder {
        let facts = Arc::clone(dispatcher.facts());
        let first_start = settings.get().first_start;
        let restarted = (!first_start).then(|| facts.now());
        Forwarder {
            settings,
            facts,
            dispatcher,
            placing,
            poison,
            silence: Arc::default(),
            dialect,
            buffers: None,
            metrics,
            pool: Pool::default(),
            retry_shares: Mutex::default(),
            restarted,
            shutdown,
        }
    }

    /// Sets the bounded buffers, if there are any.
    pub(crate) fn with_buffers(
        self,
        buffers: Option<Arc<Buffers>>,
    ) -> Forwarder {
        Forwarder { buffers, ..self }
    }

    /// Closes idle connections, drops expired state and updates gauges.
    pub(crate) fn sweep_and_update_gauges(&self) {
        self.pool.sweep();
        self.dispatcher.sweep();
        if let Some(buffers) = &self.buffers {
            buffers.cut_unread();
        }
        let (running, waiting) = self.dispatcher.load();
        self.metrics.running.set(running as i64);
        self.metrics.waiting.set(waiting as i64);
        let poison = self.poison.sweep();
        self.metrics.suspected.set(poison.suspected as i64);
        self.metrics.quarantined.set(poison.quarantined as i64);
        self.metrics.crashes_withdrawn.set(poison.withdrawn as i64);
        let (given, taken_back) = self.placing.given();
        self.metrics.places_given.set(given as i64);
        self.metrics.places_taken_back.set(taken_back as i64);
        let view = self.facts.view();
        self.metrics.replicas.set(view.replicas.len() as i64);
        self.metrics.evacuated.set(view.evacuations.all().count() as i64);
        let restricted = self.dispatcher.count_restricted();
        self.metrics.cold.set(restricted.cold as i64);
        self.metrics.limited.set(restricted.limited as i64);
        self.metrics.leaving.set(restricted.leaving as i64);
        self.metrics.resting.set(restricted.resting as i64);
        if let Some(totals) = self.dispatcher.admission_totals() {
            self.metrics.set_admission(&totals);
        }
        let health = self.dispatcher.count_health();
        self.metrics.ejected.set(health.ejected as i64);
        self.metrics.ejections.set(health.ejections as i64);
        self.metrics.trials.set(health.trials as i64);
        self.metrics.reported_ejections.set(health.reported as i64);
        if let Some(age) = self.facts.routes_age() {
            self.metrics.routes_age.set(age.as_secs_f64());
        }
        let list = self.facts.reading(Collection::Replicas).state;
        self.metrics.list_read.set(list as i64);
        self.metrics.documents_read.set(self.facts.documents() as i64);
        if let Some(routes) = &view.routes {
            self.metrics.revision.set(routes.revision() as i64);
        }
    }

    async fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let started = Instant::now();
        let (head, body) = request.into_parts();
        let caller = self.dialect.parse_request(&head);
        let id = caller
            .as_ref()
            .map_or_else(|_| Arc::from(""), |read| Arc::clone(&read.id));
        let mut watch = CancelGuard::new(&self, Arc::clone(&id), started);
        let answered = Arc::clone(&self).answer(head, body, caller, started);
        let mut response = match answered.await {
            Ok(response) => response,
            Err(failed) => self.refusal(&id, &failed, started),
        };
        watch.disarm();
        if self.shutdown.stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn answer(
        self: Arc<Self>,
        head: Parts,
        body: Incoming,
        caller: Result<CallerRequest, Error>,
        started: Instant,
    ) -> Result<Response<Body>, Failed> {
        let view = self.facts.view();
        let Some(routes) = view.routes.clone() else {
            let error =
                Error::new(Code::NoRoutes, "no routes have been read yet");
            return Err(refused(error, Shortage::NoReplica));
        };
        drop(view);
        // Errors in the head are answered before any of the body is read.
        let caller = caller?;
        let route = find_route(&routes, &head)?;
        let workspace = find_workspace(&routes, &route, &caller)?;
        let service = route
            .service(rand::rng().random())
            .map(Arc::clone)
            .ok_or_else(|| Error::new(Code::NoBackend, "no destination"))?;
        let patience = caller.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let deadline = started + patience.min(route.timeout());
        let max_bytes = self.settings.get().body_bytes;
        let timeout = deadline.saturating_duration_since(Instant::now());
        let name = workspace.as_ref().map(|w| Arc::clone(&w.name));
        let (body, charges) =
            self.read_request(body, max_bytes, timeout, name).await?;
        let priority = workspace
            .as_ref()
            .and_then(|w| w.priority)
            .unwrap_or(route.priority);
        let workspace_regions = workspace.as_ref().map(|w| w.regions.clone());
        let regions =
            route.regions.intersection(&workspace_regions.unwrap_or_default());
        let context = Arc::new(RequestContext {
            caller,
            service,
            workspace: workspace.map(|w| Arc::clone(&w.name)),
            priority,
            regions,
            revision: routes.revision(),
            started,
            deadline,
            route,
            head,
            body,
            _charges: charges,
            features: OnceLock::new(),
            claim: Mutex::default(),
        });
        self.share(&context.service, |s| s.record_request(self.facts.now()));
        let answered =
            Arc::clone(&self).run_attempts(Arc::clone(&context)).await;
        if answered.is_err() {
            self.poison.record_give_up(&context);
        }
        answered
    }

    /// Relays an answer to the caller: a stream as it arrives, any other
    /// answer once it is complete. `ran_by` are the replicas that may have run
    /// the request.
    async fn relay_answer(
        self: &Arc<Self>,
        context: &Arc<RequestContext>,
        answered: Answered,
        suspicion: Suspicion,
        ran_by: Vec<Arc<str>>,
    ) -> Result<Response<Body>, AttemptError> {
        let Answered { mut head, mut upstream } = answered;
        let status = head.status;
        if head.headers.contains_key(CONTENT_ENCODING) {
            let why = "unrequested content encoding in the answer";
            return Err(AttemptError::new(AttemptResult::NoResponse, why));
        }
        self.metrics
            .observe_first_byte(context.started.elapsed().as_secs_f64());
        if context.route.streaming && status.is_success() {
            upstream.place.record_outcome(Outcome::Succeeded);
            let kept = head.headers.clone();
            remove_hop_headers(&mut head.headers);
            head.headers.remove(CONTENT_LENGTH);
            let state = Relay::new(
                Arc::clone(self),
                Arc::clone(context),
                upstream,
                kept,
                suspicion,
                ran_by,
            );
            let body = match self.hold_answer(context) {
                Some(held) => relay_buffered(state, held),
                None => relay(state),
            };
            return Ok(Response::from_parts(head, body));
        }
        if let Some(held) = self.hold_answer(context) {
            let answered = Answered { head, upstream };
            let relayed = self.relay_held(context, answered, suspicion, held);
            return relayed.await;
        }
        let Upstream { body, connection, mut place, sent, .. } = upstream;
        let max_bytes = self.settings.get().body_bytes;
        let bytes =
            read(body, max_bytes, context.remaining()).await.map_err(|e| {
                if e.code() == Code::SlowSender {
                    place.record_timeout(sent.elapsed(), BEGIN_TIMEOUT);
                } else {
                    place.record_outcome(Outcome::Failed);
                }
                match e.code() {
                    Code::MalformedHttp => AttemptError::connection_lost(e),
                    _ => AttemptError::new(AttemptResult::NoResponse, e),
                }
            })?;
        let ending = self.ending(&head.headers, &place.replica).await;
        if ending == Ending::Cut {
            place.record_outcome(Outcome::Failed);
            return Err(AttemptError::connection_lost(Ending::CUT_REASON));
        }
        self.pool.put(connection, &head.headers);
        let judged = self.judge_whole(context, status, ending, &mut place);
        remove_hop_headers(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        let response = Response::from_parts(head, full(bytes));
        match judged {
            WholeAnswer::Deliver => {}
            WholeAnswer::Retry => {
                return Err(error_response(status, Some(response)));
            }
            WholeAnswer::Withhold => return Err(error_response(status, None)),
        }
        self.log_ended(context, status.as_u16(), 0, "", None);
        Ok(response)
    }

    /// Judges a complete answer that is not a stream.
    fn judge_whole(
        &self,
        context: &RequestContext,
        status: StatusCode,
        ending: Ending,
        place: &mut Place,
    ) -> WholeAnswer {
        self.record_ending(context, ending);
        let repeatable = may_retry_after(context, status);
        let retry = repeatable && self.has_retry_left(context, place);
        if status.is_server_error() && self.dispatcher.tracks_health() {
            place.record_outcome(Outcome::Errored);
        } else if !repeatable {
            place.record_outcome(Outcome::Succeeded);
            place.record_whole();
        }
        if means_not_run(status.as_u16()) {
            // The request may have run, but this status would tell the caller
            // that it did not.
            return WholeAnswer::Withhold;
        }
        if retry { WholeAnswer::Retry } else { WholeAnswer::Deliver }
    }

    /// Returns whether a request that got an error response can be retried at
    /// another replica.
    fn has_retry_left(&self, context: &RequestContext, place: &Place) -> bool {
        let view = self.facts.view();
        let others = view
            .of_service(&context.service)
            .any(|(r, _)| r.incarnation != place.replica.incarnation);
        others && context.route.attempts > 1
    }

    /// Returns the maximum size of a body that is held whole, in bytes.
    pub(crate) fn max_body_bytes(&self) -> u64 {
        self.settings.get().body_bytes as u64
    }

    /// Takes a retry from this entry's share of the service's retry budget;
    /// returns whether there was one.
    pub(crate) fn spend_retry(&self, service: &Arc<str>) -> bool {
        let now = self.facts.now();
        self.share(service, |share| share.try_spend(now))
    }

    /// Returns whether this entry's share of the service's retry budget allows
    /// a retry.
    pub(crate) fn has_retry(&self, service: &Arc<str>) -> bool {
        let now = self.facts.now();
        self.share(service, |share| share.allows(now))
    }

    /// Calls `act` with this entry's share of a service's retry budget.
    fn share<T>(
        &self,
        service: &Arc<str>,
        act: impl FnOnce(&mut RetryShare) -> T,
    ) -> T {
        let bound = self.settings.get().retry;
        let window = Duration::from_secs_f64(bound.window_s);
        let entries = self.dispatcher.fleet_entries();
        let mut shares =
            self.retry_shares.lock().unwrap_or_else(PoisonError::into_inner);
        let share = shares.entry(Arc::clone(service)).or_default();
        share.set_limits(window, bound.ratio, bound.minimum, entries);
        if let Some(at) = self.restarted {
            share.set_restarted(at);
        }
        act(share)
    }
}

/// Returns whether a request that got this status may be retried.
fn may_retry_after(context: &RequestContext, status: StatusCode) -> bool {
    status.is_server_error() && context.route.repeat != Repeat::Never
}

/// What to do with a complete answer.
enum WholeAnswer {
    /// The caller gets it.
    Deliver,
    /// The caller gets it if no other replica succeeds.
    Retry,
    /// The caller must not get it.
    Withhold,
}

/// Returns the failure of an attempt that got an error status, with the
/// response that the caller gets if no other replica succeeds.
fn error_response(
    status: StatusCode,
    response: Option<Response<Body>>,
) -> AttemptError {
    let why = format!("the replica answered {status}");
    let error = AttemptError::new(AttemptResult::NoResponse, why);
    AttemptError { failure: response, ..error }
}
