//! Decisions about one request: admission, retries and deduplication.
//!
//! A request that must not repeat, such as one that files a claim notice or
//! sends a clarification letter, must not run twice. The rules for this are
//! implemented here without I/O:
//!
//! - an [`AttemptTable`] at each agent records every attempt of the agent's
//!   current incarnation, so that a revoked attempt is refused if it arrives
//!   later;
//! - a [`KeyTable`] at the guard of an idempotency key grants the key once
//!   within its window;
//! - a [`RequestRetry`] decides what an entry does when an attempt fails.

mod admission;
mod attempt;
mod attempt_table;
mod guards;
mod key_table;
mod overtime;
mod retry;
mod retry_budget;

pub use self::admission::{
    AdmissionControl, AdmissionDecision, AdmissionLimits, Ticket,
};
pub use self::attempt::{Attempt, Key};
pub use self::attempt_table::AttemptTable;
pub use self::guards::{GuardHistory, GuardSet};
pub use self::key_table::{ClaimDecision, KeyTable};
pub use self::overtime::is_overtime;
pub use self::retry::{
    Failure, RequestRetry, RetryDecision, revocation_outcome,
};
pub use self::retry_budget::RetryBudget;

#[cfg(test)]
mod tests;
