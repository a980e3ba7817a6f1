//! The retry budget of an entry.
//!
//! When a third of the agents fail, every request to them is retried. The
//! budget limits retries to a fixed ratio of the requests, so that they do not
//! overload the remaining agents.

/// A token bucket that requests fill and retries drain.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retries_per_request: f64,
    capacity: f64,
    available: f64,
}

impl RetryBudget {
    /// Returns a full budget of `capacity` retries, to which each request adds
    /// `retries_per_request`.
    pub const fn new(retries_per_request: f64, capacity: f64) -> RetryBudget {
        RetryBudget { retries_per_request, capacity, available: capacity }
    }

    /// Records a request, which adds to the budget.
    pub fn record_request(&mut self) {
        self.available =
            (self.available + self.retries_per_request).min(self.capacity);
    }

    /// Takes one retry out of the budget, and returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
