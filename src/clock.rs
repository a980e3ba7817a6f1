//! The hybrid logical clock that orders events of all processes.
//!
//! Wall clocks of instances differ, so the time line is ordered by a clock
//! that never runs backwards and jumps past any stamp it receives (Kulkarni
//! et al., "Logical Physical Clocks", 2014). The upper 48 bits are wall time
//! in milliseconds, the lower 16 a counter.

/// A hybrid logical clock of one process.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    last: u64,
}

impl Clock {
    /// Bits of a stamp that count events within a millisecond.
    pub const COUNT_BITS: u32 = 16;

    /// Returns a clock that has seen nothing.
    pub const fn new() -> Clock {
        Clock { last: 0 }
    }

    /// Returns the stamp of a local event or of a message to be sent, given
    /// the wall time in milliseconds since the Unix epoch.
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

    /// Takes in the stamp of a received message.
    pub fn observe(&mut self, stamp: u64) {
        self.last = self.last.max(stamp);
    }

    /// Returns the wall-time part of a stamp, in milliseconds.
    pub const fn wall(stamp: u64) -> u64 {
        stamp >> Clock::COUNT_BITS
    }
}
