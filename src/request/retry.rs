//! What an entry does when an attempt fails.

use std::time::Duration;

use crate::{Code, Ran};

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failure {
    /// Nothing was sent: there was no connection.
    Unsent,
    /// The agent answered that it did not run.
    Refused(Code),
    /// The agent answered that it failed, and that it may have run.
    Failed(Code),
    /// Another attempt holds the request's key: this one did not run, but the
    /// request runs or ran.
    Duplicate(Code),
    /// It was sent, and the agent was lost before it answered.
    Unanswered,
    /// The answer broke off after part of it had gone to the caller.
    AnswerBroke,
}

/// What comes next for a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryDecision {
    /// Try another agent.
    Retry,
    /// Ask the agent to revoke the attempt, then decide by its word.
    Revoke,
    /// Answer the caller now.
    Respond(Code, Ran),
}

/// The course of one request over its attempts.
///
/// # Examples
///
/// ```
/// use stairhinge::request::{RequestRetry, Failure, RetryDecision};
/// use stairhinge::{Code, Ran};
///
/// let mut once = RequestRetry::new(false);
/// assert_eq!(once.failed(Failure::Unanswered, true), RetryDecision::Revoke);
/// assert_eq!(once.revoked(Ran::DidNotRun, true), RetryDecision::Retry);
///
/// // What one attempt may have done is not undone by the next one's refusal.
/// let mut many = RequestRetry::new(true);
/// assert_eq!(many.failed(Failure::Unanswered, true), RetryDecision::Retry);
/// let last = many.failed(Failure::Refused(Code::NotServing), false);
/// assert_eq!(last, RetryDecision::Respond(Code::LostBackend, Ran::MayHaveRun));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RequestRetry {
    repeatable: bool,
    before: Ran,
}

impl RequestRetry {
    /// Returns the course of a request that has not been tried.
    pub const fn new(repeatable: bool) -> RequestRetry {
        RequestRetry { repeatable, before: Ran::DidNotRun }
    }

    /// Returns what is known of all attempts so far.
    pub const fn ran(&self) -> Ran {
        self.before
    }

    /// Says what comes next after an attempt failed. `more` says whether
    /// deadline, tries and retry budget allow another.
    ///
    /// A request moves only if it is repeatable and nothing of an answer has
    /// gone out, or if the agent said that it did not run.
    pub fn failed(&mut self, failure: Failure, more: bool) -> RetryDecision {
        match failure {
            Failure::Unsent => self.unharmed(Code::NoBackend, more),
            Failure::Refused(code) => self.unharmed(code, more),
            Failure::Failed(code) => self.harmed(code, more),
            Failure::Duplicate(code) => {
                let ran = code.ran().unwrap_or(Ran::MayHaveRun);
                RetryDecision::Respond(code, ran.max(self.before))
            }
            Failure::Unanswered if self.repeatable => {
                self.harmed(Code::LostBackend, more)
            }
            Failure::Unanswered => RetryDecision::Revoke,
            Failure::AnswerBroke => self.harmed(Code::AnswerBroke, false),
        }
    }

    /// Says what comes next once it is settled whether a revoked attempt ran.
    pub fn revoked(&mut self, ran: Ran, more: bool) -> RetryDecision {
        match ran {
            Ran::DidNotRun => self.unharmed(Code::NoBackend, more),
            Ran::MayHaveRun | Ran::Ran => self.harmed(Code::LostBackend, more),
        }
    }

    fn unharmed(&mut self, code: Code, more: bool) -> RetryDecision {
        if more {
            return RetryDecision::Retry;
        }
        match self.before {
            Ran::DidNotRun => RetryDecision::Respond(code, Ran::DidNotRun),
            before => RetryDecision::Respond(Code::LostBackend, before),
        }
    }

    fn harmed(&mut self, code: Code, more: bool) -> RetryDecision {
        self.before = Ran::MayHaveRun;
        if self.repeatable && more {
            return RetryDecision::Retry;
        }
        RetryDecision::Respond(code, Ran::MayHaveRun)
    }
}

/// Says whether a revoked attempt ran, given the agent's word (none if it was
/// silent), the time from sending the attempt to hearing that word, and how
/// long agents remember attempts.
///
/// An entry may have been frozen in between. Beyond half the time that agents
/// remember, their "did not run" may be a memory lost, so it counts no more.
pub fn revocation_outcome(
    word: Option<Ran>,
    since: Duration,
    keep: Duration,
) -> Ran {
    match word {
        Some(Ran::DidNotRun) if since * 2 < keep => Ran::DidNotRun,
        Some(Ran::Ran) => Ran::Ran,
        Some(Ran::DidNotRun | Ran::MayHaveRun) | None => Ran::MayHaveRun,
    }
}
