//! A replica: of a model, if it has layers, or else of a plain service.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Handler, Request, answer, serve};
use crate::record::Record;

pub const LAYERS: u32 = 4;

#[derive(Default)]
struct Inner {
    version: Option<u64>,
    layers: (u32, u32),
    sequence: u64,
    staged: BTreeMap<u32, Vec<u8>>,
}

pub struct Replica {
    pub id: String,
    pub addr: SocketAddr,
    zone: String,
    service: String,
    model: bool,
    inner: Mutex<Inner>,
    record: Arc<Record>,
    /// How long a request to a plain service runs.
    pub takes: Duration,
}

impl Replica {
    pub fn start(
        id: &str,
        addr: SocketAddr,
        zone: &str,
        service: &str,
        held: Option<u64>,
        record: Arc<Record>,
    ) -> Arc<Replica> {
        let inner =
            Inner { version: held, layers: (0, LAYERS), ..Inner::default() };
        let replica = Arc::new(Replica {
            id: id.to_string(),
            addr,
            zone: zone.to_string(),
            service: service.to_string(),
            model: held.is_some(),
            inner: Mutex::new(inner),
            record,
            takes: Duration::from_millis(20),
        });
        serve(addr, Arc::clone(&replica));
        replica
    }

    pub fn stage(&self, pieces: Vec<Vec<u8>>) {
        let staged = (0..).zip(pieces).collect();
        self.inner.lock().unwrap().staged = staged;
    }

    pub fn version(&self) -> Option<u64> {
        let inner = self.inner.lock().unwrap();
        inner.version.filter(|_| inner.layers == (0, LAYERS))
    }

    fn models(&self) -> String {
        let inner = self.inner.lock().unwrap();
        match inner.version {
            Some(v) if self.model => format!(
                "\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":\
                 {v},\"adapters\":[]}}],\"layers\":{{\"startKey\":{},\
                 \"targetVersion\":{},\"version\":{v}}}",
                inner.layers.0, inner.layers.1
            ),
            _ => "\"stage\":\"both\",\"models\":[]".into(),
        }
    }

    /// Returns its entry in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\
             \"version\":\"1\",\"slots\":8,\"state\":\"{state}\",\
             \"coldRemainingMs\":0,\"sequence\":0,{}}}",
            self.service,
            self.addr,
            self.zone,
            self.models()
        )
    }

    fn order(&self, request: &Request) -> u16 {
        let body = String::from_utf8_lossy(&request.body).to_string();
        let number = |name: &str| -> Option<u64> {
            let at = body.find(&format!("\"{name}\":"))?;
            let rest = &body[at + name.len() + 3..];
            let end = rest.find(|c: char| !c.is_ascii_digit())?;
            rest[..end].parse().ok()
        };
        let mut inner = self.inner.lock().unwrap();
        let expected = number("expectedRevision");
        if expected.is_some_and(|e| e != inner.sequence) {
            return 409;
        }
        inner.sequence += 1;
        inner.version = number("version");
        let from = number("startKey").unwrap_or(0) as u32;
        let to = number("targetVersion").unwrap_or(LAYERS.into()) as u32;
        inner.layers = (from, to);
        self.record.note(format!("{}: order {body}", self.id));
        202
    }

    fn run(
        &self,
        request: &Request,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or("").to_string();
        let echo = format!("Request-Id: {id}\r\n");
        let version = self.version();
        let expected = request.header("expect-version");
        let expected = expected.and_then(|v| v.parse::<u64>().ok());
        let other = request
            .header("expect-instance")
            .is_some_and(|name| name != self.id);
        let misdirected = other
            || (self.model && version.is_none())
            || expected.is_some_and(|v| Some(v) != version);
        if misdirected {
            let more = format!("{echo}Not-Executed: 1\r\n");
            return answer(stream, 421, &more, b"");
        }
        self.record.note(format!("{}: runs {id}", self.id));
        let stamp = format!("Response-Stamp: {}.{id}\r\n", self.id);
        if !self.model {
            std::thread::sleep(self.takes);
            let more = format!("{echo}{stamp}");
            return answer(stream, 200, &more, b"done");
        }
        let v = version.unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 X\r\n{echo}{stamp}Weight-Versions: {v}\r\n\
             Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for k in 1..=4 {
            let event = format!("id: {k}\ndata: {v}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
            std::thread::sleep(Duration::from_millis(15));
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

impl Handler for Replica {
    fn handle(
        &self,
        request: &Request,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        let path = request.path();
        let index = request.number("chunkCount").map(|n| n as u32);
        if path == "/v1/report" {
            let inner = self.inner.lock().unwrap();
            let sequence = inner.sequence;
            drop(inner);
            let body = format!(
                "{{{},\"busy\":false,\"sequence\":{sequence},\"queued\":0,\
                 \"running\":0,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0}}",
                self.models()
            );
            return answer(stream, 200, "", body.as_bytes());
        }
        if path == "/v1/order" {
            let status = self.order(request);
            return answer(stream, status, "", b"{}");
        }
        if path.starts_with("/v1/stage-put/") {
            let Some(index) = index else {
                return answer(stream, 400, "", b"");
            };
            let mut inner = self.inner.lock().unwrap();
            inner.staged.insert(index, request.body.clone());
            drop(inner);
            return answer(stream, 200, "", b"{}");
        }
        if path.starts_with("/v1/stage-get/") {
            let inner = self.inner.lock().unwrap();
            let Some(index) = index else {
                let held: Vec<String> =
                    inner.staged.keys().map(u32::to_string).collect();
                drop(inner);
                let body = format!("{{\"held\":[{}]}}", held.join(","));
                return answer(stream, 200, "", body.as_bytes());
            };
            let bytes = inner.staged.get(&index).cloned();
            drop(inner);
            return match bytes {
                Some(bytes) => answer(stream, 200, "", &bytes),
                None => answer(stream, 404, "", b""),
            };
        }
        if request.method == "GET" && path == "/h" {
            let more = format!("Instance-Id: {}\r\n", self.id);
            return answer(stream, 200, &more, b"");
        }
        self.run(request, stream)
    }
}
