//! Serving HTTP within limits, with a planned stop that cuts nothing.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::task::TaskTracker;

use super::Body;
use crate::Shutdown;
use crate::settings::Values;

/// What a server does with a request.
pub trait Handler: Send + Sync {
    /// Answers one request; a failure is an answer too.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>>;
}

/// Limits on what callers may send, and how slowly.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest head, in bytes.
    pub head: usize,
    /// The largest body, in bytes.
    pub body: usize,
    /// Within which a head must arrive.
    pub head_time: Duration,
    /// Within which a body must arrive.
    pub body_time: Duration,
    /// The most connections at a time.
    pub connections: usize,
    /// How long a stopping process still listens.
    pub linger: Duration,
}

impl Limits {
    /// Returns the limits of a settings file.
    pub fn of(values: &Values) -> Limits {
        Limits {
            head: values.number("head_kb") as usize * 1024,
            body: values.number("body_kb") as usize * 1024,
            head_time: values.millis("head_ms"),
            body_time: values.millis("body_ms"),
            connections: values.number("connections") as usize,
            linger: values.millis("linger_ms"),
        }
    }
}

/// Serves until the process is to stop, then lingers, lets every request in
/// progress finish, and returns.
pub async fn serve(
    listener: TcpListener,
    limits: Limits,
    shutdown: Shutdown,
    handler: Arc<dyn Handler>,
) {
    let tracker = TaskTracker::new();
    let slots = Arc::new(Semaphore::new(limits.connections));
    let (stopper, quiet) = Shutdown::new();
    let linger = async {
        shutdown.wait().await;
        tokio::time::sleep(limits.linger).await;
    };
    tokio::pin!(linger);
    loop {
        let stream = tokio::select! {
            accepted = accept(&listener, &slots) => accepted,
            () = &mut linger => break,
        };
        let Some((stream, slot)) = stream else { continue };
        let handler = Arc::clone(&handler);
        let quiet = quiet.clone();
        tracker.spawn(async move {
            connection(stream, limits, quiet, handler).await;
            drop(slot);
        });
    }
    drop(listener);
    stopper.stop();
    tracker.close();
    tracker.wait().await;
}

type Slot = tokio::sync::OwnedSemaphorePermit;

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, Slot)> {
    let slot = Arc::clone(slots).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, slot)),
        Err(err) => {
            // Out of descriptors, as a rule: give others time to end.
            log::warn!("accept: {err}");
            tokio::time::sleep(Duration::from_millis(50)).await;
            None
        }
    }
}

async fn connection(
    stream: TcpStream,
    limits: Limits,
    quiet: Shutdown,
    handler: Arc<dyn Handler>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let ended = tokio::select! {
        ended = &mut conn => ended,
        () = quiet.wait() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    // hyper has answered 400 or 431 by itself where the bytes were no HTTP.
    if let Err(err) = ended {
        log::debug!("connection: {err}");
    }
}
