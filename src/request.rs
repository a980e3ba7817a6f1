//! What may become of one request.
//!
//! The rules that keep a claim notice or a clarification letter from going
//! out twice live here, as decisions without I/O:
//!
//! - an [`AttemptTable`] table at each agent knows every attempt of this
//!   incarnation, so a revoked one is refused when it arrives late;
//! - a [`KeyTable`] table at the key's guard grants each key once in its window;
//! - a [`RequestRetry`] says what an entry does when an attempt fails.

mod admission;
mod attempt;
mod attempt_table;
mod guards;
mod key_table;
mod retry;
mod retry_budget;

pub use self::admission::{
    AdmissionControl, AdmissionDecision, AdmissionLimits, Ticket,
};
pub use self::attempt::{Attempt, Key};
pub use self::attempt_table::AttemptTable;
pub use self::guards::{GuardHistory, GuardSet};
pub use self::key_table::{ClaimDecision, KeyTable};
pub use self::retry::{
    Failure, RequestRetry, RetryDecision, revocation_outcome,
};
pub use self::retry_budget::RetryBudget;

#[cfg(test)]
mod tests;
