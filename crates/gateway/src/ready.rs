//! The readiness endpoint for load balancers.

use std::sync::Arc;

use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use stairhinge_shell::Shutdown;
use stairhinge_shell::directory::Facts;
use stairhinge_shell::http::{Body, Handler, empty};

use crate::catch_up::CatchUpGate;

/// Answers 200 once routes are known and the entry has caught up with others,
/// until a graceful shutdown begins, and 503 otherwise.
pub(crate) struct ReadinessHandler {
    pub facts: Arc<Facts>,
    pub catch_up: Arc<CatchUpGate>,
    pub shutdown: Shutdown,
}

impl Handler for ReadinessHandler {
    fn handle(
        self: Arc<Self>,
        _request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        let has_routes = self.facts.view().routes.is_some();
        let mut response = Response::new(empty());
        let has_started = has_routes && self.catch_up.has_started();
        if !has_started || self.shutdown.stopping() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        Box::pin(async move { response })
    }
}
