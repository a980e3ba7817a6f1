//! The choice of a backend server for a request.
//!
//! Load reports lag, so if all entries chose the least loaded server of the
//! last report they would overload it (the herd effect). Instead the less
//! loaded of two random candidates is chosen; see Mitzenmacher, "How Useful
//! Is Old Information?", 2000. [`Health`] excludes a failing server for a
//! while.

mod health;
mod pick;

pub use self::health::Health;
pub use self::pick::{Candidate, pick};

#[cfg(test)]
mod tests;
