//! Tests of the `Retry-After` of refused requests.

use std::time::Duration;

use super::Shortage;

#[test]
fn retry_after_grows_with_the_expected_shortage() {
    let span = |s: Shortage| (s.retry_after(0.0), s.retry_after(1.0));
    let (full, unreachable) =
        (span(Shortage::NoCapacity), span(Shortage::Unreachable));
    let outage = span(Shortage::NoReplica);
    assert!(full.0 < unreachable.0 && unreachable.0 < outage.0);
    assert!(outage.1 <= Duration::from_secs(4), "{outage:?}");
}

#[test]
fn retry_after_follows_that_of_replicas_up_to_a_limit() {
    let limited = Shortage::RetryAfter(Duration::from_millis(1_700));
    assert_eq!(limited.retry_after(0.0), Duration::from_millis(1_700));
    let one_day = Shortage::RetryAfter(Duration::from_secs(86_400));
    assert!(one_day.retry_after(1.0) <= Duration::from_secs(31));
}

#[test]
fn retry_after_is_spread_by_jitter() {
    for shortage in [
        Shortage::Declined,
        Shortage::NoCapacity,
        Shortage::Unreachable,
        Shortage::NoReplica,
        Shortage::RetryAfter(Duration::from_secs(2)),
    ] {
        let times: Vec<Duration> = (0..=4)
            .map(|d| shortage.retry_after(f64::from(d) / 4.0))
            .collect();
        for pair in times.windows(2) {
            assert!(pair[1] - pair[0] >= Duration::from_millis(200));
        }
    }
}
