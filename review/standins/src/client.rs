//! A client that opens a connection for each request.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_chunk, read_head};

/// Sends a request and returns the status of its whole answer; 0 if there is
/// none.
pub fn call(entry: SocketAddr, request: &str, within: Duration) -> u16 {
    exchange(entry, request, within).unwrap_or(0)
}

fn exchange(
    entry: SocketAddr,
    request: &str,
    within: Duration,
) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&entry, within)?;
    stream.set_read_timeout(Some(within))?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Ok(0);
    };
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    let header = |name: &str| {
        let mut all = headers.iter();
        let found = all.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone())
    };
    if let Some(length) = header("content-length") {
        let length = length.parse().map_err(std::io::Error::other)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
    } else {
        while !read_chunk(&mut reader)?.is_empty() {}
    }
    Ok(status.unwrap_or(0))
}
