//! What follows after an attempt that did not bring the whole answer.

use super::Repeat;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// Nothing was sent: no connection came up.
    Unsent,
    /// The replica says that it did not run the request.
    Declined,
    /// It was sent and nothing, or nothing usable, came back.
    NoResponse,
    /// The answer broke off after its head had gone to the caller.
    Interrupted,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send it to another replica.
    Retry,
    /// Tell the caller that it did not run.
    Refuse,
    /// Tell the caller that it may have run.
    Fail,
}

impl NextStep {
    /// Returns its name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            NextStep::Retry => "retry",
            NextStep::Refuse => "refuse",
            NextStep::Fail => "fail",
        }
    }
}

/// Decides what follows after an attempt.
///
/// `ran` says whether an earlier attempt of the same request may have run,
/// `may_retry` whether attempts, time and budget allow another one. A
/// request that must not repeat goes out again only after a replica's own
/// word, or where nothing was sent.
pub const fn next_step(
    result: AttemptResult,
    repeat: Repeat,
    may_have_run: bool,
    may_retry: bool,
) -> NextStep {
    let known_unrun =
        matches!(result, AttemptResult::Unsent | AttemptResult::Declined);
    let repeatable = matches!(repeat, Repeat::Freely | Repeat::Resume);
    if may_retry && (known_unrun || repeatable) {
        return NextStep::Retry;
    }
    if known_unrun && !may_have_run {
        return NextStep::Refuse;
    }
    NextStep::Fail
}
