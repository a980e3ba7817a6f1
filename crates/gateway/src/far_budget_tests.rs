//! Tests for the budget of news between halls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::FarBudget;

/// Guards against news that fill a link between halls, however many there are.
#[test]
fn news_to_a_hall_are_bounded_in_bytes() {
    let (budget, start) = (FarBudget::default(), Instant::now());
    let (near, far) = (Arc::from("z1"), Arc::from("z2"));
    let mut sent = 0;
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        if budget.spend(&near, 4_000, now) {
            sent += 4_000;
        }
    }
    assert!((80_000..=115_000).contains(&sent), "{sent}");
    assert!(budget.spend(&far, 4_000, start + Duration::from_secs(10)));
}
