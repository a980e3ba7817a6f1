//! The system's own answers to requests that it gives up on.

use std::time::Instant;

use hyper::Response;
use rand::RngExt as _;
use stairhinge::direct::Shortage;
use stairhinge::poison::Refusal;
use stairhinge::{Code, Error, Ran};
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::http::{Body, Failed};

use super::{Forwarder, Missed};
use crate::request_context::RequestContext;

impl Forwarder {
    /// Answers with a failure, and logs it.
    pub(super) fn refusal(
        &self,
        id: &str,
        failed: &Failed,
        started: Instant,
    ) -> Response<Body> {
        let mut response = failed.response();
        if let Some(span) = failed.back() {
            self.dialect.set_retry_after(response.headers_mut(), span);
        }
        let status = response.status().as_u16();
        let code = failed.error().code();
        let age = self.facts.routes_age().filter(|_| by_routes(code));
        let code = code.number();
        self.metrics.count_answer(status, code);
        self.facts.log().write(&Decision::Ended {
            request: id,
            status,
            code,
            reason: failed.error().message(),
            took_ms: started.elapsed().as_millis() as u64,
            first_ms: None,
            pause_ms: None,
            routes_age_ms: age.map(|age| age.as_millis() as u64),
        });
        response
    }
}

/// Whether the routes in force decide that a request is refused.
const fn by_routes(code: Code) -> bool {
    matches!(code, Code::UnknownRoute | Code::UnknownKey | Code::MissingKey)
}

/// Returns the refusal of a request that has not run, with when its caller
/// may come back.
pub(super) fn refused(error: Error, shortage: Shortage) -> Failed {
    let span = shortage.retry_after(rand::rng().random());
    Failed::new(error).with_back(span)
}

/// Returns the answer to a request that is kept from replicas, with when it
/// may be sent again; or that it may have run, if an earlier attempt may.
pub(super) fn quarantined(refusal: &Refusal, ran: bool) -> Failed {
    if ran {
        return Failed::new(Error::new(Code::LostBackend, refusal));
    }
    Failed::new(Error::new(Code::Quarantined, refusal))
        .with_back(refusal.retry_after)
}

/// Returns the failure of a request that may have run.
pub(super) fn lost(context: &RequestContext, missed: &Missed) -> Failed {
    let code = if context.left().is_zero() {
        Code::TimedOut
    } else {
        Code::LostBackend
    };
    Failed::new(Error::new(code, &missed.reason)).with_ran(Ran::MayHaveRun)
}
