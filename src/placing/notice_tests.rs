//! Tests for leaving announcements and `Retry-After` values of replicas.

use std::time::Duration;

use super::{KnownLeaving, KnownRetryAfter, RetryAfter};
use crate::{Code, Time};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn a_replica_is_leaving_until_a_later_request_is_answered_without_notice() {
    let mut known = KnownLeaving::default();
    assert!(!known.update(false, at(0), at(10)));
    assert!(known.update(true, at(0), at(100)));
    assert!(!known.update(true, at(10), at(200)), "no change");
    // The request was sent before the last announcement was received.
    assert!(!known.update(false, at(150), at(300)));
    assert!(known.is_leaving());
    assert!(known.update(false, at(201), at(300)));
    assert!(!known.is_leaving());
}

#[test]
fn overlapping_retry_after_values_last_until_the_latest_end() {
    let retry_after = |text: &str| text.parse::<RetryAfter>().unwrap();
    let mut known = KnownRetryAfter::default();
    assert_eq!(known.remaining(at(0)), None);
    assert!(!known.update(retry_after("0"), at(500)));
    assert!(known.update(retry_after("3"), at(1_000)));
    assert!(!known.update(retry_after("0.5"), at(1_500)), "already active");
    assert_eq!(known.remaining(at(1_500)), Some(Duration::from_millis(2_500)));
    assert_eq!(known.remaining(at(4_000)), None);
    assert!(known.update(retry_after("1.5"), at(5_000)), "a new period");
}

#[test]
fn a_retry_after_is_a_decimal_number_of_seconds() {
    let half = "0.5".parse::<RetryAfter>().unwrap();
    assert_eq!(half.duration(), Duration::from_millis(500));
    for (text, code) in [
        ("", Code::BadHeader),
        ("Wed, 21 Oct 2015 07:28:00 GMT", Code::BadHeader),
        ("-1", Code::OutOfRange),
        ("NaN", Code::OutOfRange),
        ("1e9", Code::OutOfRange),
    ] {
        assert_eq!(text.parse::<RetryAfter>().unwrap_err().code(), code);
    }
}
