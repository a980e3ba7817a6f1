//! The operator's subcommands, one module each. Each returns whether all was
//! well; if not, the process exits with 1.

pub mod check;
pub mod demo;
pub mod diff;
pub mod docs;
pub mod drain;
pub mod explain;
pub mod explain_request;
pub mod status;
pub mod timeline;

use std::time::Duration;

/// How long a call to a process may take.
pub const WITHIN: Duration = Duration::from_secs(5);
