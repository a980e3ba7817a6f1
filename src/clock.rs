//! A hybrid logical clock that orders the events of all processes.
//!
//! Wall clocks of instances differ, so the timeline is ordered by a clock
//! that never runs backwards and advances past every timestamp it receives
//! (Kulkarni et al., "Logical Physical Clocks", 2014). The upper 48 bits of a
//! timestamp are the wall time in milliseconds, the lower 16 a counter.

/// The hybrid logical clock of one process.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    last: u64,
}

impl Clock {
    /// The number of bits of a timestamp that count events within a
    /// millisecond.
    pub const COUNT_BITS: u32 = 16;

    /// Returns a clock that has not issued or observed any timestamp.
    pub const fn new() -> Clock {
        Clock { last: 0 }
    }

    /// Returns the timestamp of a local event or of a message to be sent,
    /// given the wall time in milliseconds since the Unix epoch.
    ///
    /// # Examples
    ///
    /// ```
    /// use stairhinge::Clock;
    ///
    /// let mut clock = Clock::new();
    /// let first = clock.tick(1_000);
    /// assert!(clock.tick(900) > first);
    /// ```
    pub fn tick(&mut self, wall: u64) -> u64 {
        let wall = wall << Clock::COUNT_BITS;
        self.last = wall.max(self.last + 1);
        self.last
    }

    /// Advances the clock to the timestamp of a received message.
    pub fn observe(&mut self, timestamp: u64) {
        self.last = self.last.max(timestamp);
    }

    /// Returns the wall time of a timestamp, in milliseconds.
    pub const fn wall(timestamp: u64) -> u64 {
        timestamp >> Clock::COUNT_BITS
    }
}
