//! Noticing that the process stood still.
//!
//! A process may be stopped and woken at any moment, and does not know. What
//! it believed before may be long past, so until it has caught up it must not
//! act on it. A beat that comes far too late shows the pause, and whoever is
//! about to act looks at the beat first.

use std::time::Duration;

use crate::Time;

/// Whether the process stood still and has not caught up since.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PauseDetector {
    last: Time,
    woken: bool,
}

impl PauseDetector {
    /// How often a process is expected to beat.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

    /// A beat that is later than this shows a pause, not load.
    pub const MAX_TICK_GAP: Duration = Duration::from_millis(1_500);

    /// Returns a guard of a process that begins now.
    pub const fn new(now: Time) -> PauseDetector {
        PauseDetector { last: now, woken: false }
    }

    /// Takes in a beat.
    pub fn tick(&mut self, now: Time) {
        self.woken = self.was_paused(now);
        self.last = now;
    }

    /// Returns whether the process stood still, before or just now, and has
    /// not caught up.
    pub fn was_paused(&self, now: Time) -> bool {
        self.woken || now.since(self.last) > PauseDetector::MAX_TICK_GAP
    }

    /// Notes that the process has caught up.
    pub fn caught_up(&mut self, now: Time) {
        self.woken = false;
        self.last = now;
    }
}
