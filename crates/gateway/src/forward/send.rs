//! One attempt, from sending the request to the beginning of its answer.
//!
//! An answer begins with its head, and that of a stream with its first data: a
//! replica may send the head before it begins to run the request.

use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::BoxFuture;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response;
use hyper::{Request, Response};
use stairhinge::Time;
use stairhinge::direct::{AttemptResult, Repeat, Replica, repeat_time};
use stairhinge::placing::Outcome;
use stairhinge::poison::Suspicion;
use stairhinge_shell::http::is_final;
use tokio::time::error::Elapsed;

use super::{Answered, AttemptError, Forwarder};
use crate::dialect::{Attempt, ResponseKind};
use crate::dispatch::Place;
use crate::hop_headers::remove_hop_headers;
use crate::pool::Connection;
use crate::relay::Upstream;
use crate::request_context::RequestContext;

/// How long an answer may take to begin before a repeatable request is sent to
/// another replica as well.
pub(crate) const BEGIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A response that has begun.
pub(crate) struct Begun {
    response: Response<Incoming>,
    /// The first data, if the answer is a stream.
    first: Option<Bytes>,
}

/// The response to an attempt, or the expiry of its time limit.
pub(crate) type BeginResult = Result<hyper::Result<Begun>, Elapsed>;

/// An attempt that was sent and has not been answered. Dropping it cancels it.
pub(crate) struct OpenAttempt {
    pub sent: Instant,
    /// The suspicion against the request when it was sent.
    pub suspicion: Suspicion,
    sent_at: Time,
    limit: Duration,
    response: BoxFuture<'static, BeginResult>,
    connection: Connection,
    // Released only once the connection is closed.
    place: Place,
}

impl OpenAttempt {
    /// Returns the replica that the request was sent to.
    pub(crate) const fn replica(&self) -> &Arc<Replica> {
        &self.place.replica
    }

    /// Polls for the beginning of the answer.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<BeginResult> {
        self.response.poll_unpin(cx)
    }

    /// Cancels the attempt, since another replica has answered. A replica that
    /// has not answered within the usual time counts as failed.
    pub(crate) fn give_up(mut self) {
        let elapsed = self.sent.elapsed();
        if elapsed >= BEGIN_TIMEOUT {
            self.place.record_timeout(elapsed, BEGIN_TIMEOUT);
        }
    }
}

impl Forwarder {
    /// Sends one attempt.
    pub(crate) async fn send(
        &self,
        context: &RequestContext,
        mut place: Place,
        attempt: u32,
        after_event: Option<u64>,
        suspicion: Suspicion,
    ) -> Result<OpenAttempt, AttemptError> {
        let replica = Arc::clone(&place.replica);
        if self.dispatcher.tracks_health() {
            place.set_source(context.source(), attempt == 1);
        }
        let never = context.route.repeat == Repeat::Never;
        let incarnation = &replica.incarnation;
        let got = self.pool.get(incarnation, replica.addr, never).await;
        let mut connection = got.map_err(|e| {
            place.record_outcome(Outcome::Failed);
            AttemptError::new(AttemptResult::Unsent, e)
        })?;
        if self.poison.confirm(context, suspicion).await.is_err() {
            let why = "the request has been quarantined meanwhile";
            return Err(AttemptError::new(AttemptResult::Unsent, why));
        }
        let left = context.remaining();
        if left.is_zero() {
            return Err(AttemptError::new(
                AttemptResult::Unsent,
                "no time left",
            ));
        }
        if place.send_by.is_some_and(|at| self.facts.now() >= at) {
            let why = "too late to begin on the replica's version";
            return Err(AttemptError::new(AttemptResult::Unsent, why));
        }
        let given = match attempt {
            1 => left,
            _ if context.route.streaming => left,
            _ => repeat_time(left, context.route.objective()),
        };
        self.log_sent(context, &place, attempt, left, given);
        let sent = Instant::now();
        let sent_at = self.facts.now();
        let request = self.request(context, &place, given, after_event);
        let limit = match place.begin_by {
            Some(begin_by) => left.min(begin_by.since(sent_at)),
            None => left,
        };
        let sending = connection.send(request);
        let begun = begin(sending, context.route.streaming);
        let response = tokio::time::timeout(limit, begun).boxed();
        Ok(OpenAttempt {
            sent,
            suspicion,
            sent_at,
            limit,
            response,
            connection,
            place,
        })
    }

    /// Judges the response to an attempt.
    pub(crate) async fn accept(
        &self,
        context: &RequestContext,
        open: OpenAttempt,
        response: BeginResult,
    ) -> Result<Answered, AttemptError> {
        let OpenAttempt {
            sent, mut place, connection, sent_at, limit, ..
        } = open;
        let Begun { response, first } = match response {
            Ok(Ok(begun)) => begun,
            Ok(Err(error)) => {
                place.record_outcome(Outcome::Failed);
                return Err(AttemptError::connection_lost(error));
            }
            Err(_) => {
                place.record_timeout(limit, BEGIN_TIMEOUT);
                let why = format!("no answer in {} ms", limit.as_millis());
                return Err(AttemptError::new(AttemptResult::NoResponse, why));
            }
        };
        let (head, body) = response.into_parts();
        let judgement =
            self.dialect.classify_response(&context.caller.id, &head);
        if !is_final(head.status) && judgement != ResponseKind::Unrelated {
            place.record_outcome(Outcome::Failed);
            let why = format!("the replica answered status {}", head.status);
            return Err(AttemptError::new(AttemptResult::NoResponse, why));
        }
        if judgement.is_from_intended_replica() {
            place.handle_notice(&self.dialect.read_notice(&head), sent_at);
        }
        match judgement {
            ResponseKind::Answer { version } => {
                place.record_begin(head.status.is_server_error());
                self.log_begun(context, &place, version, sent.elapsed());
                let upstream =
                    Upstream { body, first, connection, place, sent, version };
                Ok(Answered { head, upstream })
            }
            ResponseKind::Declined => {
                place.record_outcome(Outcome::Full);
                self.reuse(connection, head, body).await;
                let why = "the replica declined the request";
                Err(AttemptError::new(AttemptResult::Declined, why))
            }
            ResponseKind::Misdirected => {
                place.record_outcome(Outcome::Misdirected);
                self.reuse(connection, head, body).await;
                let why = "the replica is another one, or has another version";
                Err(AttemptError::new(AttemptResult::Declined, why))
            }
            ResponseKind::Unrelated => {
                let why = "the answer belongs to another request";
                Err(AttemptError::new(AttemptResult::NoResponse, why))
            }
        }
    }

    /// Reads the rest of a short answer so that its connection can be reused.
    async fn reuse(
        &self,
        connection: Connection,
        head: response::Parts,
        body: Incoming,
    ) {
        const MAX_REST_BYTES: usize = 4_096;
        const REST_TIMEOUT: Duration = Duration::from_millis(20);
        let rest = Limited::new(body, MAX_REST_BYTES).collect();
        if let Ok(Ok(_)) = tokio::time::timeout(REST_TIMEOUT, rest).await {
            self.pool.put(connection, &head.headers);
        }
    }

    fn request(
        &self,
        context: &RequestContext,
        place: &Place,
        given: Duration,
        after_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut headers = context.head.headers.clone();
        remove_hop_headers(&mut headers);
        headers.remove(CONTENT_LENGTH);
        self.dialect.set_headers(
            &mut headers,
            &Attempt {
                incarnation: &place.replica.incarnation,
                left: given,
                workspace: context.workspace.as_deref(),
                priority: context.priority,
                version: place.version,
                after_event,
            },
        );
        let mut request = Request::new(Full::new(context.body.clone()));
        *request.method_mut() = context.head.method.clone();
        *request.uri_mut() = context.head.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Waits until a response has begun.
async fn begin(
    sending: impl Future<Output = hyper::Result<Response<Incoming>>>,
    streaming: bool,
) -> hyper::Result<Begun> {
    let mut response = sending.await?;
    let mut first = None;
    if streaming && response.status().is_success() {
        first = next_data(response.body_mut()).await?;
    }
    Ok(Begun { response, first })
}

/// Returns the next data of a body, or `None` at its end.
async fn next_data(body: &mut Incoming) -> hyper::Result<Option<Bytes>> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data()
            && !data.is_empty()
        {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
