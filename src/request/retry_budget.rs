//! The retry budget.
//!
//! When a third of the agents die, every request to them is tried again. The
//! budget lets tries grow by a share of the requests only, so that retries
//! never become the load.

/// A bounded number of retries, earned by requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    most: f64,
    left: f64,
}

impl RetryBudget {
    /// Returns a full budget: each request earns `share` of a retry, up to
    /// `most` saved.
    pub const fn new(share: f64, most: f64) -> RetryBudget {
        RetryBudget { share, most, left: most }
    }

    /// Takes note of a request.
    pub fn record_request(&mut self) {
        self.left = (self.left + self.share).min(self.most);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
