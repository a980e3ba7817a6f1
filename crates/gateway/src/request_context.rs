//! The context of a request, shared by all its attempts.

use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::HOST;
use hyper::http::request::Parts;
use stairhinge::direct::{AllowedRegions, Route};
use stairhinge::health::Source;
use stairhinge::poison::{Fingerprint, Identity, RequestFeatures, RunClaim};
use stairhinge::request::is_overtime;

use crate::buffers::Charge;
use crate::dialect::CallerRequest;

/// The parts of a request that are the same for all its attempts.
pub(crate) struct RequestContext {
    pub caller: CallerRequest,
    pub route: Arc<Route>,
    pub service: Arc<str>,
    pub workspace: Option<Arc<str>>,
    pub priority: u8,
    /// The regions where it may be served.
    pub regions: AllowedRegions,
    /// The revision of the routes that matched it.
    pub revision: u64,
    pub started: Instant,
    pub deadline: Instant,
    pub head: Parts,
    pub body: Bytes,
    /// What the body is counted as while the request needs it.
    pub _charges: Vec<Charge>,
    /// Computed on first use, because few requests need it.
    pub features: OnceLock<RequestFeatures>,
    /// The claim to the only run of the request, while it is in progress.
    pub claim: Mutex<Option<RunClaim>>,
}

impl RequestContext {
    /// Returns the time until the request's deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns whether an answer that may never end has gone on for too long
    /// after the deadline, given how long its caller has kept it waiting.
    pub(crate) fn is_overtime(&self, waited: Duration) -> bool {
        let late = Instant::now().saturating_duration_since(self.deadline);
        is_overtime(late, waited)
    }

    /// Returns whether the run in progress must be the only one.
    pub(crate) fn is_claimed(&self) -> bool {
        let claim = self.claim.lock();
        claim.unwrap_or_else(PoisonError::into_inner).is_some()
    }

    /// Returns the fingerprint of the request's content, which is the same
    /// when the caller sends it again.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.features().request
    }

    /// Returns the features by which the request is recognised.
    pub(crate) fn features(&self) -> &RequestFeatures {
        self.features.get_or_init(|| {
            let host = self.head.headers.get(HOST);
            let host = host.and_then(|value| value.to_str().ok());
            let path = self.head.uri.path_and_query();
            let request = Fingerprint::of(&Identity {
                host: host.or(self.head.uri.host()).unwrap_or(""),
                path: path.map_or("", |path| path.as_str()),
                caller: self.caller_name(),
                body: &self.body,
            });
            let request = request.with_prompt(&self.caller.prompt);
            let parts = self.caller.parts.iter().map(|part| &**part);
            RequestFeatures::new(request, parts)
        })
    }

    /// Returns the names of those parts of the prompt that are among these
    /// features.
    pub(crate) fn part_names(
        &self,
        features: &[Fingerprint],
    ) -> Vec<Arc<str>> {
        let parts = self.caller.parts.iter();
        let named =
            parts.filter(|p| features.contains(&Fingerprint::of_part(p)));
        named.cloned().collect()
    }

    /// Returns the source by which outcomes are compared.
    pub(crate) fn source(&self) -> Source {
        let route = &self.route;
        Source::new(&route.host, &route.prefix, self.workspace.as_deref())
    }

    /// Returns the workspace's name or, if the route requires no key, the key
    /// that the caller sent anyway.
    fn caller_name(&self) -> &str {
        let key = self.caller.key.as_deref().unwrap_or("");
        self.workspace.as_deref().unwrap_or(key)
    }

    /// Returns the time since the request's head arrived, in milliseconds.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
