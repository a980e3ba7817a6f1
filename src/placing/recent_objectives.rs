//! The objectives of recent requests, used to enforce priorities under
//! overload.
//!
//! A replica accepts a request only if the prompts that wait there can be
//! processed within a fraction of the request's objective. Under lasting
//! overload, requests with the longest objective would be accepted where no
//! others are, and would keep all replicas filled up to that point, ahead of
//! more urgent requests with shorter objectives. Therefore a request is
//! treated as if it had the shortest objective of all recent requests to the
//! same service that are at least as urgent.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::Need;
use crate::Time;

/// The shortest objectives of recent requests by service and urgency.
#[derive(Clone, Debug, Default)]
pub struct RecentObjectives {
    services: HashMap<Arc<str>, BTreeMap<(u8, u8), RecentMinimum>>,
}

/// The shortest objective in the current window and in the one before, so that
/// each objective is remembered for one to two windows.
#[derive(Clone, Copy, Debug)]
struct RecentMinimum {
    window_start: Time,
    current: Duration,
    previous: Duration,
}

impl RecentObjectives {
    /// The length of a window. An objective is remembered for at least this
    /// long after the last request with it.
    pub const WINDOW: Duration = Duration::from_secs(2);

    /// Records the objective of a request that arrived at `now`.
    pub fn record(&mut self, need: &Need, now: Time) {
        let service = match self.services.get_mut(&need.service) {
            Some(service) => service,
            None => {
                self.services.entry(Arc::clone(&need.service)).or_default()
            }
        };
        let minimum = service.entry(need.urgency()).or_insert(RecentMinimum {
            window_start: now,
            current: Duration::MAX,
            previous: Duration::MAX,
        });
        minimum.advance(now);
        minimum.current = minimum.current.min(need.objective);
    }

    /// Returns the objective to use for a request in place of its own.
    pub fn effective_objective(&self, need: &Need, now: Time) -> Duration {
        let Some(service) = self.services.get(&need.service) else {
            return need.objective;
        };
        let mut shortest = need.objective;
        for (_, minimum) in service.range(..=need.urgency()) {
            shortest = shortest.min(minimum.at(now));
        }
        shortest
    }
}

impl RecentMinimum {
    /// Starts a new window if the current one has ended.
    fn advance(&mut self, now: Time) {
        let windows = now.since(self.window_start).as_millis()
            / RecentObjectives::WINDOW.as_millis();
        if windows == 0 {
            return;
        }
        self.previous =
            if windows == 1 { self.current } else { Duration::MAX };
        self.current = Duration::MAX;
        self.window_start = now;
    }

    /// Returns the shortest recent objective as of `now`.
    fn at(mut self, now: Time) -> Duration {
        self.advance(now);
        self.current.min(self.previous)
    }
}
