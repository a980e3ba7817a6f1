//! The readiness endpoint for load balancers.

use std::sync::Arc;

use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use stairhinge_shell::Shutdown;
use stairhinge_shell::http::{Body, Handler, empty, full};

use crate::start::StartState;

/// Answers 200 once the entry has started to serve, until a graceful shutdown
/// begins, and 503 with the reason otherwise.
pub(crate) struct ReadinessHandler {
    pub start: StartState,
    pub shutdown: Shutdown,
}

impl ReadinessHandler {
    fn obstacle(&self) -> Option<&'static str> {
        if self.shutdown.stopping() {
            return Some("stopping");
        }
        self.start.obstacle().map(|obstacle| obstacle.waits_for)
    }
}

impl Handler for ReadinessHandler {
    fn handle(
        self: Arc<Self>,
        _request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        let mut response = Response::new(empty());
        if let Some(obstacle) = self.obstacle() {
            let text = format!("not ready: {obstacle}\n");
            *response.body_mut() = full(text);
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        Box::pin(async move { response })
    }
}
