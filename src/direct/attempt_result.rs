//! The next step after a failed attempt of a request.

use super::Repeat;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// Nothing was sent, since no connection could be established.
    Unsent,
    /// The replica responded that it did not run the request.
    Declined,
    /// The request was sent, and no usable response was received.
    NoResponse,
    /// The response ended early, after its head was sent to the caller.
    Interrupted,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send the request to another replica.
    Retry,
    /// Respond to the caller that the request did not run.
    Refuse,
    /// Respond to the caller that the request may have run.
    Fail,
}

impl NextStep {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            NextStep::Retry => "retry",
            NextStep::Refuse => "refuse",
            NextStep::Fail => "fail",
        }
    }
}

/// Returns the next step after a failed attempt.
///
/// `may_have_run` tells whether an earlier attempt of the same request may
/// have run, `may_retry` whether the limits on attempts, time and retries
/// allow another one. A request that must not run twice is retried only if
/// the replica responded that it did not run it, or if nothing was sent.
pub const fn next_step(
    result: AttemptResult,
    repeat: Repeat,
    may_have_run: bool,
    may_retry: bool,
) -> NextStep {
    let did_not_run =
        matches!(result, AttemptResult::Unsent | AttemptResult::Declined);
    let repeatable = matches!(repeat, Repeat::Freely | Repeat::Resume);
    if may_retry && (did_not_run || repeatable) {
        return NextStep::Retry;
    }
    if did_not_run && !may_have_run {
        return NextStep::Refuse;
    }
    NextStep::Fail
}
