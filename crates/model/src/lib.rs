//! Exhaustive checking of stairhinge's core protocol.
//!
//! Five small specifications, each explored breadth first over the project's
//! own decision code: [`once`] (at most once with keys, revokes, restarts and
//! pauses), [`config`] (acceptance, restarts, stale answers), [`gate`] (version
//! gate and fences, old and new agents), [`send_once`] (direct serving) and
//! [`quarantine`] (requests that end replicas). For each rule there is a mutant
//! without it, and the shortest trace on which a property then fails.
//! `docs/MODEL.md` says what is in and what lies outside.

pub mod config;
pub mod gate;
pub mod once;
pub mod quarantine;
pub mod send_once;

mod explore;

pub use self::explore::{Finding, Outcome, Spec, explore};
