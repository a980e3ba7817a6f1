//! Passing one admitted request to the backend server, and its answer back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use stairhinge::request::{Attempt, Key};
use stairhinge::serving::LoadedTarget;
use stairhinge::{Code, Error, Ran};
use stairhinge_shell::http::{
    Body, BodyError, CallError, Failed, headers, stream,
};
use tokio::sync::mpsc;

use crate::agent::Agent;
use crate::claim::Held;
use crate::poison::Suspect;
use crate::tally::Entered;

/// The end of a whole streamed answer.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// An admitted attempt. Dropped before its end is known, it may have run.
pub(crate) struct Started {
    agent: Arc<Agent>,
    attempt: Attempt,
    ran: Ran,
    code: u16,
    start: Instant,
    held: Option<Held>,
    suspect: Option<Suspect>,
    _entered: Entered,
}

impl Started {
    pub(crate) fn new(
        agent: Arc<Agent>,
        attempt: Attempt,
        entered: Entered,
        start: Instant,
    ) -> Started {
        let ran = Ran::MayHaveRun;
        let code = Code::LostBackend.number();
        Started {
            agent,
            attempt,
            ran,
            code,
            start,
            held: None,
            suspect: None,
            _entered: entered,
        }
    }

    /// Names the request, so that an end of the backend server counts on it.
    pub(crate) fn suspect(&mut self, suspect: Option<Suspect>) {
        self.suspect = suspect;
    }

    /// Has a key granted to this attempt.
    pub(crate) async fn hold(&mut self, key: &Key) -> Result<(), Failed> {
        match self.agent.have(key, &self.attempt).await {
            Ok(held) => {
                self.held = Some(held);
                Ok(())
            }
            Err(failed) => {
                // Whoever holds the key: this attempt did not run.
                let said = failed.ran();
                let failed = self.failed(failed.with_ran(Ran::DidNotRun));
                Err(failed.with_ran(said))
            }
        }
    }

    /// The last look before a request goes to the backend server.
    fn check(&self) -> Result<(), Failed> {
        match &self.held {
            Some(held) => held.check(&self.agent),
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

impl Drop for Started {
    fn drop(&mut self) {
        let now = self.agent.node.now();
        self.agent.attempts().end(&self.attempt, self.ran, now);
        if let Some(held) = self.held.take() {
            self.agent.give(held, self.ran);
        }
        let secs = self.start.elapsed().as_secs_f64();
        self.agent.node.metrics().answered(self.code, secs);
        let fields =
            [("attempt", self.attempt.as_str()), ("ran", self.ran.as_str())];
        self.agent.node.event("request.ended", &fields);
    }
}

/// A request ready for the backend server.
pub(crate) struct Pass {
    pub(crate) request: Request<Body>,
    pub(crate) bound: Option<Arc<LoadedTarget>>,
}

impl Pass {
    pub(crate) async fn run(
        self,
        mut started: Started,
    ) -> Result<Response<Body>, Failed> {
        let agent = Arc::clone(&started.agent);
        let idle = agent.settings.values.millis("engine_ms");
        let addr = agent.settings.backend;
        started.check().map_err(|f| started.failed(f))?;
        let sent = agent.node.client().send(addr, self.request, idle).await;
        let response = match sent {
            Ok(response) => response,
            Err(err) => {
                let ran = match err {
                    CallError::Unsent(_) => Ran::DidNotRun,
                    CallError::Silent(_) => Ran::MayHaveRun,
                };
                if ran == Ran::MayHaveRun {
                    agent.examine(started.suspect).await;
                }
                let err = Error::new(Code::EngineLost, err);
                return Err(started.failed(Failed::new(err).with_ran(ran)));
            }
        };
        if let Some(bound) = &self.bound {
            check(&response, bound).map_err(|f| started.failed(f))?;
        }
        let mut answer = head(&response, self.bound.as_deref());
        agent.stamp(&mut answer);
        let streamed = response
            .headers()
            .get(CONTENT_TYPE)
            .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
        let (tx, rx) = mpsc::channel(8);
        let pump = Pump { idle, streamed, tx };
        tokio::spawn(pump.run(response.into_body(), started));
        *answer.body_mut() = stream(rx);
        Ok(answer)
    }
}

/// Checks that an engine answers from what it was bound to.
///
/// An engine that checks fences refuses with 409 what it was not bound to;
/// one that does not has run it, and the answer is withheld.
fn check(
    response: &Response<Incoming>,
    bound: &LoadedTarget,
) -> Result<(), Failed> {
    let text = |name| {
        let value = response.headers().get(name)?;
        value.to_str().ok()
    };
    let status = response.status();
    if status.as_u16() == 409 {
        let err = Error::new(Code::NotServing, "the engine holds another");
        return Err(Failed::new(err));
    }
    if status.as_u16() == 429 || status.as_u16() == 503 {
        let err = Error::new(Code::Overloaded, "the engine is full");
        return Err(Failed::new(err).with_back(Duration::from_secs(1)));
    }
    let version = text(headers::ENGINE_VERSION).unwrap_or_default();
    let fence = text(headers::FENCE).unwrap_or_default();
    if bound.matches(version, fence) {
        return Ok(());
    }
    let (want, under) = (bound.target().version(), bound.fence());
    let why =
        format!("answer from {version} under {fence}, bound: {want} {under}");
    Err(Failed::new(Error::new(Code::WrongVersion, why)))
}

/// The head of the answer: the backend server's, less what is between hops.
fn head(
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

/// Moves an answer's bytes from the backend server to the entry.
struct Pump {
    idle: Duration,
    streamed: bool,
    tx: mpsc::Sender<Result<Bytes, BodyError>>,
}

impl Pump {
    async fn run(self, body: Incoming, mut started: Started) {
        match self.whole(body).await {
            Ok(()) => {
                started.ran = Ran::Ran;
                started.code = 0;
                started.agent.answered(started.suspect);
            }
            Err(err) => {
                started.ran = Ran::Ran;
                started.code = Code::AnswerBroke.number();
                if !self.tx.is_closed() {
                    started.agent.examine(started.suspect).await;
                }
                // If the entry has gone there is nobody left to tell.
                let _ = self.tx.send(Err(err)).await;
            }
        }
    }

    /// Moves all bytes; an error if the answer is not whole or the entry has
    /// gone. Dropping the body then cancels the backend server's work.
    async fn whole(&self, mut body: Incoming) -> Result<(), BodyError> {
        let mut tail: Vec<u8> = Vec::new();
        loop {
            let next = tokio::select! {
                next = tokio::time::timeout(self.idle, body.frame()) => next,
                () = self.tx.closed() => {
                    return Err(BodyError("the entry has gone".into()));
                }
            };
            let silent = |_| BodyError("the backend server is silent".into());
            let Some(frame) = next.map_err(silent)? else { break };
            let frame = frame.map_err(|e| BodyError(e.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            keep_tail(&mut tail, &data);
            let gone = |_| BodyError("the entry has gone".into());
            self.tx.send(Ok(data)).await.map_err(gone)?;
        }
        if self.streamed && tail != DONE {
            return Err(BodyError("the stream ended before its end".into()));
        }
        Ok(())
    }
}

fn keep_tail(tail: &mut Vec<u8>, data: &[u8]) {
    let start = data.len().saturating_sub(DONE.len());
    tail.extend_from_slice(&data[start..]);
    let over = tail.len().saturating_sub(DONE.len());
    tail.drain(..over);
}
