//! Error responses of the entry itself.

use std::time::Instant;

use hyper::Response;
use rand::RngExt as _;
use stairhinge::direct::Shortage;
use stairhinge::overload::Full;
use stairhinge::poison::Refusal;
use stairhinge::{Code, Error, Ran};
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::http::{Body, Failed};

use super::{AttemptError, Forwarder};
use crate::request_context::RequestContext;

impl Forwarder {
    /// Returns the response for a failure, and logs it.
    pub(super) fn refusal(
        &self,
        id: &str,
        failed: &Failed,
        started: Instant,
    ) -> Response<Body> {
        let mut response = failed.response();
        if let Some(span) = failed.retry_after() {
            self.dialect.set_retry_after(response.headers_mut(), span);
        }
        let status = response.status().as_u16();
        let code = failed.error().code();
        let age = self.facts.routes_age().filter(|_| depends_on_routes(code));
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

/// Returns whether the refusal depends on the current routes, so that the age
/// of the routes is logged with it.
const fn depends_on_routes(code: Code) -> bool {
    matches!(code, Code::UnknownRoute | Code::UnknownKey | Code::MissingKey)
}

/// Returns the refusal of a request that has not run, with the time after
/// which the caller may retry.
pub(super) fn refused(error: Error, shortage: Shortage) -> Failed {
    let span = shortage.retry_after(rand::rng().random());
    Failed::new(error).with_retry_after(span)
}

/// Returns the refusal of a request for lack of capacity under admission
/// control. If an earlier attempt may have run, the refusal says so instead.
pub(super) fn shed(full: &Full, ran: bool) -> Failed {
    if ran {
        return Failed::new(Error::new(Code::LostBackend, full));
    }
    Failed::new(Error::new(Code::NoBackend, full))
        .with_retry_after(full.retry_after())
}

/// Returns the refusal of a quarantined request, with the time after which the
/// caller may retry. If an earlier attempt may have run, the refusal says so
/// instead.
pub(super) fn quarantined(refusal: &Refusal, ran: bool) -> Failed {
    if ran {
        return Failed::new(Error::new(Code::LostBackend, refusal));
    }
    Failed::new(Error::new(Code::Quarantined, refusal))
        .with_retry_after(refusal.retry_after)
}

/// Returns the failure of a request that may have run.
pub(super) fn lost(context: &RequestContext, error: &AttemptError) -> Failed {
    let code = if context.remaining().is_zero() {
        Code::TimedOut
    } else {
        Code::LostBackend
    };
    Failed::new(Error::new(code, &error.reason)).with_ran(Ran::MayHaveRun)
}
