//! Exhaustive checking of stairhinge's core protocol.
//!
//! Six small specifications are explored breadth first: [`once`]
//! (at-most-once execution with keys, revocations, restarts and pauses),
//! [`config`] (configuration updates, restarts, stale reads), [`gate`]
//! (version gate and fencing between an old and a new agent), [`send_once`]
//! (retries in direct serving), [`quarantine`] (requests that crash replicas)
//! and [`targets`] (when a version became outdated). All but the last call the
//! production decision code. For each rule, a mutant that omits it must
//! violate a property; the explorer reports a shortest trace.
//! `docs/MODEL.md` describes the scope of the model.

pub mod config;
pub mod gate;
pub mod once;
pub mod quarantine;
pub mod send_once;
pub mod targets;

mod explore;

pub use self::explore::{Counterexample, Outcome, Spec, explore};
