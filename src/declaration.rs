//! What operators declare.
//!
//! A declaration is YAML under version control. [`Fleet::parse`] checks it
//! whole and reports every fault at once, each with line, field, offending
//! value and what would be allowed, so that a pipeline can refuse it before
//! the platform publishes it. What comes out is typed, immutable and cheap to
//! share; no other part of the system sees YAML.

mod check;
mod diff;
mod fault;
mod fleet;
mod raw;

pub use self::diff::diff;
pub use self::fault::{Fault, Faults};
pub use self::fleet::{
    Adapter, Backend, Fleet, Model, Prefer, Service, Site, Version, Workspace,
};
pub use self::raw::parse_yaml;

/// The most bytes that the platform's service holds as one value.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

#[cfg(test)]
mod tests;
