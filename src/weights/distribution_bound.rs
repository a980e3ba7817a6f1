//! The least time in which weights could reach every replica.

use std::time::Duration;

/// How a machine's link rate is to be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Duplex {
    /// The rate holds for both directions together.
    Half,
    /// The rate holds for each direction.
    Full,
}

/// The lower bound of distributing one version.
///
/// With S the version's bytes and W the window, the origin's link carries
/// 4 S/W and a machine's link c = 2 S/W (the users' brief). Everything is in
/// units of W, so S cancels out.
#[derive(Clone, Copy, Debug)]
pub struct DistributionBound {
    replicas: u32,
    window: Duration,
    link: Duplex,
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
        link: Duplex,
    ) -> DistributionBound {
        DistributionBound { replicas, window, link }
    }

    /// Returns the least time when at most `copies` are drawn from the
    /// origin.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use stairhinge::weights::{DistributionBound, Duplex};
    ///
    /// let bound = DistributionBound::new(12, Duration::from_secs(12), Duplex::Full);
    /// assert_eq!(bound.min_duration(4.0), Duration::from_secs(6));
    /// ```
    pub fn min_duration(self, copies: f64) -> Duration {
        let n = f64::from(self.replicas);
        let c = DistributionBound::MACHINE_COPIES;
        let o = DistributionBound::ORIGIN_COPIES;
        let alone = 1.0 / c;
        let shared = match self.link {
            Duplex::Half => self.total(copies.min(n)),
            Duplex::Full => n / (o + n * c),
        };
        let origin = copies.min(1.0) / o;
        self.window.mul_f64(alone.max(shared).max(origin))
    }

    /// With both directions on one link, 2N - o copies cross N links; the
    /// origin draws at most 4 T/W copies, whichever of the two is less.
    fn total(self, copies: f64) -> f64 {
        let n = f64::from(self.replicas);
        let fixed =
            (2.0 * n - copies) / (n * DistributionBound::MACHINE_COPIES);
        let free = 1.0 / (1.0 + 2.0 / n);
        fixed.max(free)
    }
}
