//! Tests for the time that a replica is given for a repeat.

use std::time::Duration;

use super::repeat_time;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against replicas that stand still for 2 s, and then work for over
/// 0.5 s past the caller's deadline.
#[test]
fn a_repeat_that_is_read_late_ends_soon_after_its_caller_has_gone() {
    for left in [2_500, 3_000, 6_000] {
        let given = repeat_time(ms(left), ms(400));
        assert!(ms(2_000) + given <= ms(left + 500), "{left}");
    }
}

/// Guards against repeats that fail for want of time although there is some.
#[test]
fn a_repeat_has_the_time_that_its_answer_usually_needs() {
    assert_eq!(repeat_time(ms(1_200), ms(150)), ms(500));
    assert_eq!(repeat_time(ms(1_200), ms(400)), ms(800));
    assert_eq!(repeat_time(ms(300), ms(400)), ms(300));
}
