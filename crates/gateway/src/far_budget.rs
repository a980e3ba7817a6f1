//! The bytes that one kind of news may take on the links between halls.
//!
//! Callers' requests use the same links. What exceeds the budget is not sent;
//! later comparisons make up for it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The bytes per second that the entries of a hall together may send to one
/// other hall: a fifth of a link of 20 Mbit/s.
const HALL_BYTES_PER_SECOND: f64 = 524_288.0;

/// How long an entry may be quiet to send the bytes of that time at once.
const BURST_SECONDS: f64 = 2.0;

/// The budget for one other hall.
#[derive(Debug)]
struct HallBudget {
    available: f64,
    at: Instant,
}

/// The budgets of one kind of news, by hall.
#[derive(Debug, Default)]
pub(crate) struct FarBudget {
    halls: Mutex<HashMap<Arc<str>, HallBudget>>,
}

impl FarBudget {
    /// Takes `bytes` out of the budget for a hall, which is shared by the
    /// `entries` of this hall, and returns whether they may be sent.
    pub(crate) fn spend(
        &self,
        hall: &Arc<str>,
        bytes: usize,
        entries: usize,
        now: Instant,
    ) -> bool {
        let rate = HALL_BYTES_PER_SECOND / entries.max(1) as f64;
        let most = rate * BURST_SECONDS;
        let mut halls =
            self.halls.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = halls
            .entry(Arc::clone(hall))
            .or_insert(HallBudget { available: most, at: now });
        let passed = now.duration_since(budget.at).as_secs_f64();
        budget.at = now;
        budget.available = (budget.available + passed * rate).min(most);
        if budget.available < bytes as f64 {
            return false;
        }
        budget.available -= bytes as f64;
        true
    }
}

#[cfg(test)]
#[path = "far_budget_tests.rs"]
mod tests;
