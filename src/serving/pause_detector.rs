//! Detection of pauses of the process.
//!
//! A process may be suspended and resumed at any time without notice. Its
//! state may then be outdated, and it must not act on it before it has been
//! refreshed. A periodic tick that arrives much too late reveals the pause;
//! callers check for one before they act.

use std::time::Duration;

use crate::Time;

/// Detects whether the process was paused and has not caught up since.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PauseDetector {
    last_tick: Time,
    paused: bool,
}

impl PauseDetector {
    /// The interval at which [`PauseDetector::tick`] is to be called.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

    /// The longest time between two ticks that counts as load and not as a
    /// pause.
    pub const MAX_TICK_GAP: Duration = Duration::from_millis(1_500);

    /// Returns a detector for a process that starts at `now`.
    pub const fn new(now: Time) -> PauseDetector {
        PauseDetector { last_tick: now, paused: false }
    }

    /// Records a tick.
    pub fn tick(&mut self, now: Time) {
        self.paused = self.was_paused(now);
        self.last_tick = now;
    }

    /// Returns whether the process was paused, before the last tick or since,
    /// and has not caught up.
    pub fn was_paused(&self, now: Time) -> bool {
        self.paused || now.since(self.last_tick) > PauseDetector::MAX_TICK_GAP
    }

    /// Records that the process has caught up.
    pub fn caught_up(&mut self, now: Time) {
        self.paused = false;
        self.last_tick = now;
    }
}
