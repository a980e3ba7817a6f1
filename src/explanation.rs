//! Why a request ended as it did, from the logs of processes alone.
//!
//! Processes of direct serving log each decision as one JSON line. An
//! [`Explainer`] reads such lines, in the order in which each process wrote
//! them, and answers for one request: what happened, what the entry believed
//! of the replicas involved, and the [`Cause`].
//!
//! One request is served by one entry, whose lines are ordered by the `ms`
//! that count from its start and never jump. Lines of agents are related to
//! it by the time of day, which differs between instances; they are context,
//! and decide no cause.

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
