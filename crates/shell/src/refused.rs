//! Detects whether a process has ended or only its connection.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Returns whether a TCP connection to `addr` is refused, which means that the
/// process there has ended.
///
/// A running process accepts the connection. An instance that is powered off
/// or unreachable does not respond `within` the time limit; the result is
/// then false, as the state of the process is unknown.
pub async fn is_connection_refused(
    addr: SocketAddr,
    within: Duration,
) -> bool {
    let opened = tokio::time::timeout(within, TcpStream::connect(addr));
    let refused = |e: Error| e.kind() == ErrorKind::ConnectionRefused;
    opened.await.is_ok_and(|opened| opened.is_err_and(refused))
}
