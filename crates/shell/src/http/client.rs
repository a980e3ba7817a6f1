//! An HTTP client for other processes and external systems.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use stairhinge::{Code, Error};

use super::{Body, empty, read};

/// Why a call got no response.
#[derive(Debug)]
pub enum CallError {
    /// The connection could not be opened, so nothing was sent.
    Unsent(String),
    /// The request was sent, at least in part, but got no response.
    Silent(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Unsent(why) => write!(f, "not sent: {why}"),
            CallError::Silent(why) => write!(f, "no answer: {why}"),
        }
    }
}

/// An HTTP client with a connection pool, which its clones share.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Body>,
}

impl Client {
    /// The time limit for opening a connection.
    const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

    /// How long an idle connection stays in the pool.
    const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

    /// The maximum size of the head of a response, in bytes. Of a head that
    /// never ends no more is read.
    const MAX_HEAD_BYTES: usize = 64 * 1024;

    /// Returns a client that keeps idle connections for reuse.
    pub fn new() -> Client {
        Client::with_max_idle(usize::MAX)
    }

    /// Returns a client that closes each connection after its response.
    ///
    /// For servers that accept few connections from many callers, where an
    /// idle connection would block another caller.
    pub fn closing() -> Client {
        Client::with_max_idle(0)
    }

    fn with_max_idle(max_idle_per_host: usize) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Client::CONNECT_TIMEOUT));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_idle_timeout(Client::IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle_per_host)
            .http1_max_buf_size(Client::MAX_HEAD_BYTES)
            // The pool must not resend a request on its own: it cannot know
            // whether the request may be repeated.
            .retry_canceled_requests(false)
            .build(connector);
        Client { pool }
    }

    /// Sends a request to an address and waits for the response head.
    ///
    /// # Errors
    ///
    /// A [`CallError`], which tells whether anything may have been sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut request: Request<Body>,
        within: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let path = request
            .uri()
            .path_and_query()
            .map_or("/".to_string(), ToString::to_string);
        let uri: Uri = format!("http://{addr}{path}")
            .parse()
            .map_err(|e| CallError::Unsent(format!("{e}")))?;
        *request.uri_mut() = uri;
        let sent = self.pool.request(request);
        match tokio::time::timeout(within, sent).await {
            Err(_) => Err(CallError::Silent(format!(
                "nothing after {} ms",
                within.as_millis()
            ))),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(err)) if err.is_connect() => {
                Err(CallError::Unsent(error_chain(&err)))
            }
            Ok(Err(err)) => Err(CallError::Silent(error_chain(&err))),
        }
    }

    /// Sends a GET request and returns the status, headers and complete body.
    ///
    /// # Errors
    ///
    /// [`Code::PeerLost`] without a complete response in time, or if its body
    /// has more than `max_bytes` bytes.
    pub async fn get(
        &self,
        addr: SocketAddr,
        path: &str,
        max_bytes: usize,
        within: Duration,
    ) -> Result<(u16, hyper::HeaderMap, Bytes), Error> {
        let lost = |why: &dyn fmt::Display| {
            Error::new(Code::PeerLost, format_args!("{addr}{path}: {why}"))
        };
        let mut request = Request::new(empty());
        *request.uri_mut() = path.parse().map_err(|e| lost(&e))?;
        let response =
            self.send(addr, request, within).await.map_err(|e| lost(&e))?;
        let (head, body) = response.into_parts();
        let bytes =
            read(body, max_bytes, within).await.map_err(|e| lost(&e))?;
        Ok((head.status.as_u16(), head.headers, bytes))
    }
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

fn error_chain(err: &dyn std::error::Error) -> String {
    let mut out = err.to_string();
    let mut next = err.source();
    while let Some(cause) = next {
        out.push_str(": ");
        out.push_str(&cause.to_string());
        next = cause.source();
    }
    out
}
