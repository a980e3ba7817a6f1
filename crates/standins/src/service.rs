//! A plain service: answers what it was asked, and keeps a record.

use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use stairhinge_shell::http::{Body, Handler, answer, headers, read};

use crate::{Gate, Record, StandIn, limits};

/// A plain service; `GET /record` tells what ran.
#[derive(Debug)]
pub struct Service {
    delay: Duration,
    gate: Arc<Gate>,
    records: Mutex<Vec<Record>>,
    status: AtomicU16,
}

impl Service {
    /// Returns a service that takes `delay` for each call.
    pub fn new(delay: Duration) -> Arc<Service> {
        let (gate, records) = (Gate::new(), Mutex::default());
        let status = AtomicU16::new(StatusCode::OK.as_u16());
        Arc::new(Service { delay, gate, records, status })
    }

    /// Returns what ran here.
    pub fn records(&self) -> Vec<Record> {
        self.lock().clone()
    }

    /// Makes it answer all calls with a status.
    pub fn answer_with(&self, status: StatusCode) {
        self.status.store(status.as_u16(), Ordering::Relaxed);
    }

    /// Makes its process stand still for a time: its connections stay open.
    pub fn stand_still(&self, span: Duration) {
        self.gate.stand_still(span);
    }

    /// Makes a share of its open connections silent for good; returns how many
    /// those are.
    pub fn silence_open(&self, share: f64) -> usize {
        self.gate.silence_open(share)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        self.records.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        if parts.uri.path() == "/record" {
            let json = serde_json::to_string(&self.records());
            return answer(StatusCode::OK, json.unwrap_or_default());
        }
        let limits = limits();
        let Ok(body) = read(body, limits.body, limits.body_time).await else {
            return answer(StatusCode::BAD_REQUEST, "{}".into());
        };
        let text = |name| {
            let value = parts.headers.get(name);
            let text = value.and_then(|v| v.to_str().ok());
            text.unwrap_or_default().to_string()
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        let at = {
            let mut records = self.lock();
            records.push(Record {
                request: text(headers::ENGINE_REQUEST),
                key: text(headers::KEY),
                prompt: body.clone(),
                version: String::new(),
                whole: false,
            });
            records.len() - 1
        };
        tokio::time::sleep(self.delay).await;
        self.lock()[at].whole = true;
        let json = json!({
            "method": parts.method.as_str(),
            "path": parts.uri.to_string(),
            "body": body,
        });
        let status = self.status.load(Ordering::Relaxed);
        let status = StatusCode::from_u16(status).unwrap_or_default();
        answer(status, json.to_string())
    }
}

impl Handler for Service {
    fn handle(
        self: Arc<Service>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        async move { self.call(request).await }.boxed()
    }
}

impl StandIn for Service {
    fn gate(&self) -> Option<Arc<Gate>> {
        Some(Arc::clone(&self.gate))
    }
}
