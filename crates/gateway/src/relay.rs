//! Passing a stream of events on, and taking it up at another replica.
//!
//! Only whole events go to the caller. Where the replica breaks off, the
//! stream goes on from the last of them at another replica of the same
//! version; where that cannot be, it ends visibly cut.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderMap;
use stairhinge::Code;
use stairhinge::direct::{EventSplitter, NextStep, Repeat, Replica};
use stairhinge::placing::{Need, Outcome};
use stairhinge::poison::Suspicion;
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::http::{Body, BodyError};

use crate::dispatch::Place;
use crate::event_timing::EventTiming;
use crate::forward::{FailedAttempt, Forwarder, Missed};
use crate::hop_headers::is_framed;
use crate::pool::Connection;
use crate::request_context::RequestContext;

/// The longest silence within a stream that may be taken up elsewhere.
const SILENCE: Duration = Duration::from_millis(1_200);

/// How often a silent replica is looked up among those reported down.
const LOOK: Duration = Duration::from_millis(250);

/// How long a broken stream waits for a replica with room.
const RESUME_WAIT: Duration = Duration::from_millis(600);

/// An answer that is being read.
pub(crate) struct Upstream {
    pub body: Incoming,
    pub connection: Connection,
    pub place: Place,
    pub sent: Instant,
    /// The version of weights that it comes from.
    pub version: Option<u64>,
}

/// A stream on its way to the caller.
pub(crate) struct Relay {
    forwarder: Arc<Forwarder>,
    context: Arc<RequestContext>,
    upstream: Option<Upstream>,
    headers: HeaderMap,
    splitter: EventSplitter,
    last_event: Option<u64>,
    version: Option<u64>,
    tried: Vec<Arc<str>>,
    attempt: u32,
    /// What was known of the request when it was sent where it runs now.
    suspicion: Suspicion,
    timing: EventTiming,
    ended: bool,
}

/// What reading the replica brought.
enum Read {
    Bytes(Bytes),
    End,
    Broke(Broke),
}

/// Why a replica's answer is not read to its end.
struct Broke {
    reason: String,
    /// Whether the connection ended.
    cut: bool,
}

impl Broke {
    fn silent(reason: impl Into<String>) -> Broke {
        Broke { reason: reason.into(), cut: false }
    }

    fn cut(reason: impl Into<String>) -> Broke {
        Broke { reason: reason.into(), cut: true }
    }
}

/// Why a stream was not taken up at another replica.
struct NotTaken {
    reason: String,
    /// The attempt there, if it failed.
    failed: Option<FailedAttempt>,
}

impl NotTaken {
    /// Returns a reason that speaks against no replica.
    fn before(reason: impl ToString) -> NotTaken {
        NotTaken { reason: reason.to_string(), failed: None }
    }
}

impl Relay {
    /// Returns a relay of an answer whose head had these headers.
    pub(crate) fn new(
        forwarder: Arc<Forwarder>,
        context: Arc<RequestContext>,
        upstream: Upstream,
        headers: HeaderMap,
        suspicion: Suspicion,
    ) -> Relay {
        let tried = vec![Arc::clone(&upstream.place.replica.incarnation)];
        Relay {
            last_event: context.caller.after_event,
            version: upstream.version,
            forwarder,
            context,
            upstream: Some(upstream),
            headers,
            splitter: EventSplitter::new(),
            tried,
            attempt: 1,
            suspicion,
            timing: EventTiming::default(),
            ended: false,
        }
    }

    /// Returns the next bytes for the caller, or `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            if let Some(bytes) = self.whole_events() {
                self.timing.record(Instant::now());
                return Some(Ok(bytes));
            }
            match self.read().await {
                Read::Bytes(bytes) => self.splitter.push(&bytes),
                Read::End if !self.splitter.is_partial() => {
                    self.finish();
                    return None;
                }
                Read::End => {
                    let why = Broke::cut("the answer ended within an event");
                    if let Err(error) = self.resume(why).await {
                        return Some(Err(error));
                    }
                }
                Read::Broke(why) => {
                    if let Err(error) = self.resume(why).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    fn whole_events(&mut self) -> Option<Bytes> {
        let first = self.splitter.next_event()?;
        self.last_event = first.id.or(self.last_event);
        let Some(second) = self.splitter.next_event() else {
            return Some(first.bytes);
        };
        let mut bytes = BytesMut::from(&first.bytes[..]);
        let mut next = Some(second);
        while let Some(event) = next {
            self.last_event = event.id.or(self.last_event);
            bytes.extend_from_slice(&event.bytes);
            next = self.splitter.next_event();
        }
        Some(bytes.freeze())
    }

    async fn read(&mut self) -> Read {
        let Some(upstream) = &mut self.upstream else {
            return Read::Broke(Broke::silent("no replica"));
        };
        let resumable = self.context.route.repeat == Repeat::Resume;
        let since = Instant::now();
        loop {
            let left = self.context.left();
            if left.is_zero() {
                return Read::Broke(Broke::silent("the time is over"));
            }
            let wait = if resumable { left.min(LOOK) } else { left };
            let frame = tokio::time::timeout(wait, upstream.body.frame());
            match frame.await {
                Ok(None) => return Read::End,
                Ok(Some(Err(error))) => {
                    return Read::Broke(Broke::cut(error.to_string()));
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Read::Bytes(data);
                    }
                }
                Err(_) => {}
            }
            if !resumable {
                continue;
            }
            let replica = &upstream.place.replica.incarnation;
            if self.forwarder.dispatcher.is_down(replica) {
                // Asking a replica that is silent would hold the stream up.
                let why = "its agent reports it down";
                return Read::Broke(Broke::silent(why));
            }
            if since.elapsed() > SILENCE {
                let why = format!("no event for {} ms", SILENCE.as_millis());
                return Read::Broke(Broke::silent(why));
            }
        }
    }

    fn finish(&mut self) {
        self.ended = true;
        if let Some(upstream) = self.upstream.take() {
            let Upstream { connection, place, body, .. } = upstream;
            drop(body);
            if is_framed(&self.headers) {
                self.forwarder.poison.answered(&self.context);
            }
            self.forwarder.pool.put(connection, &self.headers);
            drop(place);
        }
        let timing = Some(&self.timing);
        self.forwarder.log_ended(&self.context, 200, 0, "", timing);
    }

    /// Takes the stream up at another replica.
    async fn resume(&mut self, broke: Broke) -> Result<(), BodyError> {
        let mut reason = broke.reason.clone();
        let mut failed = self.leave(broke).await;
        loop {
            self.splitter = EventSplitter::new();
            let may = self.context.route.repeat == Repeat::Resume
                && !self.suspicion.is_quarantined()
                && self.attempt < self.context.route.attempts
                && !self.context.left().is_zero()
                && self.forwarder.spend(&self.context.service);
            let next = if may { NextStep::Retry } else { NextStep::Fail };
            if let Some(failed) = failed.take() {
                self.forwarder.log_failed(&self.context, &failed, next);
            }
            if !may {
                return Err(self.cut(&reason));
            }
            self.attempt += 1;
            match self.take_up().await {
                Ok(()) => return Ok(()),
                Err(not_taken) => {
                    reason = format!("{reason}; then {}", not_taken.reason);
                    failed = not_taken.failed;
                }
            }
        }
    }

    /// Leaves the replica whose answer broke off.
    async fn leave(&mut self, broke: Broke) -> Option<FailedAttempt> {
        let mut upstream = self.upstream.take()?;
        upstream.place.note(Outcome::Failed);
        let replica = Arc::clone(&upstream.place.replica);
        let sent = upstream.sent;
        drop(upstream);
        let reason = broke.reason;
        Some(self.examine(replica, sent, reason, broke.cut).await)
    }

    /// Looks at a replica that did not bring the whole answer.
    async fn examine(
        &mut self,
        replica: Arc<Replica>,
        sent: Instant,
        reason: String,
        cut: bool,
    ) -> FailedAttempt {
        let known = self.suspicion;
        let (replica_ended, known) =
            self.forwarder.examine(&self.context, &replica, cut, known).await;
        self.suspicion = known;
        FailedAttempt { replica, sent, reason, replica_ended }
    }

    async fn take_up(&mut self) -> Result<(), NotTaken> {
        let poison = &self.forwarder.poison;
        self.suspicion =
            poison.admit(&self.context).map_err(NotTaken::before)?;
        let need = Need {
            service: Arc::clone(&self.context.service),
            model: self.context.caller.model.clone(),
            version: self.version,
            tried: self.tried.clone(),
            // What was begun goes before what has not.
            priority: 0,
            route_priority: 0,
            prompt_tokens: self.context.caller.prompt_tokens,
            objective: self.context.route.objective(),
            regions: self.context.regions.clone(),
            suspicion: self.suspicion,
        };
        let left = self.context.left();
        let until = Instant::now() + RESUME_WAIT.min(left);
        let found = self.forwarder.placing.place(need, until, left).await;
        let place = found.map_err(|lack| {
            self.forwarder.poison.released(&self.context);
            NotTaken::before(format!("no other replica: {lack}"))
        })?;
        self.forwarder
            .poison
            .still_admits(&self.context, self.suspicion)
            .map_err(NotTaken::before)?;
        let replica = Arc::clone(&place.replica);
        self.tried.push(Arc::clone(&replica.incarnation));
        let sent = Instant::now();
        let answered = self
            .forwarder
            .send(&self.context, place, self.attempt, self.last_event)
            .await;
        let answered = match answered {
            Ok(answered) => answered,
            Err(missed) => {
                let Missed { reason, cut, .. } = missed;
                let failed = self.examine(replica, sent, reason, cut).await;
                let reason = failed.reason.clone();
                return Err(NotTaken { reason, failed: Some(failed) });
            }
        };
        let replica = &replica.incarnation;
        if !answered.head.status.is_success() {
            let reason = format!("{replica} says {}", answered.head.status);
            return Err(NotTaken::before(reason));
        }
        self.headers = answered.head.headers;
        self.upstream = Some(answered.upstream);
        self.forwarder.metrics.resumed.inc();
        self.forwarder.facts.log().write(&Decision::Resumed {
            request: &self.context.caller.id,
            replica,
            after_event: self.last_event,
        });
        Ok(())
    }

    fn cut(&mut self, reason: &str) -> BodyError {
        self.ended = true;
        self.forwarder.poison.given_up(&self.context);
        let code = if self.context.left().is_zero() {
            Code::TimedOut
        } else {
            Code::AnswerBroke
        };
        let (code, timing) = (code.number(), Some(&self.timing));
        self.forwarder.log_ended(&self.context, 200, code, reason, timing);
        BodyError(reason.to_string())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.forwarder.poison.given_up(&self.context);
        self.forwarder.metrics.cancelled.inc();
        self.forwarder.facts.log().write(&Decision::Cancelled {
            request: &self.context.caller.id,
            took_ms: self.context.elapsed_ms(),
        });
    }
}

/// Returns the body that a relay feeds.
pub(crate) fn relay(state: Relay) -> Body {
    let items = futures::stream::unfold(Some(state), |state| async {
        let mut state = state?;
        let item = state.next().await?;
        let rest = item.is_ok().then_some(state);
        Some((item.map(Frame::data), rest))
    });
    StreamBody::new(items.boxed()).boxed_unsync()
}
