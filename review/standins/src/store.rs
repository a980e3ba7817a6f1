//! The platform's metadata store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::digest::base64;
use crate::http::{Handler, Request, answer, serve};

struct Item {
    value: Vec<u8>,
    revision: u64,
    made: u64,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The revision, the key and the event of each change.
    history: Vec<(u64, String, String)>,
}

#[derive(Default)]
pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
}

/// An address of the store, which may be cut off.
pub struct Door {
    store: Arc<Store>,
    pub cut: AtomicBool,
}

const PAGE: usize = 500;

impl Store {
    /// Serves the store at an address of its own.
    pub fn open(self: &Arc<Store>, addr: SocketAddr) -> Arc<Door> {
        let door =
            Door { store: Arc::clone(self), cut: AtomicBool::default() };
        let door = Arc::new(door);
        serve(addr, Arc::clone(&door));
        door
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        let made = inner.items.get(key).map_or(revision, |item| item.made);
        let item = Item { value: value.as_bytes().to_vec(), revision, made };
        let event = show(key, &item);
        inner.history.push((revision, key.to_string(), event));
        inner.items.insert(key.to_string(), item);
        drop(inner);
        self.changed.notify_all();
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("pathPrefix").unwrap_or("");
        let after = request.query("after").unwrap_or("");
        let inner = self.inner.lock().unwrap();
        let found: Vec<String> = inner
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| show(key, item))
            .collect();
        let items = found[..found.len().min(PAGE)].join(",");
        let more = found.len() > PAGE;
        let at = inner.revision;
        let body =
            format!("{{\"items\":[{items}],\"more\":{more},\"at\":{at}}}");
        (200, body)
    }

    fn key(&self, request: &Request) -> (u16, String) {
        let key = request.query("key").unwrap_or("");
        let inner = self.inner.lock().unwrap();
        match inner.items.get(key) {
            Some(item) => (200, show(key, item)),
            None => (404, "{}".into()),
        }
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("pathPrefix").unwrap_or("");
        let after = request.number("after").unwrap_or(0);
        let wait = request.number("waitMs").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut inner = self.inner.lock().unwrap();
        loop {
            let found: Vec<&str> = inner
                .history
                .iter()
                .filter(|(at, key, _)| *at > after && key.starts_with(prefix))
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let events = found.join(",");
                let at = inner.revision;
                return (
                    200,
                    format!("{{\"events\":[{events}],\"at\":{at}}}"),
                );
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }
}

fn show(key: &str, item: &Item) -> String {
    let (value, revision, made) =
        (base64(&item.value), item.revision, item.made);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"made\":{made},\"lease\":0}}"
    )
}

impl Door {
    /// Waits as long as the address is cut off: nothing is answered then.
    fn pass(&self) {
        while self.cut.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Handler for Door {
    fn handle(
        &self,
        request: &Request,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        self.pass();
        let (status, body) = match request.path() {
            "/v1/kv-range" => self.store.range(request),
            "/v1/kv-key" => self.store.key(request),
            "/v1/kv-watch" => self.store.watch(request),
            _ => (404, "{}".into()),
        };
        self.pass();
        let json = "Content-Type: application/json\r\n";
        answer(stream, status, json, body.as_bytes())
    }
}
