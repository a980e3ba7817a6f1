//! Telling a process that has ended from a connection that has.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Returns whether nobody listens at an address, by the word of its instance:
/// the process there has ended. One that lives accepts; an instance without
/// power, or behind a cut, says nothing `within` the time.
pub async fn is_refused(addr: SocketAddr, within: Duration) -> bool {
    let opened = tokio::time::timeout(within, TcpStream::connect(addr));
    let refused = |e: Error| e.kind() == ErrorKind::ConnectionRefused;
    opened.await.is_ok_and(|opened| opened.is_err_and(refused))
}
