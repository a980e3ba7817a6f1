//! Standstills of a stand-in's process, and connections that fall silent.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;
use tokio::time::Instant;

/// What a stand-in's process and its connections wait for while they are
/// silent.
#[derive(Debug)]
pub struct Gate {
    /// The end of the last standstill.
    until: watch::Sender<Instant>,
    /// Of each open connection, whether it is silent for good.
    silences: Mutex<Vec<watch::Sender<bool>>>,
}

impl Gate {
    /// Returns the gate of a process that runs.
    pub fn new() -> Arc<Gate> {
        Arc::new(Gate {
            until: watch::Sender::new(Instant::now()),
            silences: Mutex::default(),
        })
    }

    /// Makes the process stand still for a time: it neither reads nor writes,
    /// its connections stay open, and new ones come up. Of standstills that
    /// overlap, the one that ends last counts.
    pub fn stand_still(&self, span: Duration) {
        let end = Instant::now() + span;
        self.until.send_modify(|until| *until = end.max(*until));
    }

    /// Makes a share of the connections that are open silent for good, without
    /// a reset, while new ones work. Returns how many those are.
    pub fn silence_open(&self, share: f64) -> usize {
        let mut silences = self.silences();
        silences.retain(|s| s.receiver_count() > 0 && !*s.borrow());
        let count = (silences.len() as f64 * share).ceil() as usize;
        for silence in silences.iter().take(count) {
            silence.send_replace(true);
        }
        count
    }

    /// Waits until no standstill goes on.
    pub(crate) async fn passed(&self) {
        while self.is_still() {
            let until = *self.until.borrow();
            tokio::time::sleep_until(until).await;
        }
    }

    /// Puts the gate before a connection.
    pub(crate) fn guard<S>(self: &Arc<Gate>, stream: S) -> Gated<S> {
        let silence = watch::Sender::new(false);
        let silent = silence.subscribe();
        self.silences().push(silence);
        Gated { stream, gate: Arc::clone(self), silent, wait: None }
    }

    fn is_still(&self) -> bool {
        Instant::now() < *self.until.borrow()
    }

    fn silences(&self) -> MutexGuard<'_, Vec<watch::Sender<bool>>> {
        self.silences.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// A connection that neither reads nor writes while its gate is shut.
pub(crate) struct Gated<S> {
    stream: S,
    gate: Arc<Gate>,
    silent: watch::Receiver<bool>,
    wait: Option<BoxFuture<'static, ()>>,
}

impl<S> Gated<S> {
    fn poll_gate(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if *self.silent.borrow() {
            // For good: there is nothing to be woken for.
            return Poll::Pending;
        }
        if self.wait.is_none() && !self.gate.is_still() {
            return Poll::Ready(());
        }
        let wait = self.wait.get_or_insert_with(|| {
            let gate = Arc::clone(&self.gate);
            Box::pin(async move { gate.passed().await })
        });
        ready!(wait.as_mut().poll(cx));
        self.wait = None;
        Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Gated<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        ready!(self.poll_gate(cx));
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Gated<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        ready!(self.poll_gate(cx));
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        ready!(self.poll_gate(cx));
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        ready!(self.poll_gate(cx));
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
