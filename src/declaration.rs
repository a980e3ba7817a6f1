//! The declaration of a fleet, which operators write.
//!
//! A declaration is a YAML file under version control. [`Fleet::parse`]
//! validates the whole file and reports all faults together, each with its
//! line, field, offending value and allowed values, so that a CI pipeline can
//! reject the file before the platform publishes it. The result is typed and
//! immutable. Other parts of the system read the typed form, never the YAML.

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

/// The maximum size of a value in the platform service, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

#[cfg(test)]
mod tests;
