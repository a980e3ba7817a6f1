//! Passes an agent's answer to the caller, complete or marked as broken off.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use stairhinge::poison::Fingerprint;
use stairhinge::request::{Failure, is_overtime};
use stairhinge::{Code, Error};
use stairhinge_shell::http::{
    Body, BodyError, Failed, empty, full, headers, read, stream,
};
use stairhinge_shell::node::{AdmittedRun, Node};
use tokio::sync::mpsc;

use crate::Entry;
use crate::admit::AdmittedRequest;
use crate::send::InFlight;

/// An admitted request until its answer has been sent.
pub(crate) struct RequestTracker {
    pub(crate) entry: Arc<Entry>,
    pub(crate) admitted: AdmittedRequest,
    pub(crate) start: Instant,
}

impl RequestTracker {
    /// Records the code that the request ended with (0 is success), and ends
    /// its admission.
    pub(crate) fn finish(self, code: u16) {
        let secs = self.start.elapsed().as_secs_f64();
        self.entry.node.metrics().answered(code, secs);
        drop(self.admitted);
    }
}

/// Copies the head of an answer without the headers that are internal to the
/// system.
pub(crate) fn public_head(response: &Response<Incoming>) -> Response<Body> {
    let mut answer = Response::new(empty());
    *answer.status_mut() = response.status();
    let names =
        ["content-type", "content-length", headers::VERSION, headers::RAN];
    for name in names {
        if let Some(value) = response.headers().get(name) {
            answer.headers_mut().insert(name, value.clone());
        }
    }
    answer
}

/// Reads a complete answer that is not streamed, of at most `max_bytes` bytes.
/// Nothing is sent to the caller before the answer is complete.
pub(crate) async fn read_whole(
    response: Response<Incoming>,
    max_bytes: usize,
    within: Duration,
) -> Result<Response<Body>, Failure> {
    let mut answer = public_head(&response);
    let bytes = read(response.into_body(), max_bytes, within).await;
    let bytes = bytes.map_err(|err| {
        log::debug!("cannot read the agent's answer: {err}");
        Failure::Failed(Code::AnswerBroke)
    })?;
    *answer.body_mut() = full(bytes);
    Ok(answer)
}

/// A streamed answer whose first bytes have arrived.
pub(crate) struct StreamedAnswer {
    head: Response<Body>,
    first: Bytes,
    body: Incoming,
    limits: ReadLimits,
}

/// A run whose answer is streamed.
pub(crate) struct StreamRun {
    pub(crate) in_flight: InFlight,
    pub(crate) admitted: AdmittedRun,
    /// Where its agent takes control calls.
    pub(crate) control: SocketAddr,
}

impl StreamRun {
    /// Ends the run. If it was the only one of the request, other runs begin
    /// only once it is known whether it has crashed the backend server.
    async fn end(self, node: &Arc<Node>, request: Fingerprint) {
        drop(self.in_flight);
        if self.admitted.is_claimed() {
            node.ask_poison(self.control, request).await;
        }
    }
}

/// How long an answer may go on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadLimits {
    /// The longest time between two reads.
    pub(crate) idle: Duration,
    /// The deadline of the request.
    pub(crate) deadline: Instant,
}

impl StreamedAnswer {
    /// Waits for the first bytes. Nothing has been sent to the caller until
    /// then, so a repeatable request can still be sent to another agent.
    pub(crate) async fn begin(
        response: Response<Incoming>,
        limits: ReadLimits,
    ) -> Result<StreamedAnswer, Failure> {
        let head = public_head(&response);
        let mut body = response.into_body();
        let first =
            next_data(&mut body, limits.idle).await.map_err(|err| {
                log::debug!("cannot read the agent's answer: {err}");
                Failure::Failed(Code::AnswerBroke)
            })?;
        let first = first.ok_or(Failure::Failed(Code::AnswerBroke))?;
        Ok(StreamedAnswer { head, first, body, limits })
    }

    /// Returns a response that forwards the answer. If the answer breaks off,
    /// the caller gets an error event in the stream, and the body is aborted
    /// instead of ended.
    pub(crate) fn forward(
        self,
        tracker: RequestTracker,
        run: StreamRun,
        request: Fingerprint,
    ) -> Response<Body> {
        let StreamedAnswer { mut head, first, mut body, limits } = self;
        let (tx, rx) = mpsc::channel(8);
        tokio::spawn(async move {
            let ended = relay(&tx, first, &mut body, limits).await;
            let node = Arc::clone(&tracker.entry.node);
            match ended {
                Ok(()) => {
                    drop(run);
                    tracker.finish(0);
                }
                Err(err) => {
                    tracker.finish(Code::AnswerBroke.number());
                    let ending = run.end(&node, request);
                    tokio::join!(ending, send_error_event(&tx, err));
                }
            }
        });
        *head.body_mut() = stream(rx);
        head.headers_mut()
            .insert("cache-control", HeaderValue::from_static("no-store"));
        head
    }
}

/// Forwards a body until it ends. Fails if the body breaks off, goes on for
/// too long after the deadline, or the caller disconnects.
async fn relay(
    tx: &mpsc::Sender<Result<Bytes, BodyError>>,
    first: Bytes,
    body: &mut Incoming,
    limits: ReadLimits,
) -> Result<(), BodyError> {
    let disconnected = || BodyError("the caller disconnected".into());
    tx.send(Ok(first)).await.map_err(|_| disconnected())?;
    // How long the caller has kept the answer waiting.
    let mut waited = Duration::ZERO;
    loop {
        let late = limits.deadline.elapsed();
        if is_overtime(late, waited) {
            return Err(BodyError("the answer does not end".into()));
        }
        let data = tokio::select! {
            data = next_data(body, limits.idle) => data?,
            () = tx.closed() => return Err(disconnected()),
        };
        let Some(data) = data else { return Ok(()) };
        let ready = Instant::now();
        tx.send(Ok(data)).await.map_err(|_| disconnected())?;
        waited += ready.elapsed();
    }
}

/// Returns the next bytes of a body, or `None` at its end.
async fn next_data(
    body: &mut Incoming,
    idle: Duration,
) -> Result<Option<Bytes>, BodyError> {
    loop {
        let frame = tokio::time::timeout(idle, body.frame()).await;
        let timed_out = |_| {
            BodyError("the agent sent nothing within the idle timeout".into())
        };
        let Some(frame) = frame.map_err(timed_out)? else { return Ok(None) };
        let frame = frame.map_err(|e| BodyError(e.to_string()))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Time to flush the error event before the body is aborted: hyper drops
/// what it has not flushed when a body fails.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Sends an error event to the caller, then aborts the body.
async fn send_error_event(
    tx: &mpsc::Sender<Result<Bytes, BodyError>>,
    err: BodyError,
) {
    let failed = Failed::new(Error::new(Code::AnswerBroke, &err));
    let text = format!("event: error\ndata: {}\n\n", failed.json());
    // The send fails if the caller has disconnected.
    if tx.send(Ok(Bytes::from(text))).await.is_ok() {
        tokio::time::sleep(FLUSH_TIME).await;
        let _ = tx.send(Err(err)).await;
    }
}
