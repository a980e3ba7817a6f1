//! The platform's store: items with revisions, ranges and waiting watches.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_head;

#[derive(Default)]
struct Inner {
    revision: u64,
    /// By key: revision, revision of its creation, value in base64.
    items: BTreeMap<String, (u64, u64, String)>,
    /// Revision, key, and the item as JSON.
    history: Vec<(u64, String, String)>,
    range_calls: u64,
}

/// A link to the store: whether it is cut, and its open connections.
#[derive(Clone, Default)]
pub struct Link(Arc<Mutex<(bool, Vec<TcpStream>)>>);

impl Link {
    /// Cuts it: connections end, and new ones are closed at once.
    pub fn cut(&self) {
        let mut open = self.0.lock().unwrap();
        open.0 = true;
        for stream in open.1.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Lets new connections through again.
    pub fn heal(&self) {
        self.0.lock().unwrap().0 = false;
    }
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store");
        let addr = listener.local_addr().unwrap();
        let store = Store { addr, inner: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Returns another address of the store, as a machine reaches it over a
    /// link that may be cut.
    pub fn behind_link(&self) -> (SocketAddr, Link) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("link");
        let addr = listener.local_addr().unwrap();
        let link = Link::default();
        let (store, carrying) = (self.clone(), link.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut open = carrying.0.lock().unwrap();
                if open.0 {
                    continue;
                }
                open.1.extend(stream.try_clone());
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (addr, link)
    }

    /// Writes a value.
    pub fn put(&self, key: &str, value: &str) {
        let mut inner = self.inner.0.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        let made = inner.items.get(key).map_or(revision, |i| i.1);
        let text = base64(value.as_bytes());
        let json = item(key, revision, made, &text);
        inner.items.insert(key.to_string(), (revision, made, text));
        inner.history.push((revision, key.to_string(), json));
        self.inner.1.notify_all();
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        let mut inner = self.inner.0.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        inner.items.remove(key);
        let json = format!(
            "{{\"key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"
        );
        inner.history.push((revision, key.to_string(), json));
        self.inner.1.notify_all();
    }

    /// Returns how many pages of items have been read.
    pub fn range_calls(&self) -> u64 {
        self.inner.0.lock().unwrap().range_calls
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut input) {
            let prefix = head.query("pathPrefix").to_string();
            let body = match head.path() {
                "/v1/kv-range" => {
                    Some(self.range(&prefix, head.query("after")))
                }
                "/v1/kv-watch" => {
                    let after = head.query("after").parse().unwrap_or(0);
                    let wait = head.query("waitMs").parse().unwrap_or(0);
                    Some(self.watch(&prefix, after, wait))
                }
                _ => Some("{}".into()),
            };
            let Some(body) = body else { return };
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if out.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns a page of items: 500 or 1 MB at most, but one at least.
    fn range(&self, prefix: &str, after: &str) -> String {
        let mut inner = self.inner.0.lock().unwrap();
        inner.range_calls += 1;
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, (revision, made, text)) in &inner.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            if items.len() >= 500 || bytes >= 1_000_000 {
                more = true;
                break;
            }
            bytes += text.len();
            items.push(item(key, *revision, *made, text));
        }
        let at = inner.revision;
        format!(
            "{{\"items\":[{}],\"more\":{more},\"at\":{at}}}",
            items.join(",")
        )
    }

    /// Returns the events after a revision as soon as there is one.
    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let until =
            Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut inner = self.inner.0.lock().unwrap();
        loop {
            let found = inner.history.iter();
            let found = found
                .filter(|(r, key, _)| *r > after && key.starts_with(prefix));
            let events: Vec<String> =
                found.map(|(_, _, json)| json.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = inner.revision;
                return format!(
                    "{{\"events\":[{}],\"at\":{at}}}",
                    events.join(",")
                );
            }
            inner = self.inner.1.wait_timeout(inner, left).unwrap().0;
        }
    }
}

fn item(key: &str, revision: u64, made: u64, text: &str) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{text}\",\"revision\":{revision},\"made\":{made},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |i: usize| u32::from(part.get(i).copied().unwrap_or(0));
        let all = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let sign = SIGNS[(all >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= part.len() { sign } else { '=' });
        }
    }
    text
}
