//! The operator's subcommands, one module each. Each returns whether it
//! succeeded; if not, the process exits with status 1.

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

/// Timeout of a control call to one process.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
