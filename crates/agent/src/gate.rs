//! The gate: which requests are admitted to the backend server.

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
use crate::proxy::{Pass, Started};

/// What a request that goes through the gate is for.
enum Purpose {
    /// The model engine, under what it has loaded.
    Model(Arc<LoadedTarget>),
    /// The plain service, under this path.
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
                        Ok(json) => Arc::clone(&self).any(&json).await,
                        Err(err) => Err(err.into()),
                    }
                }
                _ => match path.strip_prefix("/chunks/") {
                    Some(digest) => self.chunk(digest),
                    None => self.pass(parts, body).await,
                },
            };
            answered.unwrap_or_else(|failed| self.refused(&failed))
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

    /// A failure's answer, with what the entry should know of this agent.
    fn refused(&self, failed: &Failed) -> Response<Body> {
        let mut response = failed.response();
        self.stamp(&mut response);
        response
    }

    /// Marks an answer with load and revision.
    pub(crate) fn stamp(&self, response: &mut Response<Body>) {
        let map = response.headers_mut();
        map.insert(headers::LOAD, HeaderValue::from(self.tally.count()));
        let revision = self.node.view().revision();
        map.insert(headers::REVISION, HeaderValue::from(revision));
        let incarnation = self.node.incarnation();
        map.insert(headers::INCARNATION, HeaderValue::from(incarnation));
    }

    /// Takes a request through the gate.
    async fn pass(
        self: &Arc<Agent>,
        parts: Parts,
        body: Incoming,
    ) -> Result<Response<Body>, Failed> {
        let start = Instant::now();
        let attempt = Attempt::received(&text(&parts, headers::ATTEMPT)?);
        let incarnation = number(&parts, headers::INCARNATION)?;
        let revision = number(&parts, headers::REVISION)?;
        let limits = Limits::of(&self.settings.values);
        let body = read(body, limits.body, limits.body_time).await?;
        // Counted before the gate is read: see `Tally::enter`.
        let entered = self.tally.enter();
        if self.node.leaving() {
            let why = "this agent takes no new work";
            return Err(Error::new(Code::Leaving, why).into());
        }
        let mine = self.node.view().revision();
        if revision != mine {
            if revision > mine
                && let Some(addr) = self.node.control_of(attempt.entry())
            {
                // The entry has a newer configuration to hand over.
                self.node.meet(addr);
            }
            let why = format!("revision {revision}, in force here: {mine}");
            return Err(Error::new(Code::Behind, why).into());
        }
        if self.told.load(Ordering::SeqCst) < mine {
            let why = format!("the engine has not been told of {mine} yet");
            return Err(Error::new(Code::Behind, why).into());
        }
        let purpose = self.purpose(&parts)?;
        let suspect = self.admit_suspect(&parts)?;
        let now = self.node.now();
        self.attempts().admit(&attempt, incarnation, now)?;
        let mut started =
            Started::new(Arc::clone(self), attempt, entered, start);
        started.suspect(suspect);
        let pass = self.outgoing(&parts, &purpose, &started, body);
        let pass = pass.map_err(|f| started.failed(f))?;
        if let Some(key) = guarded(&parts) {
            started.hold(&key).await?;
        }
        pass.run(started).await
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
                let why = format!("service {name} is not behind this agent");
                return Err(Error::new(Code::NotServing, why).into());
            }
            let inner = &rest[name.len()..];
            let query = parts.uri.query().map(|q| format!("?{q}"));
            let query = query.unwrap_or_default();
            let inner = if inner.is_empty() { "/" } else { inner };
            return Ok(Purpose::Service(format!("{inner}{query}")));
        }
        if path != "/v1/chat/completions" {
            let why = format!("nothing at {path}");
            return Err(Error::new(Code::UnknownPath, why).into());
        }
        let model = text(parts, headers::MODEL)?;
        let bound = self.gate.load_full();
        let bound = bound.filter(|b| **b.target().model() == *model);
        let bound = bound.ok_or_else(|| {
            let state = self.node.state();
            let why = format!("model {model}: this agent is {state}");
            Error::new(Code::NotServing, why)
        })?;
        if self.is_behind(&bound) {
            let why = "this agent stood still and has not caught up";
            return Err(Error::new(Code::NotServing, why).into());
        }
        Ok(Purpose::Model(bound))
    }

    fn outgoing(
        &self,
        parts: &Parts,
        purpose: &Purpose,
        started: &Started,
        body: Bytes,
    ) -> Result<Pass, Failed> {
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
        Ok(Pass { request, bound })
    }
}

/// The key that must be granted before the request may run.
fn guarded(parts: &Parts) -> Option<Key> {
    let value = |name| {
        let value = parts.headers.get(name)?;
        value.to_str().ok()
    };
    if value(headers::REPEATABLE) != Some("false") {
        return None;
    }
    value(headers::KEY).map(Key::received)
}

fn text(parts: &Parts, name: &str) -> Result<String, Failed> {
    let value = parts.headers.get(name).and_then(|v| v.to_str().ok());
    let missing = || Error::new(Code::BadHeader, format!("{name} is missing"));
    Ok(value.ok_or_else(missing)?.to_string())
}

fn number(parts: &Parts, name: &str) -> Result<u64, Failed> {
    let value = text(parts, name)?;
    let parsed = value.parse();
    parsed.map_err(|_| {
        Error::range(name, format_args!("\"{value}\""), "a number").into()
    })
}
