//! A minimal HTTP/1.1 reader for both sides.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, or an empty text.
    pub fn get(&self, name: &str) -> &str {
        let found =
            self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, v)| v.as_str())
    }

    /// Returns the request target.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the path of the request target.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Returns a parameter of the query, or an empty text.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        for pair in query.split('&') {
            if let Some((n, v)) = pair.split_once('=') {
                if n == name {
                    return v;
                }
            }
        }
        ""
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(from: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_string();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.trim().to_string(), value.trim().to_string()));
        }
    }
}

/// A body, and whether its framing says that it is complete.
#[derive(Clone, Debug, Default)]
pub struct Body {
    pub bytes: Vec<u8>,
    pub whole: bool,
}

/// Reads a body by the framing that its head tells. `ends` tells whether a
/// body without framing ends with its connection, as that of an answer does.
pub fn read_body(
    from: &mut BufReader<TcpStream>,
    head: &Head,
    ends: bool,
) -> Body {
    let mut body = Body::default();
    if head.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
        body.whole = read_chunks(from, &mut body.bytes).unwrap_or(false);
        return body;
    }
    if let Ok(length) = head.get("content-length").parse::<u64>() {
        let got = from.take(length).read_to_end(&mut body.bytes);
        body.whole = got.is_ok() && body.bytes.len() as u64 == length;
        return body;
    }
    body.whole = true;
    if ends {
        body.whole = from.read_to_end(&mut body.bytes).is_ok();
    }
    body
}

fn read_chunks(
    from: &mut BufReader<TcpStream>,
    into: &mut Vec<u8>,
) -> io::Result<bool> {
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let Ok(size) = u64::from_str_radix(line.trim(), 16) else {
            return Ok(false);
        };
        let before = into.len() as u64;
        from.take(size).read_to_end(into)?;
        if into.len() as u64 - before < size {
            return Ok(false);
        }
        let mut end = String::new();
        if from.read_line(&mut end)? == 0 {
            return Ok(false);
        }
        if size == 0 {
            return Ok(true);
        }
    }
}
