//! One attempt, from sending the request to the head of its answer, or to the
//! first event if the replica has to begin by a time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response;
use stairhinge::direct::{AttemptResult, Repeat};
use stairhinge::placing::Outcome;

use super::{Answered, AttemptError, Forwarder};
use crate::dialect::{Attempt, ResponseKind};
use crate::dispatch::Place;
use crate::hop_headers::remove_hop_headers;
use crate::pool::Connection;
use crate::relay::Upstream;
use crate::request_context::RequestContext;

/// How long a repeatable request may wait for the head of its answer before
/// another replica is tried.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Forwarder {
    /// Sends one attempt and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        context: &RequestContext,
        mut place: Place,
        attempt: u32,
        after_event: Option<u64>,
    ) -> Result<Answered, AttemptError> {
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
        let left = context.remaining();
        if left.is_zero() {
            return Err(AttemptError::new(
                AttemptResult::Unsent,
                "no time left",
            ));
        }
        self.log_sent(context, &place, attempt, left);
        let at = Instant::now();
        let sent_at = self.facts.now();
        let request = self.request(context, &place, left, after_event);
        let mut timeout = if never { left } else { left.min(HEAD_TIMEOUT) };
        if let Some(begin_by) = place.begin_by {
            timeout = timeout.min(begin_by.since(self.facts.now()));
        }
        let sent = connection.send(request);
        let response = match tokio::time::timeout(timeout, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                place.record_outcome(Outcome::Failed);
                return Err(AttemptError::connection_lost(error));
            }
            Err(_) => {
                place.record_timeout(timeout, HEAD_TIMEOUT);
                let why = format!("no answer in {} ms", timeout.as_millis());
                return Err(AttemptError::new(AttemptResult::NoResponse, why));
            }
        };
        let (head, body) = response.into_parts();
        let judgement =
            self.dialect.classify_response(&context.caller.id, &head);
        if judgement.is_from_intended_replica() {
            place.handle_notice(&self.dialect.read_notice(&head), sent_at);
        }
        match judgement {
            ResponseKind::Answer { version } => {
                let mut upstream = Upstream {
                    body,
                    connection,
                    place,
                    sent: at,
                    version,
                    first: None,
                };
                if context.route.streaming && head.status.is_success() {
                    self.await_begin(context, &mut upstream).await?;
                }
                let errored = head.status.is_server_error();
                upstream.place.record_begin(errored);
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

    /// Waits for the first data of a stream if its replica has to begin by a
    /// time. The head of the answer does not show that it has: a request
    /// begins with its first event.
    async fn await_begin(
        &self,
        context: &RequestContext,
        upstream: &mut Upstream,
    ) -> Result<(), AttemptError> {
        let Some(begin_by) = upstream.place.begin_by else { return Ok(()) };
        let mut timeout = context.remaining();
        if context.route.repeat != Repeat::Never {
            timeout = timeout.min(HEAD_TIMEOUT);
        }
        timeout = timeout.min(begin_by.since(self.facts.now()));
        let first = next_data(&mut upstream.body);
        match tokio::time::timeout(timeout, first).await {
            Ok(Ok(first)) => {
                upstream.first = first;
                Ok(())
            }
            Ok(Err(error)) => {
                upstream.place.record_outcome(Outcome::Failed);
                Err(AttemptError::connection_lost(error))
            }
            Err(_) => {
                upstream.place.record_timeout(timeout, HEAD_TIMEOUT);
                let why = format!("no event in {} ms", timeout.as_millis());
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
        left: Duration,
        after_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut headers = context.head.headers.clone();
        remove_hop_headers(&mut headers);
        headers.remove(CONTENT_LENGTH);
        self.dialect.set_headers(
            &mut headers,
            &Attempt {
                incarnation: &place.replica.incarnation,
                left,
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
