//! Opening connections to replicas and agents.

use std::net::SocketAddr;
use std::time::Duration;

use hyper_util::rt::TokioIo;
use socket2::SockRef;
use stairhinge_shell::is_refused;
use tokio::net::TcpStream;

/// How long a connection may take to come up. Longer than a round trip to
/// any hall, and shorter than the first repetition of a lost packet.
const CONNECT: Duration = Duration::from_millis(400);

/// How long sent bytes may stay unacknowledged before the peer counts as
/// gone.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// Opens a connection.
///
/// # Errors
///
/// If the peer refuses or does not answer in time.
pub(crate) async fn connect(
    addr: SocketAddr,
) -> std::io::Result<TokioIo<TcpStream>> {
    let opened = tokio::time::timeout(CONNECT, TcpStream::connect(addr));
    let stream = opened.await.map_err(|_| {
        std::io::Error::new(std::io::ErrorKind::TimedOut, "no connection")
    })??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    Ok(TokioIo::new(stream))
}

/// Returns whether a replica's process has ended.
pub(crate) async fn has_ended(addr: SocketAddr) -> bool {
    is_refused(addr, CONNECT).await
}
