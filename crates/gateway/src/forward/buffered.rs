//! Requests and answers in bounded buffers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use stairhinge::buffers::BufferBounds;
use stairhinge::direct::{AttemptResult, Shortage};
use stairhinge::placing::Outcome;
use stairhinge::poison::Suspicion;
use stairhinge::{Code, Error};
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::http::{Body, ConnectionHandle, Failed, full, read};

use super::pass_on::PassOn;
use super::refuse::refused;
use super::{
    Answered, AttemptError, Ending, Forwarder, WholeAnswer, error_response,
    may_retry_after,
};
use crate::buffers::{
    Charge, CollectError, Collected, Delivery, EndOfDelivery, Held,
};
use crate::event_timing::EventTiming;
use crate::hop_headers::{means_not_run, remove_hop_headers};
use crate::relay::Upstream;
use crate::request_context::RequestContext;

/// The size up to which an answer that is not a stream is read whole before
/// it is passed on, so that a replica that fails meanwhile can be replaced.
const WHOLE_BYTES: usize = BufferBounds::MIN_CONNECTION as usize;

/// Returns the reason to log for an answer that its replica has cut after it
/// had waited for the caller.
pub(crate) fn left_unread_reason(waited: Duration, reason: &str) -> String {
    let waited = waited.as_millis();
    format!("the answer was left unread for {waited} ms: {reason}")
}

impl Forwarder {
    /// Reads the body of a request of a workspace, and returns it with what it
    /// is counted as.
    pub(super) async fn read_request(
        &self,
        mut body: Incoming,
        max_bytes: usize,
        within: Duration,
        workspace: Option<Arc<str>>,
    ) -> Result<(Bytes, Vec<Charge>), Failed> {
        let Some(buffers) = &self.buffers else {
            return Ok((read(body, max_bytes, within).await?, Vec::new()));
        };
        let held = buffers.hold_request(workspace);
        let within = within.min(buffers.body_time());
        let collected = held.collect(&mut body, max_bytes, within).await;
        let collected = collected.map_err(|error| match error {
            CollectError::Sender(error) => Failed::new(error),
            CollectError::NoRoom(error) => {
                self.metrics.count_cut(error.code().number());
                refused(error, Shortage::NoCapacity)
            }
        })?;
        if !collected.whole {
            let why = format_args!("body above {max_bytes} bytes");
            return Err(Failed::new(Error::new(Code::BodyTooLarge, why)));
        }
        Ok((collected.bytes, collected.charges))
    }

    /// Returns a holder of the answer to a request, if buffers are bounded.
    pub(super) fn hold_answer(
        &self,
        context: &RequestContext,
    ) -> Option<Arc<Held>> {
        let buffers = self.buffers.as_ref()?;
        let extensions = &context.head.extensions;
        let connection = extensions.get::<ConnectionHandle>().cloned();
        Some(buffers.hold_answer(
            context.workspace.clone(),
            &context.caller.id,
            context.started,
            connection.unwrap_or_default(),
        ))
    }

    /// Relays an answer that is not a stream: a short one, and one after which
    /// a retry may follow, once it is complete, any other as it arrives.
    pub(super) async fn relay_held(
        self: &Arc<Self>,
        context: &Arc<RequestContext>,
        answered: Answered,
        suspicion: Suspicion,
        held: Arc<Held>,
    ) -> Result<Response<Body>, AttemptError> {
        let Answered { mut head, upstream } = answered;
        let Upstream { mut body, connection, mut place, sent, .. } = upstream;
        let status = head.status;
        let must_hold =
            may_retry_after(context, status) || means_not_run(status.as_u16());
        let max_bytes = self.settings.get().body_bytes;
        let enough = if must_hold { max_bytes } else { WHOLE_BYTES };
        let collected = self.collect_answer(context, &mut body, enough).await;
        let collected = collected.inspect_err(|error| {
            if !error.is_own() {
                place.record_outcome(Outcome::Failed);
            }
        });
        let collected = collected.map_err(AnswerError::into_attempt_error)?;
        if !collected.whole && must_hold {
            place.record_outcome(Outcome::Failed);
            let why = format!("the replica answered {status} at length");
            return Err(AttemptError::new(AttemptResult::NoResponse, why));
        }
        if !collected.whole {
            let report = self.report_disconnect(context);
            let length = content_length(&head.headers);
            let kept = head.headers.clone();
            remove_hop_headers(&mut head.headers);
            let (deliverer, mut delivery) =
                Delivery::new(held, length, report);
            let pass_on = PassOn {
                forwarder: Arc::clone(self),
                context: Arc::clone(context),
                body,
                connection: Some(connection),
                place,
                sent,
                begun: Instant::now(),
                suspicion,
                status: status.as_u16(),
                headers: kept,
                deliverer,
                ended: false,
            };
            let sender = tokio::spawn(pass_on.run(collected));
            delivery.set_sender(sender.abort_handle());
            return Ok(Response::from_parts(head, delivery.boxed_unsync()));
        }
        let ending = self.ending(&head.headers, &place.replica).await;
        if ending == Ending::Cut {
            place.record_outcome(Outcome::Failed);
            return Err(AttemptError::connection_lost(Ending::CUT_REASON));
        }
        self.pool.put(connection, &head.headers);
        let judged = self.judge_whole(context, status, ending, &mut place);
        remove_hop_headers(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        match judged {
            WholeAnswer::Deliver => {}
            WholeAnswer::Retry => {
                let body = full(collected.bytes);
                let response = Response::from_parts(head, body);
                return Err(error_response(status, Some(response)));
            }
            WholeAnswer::Withhold => return Err(error_response(status, None)),
        }
        let body = self.deliver_whole(context, collected, held);
        self.log_ended(context, status.as_u16(), 0, "", None);
        Ok(Response::from_parts(head, body))
    }

    /// Reads an answer, or its beginning.
    async fn collect_answer(
        &self,
        context: &RequestContext,
        body: &mut Incoming,
        enough: usize,
    ) -> Result<Collected, AnswerError> {
        let Some(buffers) = &self.buffers else {
            let why = "buffers are disabled";
            return Err(AnswerError(CollectError::NoRoom(Error::new(
                Code::Internal,
                why,
            ))));
        };
        // No caller reads the answer yet, so the bound of a connection does
        // not apply.
        let held = buffers.hold_request(context.workspace.clone());
        let collected = held.collect(body, enough, context.remaining()).await;
        collected.map_err(AnswerError)
    }

    /// Returns a body that delivers a complete answer.
    fn deliver_whole(
        self: &Arc<Self>,
        context: &RequestContext,
        collected: Collected,
        held: Arc<Held>,
    ) -> Body {
        let Collected { bytes, charges, .. } = collected;
        let report = self.report_disconnect(context);
        let length = Some(bytes.len() as u64);
        let (mut deliverer, mut delivery) =
            Delivery::new(held, length, report);
        let sender = tokio::spawn(async move {
            deliverer.push(bytes).await;
            drop(charges);
        });
        delivery.set_sender(sender.abort_handle());
        delivery.boxed_unsync()
    }

    /// Returns what logs that a caller has disconnected after the replica had
    /// finished its answer.
    pub(crate) fn report_disconnect(
        self: &Arc<Self>,
        context: &RequestContext,
    ) -> EndOfDelivery {
        let forwarder = Arc::clone(self);
        let (id, started) = (Arc::clone(&context.caller.id), context.started);
        Box::new(move |held: &Held| {
            if held.is_cut() {
                return;
            }
            forwarder.metrics.cancelled.inc();
            forwarder.facts.log().write(&Decision::Cancelled {
                request: &id,
                took_ms: started.elapsed().as_millis() as u64,
            });
        })
    }

    /// Logs an answer that was dropped while its replica was sending it, since
    /// its caller was cut or has disconnected.
    pub(crate) fn log_undelivered(
        &self,
        context: &RequestContext,
        status: u16,
        held: Option<&Held>,
        timing: Option<&EventTiming>,
    ) {
        if held.is_some_and(Held::is_cut) {
            let code = Code::CallerUnread.number();
            let reason = "the answer was delivered in part";
            self.log_ended(context, status, code, reason, timing);
            return;
        }
        self.metrics.cancelled.inc();
        self.facts.log().write(&Decision::Cancelled {
            request: &context.caller.id,
            took_ms: context.elapsed_ms(),
        });
    }
}

/// Why an answer could not be read.
struct AnswerError(CollectError);

impl AnswerError {
    /// Returns whether the entry, rather than the replica, is the cause.
    const fn is_own(&self) -> bool {
        matches!(self.0, CollectError::NoRoom(_))
    }

    fn into_attempt_error(self) -> AttemptError {
        match self.0 {
            CollectError::Sender(e) if e.code() == Code::MalformedHttp => {
                AttemptError::connection_lost(e)
            }
            CollectError::Sender(e) | CollectError::NoRoom(e) => {
                AttemptError::new(AttemptResult::NoResponse, e)
            }
        }
    }
}

/// Returns the length that an answer announces.
pub(super) fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
