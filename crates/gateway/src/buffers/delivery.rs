//! Delivery of an answer to its caller from the buffers.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use stairhinge_shell::http::BodyError;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::Held;

/// The size of the pieces that an answer is delivered in. A piece that its
/// caller has read shows that the caller reads, so pieces are much smaller
/// than the bound of a connection.
const PIECE_BYTES: usize = 4 * 1024;

/// What a piece takes in memory besides its bytes.
const PIECE_OVERHEAD: usize = 128;

/// Puts an answer into the buffers.
pub(crate) struct Deliverer {
    held: Arc<Held>,
    tx: mpsc::UnboundedSender<Result<Bytes, BodyError>>,
    waited: Duration,
}

impl Deliverer {
    /// Adds bytes of the answer once there is room for them. Returns whether
    /// the caller is still connected.
    pub(crate) async fn push(&mut self, mut bytes: Bytes) -> bool {
        while !bytes.is_empty() {
            let piece = bytes.split_to(bytes.len().min(PIECE_BYTES));
            let from = Instant::now();
            let cost = piece.len() + PIECE_OVERHEAD;
            let charge = self.held.take(cost as u64).await;
            self.waited += from.elapsed();
            if self.tx.send(Ok(Held::attach(&piece, charge))).is_err() {
                return false;
            }
        }
        true
    }

    /// Ends the answer, once the caller has read what is buffered of it, so
    /// that the caller sees that it is incomplete.
    pub(crate) fn abort(
        &self,
        error: BodyError,
    ) -> impl Future<Output = ()> + use<> {
        let (held, tx) = (Arc::clone(&self.held), self.tx.clone());
        async move {
            // The connection is closed at an error, whatever is still to be
            // written to it.
            held.drained().await;
            // The receiver is gone if the caller has disconnected.
            let _ = tx.send(Err(error));
        }
    }

    /// Returns how long the sender was kept waiting for the caller in total.
    pub(crate) const fn waited(&self) -> Duration {
        self.waited
    }

    /// Returns the holder of the answer.
    pub(crate) const fn held(&self) -> &Arc<Held> {
        &self.held
    }
}

/// Called when the caller disconnects after the replica has finished.
pub(crate) type EndOfDelivery = Box<dyn FnOnce(&Held) + Send>;

/// The body of an answer, which is read from the buffers.
pub(crate) struct Delivery {
    held: Arc<Held>,
    rx: mpsc::UnboundedReceiver<Result<Bytes, BodyError>>,
    /// The bytes left, if the length is known.
    left: Option<u64>,
    ended: bool,
    sender: Option<AbortHandle>,
    on_disconnect: Option<EndOfDelivery>,
}

impl Delivery {
    /// Returns a delivery of an answer of `length` bytes, if that is known,
    /// and what fills it.
    pub(crate) fn new(
        held: Arc<Held>,
        length: Option<u64>,
        on_disconnect: EndOfDelivery,
    ) -> (Deliverer, Delivery) {
        let (tx, rx) = mpsc::unbounded_channel();
        let deliverer =
            Deliverer { held: Arc::clone(&held), tx, waited: Duration::ZERO };
        let delivery = Delivery {
            held,
            rx,
            left: length,
            ended: length == Some(0),
            sender: None,
            on_disconnect: Some(on_disconnect),
        };
        (deliverer, delivery)
    }

    /// Sets the task that reads from the replica, which is aborted when the
    /// caller disconnects.
    pub(crate) fn set_sender(&mut self, sender: AbortHandle) {
        self.sender = Some(sender);
    }
}

impl Body for Delivery {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let next = ready!(self.rx.poll_recv(context));
        if let (Some(Ok(bytes)), Some(left)) = (&next, &mut self.left) {
            *left = left.saturating_sub(bytes.len() as u64);
        }
        self.ended |= !matches!(next, Some(Ok(_))) || self.left == Some(0);
        Poll::Ready(next.map(|item| item.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map(SizeHint::with_exact).unwrap_or_default()
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        let sender = self.sender.take();
        let running = sender.as_ref().is_some_and(|task| !task.is_finished());
        if let Some(task) = sender {
            task.abort();
        }
        // A sender that is still running reports the disconnection itself.
        if !running
            && !self.ended
            && let Some(report) = self.on_disconnect.take()
        {
            report(&self.held);
        }
    }
}
