//! Model replicas beside agents, and the origin of their weights.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head, Head};
use crate::record::Record;
use crate::sha256;
use crate::store::Store;

pub const LAYERS: u64 = 16;
pub const CHUNKS: u32 = 96;
const CHUNK_BYTES: usize = 24_576;
const SLOTS: u32 = 16;

/// How long a load takes once the layers' pieces are taken.
const WARM: Duration = Duration::from_millis(300);

/// Returns a piece of a version's weights.
pub fn piece(version: u64, index: u32) -> Vec<u8> {
    let text = format!("version {version} piece {index} ");
    let mut bytes = text.repeat(CHUNK_BYTES / text.len() + 1).into_bytes();
    bytes.truncate(CHUNK_BYTES);
    bytes
}

/// Starts the origin of weights; returns its address.
pub fn start_origin() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("origin");
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let Ok(mut out) = stream.try_clone() else { return };
                let mut input = BufReader::new(stream);
                while let Ok(Some(head)) = read_head(&mut input) {
                    let version = head.query("version").parse().unwrap_or(1);
                    let body = if head.path().starts_with("/v1/manifest/") {
                        let digests: Vec<String> = (0..CHUNKS)
                            .map(|i| {
                                format!(
                                    "\"{}\"",
                                    sha256::hex(&piece(version, i))
                                )
                            })
                            .collect();
                        format!(
                            "{{\"model\":\"m\",\"version\":{version},\"chunkBytes\":{CHUNK_BYTES},\
                             \"layers\":{LAYERS},\"digests\":[{}]}}",
                            digests.join(",")
                        )
                        .into_bytes()
                    } else {
                        piece(
                            version,
                            head.query("chunkCount").parse().unwrap_or(0),
                        )
                    };
                    if send(&mut out, 200, &body).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn send(out: &mut TcpStream, status: u16, body: &[u8]) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    out.write_all(head.as_bytes())?;
    out.write_all(body)
}

/// An order that waits for what runs.
#[derive(Clone, Copy, Debug)]
struct Order {
    version: u64,
    from: u64,
    to: u64,
}

#[derive(Default)]
struct Inner {
    staged: BTreeMap<u32, Vec<u8>>,
    /// When a piece turned bad that has not been written since.
    spoilt: BTreeMap<u32, Instant>,
    /// The version and layers that it holds.
    held: Option<(u64, u64, u64)>,
    /// For how long the worst piece of them had been bad when it was taken.
    bad_for: Duration,
    pending: Option<Order>,
    /// The layers have been taken, and are loaded until then.
    loading: Option<(Instant, Order)>,
    sequence: u64,
    running: u32,
    first_whole_order: Option<Instant>,
    /// By request: the version, and for how long a piece had been bad.
    runs: Vec<(String, u64, Duration)>,
}

/// A model replica.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    store: Store,
    record: Arc<Record>,
}

impl Engine {
    /// Starts a replica that holds version 1, staged too.
    pub fn start(
        id: &str,
        ip: &str,
        store: &Store,
        record: &Arc<Record>,
    ) -> Engine {
        let listener = TcpListener::bind((ip, 0)).expect("engine");
        let engine = Engine {
            id: id.to_string(),
            addr: listener.local_addr().unwrap(),
            inner: Arc::default(),
            store: store.clone(),
            record: Arc::clone(record),
        };
        {
            let mut inner = engine.inner.lock().unwrap();
            inner.held = Some((1, 0, LAYERS));
            for i in 0..CHUNKS {
                inner.staged.insert(i, piece(1, i));
            }
        }
        engine.list();
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        let working = engine.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(5));
            working.work();
        });
        engine
    }

    /// Writes its entry in the platform's store.
    fn list(&self) {
        let held = self.inner.lock().unwrap().held;
        let models = held.map_or("[]".into(), |(version, ..)| {
            format!(
                "[{{\"name\":\"m\",\"version\":{version},\"adapters\":[]}}]"
            )
        });
        let (version, from, to) = held.unwrap_or((0, 0, 0));
        let entry = format!(
            "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"1.0\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":0,\
             \"stage\":\"both\",\"models\":{models},\"layers\":{{\"startKey\":{from},\
             \"targetVersion\":{to},\"version\":{version}}}}}",
            self.addr
        );
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Goes on with an order: once nothing runs it takes what lies there.
    fn work(&self) {
        let mut inner = self.inner.lock().unwrap();
        let now = Instant::now();
        if let Some((until, order)) = inner.loading {
            if now < until {
                return;
            }
            inner.loading = None;
            inner.held = Some((order.version, order.from, order.to));
            drop(inner);
            self.record.line(format!("{}: has loaded {order:?}", self.id));
            return self.list();
        }
        let Some(order) = inner.pending else { return };
        if inner.running > 0 {
            return;
        }
        inner.pending = None;
        // It keeps the layers that it has of the same version.
        let kept =
            inner.held.filter(|(version, ..)| *version == order.version);
        if kept.is_none() {
            inner.bad_for = Duration::ZERO;
        }
        let mut worst = Duration::ZERO;
        for layer in order.from..order.to {
            if kept.is_some_and(|(_, from, to)| (from..to).contains(&layer)) {
                continue;
            }
            let first = layer * u64::from(CHUNKS) / LAYERS;
            let end = ((layer + 1) * u64::from(CHUNKS)).div_ceil(LAYERS);
            for i in first as u32..end as u32 {
                if inner
                    .staged
                    .get(&i)
                    .is_some_and(|bytes| *bytes == piece(order.version, i))
                {
                    continue;
                }
                let bad =
                    inner.spoilt.get(&i).map_or(Duration::MAX, |at| now - *at);
                worst = worst.max(bad);
            }
        }
        inner.bad_for = inner.bad_for.max(worst);
        inner.held = None;
        inner.loading = Some((now + WARM, order));
        drop(inner);
        self.record.line(format!(
            "{}: takes what lies there for {order:?}; the worst piece has been bad for {worst:?}",
            self.id
        ));
    }

    /// Lets a staged piece turn bad.
    pub fn spoil(&self, index: u32) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(bytes) = inner.staged.get_mut(&index) {
            bytes[0] ^= 0xff;
        }
        inner.spoilt.insert(index, Instant::now());
        self.record.line(format!("{}: piece {index} turns bad", self.id));
    }

    /// Returns when it took the first order for all layers.
    pub fn ordered_at(&self) -> Option<Instant> {
        self.inner.lock().unwrap().first_whole_order
    }

    /// Returns whether it waits for what runs to carry out an order.
    pub fn waits(&self) -> bool {
        self.inner.lock().unwrap().pending.is_some()
    }

    /// Returns the requests that it has begun: id, version, and for how long
    /// the worst piece of its layers had been bad when it was taken.
    pub fn runs(&self) -> Vec<(String, u64, Duration)> {
        self.inner.lock().unwrap().runs.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut input) {
            let body = read_body(&mut input, &head, false);
            let done = if head.path().starts_with("/v1/") {
                let (status, bytes) = self.own_call(&head, &body.bytes);
                send(&mut out, status, &bytes)
            } else {
                self.request(&mut out, &head)
            };
            if done.is_err() {
                return;
            }
        }
    }

    fn own_call(&self, head: &Head, body: &[u8]) -> (u16, Vec<u8>) {
        let mut inner = self.inner.lock().unwrap();
        let index = head.query("chunkCount").parse::<u32>().ok();
        let path = head.path();
        if path == "/v1/report" {
            let models = inner.held.map_or("[]".into(), |(version, ..)| {
                format!("[{{\"name\":\"m\",\"version\":{version},\"adapters\":[]}}]")
            });
            let (version, from, to) = inner.held.unwrap_or((0, 0, 0));
            let busy = inner.pending.is_some() || inner.loading.is_some();
            let text = format!(
                "{{\"stage\":\"both\",\"models\":{models},\"layers\":{{\"startKey\":{from},\
                 \"targetVersion\":{to},\"version\":{version}}},\"busy\":{busy},\"sequence\":{},\
                 \"queued\":0,\"running\":{},\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0}}",
                inner.sequence, inner.running
            );
            return (200, text.into_bytes());
        }
        if path.starts_with("/v1/stage-get/") {
            return match index {
                Some(i) => inner
                    .staged
                    .get(&i)
                    .map_or((404, Vec::new()), |b| (200, b.clone())),
                None => {
                    let held: Vec<String> =
                        inner.staged.keys().map(u32::to_string).collect();
                    (
                        200,
                        format!("{{\"held\":[{}]}}", held.join(","))
                            .into_bytes(),
                    )
                }
            };
        }
        if path.starts_with("/v1/stage-put/") {
            let Some(i) = index else { return (400, Vec::new()) };
            inner.staged.insert(i, body.to_vec());
            inner.spoilt.remove(&i);
            return (200, b"{}".to_vec());
        }
        if path != "/v1/order" {
            return (404, Vec::new());
        }
        let text = String::from_utf8_lossy(body);
        let number = |name: &str| -> Option<u64> {
            let rest = text.split_once(&format!("\"{name}\":"))?.1;
            let digits: String =
                rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        };
        let busy = inner.pending.is_some() || inner.loading.is_some();
        if busy
            || number("expectedRevision").is_some_and(|r| r != inner.sequence)
        {
            return (409, b"{}".to_vec());
        }
        let version = number("version").unwrap_or(0);
        let (from, to) = (
            number("startKey").unwrap_or(0),
            number("targetVersion").unwrap_or(LAYERS),
        );
        if inner.held == Some((version, from, to)) {
            return (200, b"{}".to_vec());
        }
        inner.sequence += 1;
        let order = Order { version, from, to };
        inner.pending = Some(order);
        if to == LAYERS {
            inner.first_whole_order.get_or_insert_with(Instant::now);
        }
        self.record.line(format!(
            "{}: has order {order:?}, {} run",
            self.id, inner.running
        ));
        (202, b"{}".to_vec())
    }

    /// Runs a request as a stream: `/words/COUNT/GAP_MS`.
    fn request(
        &self,
        out: &mut TcpStream,
        head: &Head,
    ) -> std::io::Result<()> {
        let id = head.get("request-id").to_string();
        let begun = {
            let mut inner = self.inner.lock().unwrap();
            let held =
                inner.held.filter(|(_, from, to)| *from == 0 && *to == LAYERS);
            let wrong = head.get("expect-instance") != self.id
                || held.is_none_or(|(v, ..)| {
                    let expected = head.get("expect-version");
                    !expected.is_empty() && expected != v.to_string()
                });
            let full = inner.pending.is_some() || inner.running >= SLOTS;
            match held {
                _ if wrong => Err(421),
                _ if full => Err(503),
                None => Err(503),
                Some((version, ..)) => {
                    inner.running += 1;
                    let bad = inner.bad_for;
                    inner.runs.push((id.clone(), version, bad));
                    Ok(version)
                }
            }
        };
        let version = match begun {
            Ok(version) => version,
            Err(status) => {
                let text = format!(
                    "HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                return out.write_all(text.as_bytes());
            }
        };
        let done = self.stream(out, head, &id, version);
        self.inner.lock().unwrap().running -= 1;
        done
    }

    fn stream(
        &self,
        out: &mut TcpStream,
        head: &Head,
        id: &str,
        version: u64,
    ) -> std::io::Result<()> {
        let parts: Vec<&str> = head.path().split('/').collect();
        let number = |i: usize| {
            parts.get(i).and_then(|p| p.parse::<u64>().ok()).unwrap_or(0)
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {}.{id}\r\n\
             Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        out.write_all(text.as_bytes())?;
        let after = head.get("last-event-id").parse::<u64>().unwrap_or(0);
        for n in after + 1..=number(2) {
            let event = crate::replica::event(n);
            out.write_all(
                format!("{:x}\r\n{event}\r\n", event.len()).as_bytes(),
            )?;
            thread::sleep(Duration::from_millis(number(3)));
        }
        out.write_all(b"0\r\n\r\n")
    }
}
