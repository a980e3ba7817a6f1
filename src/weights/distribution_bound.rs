//! The minimum time to distribute weights to all replicas.

use std::time::Duration;

/// How a machine's link rate applies to the two directions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Duplex {
    /// The directions share the rate.
    Half,
    /// Each direction has the full rate.
    Full,
}

/// The lower bound on the time to distribute one version.
///
/// With S the version's bytes and W the window, the origin's link carries 4
/// S/W and a machine's link c = 2 S/W, as the users specified. All quantities
/// are in units of W, so S cancels out.
#[derive(Clone, Copy, Debug)]
pub struct DistributionBound {
    replicas: u32,
    window: Duration,
    duplex: Duplex,
}

impl DistributionBound {
    /// Copies that the origin's link carries in the window.
    pub const ORIGIN_COPIES: f64 = 4.0;
    /// Copies that a machine's link carries in the window.
    pub const MACHINE_COPIES: f64 = 2.0;

    /// Returns the bound for a number of replicas and a window.
    pub const fn new(
        replicas: u32,
        window: Duration,
        duplex: Duplex,
    ) -> DistributionBound {
        DistributionBound { replicas, window, duplex }
    }

    /// Returns the minimum time if at most `copies` are fetched from the
    /// origin.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use stairhinge::weights::{DistributionBound, Duplex};
    ///
    /// let window = Duration::from_secs(12);
    /// let bound = DistributionBound::new(12, window, Duplex::Full);
    /// assert_eq!(bound.min_duration(4.0), Duration::from_secs(6));
    /// ```
    pub fn min_duration(self, copies: f64) -> Duration {
        let replicas = f64::from(self.replicas);
        let machine_copies = DistributionBound::MACHINE_COPIES;
        let origin_copies = DistributionBound::ORIGIN_COPIES;
        let one_copy = 1.0 / machine_copies;
        let shared = match self.duplex {
            Duplex::Half => self.half_duplex(copies.min(replicas)),
            Duplex::Full => {
                replicas / (origin_copies + replicas * machine_copies)
            }
        };
        let origin = copies.min(1.0) / origin_copies;
        self.window.mul_f64(one_copy.max(shared).max(origin))
    }

    /// Half duplex: 2N - o copies cross N links, where o is the number of
    /// copies from the origin. In time T the origin sends at most 4 T/W
    /// copies, so o is the lesser of that and `copies`.
    fn half_duplex(self, copies: f64) -> f64 {
        let replicas = f64::from(self.replicas);
        let fixed = (2.0 * replicas - copies)
            / (replicas * DistributionBound::MACHINE_COPIES);
        let free = 1.0 / (1.0 + 2.0 / replicas);
        fixed.max(free)
    }
}
