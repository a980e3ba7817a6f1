//! Data halls that operators have evacuated.
//!
//! Once a bounded time after the order has passed, no requests may be sent to
//! the replicas of the hall until the order is withdrawn. Running requests
//! finish there. To shift the load to other halls gradually, the usable
//! capacity of the evacuated hall shrinks linearly to zero within that time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Time;

/// The evacuated halls, each with the earliest time at which the evacuation
/// may have been ordered.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations(BTreeMap<Arc<str>, Time>);

impl Evacuations {
    /// Records an evacuation ordered at `since` or later. Returns whether it
    /// was unknown.
    pub fn begin(&mut self, hall: Arc<str>, since: Time) -> bool {
        let unknown = !self.0.contains_key(&hall);
        self.0.entry(hall).or_insert(since);
        unknown
    }

    /// Records that an evacuation was withdrawn. Returns whether the hall was
    /// evacuated.
    pub fn end(&mut self, hall: &str) -> bool {
        self.0.remove(hall).is_some()
    }

    /// Returns when the evacuation of a hall was ordered, or `None` if it is
    /// not evacuated.
    pub fn since(&self, hall: &str) -> Option<Time> {
        self.0.get(hall).copied()
    }

    /// Returns the evacuated halls, each with when that was ordered.
    pub fn all(&self) -> impl Iterator<Item = (&Arc<str>, Time)> {
        self.0.iter().map(|(hall, since)| (hall, *since))
    }

    /// Returns whether exactly these halls are evacuated.
    pub fn matches(&self, halls: &[Arc<str>]) -> bool {
        self.0.len() == halls.len()
            && halls.iter().all(|hall| self.0.contains_key(hall))
    }
}

/// The maximum time from an evacuation order until requests are no longer
/// sent to the hall.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EvacuationBound(Duration);

impl EvacuationBound {
    /// The fraction of the bound over which the capacity shrinks. The rest
    /// is left for requests in transit.
    const DRAIN_FRACTION: f64 = 0.6;

    /// Returns a bound of the given duration.
    pub const fn new(within: Duration) -> EvacuationBound {
        EvacuationBound(within)
    }

    /// Returns the fraction of a hall's capacity that may be used at `now`,
    /// from 1 at the time of the order, `since`, down to 0.
    pub fn capacity_fraction(&self, since: Time, now: Time) -> f64 {
        let drain = self.0.mul_f64(EvacuationBound::DRAIN_FRACTION);
        let elapsed = now.since(since).as_secs_f64();
        let left = 1.0 - elapsed / drain.as_secs_f64().max(f64::MIN_POSITIVE);
        left.clamp(0.0, 1.0)
    }
}
