//! When refused callers come back.

use std::time::Duration;

use super::Shortage;

#[test]
fn callers_come_back_later_the_longer_a_shortage_lasts() {
    let span = |s: Shortage| (s.retry_after(0.0), s.retry_after(1.0));
    let (room, gone) =
        (span(Shortage::NoCapacity), span(Shortage::Unreachable));
    let outage = span(Shortage::NoReplica);
    assert!(room.0 < gone.0 && gone.0 < outage.0);
    assert!(outage.1 <= Duration::from_secs(4), "{outage:?}");
}

#[test]
fn callers_come_back_once_a_resting_replica_takes_requests_again() {
    let resting = Shortage::RetryAfter(Duration::from_millis(1_700));
    assert_eq!(resting.retry_after(0.0), Duration::from_millis(1_700));
    let one_day = Shortage::RetryAfter(Duration::from_secs(86_400));
    assert!(one_day.retry_after(1.0) <= Duration::from_secs(31));
}

#[test]
fn callers_refused_together_come_back_one_after_the_other() {
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
