//! Halls that operators have evacuated.
//!
//! From a bound after the order on, nothing may be sent to the replicas of
//! the hall until the order is taken back. What runs there ends by itself.
//! Its requests go to other halls, whose replicas get them over the time
//! allowed and not in one moment: the room that is used in an evacuated hall
//! shrinks to none.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Time;

/// The evacuations in force, each with when it was ordered at the earliest.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations(BTreeMap<Arc<str>, Time>);

impl Evacuations {
    /// Takes note of an evacuation ordered at `since` or later; returns
    /// whether it is news.
    pub fn begin(&mut self, hall: Arc<str>, since: Time) -> bool {
        let news = !self.0.contains_key(&hall);
        self.0.entry(hall).or_insert(since);
        news
    }

    /// Takes note of an evacuation that was taken back; returns whether that
    /// is news.
    pub fn end(&mut self, hall: &str) -> bool {
        self.0.remove(hall).is_some()
    }

    /// Returns since when a hall is evacuated, if it is.
    pub fn since(&self, hall: &str) -> Option<Time> {
        self.0.get(hall).copied()
    }

    /// Returns the evacuated halls, each with since when.
    pub fn all(&self) -> impl Iterator<Item = (&Arc<str>, Time)> {
        self.0.iter().map(|(hall, since)| (hall, *since))
    }

    /// Returns whether these halls are the evacuated ones.
    pub fn matches(&self, halls: &[Arc<str>]) -> bool {
        self.0.len() == halls.len()
            && halls.iter().all(|hall| self.0.contains_key(hall))
    }
}

/// Within which nothing may be sent to an evacuated hall any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EvacuationBound(Duration);

impl EvacuationBound {
    /// The part of the bound over which a hall is emptied. The rest is for
    /// what is on its way.
    const DRAIN_FRACTION: f64 = 0.6;

    /// Returns a bound.
    pub const fn new(within: Duration) -> EvacuationBound {
        EvacuationBound(within)
    }

    /// Returns the part of a hall's room that may be used at `now`, from 1 at
    /// the order to 0.
    pub fn capacity_fraction(&self, since: Time, now: Time) -> f64 {
        let spread = self.0.mul_f64(EvacuationBound::DRAIN_FRACTION);
        let gone = now.since(since).as_secs_f64();
        let left = 1.0 - gone / spread.as_secs_f64().max(f64::MIN_POSITIVE);
        left.clamp(0.0, 1.0)
    }
}
