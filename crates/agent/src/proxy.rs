//! Forwarding an admitted request to the backend server, and its answer back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::header::{
    CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING,
};
use hyper::{Request, Response};
use stairhinge::request::{Attempt, Key};
use stairhinge::serving::LoadedTarget;
use stairhinge::{Code, Error, Ran};
use stairhinge_shell::http::{
    Body, BodyError, CallError, Failed, headers, is_final, stream,
};
use stairhinge_shell::is_connection_refused;
use tokio::sync::mpsc;

use crate::agent::Agent;
use crate::claim::HeldKey;
use crate::poison::{PROBE_TIMEOUT, Suspect};
use crate::request_counter::CountedRequest;

/// The final event of a complete streamed answer.
const FINAL_EVENT: &[u8] = b"data: [DONE]\n\n";

/// An admitted attempt. If it is dropped before its outcome is known, it is
/// recorded as one that may have run.
pub(crate) struct StartedAttempt {
    agent: Arc<Agent>,
    attempt: Attempt,
    ran: Ran,
    code: u16,
    start: Instant,
    held: Option<HeldKey>,
    suspect: Option<Suspect>,
    _counted: CountedRequest,
}

impl StartedAttempt {
    pub(crate) fn new(
        agent: Arc<Agent>,
        attempt: Attempt,
        counted: CountedRequest,
        start: Instant,
    ) -> StartedAttempt {
        let ran = Ran::MayHaveRun;
        let code = Code::LostBackend.number();
        StartedAttempt {
            agent,
            attempt,
            ran,
            code,
            start,
            held: None,
            suspect: None,
            _counted: counted,
        }
    }

    /// Sets the request that an end of the backend server's process is counted
    /// on.
    pub(crate) fn set_suspect(&mut self, suspect: Option<Suspect>) {
        self.suspect = suspect;
    }

    /// Claims a key for this attempt.
    pub(crate) async fn claim_key(&mut self, key: &Key) -> Result<(), Failed> {
        match self.agent.claim_key(key, &self.attempt).await {
            Ok(held) => {
                self.held = Some(held);
                Ok(())
            }
            Err(failed) => {
                // This attempt did not run, even if another one that holds
                // the key did. The caller is told about the other one.
                let said = failed.ran();
                let failed = self.failed(failed.with_ran(Ran::DidNotRun));
                Err(failed.with_ran(said))
            }
        }
    }

    /// Checks the lease of the key right before the request is sent.
    fn check_lease(&self) -> Result<(), Failed> {
        match &self.held {
            Some(held) => held.check_lease(&self.agent),
            None => Ok(()),
        }
    }

    pub(crate) fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    pub(crate) fn failed(&mut self, failed: Failed) -> Failed {
        self.ran = failed.ran();
        self.code = failed.error().code().number();
        failed
    }
}

impl Drop for StartedAttempt {
    fn drop(&mut self) {
        let now = self.agent.node.now();
        self.agent.activity.record_busy(now);
        self.agent.attempts().end(&self.attempt, self.ran, now);
        if let Some(held) = self.held.take() {
            self.agent.settle_key(held, self.ran);
        }
        let secs = self.start.elapsed().as_secs_f64();
        self.agent.node.metrics().answered(self.code, secs);
        let fields =
            [("attempt", self.attempt.as_str()), ("ran", self.ran.as_str())];
        self.agent.node.event("request.ended", &fields);
    }
}

/// A request to be sent to the backend server.
pub(crate) struct OutgoingRequest {
    pub(crate) request: Request<Body>,
    pub(crate) bound: Option<Arc<LoadedTarget>>,
}

impl OutgoingRequest {
    pub(crate) async fn run(
        self,
        mut started: StartedAttempt,
    ) -> Result<Response<Body>, Failed> {
        let agent = Arc::clone(&started.agent);
        let idle = agent.settings.values.millis("engine_ms");
        let addr = agent.settings.backend;
        started.check_lease().map_err(|f| started.failed(f))?;
        let sent = agent.node.client().send(addr, self.request, idle).await;
        let response = match sent {
            Ok(response) => response,
            Err(err) => {
                let ran = match err {
                    CallError::Unsent(_) => Ran::DidNotRun,
                    CallError::Silent(_) => Ran::MayHaveRun,
                };
                if ran == Ran::MayHaveRun {
                    agent.check_backend(started.suspect.as_ref()).await;
                }
                let err = Error::new(Code::EngineLost, err);
                return Err(started.failed(Failed::new(err).with_ran(ran)));
            }
        };
        if !is_final(response.status()) {
            let why = format_args!("answered status {}", response.status());
            let err = Error::new(Code::EngineLost, why);
            let failed = Failed::new(err).with_ran(Ran::MayHaveRun);
            return Err(started.failed(failed));
        }
        if let Some(bound) = &self.bound {
            check_target(&response, bound).map_err(|f| started.failed(f))?;
        }
        let mut answer = response_head(&response, self.bound.as_deref());
        agent.add_state_headers(&mut answer);
        let streamed = response
            .headers()
            .get(CONTENT_TYPE)
            .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
        let map = response.headers();
        let framed = map.contains_key(CONTENT_LENGTH)
            || map.contains_key(TRANSFER_ENCODING);
        let (tx, rx) = mpsc::channel(8);
        let forwarder = BodyForwarder { idle, streamed, framed, tx };
        tokio::spawn(forwarder.run(response.into_body(), started));
        *answer.body_mut() = stream(rx);
        Ok(answer)
    }
}

/// Checks that an engine answered with the target that the request is bound
/// to.
///
/// An engine that checks fences refuses a request bound to another target with
/// status 409. One that does not has run the request, and its answer is
/// discarded.
fn check_target(
    response: &Response<Incoming>,
    bound: &LoadedTarget,
) -> Result<(), Failed> {
    let text = |name| {
        let value = response.headers().get(name)?;
        value.to_str().ok()
    };
    let status = response.status();
    if status.as_u16() == 409 {
        let err = Error::new(
            Code::NotServing,
            "the engine has loaded another target",
        );
        return Err(Failed::new(err));
    }
    if status.as_u16() == 429 || status.as_u16() == 503 {
        let err = Error::new(Code::Overloaded, "the engine is overloaded");
        return Err(Failed::new(err).with_retry_after(Duration::from_secs(1)));
    }
    let version = text(headers::ENGINE_VERSION).unwrap_or_default();
    let fence = text(headers::FENCE).unwrap_or_default();
    if bound.matches(version, fence) {
        return Ok(());
    }
    let (want, under) = (bound.target().version(), bound.fence());
    let why =
        format!("answer from {version} {fence}; expected {want} {under}");
    Err(Failed::new(Error::new(Code::WrongVersion, why)))
}

/// Returns the head of the answer: the backend server's status and
/// end-to-end headers.
fn response_head(
    response: &Response<Incoming>,
    bound: Option<&LoadedTarget>,
) -> Response<Body> {
    let mut answer = Response::new(stairhinge_shell::http::empty());
    *answer.status_mut() = response.status();
    for name in ["content-type", "content-length"] {
        if let Some(value) = response.headers().get(name) {
            answer.headers_mut().insert(name, value.clone());
        }
    }
    if let Some(bound) = bound
        && let Ok(value) = HeaderValue::from_str(bound.target().version())
    {
        answer.headers_mut().insert(headers::VERSION, value);
    }
    let ran = HeaderValue::from_static(Ran::Ran.as_str());
    answer.headers_mut().insert(headers::RAN, ran);
    answer
}

/// Forwards the body of an answer from the backend server to the entry.
struct BodyForwarder {
    idle: Duration,
    streamed: bool,
    /// Whether the answer has a length or chunks.
    framed: bool,
    tx: mpsc::Sender<Result<Bytes, BodyError>>,
}

impl BodyForwarder {
    async fn run(self, body: Incoming, mut started: StartedAttempt) {
        let agent = Arc::clone(&started.agent);
        let forwarded = match self.forward_body(body).await {
            Ok(()) => self.check_end(&agent).await,
            Err(err) => Err(err),
        };
        match forwarded {
            Ok(()) => {
                started.ran = Ran::Ran;
                started.code = 0;
                started.agent.record_whole_answer(started.suspect.as_ref());
            }
            Err(err) => {
                started.ran = Ran::Ran;
                started.code = Code::AnswerBroke.number();
                if !self.tx.is_closed() {
                    started
                        .agent
                        .check_backend(started.suspect.as_ref())
                        .await;
                }
                // The receiver is gone if the entry has disconnected.
                let _ = self.tx.send(Err(err)).await;
            }
        }
    }

    /// Checks that the answer is complete. One without a length or chunks ends
    /// with its connection, as if complete if the backend server has ended.
    async fn check_end(&self, agent: &Agent) -> Result<(), BodyError> {
        let backend = agent.settings.backend;
        if !self.framed && is_connection_refused(backend, PROBE_TIMEOUT).await
        {
            let why = "the answer ended as the backend server did";
            return Err(BodyError(why.into()));
        }
        Ok(())
    }

    /// Forwards the whole body. Fails if the answer is incomplete or the entry
    /// has disconnected; dropping the body then cancels the work of the
    /// backend server.
    async fn forward_body(&self, mut body: Incoming) -> Result<(), BodyError> {
        let mut tail: Vec<u8> = Vec::new();
        loop {
            let next = tokio::select! {
                next = tokio::time::timeout(self.idle, body.frame()) => next,
                () = self.tx.closed() => {
                    return Err(BodyError("the entry disconnected".into()));
                }
            };
            let silent = |_| BodyError("the backend server timed out".into());
            let Some(frame) = next.map_err(silent)? else { break };
            let frame = frame.map_err(|e| BodyError(e.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            keep_tail(&mut tail, &data);
            let gone = |_| BodyError("the entry disconnected".into());
            self.tx.send(Ok(data)).await.map_err(gone)?;
        }
        if self.streamed && tail != FINAL_EVENT {
            return Err(BodyError("the stream ended without [DONE]".into()));
        }
        Ok(())
    }
}

fn keep_tail(tail: &mut Vec<u8>, data: &[u8]) {
    let start = data.len().saturating_sub(FINAL_EVENT.len());
    tail.extend_from_slice(&data[start..]);
    let over = tail.len().saturating_sub(FINAL_EVENT.len());
    tail.drain(..over);
}
