//! Notices of published revisions, sent between processes.
//!
//! A platform may reject some processes while it serves others. Notices go
//! from entries to agents, and from agents to all entries that listen. A
//! notice states which process holds the routes document, and only processes
//! with older routes fetch it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::TargetAge;

/// The newest published revision and target versions that a process knows.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct News {
    /// The revision of the routes.
    pub revision: u64,
    /// The address of a process that holds the document of that revision.
    pub holder: Option<SocketAddr>,
    /// The target versions.
    #[serde(default)]
    pub targets: Vec<TargetAge>,
}
