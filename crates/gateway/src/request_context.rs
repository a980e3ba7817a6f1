//! One request over all its attempts.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::HOST;
use hyper::http::request::Parts;
use stairhinge::direct::{AllowedRegions, Route};
use stairhinge::poison::{Fingerprint, Identity};

use crate::dialect::CallerRequest;

/// What stays the same over all attempts of one request.
pub(crate) struct RequestContext {
    pub caller: CallerRequest,
    pub route: Arc<Route>,
    pub service: Arc<str>,
    pub workspace: Option<Arc<str>>,
    pub priority: u8,
    /// Where it may be served.
    pub regions: AllowedRegions,
    pub revision: u64,
    pub started: Instant,
    pub deadline: Instant,
    pub head: Parts,
    pub body: Bytes,
    /// Worked out when it is first asked for: few requests need it.
    pub fingerprint: OnceLock<Fingerprint>,
}

impl RequestContext {
    /// Returns what is left of the request's time.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the name of what is asked, the same for all tries.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.head.headers.get(HOST);
            let host = host.and_then(|value| value.to_str().ok());
            let path = self.head.uri.path_and_query();
            Fingerprint::of(&Identity {
                host: host.or(self.head.uri.host()).unwrap_or(""),
                path: path.map_or("", |path| path.as_str()),
                caller: self.caller_name(),
                body: &self.body,
            })
        })
    }

    /// Returns whose it is: the workspace, or where the route asks for none,
    /// the key that was sent all the same.
    fn caller_name(&self) -> &str {
        let key = self.caller.key.as_deref().unwrap_or("");
        self.workspace.as_deref().unwrap_or(key)
    }

    /// Returns the time since the request's head arrived, in milliseconds.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
