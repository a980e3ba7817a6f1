//! One attempt, from its sending to the head of its answer.

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

use super::{Answered, Forwarder, Missed};
use crate::dialect::{Attempt, ResponseKind};
use crate::dispatch::Place;
use crate::hop_headers::remove_hop_headers;
use crate::pool::Connection;
use crate::relay::Upstream;
use crate::request_context::RequestContext;

/// How long a repeatable request may wait for the head of its answer before
/// another replica is tried.
const HEAD_PATIENCE: Duration = Duration::from_millis(1_500);

impl Forwarder {
    /// Sends one attempt and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        context: &RequestContext,
        mut place: Place,
        attempt: u32,
        after_event: Option<u64>,
    ) -> Result<Answered, Missed> {
        let replica = Arc::clone(&place.replica);
        let never = context.route.repeat == Repeat::Never;
        let incarnation = &replica.incarnation;
        let got = self.pool.get(incarnation, replica.addr, never).await;
        let mut connection = got.map_err(|e| {
            place.note(Outcome::Failed);
            Missed::new(AttemptResult::Unsent, e)
        })?;
        let left = context.left();
        if left.is_zero() {
            return Err(Missed::new(AttemptResult::Unsent, "no time left"));
        }
        self.log_sent(context, &place, attempt, left);
        let at = Instant::now();
        let sent_at = self.facts.now();
        let request = self.request(context, &place, left, after_event);
        let mut patience = if never { left } else { left.min(HEAD_PATIENCE) };
        if let Some(begin_by) = place.begin_by {
            patience = patience.min(begin_by.since(self.facts.now()));
        }
        let sent = connection.send(request);
        let response = match tokio::time::timeout(patience, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                place.note(Outcome::Failed);
                return Err(Missed::cut(error));
            }
            Err(_) => {
                place.note(Outcome::Failed);
                let why = format!("no answer in {} ms", patience.as_millis());
                return Err(Missed::new(AttemptResult::NoResponse, why));
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
                place.begin();
                let upstream =
                    Upstream { body, connection, place, sent: at, version };
                Ok(Answered { head, upstream })
            }
            ResponseKind::Declined => {
                place.note(Outcome::Full);
                self.reuse(connection, head, body).await;
                let why = "the replica did not run it";
                Err(Missed::new(AttemptResult::Declined, why))
            }
            ResponseKind::Misdirected => {
                place.note(Outcome::Misdirected);
                self.reuse(connection, head, body).await;
                let why = "the replica is another one, or has another version";
                Err(Missed::new(AttemptResult::Declined, why))
            }
            ResponseKind::Unrelated => {
                let why = "an answer to another request";
                Err(Missed::new(AttemptResult::NoResponse, why))
            }
        }
    }

    /// Reads the short rest of an answer so that its connection may be kept.
    async fn reuse(
        &self,
        connection: Connection,
        head: response::Parts,
        body: Incoming,
    ) {
        const MOST: usize = 4_096;
        const WITHIN: Duration = Duration::from_millis(20);
        let rest = Limited::new(body, MOST).collect();
        if let Ok(Ok(_)) = tokio::time::timeout(WITHIN, rest).await {
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
