//! Starting a stand-in on an address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge_shell::http::{Handler, Limits, serve};
use stairhinge_shell::{Shutdown, Stopper};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

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

/// Starts a stand-in; port 0 takes a free one.
///
/// # Errors
///
/// If the address cannot be listened on.
pub async fn start(
    addr: SocketAddr,
    handler: Arc<dyn Handler>,
) -> std::io::Result<Running> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let (stopper, shutdown) = Shutdown::new();
    let task = tokio::spawn(serve(listener, limits(), shutdown, handler));
    Ok(Running { addr, stopper, task })
}
