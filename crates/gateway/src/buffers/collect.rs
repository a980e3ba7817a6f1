//! Reading of whole bodies into the account.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use stairhinge::{Code, Error};
use tokio::time::Instant;

use super::{Charge, Held};

/// A body, or its beginning, with what it is counted as.
pub(crate) struct Collected {
    pub bytes: Bytes,
    pub charges: Vec<Charge>,
    /// Whether this is the whole body.
    pub whole: bool,
}

/// Why a body could not be read.
#[derive(Debug)]
pub(crate) enum CollectError {
    /// Its sender failed or was too slow, or the body is too large.
    Sender(Error),
    /// There was no room for it in time.
    NoRoom(Error),
}

impl Held {
    /// Reads a body until it ends or more than `enough` bytes have arrived.
    ///
    /// # Errors
    ///
    /// [`CollectError`], in particular if neither happens within the time
    /// limit.
    pub(crate) async fn collect(
        self: &Arc<Self>,
        body: &mut Incoming,
        enough: usize,
        within: Duration,
    ) -> Result<Collected, CollectError> {
        let until = Instant::now() + within;
        let mut bytes = BytesMut::new();
        let mut charges = Vec::new();
        loop {
            let frame = tokio::time::timeout_at(until, body.frame()).await;
            let frame = frame.map_err(|_| {
                CollectError::Sender(Error::new(
                    Code::SlowSender,
                    format_args!(
                        "body not whole after {} ms",
                        within.as_millis()
                    ),
                ))
            })?;
            let Some(frame) = frame else {
                let bytes = bytes.freeze();
                return Ok(Collected { bytes, charges, whole: true });
            };
            let frame = frame.map_err(|e| {
                CollectError::Sender(Error::new(Code::MalformedHttp, e))
            })?;
            let Ok(data) = frame.into_data() else { continue };
            let room = self.take(data.len() as u64);
            let charge = tokio::time::timeout_at(until, room).await;
            charges.push(charge.map_err(|_| {
                CollectError::NoRoom(Error::new(
                    Code::BuffersFull,
                    format_args!("no room in {} ms", within.as_millis()),
                ))
            })?);
            bytes.extend_from_slice(&data);
            if bytes.len() > enough {
                let bytes = bytes.freeze();
                return Ok(Collected { bytes, charges, whole: false });
            }
        }
    }
}
