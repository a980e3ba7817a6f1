//! The settings of how versions are kept.

use serde::{Deserialize, Serialize};
use stairhinge::Error;
use stairhinge::number::whole;

/// How versions that become the target shortly after each other are kept and
/// fetched. Without these settings a cache drops an incomplete version when a
/// newer one is requested.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSettings {
    /// The maximum size of all chunks in memory, in MiB. The newest version is
    /// kept even if it is larger.
    #[serde(deserialize_with = "whole")]
    pub memory_mb: u64,
}

impl VersionSettings {
    /// The maximum of [`VersionSettings::memory_mb`]: 1 TiB, far above the
    /// memory of an instance.
    const MAX_MEMORY_MB: u64 = 1 << 20;

    /// Checks the ranges of all fields.
    ///
    /// # Errors
    ///
    /// [`stairhinge::Code::OutOfRange`] if a field is out of range.
    pub fn check(self) -> Result<(), Error> {
        if (1..=VersionSettings::MAX_MEMORY_MB).contains(&self.memory_mb) {
            return Ok(());
        }
        let allowed = format_args!("1 to {}", VersionSettings::MAX_MEMORY_MB);
        Err(Error::range("versions.memory_mb", self.memory_mb, allowed))
    }

    /// Returns the maximum size of all chunks in memory, in bytes.
    pub const fn memory_bytes(self) -> u64 {
        self.memory_mb << 20
    }
}
