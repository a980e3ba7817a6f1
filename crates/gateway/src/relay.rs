//! Relaying of event streams, and their resumption at another replica.
//!
//! Only complete events are sent to the caller. If the replica fails, the
//! stream is resumed after the last of them at another replica with the same
//! weight version. If the replica is silent, which may only be a pause, it
//! keeps its connection while another one is asked to resume the stream: the
//! first of them to send a complete event goes on, and the others are
//! cancelled. If no replica is left, the caller's connection is aborted so
//! that the truncation is visible.

mod resume;
mod run;

use std::future::poll_fn;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::{FutureExt as _, StreamExt as _};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use hyper::header::HeaderMap;
use stairhinge::Code;
use stairhinge::direct::{NextStep, Repeat};
use stairhinge::placing::Outcome;
use stairhinge::poison::Suspicion;
use stairhinge_shell::http::{Body, BodyError};

pub(crate) use self::run::Upstream;
use self::run::{Read, ReadFailure, Run};
use crate::buffers::{Delivery, Held};
use crate::event_timing::EventTiming;
use crate::forward::{
    BeginResult, Ending, FailedAttempt, Forwarder, FurtherError, OpenAttempt,
    left_unread_reason,
};
use crate::request_context::RequestContext;

/// How long a resumable stream may be without data before another replica is
/// asked to resume it.
const DATA_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The interval at which a resumable stream without data checks whether its
/// replica is silent or reported down.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long a replica must have been kept waiting for the caller in total for
/// a cut of its answer to be ascribed to that. Replicas wait for some seconds.
pub(crate) const MIN_LEFT_UNREAD: Duration = Duration::from_millis(500);

/// A stream of events that is relayed to the caller.
pub(crate) struct Relay {
    forwarder: Arc<Forwarder>,
    context: Arc<RequestContext>,
    /// The runs whose next event is awaited: one, unless it is silent.
    runs: Vec<Run>,
    /// The further attempts whose answers have not begun.
    open: Vec<OpenAttempt>,
    search: Option<Search>,
    /// When the next search may begin.
    search_at: Instant,
    last_event: Option<u64>,
    version: Option<u64>,
    tried: Vec<Arc<str>>,
    /// The number of attempts that may have run.
    attempt: u32,
    /// The latest known suspicion against the request.
    suspicion: Suspicion,
    timing: EventTiming,
    ended: bool,
    /// The buffers of the answer, if they are bounded.
    held: Option<Arc<Held>>,
    /// How long the replica was kept waiting for the caller.
    waited: Duration,
}

/// A search for a replica that resumes the stream.
struct Search {
    sent: BoxFuture<'static, Result<OpenAttempt, FurtherError>>,
    /// Whether a silent replica may still go on.
    beside: bool,
}

/// What happened to a stream.
enum Step {
    /// The run with this index was read.
    Read(usize, Read),
    Begun(OpenAttempt, BeginResult),
    Found(Result<OpenAttempt, FurtherError>),
    Check,
}

impl Relay {
    /// Returns a relay of the answer with these headers from the last of
    /// `ran_by`, the replicas that may have run the request.
    pub(crate) fn new(
        forwarder: Arc<Forwarder>,
        context: Arc<RequestContext>,
        upstream: Upstream,
        headers: HeaderMap,
        suspicion: Suspicion,
        ran_by: Vec<Arc<str>>,
    ) -> Relay {
        let version = upstream.version;
        let watch = &forwarder.silence;
        let run = Run::new(upstream, headers, suspicion, watch, false);
        Relay {
            last_event: context.caller.after_event,
            version,
            forwarder,
            context,
            runs: vec![run],
            open: Vec::new(),
            search: None,
            search_at: Instant::now(),
            attempt: ran_by.len() as u32,
            tried: ran_by,
            suspicion,
            timing: EventTiming::default(),
            ended: false,
            held: None,
            waited: Duration::ZERO,
        }
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        for run in &mut self.runs {
            run.begin_wait();
        }
        loop {
            let handled = match self.step().await {
                Step::Read(i, Read::Events(events)) => {
                    self.keep(i);
                    self.last_event = events.last_id.or(self.last_event);
                    self.timing.record(Instant::now());
                    self.note_writing();
                    return Some(Ok(events.bytes));
                }
                Step::Read(i, Read::End) => match self.ending(i).await {
                    Ending::Cut => {
                        let run = self.runs.remove(i);
                        let failure = ReadFailure::cut(Ending::CUT_REASON);
                        self.handle_failed_run(run, failure).await
                    }
                    ending => {
                        self.keep(i);
                        self.finish(ending);
                        return None;
                    }
                },
                Step::Read(_, Read::LongEvent) => {
                    // Another replica would send it as well.
                    let max = self.max_event_bytes();
                    let why = format!("an event has more than {max} bytes");
                    Err(self.abort(&why))
                }
                Step::Read(i, Read::Failed(failure)) => {
                    let run = self.runs.remove(i);
                    self.handle_failed_run(run, failure).await
                }
                Step::Begun(open, begun) => {
                    self.handle_begin(open, begun).await
                }
                Step::Found(found) => self.handle_found(found).await,
                Step::Check => self.check().await,
            };
            if let Err(error) = handled {
                return Some(Err(error));
            }
        }
    }

    async fn step(&mut self) -> Step {
        // Without buffers it is not known how long the caller takes.
        let waited = self.held.as_ref().map_or(Duration::MAX, |_| self.waited);
        if self.context.is_overtime(waited) {
            return Step::Check;
        }
        let left = self.context.remaining();
        let resumable = self.context.route.repeat == Repeat::Resume;
        let wait =
            if resumable { left.min(SILENCE_CHECK_INTERVAL) } else { left };
        let polled = poll_fn(|cx| self.poll(cx));
        let polled = tokio::time::timeout(wait, polled).await;
        polled.unwrap_or(Step::Check)
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        let max = self.max_event_bytes();
        for (i, run) in self.runs.iter_mut().enumerate() {
            if let Poll::Ready(read) = run.poll(cx, max) {
                return Poll::Ready(Step::Read(i, read));
            }
        }
        for i in 0..self.open.len() {
            if let Poll::Ready(begun) = self.open[i].poll(cx) {
                let open = self.open.remove(i);
                return Poll::Ready(Step::Begun(open, begun));
            }
        }
        let Some(search) = &mut self.search else { return Poll::Pending };
        search.sent.poll_unpin(cx).map(Step::Found)
    }

    fn max_event_bytes(&self) -> u64 {
        let body = self.forwarder.max_body_bytes();
        self.held.as_ref().map_or(body, |held| held.max_bytes())
    }

    /// Ends the stream at its deadline, and begins to look for another replica
    /// if all are silent.
    async fn check(&mut self) -> Result<(), BodyError> {
        if self.context.remaining().is_zero() {
            let why = "the deadline has passed";
            while let Some(run) = self.runs.pop() {
                let failure = ReadFailure::silent(why);
                let unread = self.waited >= MIN_LEFT_UNREAD;
                let failed = self.release(run, failure, unread).await;
                let next = NextStep::Fail;
                self.forwarder.log_failed(&self.context, &failed, next);
            }
            return Err(self.abort(why));
        }
        if self.is_silent() {
            self.begin_search(true);
        }
        Ok(())
    }

    /// Continues the stream with this run only.
    fn keep(&mut self, i: usize) {
        if self.runs.len() > 1 || !self.open.is_empty() {
            self.runs.swap(0, i);
            for run in self.runs.drain(1..) {
                if run.silence() >= DATA_TIMEOUT {
                    let reason = run.silence_reason();
                    let replica = Arc::clone(run.replica());
                    let sent = run.upstream.sent;
                    let failed = FailedAttempt {
                        replica,
                        sent,
                        reason,
                        replica_ended: None,
                    };
                    let next = NextStep::Retry;
                    self.forwarder.log_failed(&self.context, &failed, next);
                }
                run.give_up(DATA_TIMEOUT);
            }
            self.open.drain(..).for_each(OpenAttempt::give_up);
        }
        self.search = None;
        self.announce_run();
    }

    /// Records that the answer has gone on for long, once a while, since
    /// replicas may have crashed meanwhile.
    fn note_writing(&mut self) {
        let [run] = &mut self.runs[..] else { return };
        if run.takes_note() {
            self.forwarder.poison.record_writing(&self.context);
        }
    }

    async fn ending(&mut self, i: usize) -> Ending {
        let run = &self.runs[i];
        let (headers, replica) =
            (run.headers.clone(), Arc::clone(run.replica()));
        self.forwarder.ending(&headers, &replica).await
    }

    fn finish(&mut self, ending: Ending) {
        self.ended = true;
        if let Some(run) = self.runs.pop() {
            let Run { upstream, headers, .. } = run;
            let Upstream { connection, mut place, body, .. } = upstream;
            place.record_whole();
            drop(body);
            self.forwarder.record_ending(&self.context, ending);
            self.forwarder.pool.put(connection, &headers);
            drop(place);
        }
        let timing = Some(&self.timing);
        self.forwarder.log_ended(&self.context, 200, 0, "", timing);
    }

    /// Releases a replica whose answer failed, and describes the failed
    /// attempt. An answer that was left `unread` is no failure of the replica.
    async fn release(
        &mut self,
        run: Run,
        failure: ReadFailure,
        unread: bool,
    ) -> FailedAttempt {
        let written = run.written();
        let Run { mut upstream, suspicion, .. } = run;
        if !unread {
            upstream.place.record_outcome(Outcome::Failed);
        }
        let replica = Arc::clone(&upstream.place.replica);
        let sent = upstream.sent;
        drop(upstream);
        let ReadFailure { reason, cut } = failure;
        self.examine(replica, sent, reason, cut, suspicion, written).await
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
        self.runs.clear();
        self.open.clear();
        self.search = None;
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
