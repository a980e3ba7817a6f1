//! A small HTTP/1.1 server, a thread a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

/// The first line of a message and its headers.
pub type Head = (String, Vec<(String, String)>);

/// Reads the head of a message, or nothing at the end of the connection.
pub fn read_head(
    reader: &mut BufReader<TcpStream>,
) -> std::io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_string(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_string(), value.trim().to_string()));
        }
    }
}

/// Reads a chunk of a chunked body; an empty one is the last.
pub fn read_chunk(
    reader: &mut BufReader<TcpStream>,
) -> std::io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16)
        .map_err(std::io::Error::other)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

fn read_request(
    reader: &mut BufReader<TcpStream>,
) -> std::io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_string();
    let target = words.next().unwrap_or("").to_string();
    let mut request = Request { method, target, headers, body: Vec::new() };
    let chunked = request
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(Some(request));
            }
            request.body.extend(chunk);
        }
    }
    let length = request.header("content-length").unwrap_or("0");
    let length = length.parse().map_err(std::io::Error::other)?;
    request.body = vec![0; length];
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}

/// Sends an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    more: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {status} X\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

pub trait Handler: Send + Sync + 'static {
    /// Answers a request. The connection ends at an error.
    fn handle(
        &self,
        request: &Request,
        stream: &mut TcpStream,
    ) -> std::io::Result<()>;
}

/// Serves at an address until the process ends.
pub fn serve(addr: SocketAddr, handler: Arc<impl Handler>) {
    let listener = TcpListener::bind(addr).expect("an address to serve at");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || -> std::io::Result<()> {
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                while let Some(request) = read_request(&mut reader)? {
                    handler.handle(&request, &mut stream)?;
                }
                Ok(())
            });
        }
    });
}
