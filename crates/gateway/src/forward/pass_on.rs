//! Passing on of a long answer that is not a stream, as it arrives.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use stairhinge::Code;
use stairhinge::direct::NextStep;
use stairhinge::placing::Outcome;
use stairhinge::poison::Suspicion;
use stairhinge_shell::http::BodyError;

use super::buffered::{content_length, left_unread_reason};
use super::{Ending, FailedAttempt, Forwarder};
use crate::buffers::{Collected, Deliverer};
use crate::dispatch::Place;
use crate::pool::Connection;
use crate::relay::MIN_LEFT_UNREAD;
use crate::request_context::RequestContext;

/// The time that a replica has for its next bytes after the deadline. What it
/// has ready is delivered late if its caller reads slowly.
const LATE_READ_TIMEOUT: Duration = Duration::from_millis(250);

/// A long answer whose beginning has been read.
pub(super) struct PassOn {
    pub forwarder: Arc<Forwarder>,
    pub context: Arc<RequestContext>,
    pub body: Incoming,
    pub connection: Option<Connection>,
    pub place: Place,
    pub sent: Instant,
    /// When the beginning of the answer had been read.
    pub begun: Instant,
    /// The suspicion against the request when it was sent.
    pub suspicion: Suspicion,
    pub status: u16,
    pub headers: HeaderMap,
    pub deliverer: Deliverer,
    pub ended: bool,
}

/// Why the rest of an answer could not be read.
struct BrokenAnswer {
    code: Code,
    reason: String,
}

impl PassOn {
    /// Passes on the beginning and the rest of the answer.
    pub(super) async fn run(mut self, begun: Collected) {
        self.place.record_outcome(Outcome::Succeeded);
        let Collected { bytes, charges, .. } = begun;
        let connected = self.deliverer.push(bytes).await;
        drop(charges);
        if !connected {
            return;
        }
        loop {
            match self.next().await {
                Ok(Some(bytes)) => {
                    if !self.deliverer.push(bytes).await {
                        return;
                    }
                }
                Ok(None) => break,
                Err(broken) => return self.fail(broken).await,
            }
        }
        self.end().await;
    }

    /// Ends an answer whose body has been read to its end.
    async fn end(self) {
        let replica = &self.place.replica;
        let ending = self.forwarder.ending(&self.headers, replica).await;
        if ending != Ending::Cut {
            return self.finish(ending);
        }
        let broken = BrokenAnswer {
            code: Code::AnswerBroke,
            reason: Ending::CUT_REASON.into(),
        };
        self.fail(broken).await;
    }

    /// Returns an error if an answer without a length, which may never end,
    /// has gone on for too long after the deadline.
    fn check_overtime(&self) -> Result<(), BrokenAnswer> {
        let is_bounded = content_length(&self.headers).is_some();
        let waited = self.deliverer.waited();
        if is_bounded || !self.context.is_overtime(waited) {
            return Ok(());
        }
        let reason = "the answer does not end".into();
        Err(BrokenAnswer { code: Code::TimedOut, reason })
    }

    async fn next(&mut self) -> Result<Option<Bytes>, BrokenAnswer> {
        loop {
            self.check_overtime()?;
            let wait = self.context.remaining().max(LATE_READ_TIMEOUT);
            let frame = tokio::time::timeout(wait, self.body.frame()).await;
            let frame = frame.map_err(|_| BrokenAnswer {
                code: Code::TimedOut,
                reason: "the deadline has passed".into(),
            })?;
            let Some(frame) = frame else { return Ok(None) };
            let frame = frame.map_err(|e| BrokenAnswer {
                code: Code::AnswerBroke,
                reason: e.to_string(),
            })?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    fn finish(mut self, ending: Ending) {
        self.ended = true;
        self.forwarder.record_ending(&self.context, ending);
        if let Some(connection) = self.connection.take() {
            self.forwarder.pool.put(connection, &self.headers);
        }
        let status = self.status;
        self.forwarder.log_ended(&self.context, status, 0, "", None);
    }

    /// Aborts the answer, so that its caller sees that it is incomplete.
    async fn fail(mut self, broken: BrokenAnswer) {
        let BrokenAnswer { mut code, mut reason } = broken;
        let lost = matches!(code, Code::AnswerBroke);
        let waited = self.deliverer.waited();
        let unread = waited >= MIN_LEFT_UNREAD;
        if !unread {
            self.place.record_outcome(Outcome::Failed);
        }
        let replica = Arc::clone(&self.place.replica);
        let sent = self.suspicion;
        let written = self.begun.elapsed();
        let (replica_ended, _) = self
            .forwarder
            .check_replica_ended(&self.context, &replica, lost, sent, written)
            .await;
        self.ended = true;
        self.forwarder.poison.record_give_up(&self.context);
        if lost && unread && replica_ended != Some(true) {
            code = Code::LeftUnread;
            reason = left_unread_reason(waited, &reason);
            self.forwarder.metrics.count_cut(code.number());
        } else {
            let sent = self.sent;
            let reason = reason.clone();
            let failed =
                FailedAttempt { replica, sent, reason, replica_ended };
            let next = NextStep::Fail;
            self.forwarder.log_failed(&self.context, &failed, next);
        }
        let (status, number) = (self.status, code.number());
        self.forwarder.log_ended(&self.context, status, number, &reason, None);
        let end = self.deliverer.abort(BodyError(reason));
        // The place is released before the caller has read the rest.
        drop(self);
        end.await;
    }
}

impl Drop for PassOn {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.forwarder.poison.record_give_up(&self.context);
        let (status, held) = (self.status, Some(&**self.deliverer.held()));
        let forwarder = &self.forwarder;
        forwarder.log_undelivered(&self.context, status, held, None);
    }
}
