//! The decision of an entry on a failed attempt.

use std::time::Duration;

use crate::{Code, Ran};

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failure {
    /// No connection could be made, so nothing was sent.
    Unsent,
    /// The agent answered that the attempt did not run.
    Refused(Code),
    /// The agent answered that the attempt failed and may have run.
    Failed(Code),
    /// The request's key is granted to another attempt: this one did not run,
    /// but the request is running or has run.
    Duplicate(Code),
    /// The attempt was sent, and the connection to the agent was lost before
    /// an answer came.
    NoResponse,
    /// The answer broke off after part of it had been sent to the caller.
    Interrupted,
}

/// What an entry does next with a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryDecision {
    /// Tries another agent.
    Retry,
    /// Asks the agent to revoke the attempt, then calls
    /// [`RequestRetry::revoked`] with the outcome.
    Revoke,
    /// Answers the caller with an error, and with whether the request ran.
    Respond(Code, Ran),
}

/// The retry state of one request over all its attempts.
///
/// # Examples
///
/// ```
/// use stairhinge::request::{RequestRetry, Failure, RetryDecision};
/// use stairhinge::{Code, Ran};
///
/// let mut once = RequestRetry::new(false);
/// assert_eq!(once.failed(Failure::NoResponse, true), RetryDecision::Revoke);
/// assert_eq!(once.revoked(Ran::DidNotRun, true), RetryDecision::Retry);
///
/// // An attempt that may have run counts even if the next one is refused.
/// let mut many = RequestRetry::new(true);
/// assert_eq!(many.failed(Failure::NoResponse, true), RetryDecision::Retry);
/// let last = many.failed(Failure::Refused(Code::NotServing), false);
/// assert_eq!(
///     last,
///     RetryDecision::Respond(Code::LostBackend, Ran::MayHaveRun)
/// );
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RequestRetry {
    repeatable: bool,
    ran_before: Ran,
}

impl RequestRetry {
    /// Returns the state of a request without attempts. A repeatable request
    /// may run more than once.
    pub const fn new(repeatable: bool) -> RequestRetry {
        RequestRetry { repeatable, ran_before: Ran::DidNotRun }
    }

    /// Returns whether any attempt so far ran, as far as is known.
    pub const fn ran(&self) -> Ran {
        self.ran_before
    }

    /// Returns what to do after an attempt failed. `may_retry` says whether
    /// the deadline, the limit on attempts and the retry budget allow another
    /// attempt.
    ///
    /// A request is retried only if the attempt did not run, or if the request
    /// is repeatable and no part of an answer has been sent to the caller.
    pub fn failed(
        &mut self,
        failure: Failure,
        may_retry: bool,
    ) -> RetryDecision {
        match failure {
            Failure::Unsent => self.after_not_run(Code::NoBackend, may_retry),
            Failure::Refused(code) => self.after_not_run(code, may_retry),
            Failure::Failed(code) => self.after_possible_run(code, may_retry),
            Failure::Duplicate(code) => {
                let ran = code.ran().unwrap_or(Ran::MayHaveRun);
                RetryDecision::Respond(code, ran.max(self.ran_before))
            }
            Failure::NoResponse if self.repeatable => {
                self.after_possible_run(Code::LostBackend, may_retry)
            }
            Failure::NoResponse => RetryDecision::Revoke,
            Failure::Interrupted => {
                self.after_possible_run(Code::AnswerBroke, false)
            }
        }
    }

    /// Returns what to do once it is known whether a revoked attempt ran.
    pub fn revoked(&mut self, ran: Ran, may_retry: bool) -> RetryDecision {
        match ran {
            Ran::DidNotRun => self.after_not_run(Code::NoBackend, may_retry),
            Ran::MayHaveRun | Ran::Ran => {
                self.after_possible_run(Code::LostBackend, may_retry)
            }
        }
    }

    fn after_not_run(&mut self, code: Code, may_retry: bool) -> RetryDecision {
        if may_retry {
            return RetryDecision::Retry;
        }
        match self.ran_before {
            Ran::DidNotRun => RetryDecision::Respond(code, Ran::DidNotRun),
            ran_before => {
                RetryDecision::Respond(Code::LostBackend, ran_before)
            }
        }
    }

    fn after_possible_run(
        &mut self,
        code: Code,
        may_retry: bool,
    ) -> RetryDecision {
        self.ran_before = Ran::MayHaveRun;
        if self.repeatable && may_retry {
            return RetryDecision::Retry;
        }
        RetryDecision::Respond(code, Ran::MayHaveRun)
    }
}

/// Returns whether a revoked attempt ran.
///
/// `answer` is the agent's answer to the revocation (`None` if there was
/// none), `elapsed` the time from sending the attempt to receiving that
/// answer, and `retention` how long agents keep attempts.
///
/// The entry process may have been paused in between. If more than half of the
/// retention has elapsed, "did not run" may only mean that the agent has
/// removed the attempt from its table, so it is not relied upon.
pub fn revocation_outcome(
    answer: Option<Ran>,
    elapsed: Duration,
    retention: Duration,
) -> Ran {
    match answer {
        Some(Ran::DidNotRun) if elapsed * 2 < retention => Ran::DidNotRun,
        Some(Ran::Ran) => Ran::Ran,
        Some(Ran::DidNotRun | Ran::MayHaveRun) | None => Ran::MayHaveRun,
    }
}
