//! Which processes call the platform's service.
//!
//! The service answers about 2,000 reads a second over all readers, and a
//! pending watch counts as one read. In each data hall, therefore, only the
//! few highest-ranked processes hold a watch, and the others receive the
//! documents from them. No process is assigned this: each computes its own
//! rank, and when news of the platform stops arriving it reads the platform
//! itself, later the lower its rank. `docs/CAPACITY.md` has the call rate.

use std::time::Duration;

/// How a process accesses the platform now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformAccess {
    /// Holds a watch.
    Watch,
    /// Reads once, because no news from the watching processes arrives.
    Read,
    /// Makes no call; other processes pass on what they read.
    Idle,
}

/// Returns how a process accesses the platform.
///
/// `rank` is its rank among the live instances of its data hall (0 is first),
/// `watchers` the number of instances that hold a watch, `age` the age of the
/// newest information from the platform that has reached the process, and
/// `step` the delay between consecutive ranks.
///
/// A process of rank r reads once `age` exceeds (r - watchers + 2) steps, so
/// that the processes of a hall take over one after another and not all at
/// once. The delay is at most 30 steps, so that the lowest-ranked process does
/// not wait indefinitely.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use stairhinge::document::{PlatformAccess, platform_access};
///
/// let step = Duration::from_secs(1);
/// assert_eq!(
///     platform_access(0, 2, Duration::ZERO, step),
///     PlatformAccess::Watch
/// );
/// assert_eq!(
///     platform_access(5, 2, Duration::ZERO, step),
///     PlatformAccess::Idle
/// );
/// assert_eq!(
///     platform_access(5, 2, Duration::from_secs(6), step),
///     PlatformAccess::Read
/// );
/// ```
pub fn platform_access(
    rank: usize,
    watchers: usize,
    age: Duration,
    step: Duration,
) -> PlatformAccess {
    if rank < watchers {
        return PlatformAccess::Watch;
    }
    let steps = (rank - watchers + 2).min(MAX_STEPS) as u32;
    if age > step * steps {
        PlatformAccess::Read
    } else {
        PlatformAccess::Idle
    }
}

/// The largest number of steps that any rank waits.
const MAX_STEPS: usize = 30;
