//! The estimated capacity and demand of one service.
//!
//! Work is measured in milliseconds of engine time, or in requests for
//! services without an engine. Capacity can be observed only while requests
//! wait or are refused; at other times, the work that is given places is the
//! demand.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Time;
use crate::direct::Engine;

/// The work of one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    number: u64,
    /// The work of new callers that arrived.
    asked: f64,
    /// The work that was given places.
    granted: f64,
    /// Whether a request waited or was refused.
    contended: bool,
}

/// The work that arrives at a service and is given places, over about one
/// second.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    intervals: VecDeque<Interval>,
}

/// The estimated state of a service under contention.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLoad {
    /// The work per second that is given places.
    pub capacity: f64,
    /// The work per second that new callers ask for.
    pub demand: f64,
    /// The age of the latest observation of the capacity.
    pub age: Duration,
    /// The number of intervals of 100 ms in which the capacity was observed.
    pub intervals: u32,
}

impl ServiceLoad {
    /// The number of intervals from which the capacity is known well enough to
    /// promise what is left of it. In a single one, the places of a whole
    /// batch may become free.
    const SETTLED_INTERVALS: u32 = 3;

    /// Returns whether the capacity is known well enough to promise what is
    /// left of it.
    pub const fn is_settled(&self) -> bool {
        self.intervals >= ServiceLoad::SETTLED_INTERVALS
    }

    /// Returns the part of the demand that exceeds the capacity, from 0 to 1.
    pub fn shortage(&self) -> f64 {
        if self.demand <= 0.0 {
            return 0.0;
        }
        (1.0 - self.capacity / self.demand).clamp(0.0, 1.0)
    }
}

impl LoadEstimate {
    /// The length of an interval, in milliseconds.
    const INTERVAL_MS: u64 = 100;

    /// The number of intervals that are kept: about one second, so that the
    /// estimate follows a burst, and single long prompts average out.
    const INTERVALS: u64 = 10;

    /// Records the work of a new caller's request that arrived.
    pub fn record_asked(&mut self, work: f64, now: Time) {
        self.current(now).asked += work;
    }

    /// Records work that was given a place.
    pub fn record_granted(&mut self, work: f64, now: Time) {
        self.current(now).granted += work;
    }

    /// Records that a request waits or is refused for lack of capacity.
    pub fn record_contention(&mut self, now: Time) {
        self.current(now).contended = true;
    }

    fn current(&mut self, now: Time) -> &mut Interval {
        let number = now.as_millis() / LoadEstimate::INTERVAL_MS;
        let is_current =
            self.intervals.back().is_some_and(|i| i.number >= number);
        if !is_current {
            self.intervals
                .push_back(Interval { number, ..Interval::default() });
        }
        while let Some(first) = self.intervals.front() {
            if first.number + LoadEstimate::INTERVALS >= number {
                break;
            }
            self.intervals.pop_front();
        }
        let last = self.intervals.len() - 1;
        &mut self.intervals[last]
    }

    /// Returns the load of the service, or `None` if no request has waited or
    /// been refused within the last second.
    pub fn load(&self, now: Time) -> Option<ServiceLoad> {
        let number = now.as_millis() / LoadEstimate::INTERVAL_MS;
        let mut asked = 0.0;
        let mut granted = 0.0;
        let mut contended = 0_u64;
        let mut first = number;
        let mut latest = 0;
        for interval in &self.intervals {
            // The current interval is incomplete.
            if interval.number >= number
                || interval.number + LoadEstimate::INTERVALS < number
            {
                continue;
            }
            first = first.min(interval.number);
            asked += interval.asked;
            if interval.contended {
                granted += interval.granted;
                contended += 1;
                latest = interval.number + 1;
            }
        }
        if contended == 0 {
            return None;
        }
        let per_s = 1_000.0 / LoadEstimate::INTERVAL_MS as f64;
        let end = Time::from_millis(latest * LoadEstimate::INTERVAL_MS);
        Some(ServiceLoad {
            capacity: granted * per_s / contended as f64,
            demand: asked * per_s / (number - first) as f64,
            age: now.since(end),
            intervals: contended as u32,
        })
    }
}

/// Returns the work of a request: the time for which it occupies an engine
/// exclusively, in milliseconds, or 1 for services without an engine.
pub fn work(
    engine: Option<&Engine>,
    prompt_tokens: u32,
    answer_tokens: f64,
) -> f64 {
    let Some(engine) = engine else { return 1.0 };
    let model = engine.latency_model(engine.slots);
    let mut ms = 0.0;
    if model.tokens_per_ms > 0.0 {
        ms += f64::from(prompt_tokens) / model.tokens_per_ms;
    }
    ms += answer_tokens * engine.step_ms / f64::from(engine.slots.max(1));
    if ms > 0.0 { ms } else { 1.0 }
}
