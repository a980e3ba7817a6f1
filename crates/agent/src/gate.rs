//! The admission of requests to the backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use stairhinge::request::{Attempt, Key};
use stairhinge::serving::LoadedTarget;
use stairhinge::{Code, Error, Ran};
use stairhinge_shell::http::{
    Body, Failed, Handler, Limits, answer, full, headers, read,
};

use crate::agent::Agent;
use crate::proxy::{OutgoingRequest, StartedAttempt};

/// The destination of an admitted request.
enum Purpose {
    /// The model engine, with the target that it has loaded.
    Model(Arc<LoadedTarget>),
    /// The plain service, with the path and query of the request.
    Service(String),
}

impl Handler for Agent {
    fn handle(
        self: Arc<Agent>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        async move {
            let (parts, body) = request.into_parts();
            let path = parts.uri.path().to_string();
            let answered = match path.as_str() {
                "/healthz" => Ok(answer(StatusCode::OK, "{}".into())),
                "/readyz" => Ok(self.ready()),
                "/metrics" => {
                    Ok(Response::new(full(self.node.metrics_text())))
                }
                "/weights/any" => {
                    let limits = Limits::of(&self.settings.values);
                    match read(body, limits.body, limits.body_time).await {
                        Ok(json) => Arc::clone(&self).any_chunk(&json).await,
                        Err(err) => Err(err.into()),
                    }
                }
                _ => match path.strip_prefix("/chunks/") {
                    Some(digest) => self.engine_chunk(digest),
                    None => self.forward(parts, body).await,
                },
            };
            answered.unwrap_or_else(|failed| self.error_response(&failed))
        }
        .boxed()
    }
}

impl Agent {
    fn ready(&self) -> Response<Body> {
        let ready = !self.node.leaving();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        answer(status, format!("{{\"state\":\"{}\"}}", self.node.state()))
    }

    /// Returns the response to a failed request, with this agent's load and
    /// revision for the entry.
    fn error_response(&self, failed: &Failed) -> Response<Body> {
        let mut response = failed.response();
        self.add_state_headers(&mut response);
        response
    }

    /// Adds the agent's load, revision and incarnation to a response.
    pub(crate) fn add_state_headers(&self, response: &mut Response<Body>) {
        let map = response.headers_mut();
        map.insert(headers::LOAD, HeaderValue::from(self.in_progress.count()));
        let revision = self.node.view().revision();
        map.insert(headers::REVISION, HeaderValue::from(revision));
        let incarnation = self.node.incarnation();
        map.insert(headers::INCARNATION, HeaderValue::from(incarnation));
    }

    /// Admits a request and forwards it to the backend server.
    async fn forward(
        self: &Arc<Agent>,
        parts: Parts,
        body: Incoming,
    ) -> Result<Response<Body>, Failed> {
        let start = Instant::now();
        let attempt =
            Attempt::received(&header_text(&parts, headers::ATTEMPT)?);
        let incarnation = header_number(&parts, headers::INCARNATION)?;
        let revision = header_number(&parts, headers::REVISION)?;
        let limits = Limits::of(&self.settings.values);
        let body = read(body, limits.body, limits.body_time).await?;
        // Counted before the gate is read: see `RequestCounter::enter`.
        let counted = self.in_progress.enter();
        if self.node.leaving() {
            let why = "this agent is leaving and admits no new requests";
            return Err(Error::new(Code::Leaving, why).into());
        }
        let current = self.node.view().revision();
        if revision != current {
            if revision > current
                && let Some(addr) = self.node.control_of(attempt.entry())
            {
                // Fetches the newer configuration from the entry.
                self.node.meet(addr);
            }
            let why = format!(
                "request has revision {revision}; this agent has {current}"
            );
            return Err(Error::new(Code::Behind, why).into());
        }
        if self.engine_revision.load(Ordering::SeqCst) < current {
            let why =
                format!("the engine has not confirmed revision {current} yet");
            return Err(Error::new(Code::Behind, why).into());
        }
        let purpose = self.purpose(&parts)?;
        let suspect = self.admit_suspect(&parts)?;
        let now = self.node.now();
        self.attempts().admit(&attempt, incarnation, now)?;
        let mut started =
            StartedAttempt::new(Arc::clone(self), attempt, counted, start);
        started.set_suspect(suspect);
        let outgoing = self.outgoing_request(&parts, &purpose, &started, body);
        let outgoing = outgoing.map_err(|f| started.failed(f))?;
        if let Some(key) = guarded_key(&parts) {
            started.claim_key(&key).await?;
        }
        outgoing.run(started).await
    }

    fn purpose(&self, parts: &Parts) -> Result<Purpose, Failed> {
        let path = parts.uri.path();
        if let Some(rest) = path.strip_prefix("/services/") {
            let name = rest.split('/').next().unwrap_or_default();
            let view = self.node.view();
            let me = &self.node.identity().name;
            let backend = view.fleet.as_ref().and_then(|f| f.backend(me));
            let service = backend.and_then(|b| b.service());
            if service.is_none_or(|s| **s != *name) {
                let why = format!("this agent does not serve service {name}");
                return Err(Error::new(Code::NotServing, why).into());
            }
            let inner = &rest[name.len()..];
            let query = parts.uri.query().map(|q| format!("?{q}"));
            let query = query.unwrap_or_default();
            let inner = if inner.is_empty() { "/" } else { inner };
            return Ok(Purpose::Service(format!("{inner}{query}")));
        }
        if path != "/v1/chat/completions" {
            let why = format!("no resource at {path}");
            return Err(Error::new(Code::UnknownPath, why).into());
        }
        let model = header_text(parts, headers::MODEL)?;
        let bound = self.loaded.load_full();
        let bound = bound.filter(|b| **b.target().model() == *model);
        let bound = bound.ok_or_else(|| {
            let state = self.node.state();
            let why =
                format!("model {model} is not served; this agent is {state}");
            Error::new(Code::NotServing, why)
        })?;
        if self.is_behind(&bound) {
            let why = "this agent was paused and has not caught up";
            return Err(Error::new(Code::NotServing, why).into());
        }
        Ok(Purpose::Model(bound))
    }

    fn outgoing_request(
        &self,
        parts: &Parts,
        purpose: &Purpose,
        started: &StartedAttempt,
        body: Bytes,
    ) -> Result<OutgoingRequest, Failed> {
        let (method, path, bound) = match purpose {
            Purpose::Model(bound) => {
                let path = "/v1/chat/completions".to_string();
                (Method::POST, path, Some(Arc::clone(bound)))
            }
            Purpose::Service(path) => {
                (parts.method.clone(), path.clone(), None)
            }
        };
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(headers::ENGINE_REQUEST, started.attempt().as_str());
        for name in ["content-type", headers::ENGINE_PRIORITY, headers::KEY] {
            if let Some(value) = parts.headers.get(name) {
                request = request.header(name, value);
            }
        }
        if let Some(bound) = &bound {
            let version = bound.target().version();
            request = request
                .header(headers::ENGINE_VERSION, &**version)
                .header(headers::FENCE, bound.fence().to_string());
        }
        let request = request.body(full(body)).map_err(|e| {
            Failed::new(Error::new(Code::BadHeader, e))
                .with_ran(Ran::DidNotRun)
        })?;
        Ok(OutgoingRequest { request, bound })
    }
}

/// Returns the key that must be granted before the request may run.
fn guarded_key(parts: &Parts) -> Option<Key> {
    let value = |name| {
        let value = parts.headers.get(name)?;
        value.to_str().ok()
    };
    if value(headers::REPEATABLE) != Some("false") {
        return None;
    }
    value(headers::KEY).map(Key::received)
}

fn header_text(parts: &Parts, name: &str) -> Result<String, Failed> {
    let value = parts.headers.get(name).and_then(|v| v.to_str().ok());
    let missing = || Error::new(Code::BadHeader, format!("{name} is missing"));
    Ok(value.ok_or_else(missing)?.to_string())
}

fn header_number(parts: &Parts, name: &str) -> Result<u64, Failed> {
    let value = header_text(parts, name)?;
    let parsed = value.parse();
    parsed.map_err(|_| {
        Error::range(name, format_args!("\"{value}\""), "a number").into()
    })
}
