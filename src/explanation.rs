//! Derives why a request ended as it did from the logs of processes.
//!
//! In direct serving, each process logs every decision as one JSON line. An
//! [`Explainer`] reads these lines in the order in which each process wrote
//! them. For one request it returns what happened, what the entry knew of the
//! replicas involved, and the [`Cause`].
//!
//! A request is served by one entry, whose lines are ordered by `ms`, a
//! monotonic clock that counts from the start of the process. Lines of agents
//! are related to the request by wall-clock time. Since clocks of instances
//! differ, these lines are context only and never determine the cause.

mod cause;
mod explainer;
mod history;
mod log_line;

pub use self::cause::Cause;
pub use self::explainer::{Explainer, Explanation};
pub use self::history::{Outcome, RequestHistory};
pub use self::log_line::{LogLine, LoggedDecision};

#[cfg(test)]
mod tests;
