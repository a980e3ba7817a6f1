//! A further address of a stand-in, for processes that it can be silent to.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response};
use stairhinge_shell::http::{Body, Handler};

use crate::{Gate, StandIn};

/// An address of a stand-in's own: what is silent here goes on at others.
#[derive(Debug)]
pub struct Door<S> {
    inner: Arc<S>,
    gate: Arc<Gate>,
}

impl<S> Door<S> {
    /// Returns another way to a stand-in.
    pub fn new(inner: Arc<S>) -> Arc<Door<S>> {
        Arc::new(Door { inner, gate: Gate::new() })
    }

    /// Lets nothing pass for a time; connections stay open, and new ones come
    /// up.
    pub fn stand_still(&self, span: Duration) {
        self.gate.stand_still(span);
    }
}

impl<S: StandIn> Handler for Door<S> {
    fn handle(
        self: Arc<Door<S>>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        Arc::clone(&self.inner).handle(request)
    }
}

impl<S: StandIn> StandIn for Door<S> {
    fn gate(&self) -> Option<Arc<Gate>> {
        Some(Arc::clone(&self.gate))
    }
}
