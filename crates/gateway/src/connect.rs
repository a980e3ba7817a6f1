//! Opening connections to replicas and agents.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use hyper_util::rt::TokioIo;
use socket2::SockRef;
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
        std::io::Error::new(ErrorKind::TimedOut, "no connection")
    })??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    Ok(TokioIo::new(stream))
}

/// Returns whether a replica's process has ended: its instance answers that
/// nobody listens there. A process that lives accepts, and an instance
/// without power, or behind a cut, says nothing.
pub(crate) async fn is_refused(addr: SocketAddr) -> bool {
    let opened = tokio::time::timeout(CONNECT, TcpStream::connect(addr));
    let refused =
        |error: std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
    opened.await.is_ok_and(|opened| opened.is_err_and(refused))
}
