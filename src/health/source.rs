//! The source of a request, by which failure rates are compared.

use serde::{Deserialize, Serialize};

/// A hash of a request's route and workspace. Requests of different sources
/// may fail at different rates at every replica.
///
/// The upper half is that of the route, so that the sources of one route are
/// known to belong together.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct Source(u32);

impl Source {
    /// Returns the source of the requests of a route, given by its host and
    /// path prefix, from a workspace or from callers without one.
    ///
    /// All entries compute the same value, also those of other builds,
    /// because entries send it to their placer.
    pub fn new(host: &str, prefix: &str, workspace: Option<&str>) -> Source {
        // 0 stands for all routes, or all workspaces.
        let route = hash16(&[host, prefix]).max(1);
        let workspace = hash16(&[workspace.unwrap_or("")]).max(1);
        Source(u32::from(route) << 16 | u32::from(workspace))
    }

    /// Returns all sources of the same route together.
    #[must_use]
    pub(super) const fn route(self) -> Source {
        Source(self.0 & 0xffff_0000)
    }

    /// Returns all sources of the same workspace together.
    #[must_use]
    pub(super) const fn workspace(self) -> Source {
        Source(self.0 & 0xffff)
    }
}

fn hash16(parts: &[&str]) -> u16 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let [a, b, ..] = *hasher.finalize().as_bytes();
    u16::from_le_bytes([a, b])
}
