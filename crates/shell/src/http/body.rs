//! Request and response bodies, and how they are sent and read.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
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
        Ok(Err(err)) => {
            let large = err.is::<http_body_util::LengthLimitError>();
            Err(if large {
                Error::new(
                    Code::BodyTooLarge,
                    format_args!("body above {max_bytes} bytes"),
                )
            } else {
                Error::new(Code::MalformedHttp, err)
            })
        }
    }
}
