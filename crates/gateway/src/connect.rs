//! Opening connections to replicas and agents.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use hyper_util::rt::TokioIo;
use socket2::SockRef;
use stairhinge_shell::is_connection_refused;
use tokio::net::TcpStream;

/// The timeout for establishing a connection: longer than a round trip to any
/// hall, and shorter than TCP's first retransmission of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long sent data may stay unacknowledged before the connection is
/// closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Opens a connection.
///
/// # Errors
///
/// If the peer refuses the connection or does not accept it in time.
pub(crate) async fn connect(
    addr: SocketAddr,
) -> std::io::Result<TokioIo<TcpStream>> {
    let opened =
        tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = opened.await.map_err(|_| {
        std::io::Error::new(
            std::io::ErrorKind::TimedOut,
            "connection attempt timed out",
        )
    })??;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(TokioIo::new(stream))
}

/// The timeout of a check whether a replica is running, while its answer is
/// withheld.
const RUNNING_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns whether a process accepts connections at `addr`, or `None` if that
/// is not known in time.
pub(crate) async fn is_running(addr: SocketAddr) -> Option<bool> {
    let opened =
        tokio::time::timeout(RUNNING_TIMEOUT, TcpStream::connect(addr));
    match opened.await.ok()? {
        Ok(_) => Some(true),
        Err(e) if e.kind() == ErrorKind::ConnectionRefused => Some(false),
        Err(_) => None,
    }
}

/// Returns whether the process at `addr` has ended, which is the case if it
/// refuses connections.
pub(crate) async fn has_ended(addr: SocketAddr) -> bool {
    is_connection_refused(addr, CONNECT_TIMEOUT).await
}
