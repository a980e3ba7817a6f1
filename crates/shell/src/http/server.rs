//! An HTTP server with limits and a graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Body;
use crate::Shutdown;
use crate::settings::Values;

/// Handles the requests of a server.
pub trait Handler: Send + Sync {
    /// Returns the response to one request; errors are responses as well.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>>;
}

/// Limits on the size, duration and number of incoming requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest request head, in bytes.
    pub head: usize,
    /// The largest request body, in bytes.
    pub body: usize,
    /// The time limit for receiving a request head.
    pub head_time: Duration,
    /// The time limit for receiving a request body.
    pub body_time: Duration,
    /// The maximum number of open connections.
    pub connections: usize,
    /// How long a process keeps listening after its shutdown began.
    pub linger: Duration,
}

impl Limits {
    /// Returns the limits that a settings file configures.
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

/// Aborts the connection of a request, whose extensions hold it. Bytes that
/// the peer has not read yet are discarded.
#[derive(Clone, Debug, Default)]
pub struct ConnectionHandle(CancellationToken);

impl ConnectionHandle {
    /// Aborts the connection.
    pub fn abort(&self) {
        self.0.cancel();
    }
}

/// Serves until the shutdown begins and the linger time is over, waits for the
/// requests in progress to finish, and returns.
pub async fn serve(
    listener: TcpListener,
    limits: Limits,
    shutdown: Shutdown,
    handler: Arc<dyn Handler>,
) {
    let tracker = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(limits.connections));
    let (stopper, drain) = Shutdown::new();
    let linger = async {
        shutdown.wait().await;
        tokio::time::sleep(limits.linger).await;
    };
    tokio::pin!(linger);
    loop {
        let stream = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            () = &mut linger => break,
        };
        let Some((stream, permit)) = stream else { continue };
        let handler = Arc::clone(&handler);
        let drain = drain.clone();
        tracker.spawn(async move {
            connection(stream, limits, drain, handler).await;
            drop(permit);
        });
    }
    drop(listener);
    stopper.stop();
    tracker.close();
    tracker.wait().await;
}

type ConnectionPermit = tokio::sync::OwnedSemaphorePermit;

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, ConnectionPermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
        Err(err) => {
            // Usually the file descriptors are exhausted: wait for other
            // connections to close.
            log::warn!("accept: {err}");
            tokio::time::sleep(Duration::from_millis(50)).await;
            None
        }
    }
}

async fn connection(
    stream: TcpStream,
    limits: Limits,
    drain: Shutdown,
    handler: Arc<dyn Handler>,
) {
    let _ = stream.set_nodelay(true);
    let own = ConnectionHandle::default();
    let aborted = own.0.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        request.extensions_mut().insert(own.clone());
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let mut conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head)
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = run(&mut conn, drain) => ended,
        () = aborted.cancelled() => {
            // Otherwise the kernel keeps the unread bytes until they are read.
            let stream = conn.into_parts().io.into_inner();
            if let Err(err) = stream.set_zero_linger() {
                log::debug!("connection: {err}");
            }
            return;
        }
    };
    // hyper itself has sent 400 or 431 if the input was not valid HTTP.
    if let Err(err) = ended {
        log::debug!("connection: {err}");
    }
}

/// Serves a connection until it ends. Once the shutdown begins, the request in
/// progress is the last one.
async fn run<S>(
    conn: &mut http1::Connection<TokioIo<TcpStream>, S>,
    drain: Shutdown,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = Body, Error = Infallible>,
{
    tokio::select! {
        ended = &mut *conn => return ended,
        () = drain.wait() => Pin::new(&mut *conn).graceful_shutdown(),
    }
    conn.await
}
