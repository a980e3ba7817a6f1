//! The bytes that one kind of news may take on the links between halls.
//!
//! Callers' requests use the same links. What exceeds the budget is not sent;
//! later comparisons make up for it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The bytes per second that an entry may send to one other hall. 65 entries
/// of a hall take 4 Mbit/s of a link of 20 Mbit/s at most.
const BYTES_PER_SECOND: f64 = 8_192.0;

/// The bytes that an entry may send at once after it has been quiet.
const BURST_BYTES: f64 = 32_768.0;

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
    /// Takes `bytes` out of the budget for a hall, and returns whether they
    /// may be sent.
    pub(crate) fn spend(
        &self,
        hall: &Arc<str>,
        bytes: usize,
        now: Instant,
    ) -> bool {
        let mut halls =
            self.halls.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = halls
            .entry(Arc::clone(hall))
            .or_insert(HallBudget { available: BURST_BYTES, at: now });
        let passed = now.duration_since(budget.at).as_secs_f64();
        budget.at = now;
        budget.available =
            (budget.available + passed * BYTES_PER_SECOND).min(BURST_BYTES);
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
