//! Exhaustive checking of stairhinge's core protocol.
//!
//! Five small specifications call the production decision code and are
//! explored breadth first: [`once`] (at-most-once execution with keys,
//! revocations, restarts and pauses), [`config`] (configuration updates,
//! restarts, stale reads), [`gate`] (version gate and fencing between an old
//! and a new agent), [`send_once`] (retries in direct serving) and
//! [`quarantine`] (requests that crash replicas). For each rule, a mutant that
//! omits it must violate a property; the explorer reports a shortest trace.
//! `docs/MODEL.md` describes the scope of the model.

pub mod config;
pub mod gate;
pub mod once;
pub mod quarantine;
pub mod send_once;

mod explore;

pub use self::explore::{Counterexample, Outcome, Spec, explore};
