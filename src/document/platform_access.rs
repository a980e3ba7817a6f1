//! Who asks the platform.
//!
//! The platform's service answers about 2,000 reads a second over all readers
//! and counts a waiting watch as one. So in each hall only the first-ranked
//! few hold a watch; the others learn from them. Nobody is told to: each
//! process works out its own rank, and steps in later the lower it ranks when
//! news of the platform stops coming. `docs/CAPACITY.md` has the call rate.

use std::time::Duration;

/// What a process does about the platform now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformAccess {
    /// Hold a watch.
    Watch,
    /// Ask once, for those in charge seem to be silent.
    Read,
    /// Leave it to others.
    Idle,
}

/// Says what a process does, given its rank among the live instances of its
/// hall (0 is first), how many are to watch, how old the newest news of the
/// platform is that has reached it, and the step between ranks.
///
/// A process of rank r asks once that age passes (r - watchers + 2) steps, so
/// the takeover is spread and not a herd. The age is bounded by `steps_most`
/// steps, so the last-ranked does not wait for ever.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use stairhinge::document::{PlatformAccess, platform_access};
///
/// let step = Duration::from_secs(1);
/// assert_eq!(platform_access(0, 2, Duration::ZERO, step), PlatformAccess::Watch);
/// assert_eq!(platform_access(5, 2, Duration::ZERO, step), PlatformAccess::Idle);
/// assert_eq!(platform_access(5, 2, Duration::from_secs(6), step), PlatformAccess::Read);
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
    let steps = (rank - watchers + 2).min(STEPS_MOST) as u32;
    if age > step * steps {
        PlatformAccess::Read
    } else {
        PlatformAccess::Idle
    }
}

/// The most steps that any rank waits.
const STEPS_MOST: usize = 30;
