//! Relaying of event streams, and their resumption at another replica.
//!
//! Only complete events are sent to the caller. If the replica fails, the
//! stream is resumed after the last of them at another replica with the same
//! weight version. If that is not possible, the caller's connection is
//! aborted so that the truncation is visible.

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

use crate::buffers::{Delivery, Held};
use crate::dispatch::Place;
use crate::event_timing::EventTiming;
use crate::forward::{
    AttemptError, FailedAttempt, Forwarder, left_unread_reason,
};
use crate::hop_headers::is_framed;
use crate::pool::Connection;
use crate::request_context::RequestContext;

/// The timeout for the next data of a resumable stream.
const DATA_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The interval at which a resumable stream without data checks whether its
/// replica is reported down.
const DOWN_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long a failed stream waits for a replica with capacity.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(600);

/// How long a replica must have been kept waiting for the caller in total for
/// a cut of its answer to be ascribed to that. Replicas wait for some seconds.
pub(crate) const MIN_LEFT_UNREAD: Duration = Duration::from_millis(500);

/// An answer that is being read from a replica.
pub(crate) struct Upstream {
    pub body: Incoming,
    pub connection: Connection,
    pub place: Place,
    pub sent: Instant,
    /// The weight version that produces the answer.
    pub version: Option<u64>,
    /// The first data of a stream, if it has been read already.
    pub first: Option<Bytes>,
}

/// A stream of events that is relayed to the caller.
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
    /// The suspicion against the request when its latest attempt was sent.
    suspicion: Suspicion,
    timing: EventTiming,
    ended: bool,
    /// The buffers of the answer, if they are bounded.
    held: Option<Arc<Held>>,
    /// How long the replica was kept waiting for the caller.
    waited: Duration,
}

/// The result of reading from the replica.
enum Read {
    Bytes(Bytes),
    End,
    Failed(ReadFailure),
}

/// Why a replica's answer could not be read to its end.
struct ReadFailure {
    reason: String,
    /// Whether the connection was lost, rather than the replica being silent.
    cut: bool,
}

impl ReadFailure {
    fn silent(reason: impl Into<String>) -> ReadFailure {
        ReadFailure { reason: reason.into(), cut: false }
    }

    fn cut(reason: impl Into<String>) -> ReadFailure {
        ReadFailure { reason: reason.into(), cut: true }
    }
}

/// Why a stream was not resumed at another replica.
struct ResumeFailure {
    reason: String,
    /// The failed attempt, if one was made.
    failed: Option<FailedAttempt>,
}

impl ResumeFailure {
    /// Returns a failure for which no replica is responsible.
    fn without_attempt(reason: impl ToString) -> ResumeFailure {
        ResumeFailure { reason: reason.to_string(), failed: None }
    }
}

impl Relay {
    /// Returns a relay of the answer with these headers.
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
            held: None,
            waited: Duration::ZERO,
        }
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            if let Some(bytes) = self.next_complete_events() {
                self.timing.record(Instant::now());
                return Some(Ok(bytes));
            }
            if let Some(error) = self.abort_long_event() {
                return Some(Err(error));
            }
            match self.read().await {
                Read::Bytes(bytes) => self.splitter.push(&bytes),
                Read::End if !self.splitter.is_partial() => {
                    self.finish();
                    return None;
                }
                Read::End => {
                    let failure = ReadFailure::cut(
                        "the answer ended in the middle of an event",
                    );
                    if let Err(error) = self.resume(failure).await {
                        return Some(Err(error));
                    }
                }
                Read::Failed(failure) => {
                    if let Err(error) = self.resume(failure).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    /// Aborts the answer if it has an event that does not fit the buffers.
    /// Another replica would send it as well, so the stream is not resumed.
    fn abort_long_event(&mut self) -> Option<BodyError> {
        let max = self.held.as_ref()?.max_bytes();
        if self.splitter.buffered() as u64 <= max {
            return None;
        }
        self.upstream = None;
        Some(self.abort(&format!("an event has more than {max} bytes")))
    }

    fn next_complete_events(&mut self) -> Option<Bytes> {
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
            return Read::Failed(ReadFailure::silent("no replica"));
        };
        if let Some(bytes) = upstream.first.take() {
            return Read::Bytes(bytes);
        }
        let resumable = self.context.route.repeat == Repeat::Resume;
        let since = Instant::now();
        loop {
            let left = self.context.remaining();
            if left.is_zero() {
                return Read::Failed(ReadFailure::silent(
                    "the deadline has passed",
                ));
            }
            let wait =
                if resumable { left.min(DOWN_CHECK_INTERVAL) } else { left };
            let frame = tokio::time::timeout(wait, upstream.body.frame());
            match frame.await {
                Ok(None) => return Read::End,
                Ok(Some(Err(error))) => {
                    return Read::Failed(ReadFailure::cut(error.to_string()));
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
            if self.forwarder.dispatcher.is_engine_down(replica) {
                // Waiting for the timeout would only delay the resumption.
                let why = "the agent reports that the engine is down";
                return Read::Failed(ReadFailure::silent(why));
            }
            if since.elapsed() > DATA_TIMEOUT {
                let why =
                    format!("no event for {} ms", DATA_TIMEOUT.as_millis());
                return Read::Failed(ReadFailure::silent(why));
            }
        }
    }

    fn finish(&mut self) {
        self.ended = true;
        if let Some(upstream) = self.upstream.take() {
            let Upstream { connection, mut place, body, .. } = upstream;
            place.record_whole();
            drop(body);
            if is_framed(&self.headers) {
                self.forwarder.poison.record_answer(&self.context);
            }
            self.forwarder.pool.put(connection, &self.headers);
            drop(place);
        }
        let timing = Some(&self.timing);
        self.forwarder.log_ended(&self.context, 200, 0, "", timing);
    }

    /// Resumes the stream at another replica.
    ///
    /// # Errors
    ///
    /// If the stream cannot be resumed.
    async fn resume(&mut self, failure: ReadFailure) -> Result<(), BodyError> {
        let mut reason = failure.reason.clone();
        let cut = failure.cut;
        let late = self.context.remaining().is_zero();
        let unread = (cut || late) && self.waited >= MIN_LEFT_UNREAD;
        let mut failed = self.release_upstream(failure, unread).await;
        let ended = failed.as_ref().and_then(|f| f.replica_ended);
        if cut && unread && ended != Some(true) {
            return Err(self.abort_unread(&reason));
        }
        loop {
            self.splitter = EventSplitter::new();
            let can_retry = self.context.route.repeat == Repeat::Resume
                && !self.suspicion.is_quarantined()
                && self.attempt < self.context.route.attempts
                && !self.context.remaining().is_zero()
                && self.forwarder.spend_retry(&self.context.service);
            let next =
                if can_retry { NextStep::Retry } else { NextStep::Fail };
            if let Some(failed) = failed.take() {
                self.forwarder.log_failed(&self.context, &failed, next);
            }
            if !can_retry {
                return Err(self.abort(&reason));
            }
            self.attempt += 1;
            match self.try_resume().await {
                Ok(()) => return Ok(()),
                Err(resume_failure) => {
                    reason = format!(
                        "{reason}; resuming: {}",
                        resume_failure.reason
                    );
                    failed = resume_failure.failed;
                }
            }
        }
    }

    /// Releases the replica whose answer failed, and describes the failed
    /// attempt. An answer that was left `unread` is no failure of the replica.
    async fn release_upstream(
        &mut self,
        failure: ReadFailure,
        unread: bool,
    ) -> Option<FailedAttempt> {
        let mut upstream = self.upstream.take()?;
        if !unread {
            upstream.place.record_outcome(Outcome::Failed);
        }
        let replica = Arc::clone(&upstream.place.replica);
        let sent = upstream.sent;
        drop(upstream);
        let reason = failure.reason;
        Some(self.examine(replica, sent, reason, failure.cut).await)
    }

    /// Examines a replica whose answer is incomplete, and updates the
    /// suspicion against the request.
    async fn examine(
        &mut self,
        replica: Arc<Replica>,
        sent: Instant,
        reason: String,
        cut: bool,
    ) -> FailedAttempt {
        let known = self.suspicion;
        let (replica_ended, known) = self
            .forwarder
            .check_replica_ended(&self.context, &replica, cut, known)
            .await;
        self.suspicion = known;
        FailedAttempt { replica, sent, reason, replica_ended }
    }

    async fn try_resume(&mut self) -> Result<(), ResumeFailure> {
        let poison = &self.forwarder.poison;
        self.suspicion = poison
            .admit(&self.context)
            .map_err(ResumeFailure::without_attempt)?;
        let need = Need {
            service: Arc::clone(&self.context.service),
            model: self.context.caller.model.clone(),
            version: self.version,
            tried: self.tried.clone(),
            // Started streams take precedence over new requests.
            priority: 0,
            route_priority: 0,
            prompt_tokens: self.context.caller.prompt_tokens,
            objective: self.context.route.objective(),
            regions: self.context.regions.clone(),
            suspicion: self.suspicion,
            shared_run: poison.shared_run(&self.context),
            workspace: None,
            left_ms: 0,
            answer_tokens: None,
            fingerprint: None,
            continued: self.forwarder.dispatcher.has_admission(),
            // A stream that has been interrupted once is no trial.
            repeatable: false,
        };
        let left = self.context.remaining();
        let until = Instant::now() + MAX_RESUME_WAIT.min(left);
        let found = self.forwarder.placing.place(need, until, left).await;
        let place = found.map_err(|lack| {
            self.forwarder.poison.finish_run(&self.context);
            ResumeFailure::without_attempt(format!("no other replica: {lack}"))
        })?;
        self.forwarder
            .poison
            .recheck(&self.context, self.suspicion)
            .map_err(ResumeFailure::without_attempt)?;
        let replica = Arc::clone(&place.replica);
        self.tried.push(Arc::clone(&replica.incarnation));
        let sent = Instant::now();
        let answered = self
            .forwarder
            .send(&self.context, place, self.attempt, self.last_event)
            .await;
        let answered = match answered {
            Ok(answered) => answered,
            Err(error) => {
                let AttemptError { reason, connection_lost, .. } = error;
                let failed =
                    self.examine(replica, sent, reason, connection_lost).await;
                let reason = failed.reason.clone();
                return Err(ResumeFailure { reason, failed: Some(failed) });
            }
        };
        let replica = &replica.incarnation;
        if !answered.head.status.is_success() {
            let reason =
                format!("{replica} answered {}", answered.head.status);
            return Err(ResumeFailure::without_attempt(reason));
        }
        self.headers = answered.head.headers;
        self.upstream = Some(answered.upstream);
        self.waited = Duration::ZERO;
        self.forwarder.metrics.resumed.inc();
        self.forwarder.facts.log().write(&Decision::Resumed {
            request: &self.context.caller.id,
            replica,
            after_event: self.last_event,
        });
        Ok(())
    }

    fn abort(&mut self, reason: &str) -> BodyError {
        let code = if self.context.remaining().is_zero() {
            Code::TimedOut
        } else {
            Code::AnswerBroke
        };
        self.abort_with(code, reason)
    }

    /// Aborts an answer that its replica has cut because it was left unread.
    /// The request is not run again, since its caller would be as slow.
    fn abort_unread(&mut self, reason: &str) -> BodyError {
        let code = Code::LeftUnread;
        self.forwarder.metrics.count_cut(code.number());
        self.abort_with(code, &left_unread_reason(self.waited, reason))
    }

    fn abort_with(&mut self, code: Code, reason: &str) -> BodyError {
        self.ended = true;
        self.forwarder.poison.record_give_up(&self.context);
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
        self.forwarder.poison.record_give_up(&self.context);
        let (timing, held) = (Some(&self.timing), self.held.as_deref());
        self.forwarder.log_undelivered(&self.context, 200, held, timing);
    }
}

/// Returns a body that streams the events of a relay from bounded buffers. The
/// replica is read as fast as it sends while there is room, so that a slow
/// caller does not keep its place.
pub(crate) fn relay_buffered(mut state: Relay, held: Arc<Held>) -> Body {
    let report = state.forwarder.report_disconnect(&state.context);
    state.held = Some(Arc::clone(&held));
    let (mut deliverer, mut delivery) = Delivery::new(held, None, report);
    let sender = tokio::spawn(async move {
        while let Some(item) = state.next().await {
            let bytes = match item {
                Ok(bytes) => bytes,
                Err(error) => {
                    drop(state);
                    return deliverer.abort(error).await;
                }
            };
            let before = deliverer.waited();
            if !deliverer.push(bytes).await {
                return;
            }
            state.waited += deliverer.waited() - before;
        }
    });
    delivery.set_sender(sender.abort_handle());
    delivery.boxed_unsync()
}

/// Returns a body that streams the events of a relay.
pub(crate) fn relay(state: Relay) -> Body {
    let items = futures::stream::unfold(Some(state), |state| async {
        let mut state = state?;
        let item = state.next().await?;
        let rest = item.is_ok().then_some(state);
        Some((item.map(Frame::data), rest))
    });
    StreamBody::new(items.boxed()).boxed_unsync()
}
