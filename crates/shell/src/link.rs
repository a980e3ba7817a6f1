//! The bandwidth of an instance's network link.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairhinge::Error;

/// The bandwidth of a link, in megabits per second.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct LinkMbps(f64);

impl LinkMbps {
    /// Returns a bandwidth, without validation.
    pub const fn new(mbps: f64) -> LinkMbps {
        LinkMbps(mbps)
    }

    /// Checks that the bandwidth is positive.
    ///
    /// # Errors
    ///
    /// [`stairhinge::Code::OutOfRange`] if it is not greater than 0.
    pub fn check(self) -> Result<(), Error> {
        if self.0.is_nan() || self.0 <= 0.0 {
            return Err(Error::range("link_mbps", self.0, "more than 0"));
        }
        Ok(())
    }

    /// Returns the bytes per second of a fraction of the link; `part` is from
    /// 0 to 1.
    pub const fn bytes_per_s(self, part: f64) -> u64 {
        (self.0 * 1e6 / 8.0 * part) as u64
    }

    /// Returns the time that the link takes to transfer `bytes`.
    pub fn transfer(self, bytes: u32) -> Duration {
        Duration::from_secs_f64(f64::from(bytes) * 8.0 / (self.0 * 1e6))
    }
}
