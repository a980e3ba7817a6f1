//! How soon a fetch will be whole, going by how chunks have come lately.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Time;

/// The pace at which chunks come.
#[derive(Clone, Debug)]
pub struct FetchPace {
    /// When the newest chunks came.
    arrivals: VecDeque<Time>,
}

impl FetchPace {
    /// The span whose chunks make the pace.
    const WINDOW: Duration = Duration::from_millis(1_000);

    /// Returns the pace of a fetch that begins.
    pub const fn new() -> FetchPace {
        FetchPace { arrivals: VecDeque::new() }
    }

    /// Takes note that a chunk came.
    pub fn arrived(&mut self, now: Time) {
        self.arrivals.push_back(now);
        self.expire(now);
    }

    /// Returns how long `missing` chunks will take, or `None` while none
    /// comes.
    pub fn remaining(
        &mut self,
        missing: usize,
        now: Time,
    ) -> Option<Duration> {
        self.expire(now);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        let lately = u32::try_from(self.arrivals.len()).unwrap_or(u32::MAX);
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        (lately > 0).then(|| FetchPace::WINDOW * missing / lately)
    }

    fn expire(&mut self, now: Time) {
        while let Some(first) = self.arrivals.front() {
            if now.since(*first) < FetchPace::WINDOW {
                break;
            }
            self.arrivals.pop_front();
        }
    }
}

impl Default for FetchPace {
    fn default() -> FetchPace {
        FetchPace::new()
    }
}
