//! Which backend server takes a request.
//!
//! Load reports lag, so the least loaded server of the last report is the one
//! that everybody floods (the herd). Of two random candidates the less loaded
//! is taken instead; see Mitzenmacher, "How Useful Is Old Information?",
//! 2000. A server that fails is left out for a while by its [`Health`].

mod health;
mod pick;

pub use self::health::Health;
pub use self::pick::{Candidate, pick};

#[cfg(test)]
mod tests;
