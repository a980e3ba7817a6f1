//! Tests for the budget of news between halls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::FarBudget;

/// Returns the bytes that one of `entries` may send in 10 s.
fn sent(entries: usize) -> usize {
    let (budget, start) = (FarBudget::default(), Instant::now());
    let hall = Arc::from("z1");
    let mut sent = 0;
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        if budget.spend(&hall, 400, entries, now) {
            sent += 400;
        }
    }
    sent
}

/// Guards against news that fill a link between halls, however many entries
/// send them.
#[test]
fn news_to_a_hall_are_bounded_in_bytes() {
    for entries in [2, 17, 65] {
        let all = sent(entries) * entries;
        assert!((4_000_000..=6_500_000).contains(&all), "{entries}: {all}");
    }
}

/// Guards against a hall that gets nothing since another one got much.
#[test]
fn each_hall_has_a_budget_of_its_own() {
    let (budget, now) = (FarBudget::default(), Instant::now());
    let (first, second) = (Arc::from("z1"), Arc::from("z2"));
    while budget.spend(&first, 4_000, 17, now) {}
    assert!(budget.spend(&second, 4_000, 17, now));
}
