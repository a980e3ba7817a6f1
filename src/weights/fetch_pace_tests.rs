//! Estimates of when a fetch is whole.

use std::time::Duration;

use super::FetchPace;
use crate::Time;

#[test]
fn last_chunks_that_trickle_in_are_not_about_to_be_there() {
    let mut pace = FetchPace::new();
    let at = Time::from_millis;
    // Most of them come within a second, the last four one a second.
    for ms in (0..920).step_by(10) {
        pace.arrived(at(ms));
    }
    let soon = pace.remaining(4, at(920)).unwrap();
    assert!(soon < Duration::from_millis(100), "{soon:?}");
    assert_eq!(pace.remaining(4, at(2_500)), None, "nothing comes");
    pace.arrived(at(3_000));
    let late = pace.remaining(3, at(3_010)).unwrap();
    assert_eq!(late, Duration::from_secs(3));
    assert_eq!(pace.remaining(0, at(9_000)), Some(Duration::ZERO));
}
