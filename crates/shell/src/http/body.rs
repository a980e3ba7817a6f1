//! Request and response bodies, and how they are sent and read.

use std::fmt;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Empty, Full, Limited, StreamBody};
use hyper::body::Frame;
use stairhinge::{Code, Error};
use tokio::sync::mpsc;

use crate::Shaper;

/// The body of a response, or of a request to another process.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// The error of a body that ended before it was complete.
#[derive(Debug)]
pub struct BodyError(pub String);

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BodyError {}

/// Returns a body that holds `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|e| match e {}).boxed_unsync()
}

/// Returns an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|e| match e {}).boxed_unsync()
}

/// Returns a body that is streamed from a channel.
///
/// An error aborts the body without its terminator, so that the reader can
/// tell that it is incomplete.
pub fn stream(rx: mpsc::Receiver<Result<Bytes, BodyError>>) -> Body {
    let items = futures::stream::unfold(rx, |mut rx| async {
        let item = rx.recv().await?;
        Some((item.map(Frame::data), rx))
    });
    StreamBody::new(items.boxed()).boxed_unsync()
}

/// The size in bytes of the frames that a shaped body is split into.
const FRAME_BYTES: usize = 16 * 1024;

/// Returns a body that sends `bytes` in frames, rate-limited by each of
/// `links`.
pub fn shaped(bytes: Bytes, links: Vec<Shaper>) -> Body {
    let (tx, rx) = mpsc::channel(1);
    tokio::spawn(async move {
        let mut rest = bytes;
        while !rest.is_empty() {
            let piece = rest.split_to(rest.len().min(FRAME_BYTES));
            for link in &links {
                link.take(piece.len() as u64).await;
            }
            if tx.send(Ok(piece)).await.is_err() {
                break;
            }
        }
    });
    stream(rx)
}

/// Returns a body that sends `bytes` as one frame over a rate-limited link,
/// after the bodies that were requested before it.
///
/// Interleaving the frames of several bodies would delay the end of all of
/// them. Sent in request order, the first body can be forwarded while the
/// others still wait. A body whose reader disconnects during the wait uses no
/// bandwidth.
pub fn full_in_turn(bytes: Bytes, link: Shaper) -> Body {
    let piece = async move {
        link.take_in_turn(bytes.len() as u64).await;
        Ok(Frame::data(bytes))
    };
    StreamBody::new(futures::stream::once(piece).boxed()).boxed_unsync()
}

/// Like [`full_in_turn`], but ahead of the bodies that still wait for their
/// turn.
pub fn full_ahead(bytes: Bytes, link: Shaper) -> Body {
    let piece = async move {
        link.take(bytes.len() as u64).await;
        Ok(Frame::data(bytes))
    };
    StreamBody::new(futures::stream::once(piece).boxed()).boxed_unsync()
}

/// Reads a complete body of at most `max_bytes` bytes within a time limit.
///
/// # Errors
///
/// [`Code::BodyTooLarge`] above the size limit, [`Code::SlowSender`] after
/// the time limit, or [`Code::MalformedHttp`] if the body is cut short.
pub async fn read<B>(
    body: B,
    max_bytes: usize,
    within: Duration,
) -> Result<Bytes, Error>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let limited = Limited::new(body, max_bytes);
    let collected = tokio::time::timeout(within, limited.collect()).await;
    match collected {
        Err(_) => Err(Error::new(
            Code::SlowSender,
            format_args!("body not whole after {} ms", within.as_millis()),
        )),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(err)) => Err(body_error(err, max_bytes)),
    }
}

/// How fast a body has to arrive.
#[derive(Clone, Copy, Debug)]
pub struct BodyPace {
    /// A span in which it may end, or else brings the least number of bytes.
    pub window: Duration,
    /// The least number of bytes in each window.
    pub least: usize,
}

/// Reads a complete body of at most `max_bytes` bytes for as long as it goes
/// on arriving.
///
/// A time limit for the whole body would abort all of several large ones that
/// share a slow link, and their retries again.
///
/// # Errors
///
/// As for [`read`]; [`Code::SlowSender`] if it arrives more slowly than
/// `pace`.
pub async fn read_steady<B>(
    body: B,
    max_bytes: usize,
    pace: BodyPace,
) -> Result<Bytes, Error>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let limited = std::pin::pin!(Limited::new(body, max_bytes));
    let mut frames = limited.into_data_stream();
    let mut bytes = BytesMut::new();
    let mut due = tokio::time::Instant::now() + pace.window;
    let mut least = pace.least;
    loop {
        match tokio::time::timeout_at(due, frames.next()).await {
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Ok(data))) => bytes.extend_from_slice(&data),
            Ok(Some(Err(err))) => return Err(body_error(err, max_bytes)),
            Err(_) if bytes.len() < least => {
                let BodyPace { window, least } = pace;
                let ms = window.as_millis();
                let why = format_args!("under {least} bytes in {ms} ms");
                return Err(Error::new(Code::SlowSender, why));
            }
            Err(_) => {
                due += pace.window;
                least = bytes.len() + pace.least;
            }
        }
    }
}

fn body_error(
    err: Box<dyn std::error::Error + Send + Sync>,
    max_bytes: usize,
) -> Error {
    if err.is::<http_body_util::LengthLimitError>() {
        let why = format_args!("body above {max_bytes} bytes");
        return Error::new(Code::BodyTooLarge, why);
    }
    Error::new(Code::MalformedHttp, err)
}

#[cfg(test)]
#[path = "body_tests.rs"]
mod tests;
