//! Starting a stand-in on an address.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use stairhinge_shell::http::{Handler, Limits};
use stairhinge_shell::{Shutdown, Stopper};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::Gate;

/// A server that answers over HTTP.
pub trait StandIn: Handler {
    /// Returns what its connections wait for, if it can be told to be silent.
    fn gate(&self) -> Option<Arc<Gate>> {
        None
    }
}

/// A stand-in that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct Running {
    addr: SocketAddr,
    stopper: Stopper,
    task: JoinHandle<()>,
}

impl Running {
    /// Returns where it answers.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stopper.stop();
        self.task.abort();
    }
}

/// The limits of stand-ins, wide enough for any test.
pub fn limits() -> Limits {
    Limits {
        head: 64 * 1024,
        body: 1 << 30,
        head_time: Duration::from_secs(60),
        body_time: Duration::from_secs(60),
        connections: 10_000,
        linger: Duration::ZERO,
    }
}

/// How long nothing is accepted after accepting has failed.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Starts a stand-in; port 0 takes a free one.
///
/// # Errors
///
/// If the address cannot be listened on.
pub async fn start<S>(
    addr: SocketAddr,
    handler: Arc<S>,
) -> std::io::Result<Running>
where
    S: StandIn + ?Sized + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let (stopper, shutdown) = Shutdown::new();
    let task = tokio::spawn(serve(listener, shutdown, handler));
    Ok(Running { addr, stopper, task })
}

/// Serves until it is aborted; connections end after the request in hand once
/// the shutdown begins.
async fn serve<S>(listener: TcpListener, shutdown: Shutdown, handler: Arc<S>)
where
    S: StandIn + ?Sized + 'static,
{
    let gate = handler.gate().unwrap_or_else(Gate::new);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                // Usually the file descriptors are exhausted.
                log::warn!("accept: {err}");
                tokio::time::sleep(ACCEPT_AGAIN).await;
                continue;
            }
        };
        let (gate, handler) = (Arc::clone(&gate), Arc::clone(&handler));
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            let done = connection(stream, &gate, shutdown, handler).await;
            if let Err(err) = done {
                log::debug!("connection: {err}");
            }
        });
    }
}

async fn connection<S>(
    stream: TcpStream,
    gate: &Arc<Gate>,
    shutdown: Shutdown,
    handler: Arc<S>,
) -> hyper::Result<()>
where
    S: StandIn + ?Sized + 'static,
{
    // A slow small write costs time only.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let mut conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits().head_time)
        .max_buf_size(limits().head)
        .serve_connection(TokioIo::new(gate.guard(stream)), service);
    tokio::select! {
        ended = &mut conn => return ended,
        () = shutdown.wait() => Pin::new(&mut conn).graceful_shutdown(),
    }
    conn.await
}
