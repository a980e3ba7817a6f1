//! Points in time of one process.
//!
//! The code of this crate does not read a clock; the caller passes the
//! current [`Time`]. It counts milliseconds since an origin that is private
//! to the process, so times of different processes are not comparable.

use std::time::Duration;

/// A point in time of one process, with millisecond resolution.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub struct Time(u64);

impl Time {
    /// The origin.
    pub const ZERO: Time = Time(0);

    /// Returns the point `ms` milliseconds after the origin.
    pub const fn from_millis(ms: u64) -> Time {
        Time(ms)
    }

    /// Returns the milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the point `span` later.
    #[must_use]
    pub const fn after(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span.as_millis() as u64))
    }

    /// Returns the point `span` earlier, or the origin if that is later.
    #[must_use]
    pub const fn before(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span.as_millis() as u64))
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use stairhinge::Time;
    ///
    /// let t = Time::from_millis(10);
    /// assert_eq!(t.since(Time::ZERO), Duration::from_millis(10));
    /// assert_eq!(Time::ZERO.since(t), Duration::ZERO);
    /// ```
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
