//! The delay before a newly started process reads the routes itself.
//!
//! After a full outage all processes start at once, and the document of
//! routes is large: 40 entries and 40 agents of a hall that fetch 260 KB each
//! over a link of 26 Mbit/s between regions saturate it for 6 s, and calls
//! that time out meanwhile are repeated. Within about half a second entries
//! discover the other entries of their hall through agents, and then a few of
//! them read for the whole hall. Each process delays its first read by a
//! random fraction of a maximum, so that some read early if no other process
//! has the routes.

use std::time::Duration;

/// The delay of one process's first read if no other process provides the
/// routes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstReadDelay {
    fraction: f64,
}

impl FirstReadDelay {
    /// The maximum delay of an entry per listed replica. With 200 replicas 5
    /// of a hall's 30 entries read within 0.5 s; with 20 replicas no entry
    /// waits longer than 0.3 s.
    const PER_REPLICA_ENTRY: Duration = Duration::from_millis(15);

    /// The maximum delay of an agent per listed replica. It is longer than
    /// that of entries, which should have the routes first; with 20 replicas
    /// no agent waits longer than 0.6 s.
    const PER_REPLICA_AGENT: Duration = Duration::from_millis(30);

    /// The minimum time that an entry waits for the list of replicas, which
    /// tells the size of the fleet. The list arrives within 0.2 s over links
    /// that are not saturated.
    const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);

    /// The maximum delay of any process. It applies while the list is
    /// missing: links are saturated then, and the routes are far larger than
    /// the list.
    const MAX_DELAY: Duration = Duration::from_millis(6_000);

    /// Returns the delay of a process that has drawn a random `fraction`,
    /// from 0 to 1, of the maximum.
    pub const fn new(fraction: f64) -> FirstReadDelay {
        FirstReadDelay { fraction: fraction.clamp(0.0, 1.0) }
    }

    /// Returns the delay from the start of an entry to its first read.
    ///
    /// `listed` is the number of listed replicas, 0 if none are known yet.
    pub fn for_entry(&self, listed: usize) -> Duration {
        match self.scaled_delay(FirstReadDelay::PER_REPLICA_ENTRY, listed) {
            Some(delay) => delay,
            None => {
                FirstReadDelay::LIST_TIMEOUT
                    + FirstReadDelay::MAX_DELAY.mul_f64(self.fraction)
            }
        }
    }

    /// Returns the delay from the start of an agent to its first read.
    ///
    /// `listed` is the number of listed replicas, 0 if none are known yet.
    pub fn for_agent(&self, listed: usize) -> Duration {
        let delay =
            self.scaled_delay(FirstReadDelay::PER_REPLICA_AGENT, listed);
        delay.unwrap_or_else(|| {
            FirstReadDelay::MAX_DELAY.mul_f64(self.fraction)
        })
    }

    fn scaled_delay(
        &self,
        per_replica: Duration,
        listed: usize,
    ) -> Option<Duration> {
        if listed == 0 {
            return None;
        }
        let listed = u32::try_from(listed).unwrap_or(u32::MAX);
        let max =
            per_replica.saturating_mul(listed).min(FirstReadDelay::MAX_DELAY);
        Some(max.mul_f64(self.fraction))
    }
}
