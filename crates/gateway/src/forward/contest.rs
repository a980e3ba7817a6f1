//! Waiting for the head of an answer, at several replicas if the first one is
//! silent.
//!
//! A silent replica may only be paused, so its attempt is not cancelled before
//! another replica has answered.

use std::future::poll_fn;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures::FutureExt as _;
use futures::future::BoxFuture;
use hyper::Response;
use stairhinge::direct::{Repeat, Replica};
use stairhinge_shell::http::Body;

use super::Forwarder;
use super::attempts::{FailedTry, Tries};
use super::further::{Further, FurtherError};
use super::send::{HEAD_TIMEOUT, Headed, OpenAttempt};
use crate::request_context::RequestContext;

/// How long after a search without result another one begins.
pub(crate) const SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// The attempts of a request that are in progress.
pub(super) struct Contest<'a> {
    forwarder: &'a Arc<Forwarder>,
    context: &'a Arc<RequestContext>,
    tries: &'a mut Tries,
    open: Vec<OpenAttempt>,
    search: Option<BoxFuture<'static, Result<OpenAttempt, FurtherError>>>,
    /// When a search for a further replica begins.
    search_at: Instant,
}

/// What happened to the attempts.
enum Step {
    Headed(OpenAttempt, Headed),
    Found(Result<OpenAttempt, FurtherError>),
    Silent,
}

impl<'a> Contest<'a> {
    pub(super) fn new(
        forwarder: &'a Arc<Forwarder>,
        context: &'a Arc<RequestContext>,
        tries: &'a mut Tries,
        first: OpenAttempt,
    ) -> Contest<'a> {
        let search_at = first.sent + HEAD_TIMEOUT;
        let open = vec![first];
        Contest { forwarder, context, tries, open, search: None, search_at }
    }

    /// Returns the first answer, or the failure of the last attempt.
    pub(super) async fn run(mut self) -> Result<Response<Body>, FailedTry> {
        loop {
            match self.step().await {
                Step::Silent => self.begin_search(),
                Step::Found(found) => self.add(found).await,
                Step::Headed(open, headed) => {
                    let failed = match self.pass_on(open, headed).await {
                        Ok(response) => return Ok(response),
                        Err(failed) => failed,
                    };
                    if self.open.is_empty() {
                        return Err(failed);
                    }
                    self.note(failed).await;
                    self.search_at = Instant::now();
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let may_search = self.search.is_none() && self.may_search();
        let at = self.search_at;
        let polled = poll_fn(|cx| self.poll(cx));
        if !may_search {
            return polled.await;
        }
        match tokio::time::timeout_at(at.into(), polled).await {
            Ok(step) => step,
            Err(_) => Step::Silent,
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        for i in 0..self.open.len() {
            if let Poll::Ready(headed) = self.open[i].poll(cx) {
                let open = self.open.remove(i);
                return Poll::Ready(Step::Headed(open, headed));
            }
        }
        let Some(search) = &mut self.search else { return Poll::Pending };
        search.poll_unpin(cx).map(Step::Found)
    }

    fn may_search(&self) -> bool {
        self.context.route.repeat != Repeat::Never
            && self.tries.attempt < self.context.route.attempts
    }

    fn begin_search(&mut self) {
        if !self.forwarder.has_retry(&self.context.service) {
            self.search_at = Instant::now() + SEARCH_INTERVAL;
            return;
        }
        for open in &self.open {
            let replica = &open.replica().incarnation;
            let silent = open.sent.elapsed();
            self.forwarder.log_silent(self.context, replica, silent);
        }
        let further = Further {
            need: self.tries.need.clone(),
            attempt: self.tries.attempt + 1,
            after_event: self.context.caller.after_event,
            beside: true,
        };
        let forwarder = Arc::clone(self.forwarder);
        let context = Arc::clone(self.context);
        self.search = Some(forwarder.send_further(context, further).boxed());
    }

    /// Adds the attempt that a search has led to.
    async fn add(&mut self, found: Result<OpenAttempt, FurtherError>) {
        self.search = None;
        match found {
            Ok(open) => {
                self.forwarder.metrics.retries.inc();
                self.tries.begin(open.replica());
                self.search_at = open.sent + HEAD_TIMEOUT;
                self.open.push(open);
            }
            Err(error) => {
                self.search_at = Instant::now() + SEARCH_INTERVAL;
                self.forwarder.log_not_sent(self.context, &error.reason);
                let Some(failed) = error.failed else { return };
                self.tries.begin(&failed.replica);
                self.note(*failed).await;
            }
        }
    }

    /// Relays the answer to an attempt. The others are cancelled, unless the
    /// answer is an error response.
    async fn pass_on(
        &mut self,
        open: OpenAttempt,
        headed: Headed,
    ) -> Result<Response<Body>, FailedTry> {
        let (forwarder, context) = (self.forwarder, self.context);
        let (sent, suspicion) = (open.sent, open.suspicion);
        let replica = Arc::clone(open.replica());
        let passed = match forwarder.accept(context, open, headed).await {
            Ok(answered) => {
                let ran_by = self.ran_by(&replica);
                if !answered.head.status.is_server_error() {
                    self.search = None;
                    self.open.drain(..).for_each(OpenAttempt::give_up);
                }
                forwarder
                    .relay_answer(context, answered, suspicion, ran_by)
                    .await
            }
            Err(error) => Err(error),
        };
        passed.map_err(|error| FailedTry { replica, sent, suspicion, error })
    }

    /// Returns the replicas that may have run the request, `last` and those of
    /// the open attempts included.
    fn ran_by(&self, last: &Replica) -> Vec<Arc<str>> {
        let mut ran_by = self.tries.ran_by.clone();
        for open in &self.open {
            ran_by.push(Arc::clone(&open.replica().incarnation));
        }
        ran_by.push(Arc::clone(&last.incarnation));
        ran_by
    }

    /// Notes the failure of an attempt while others are in progress.
    async fn note(&mut self, failed: FailedTry) {
        let (failed, ..) =
            self.forwarder.examine_try(self.context, failed, self.tries).await;
        self.forwarder.log_failed_beside(self.context, &failed);
    }
}
