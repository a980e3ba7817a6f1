use std::time::Duration;

use super::{Candidate, Health, pick};
use crate::Time;

#[test]
fn picks_the_less_loaded_of_two() {
    let all = [
        Candidate::new("a", 5, true),
        Candidate::new("b", 1, true),
        Candidate::new("c", 9, true),
    ];
    let table = [((0, 1), 1), ((0, 2), 0), ((2, 2), 0), ((1, 4), 1)];
    for (draws, want) in table {
        assert_eq!(pick(&all, draws, None), Some(want), "{draws:?}");
    }
}

#[test]
fn picks_another_hall_only_if_its_own_is_much_busier() {
    for (near, far, want) in [(8, 0, 0), (9, 0, 1)] {
        let all = [
            Candidate::new("near", near, true),
            Candidate::new("far", far, false),
        ];
        assert_eq!(pick(&all, (0, 1), None), Some(want), "{near} {far}");
    }
}

#[test]
fn prefix_keeps_its_server_until_it_is_overloaded() {
    let names = ["a", "b", "c", "d"];
    let even: Vec<_> =
        names.iter().map(|n| Candidate::new(n, 4, true)).collect();
    let home = pick(&even, (0, 1), Some(b"prefix")).unwrap();
    for draws in [(0, 1), (2, 3), (1, 2)] {
        assert_eq!(pick(&even, draws, Some(b"prefix")), Some(home));
    }
    let mut busy = even.clone();
    busy[home] = Candidate::new(names[home], 40, true);
    let draws = ((home + 1) as u64, (home + 2) as u64);
    assert_ne!(pick(&busy, draws, Some(b"prefix")), Some(home));
}

#[test]
fn backoff_doubles_with_each_failure_up_to_a_limit() {
    let mut health = Health::new();
    let mut now = Time::ZERO;
    let mut spans = Vec::new();
    for _ in 0..8 {
        health.record_failure(now, now);
        assert!(!health.is_available(now));
        let mut span = Duration::ZERO;
        while !health.is_available(now) {
            now = now.after(Duration::from_millis(100));
            span += Duration::from_millis(100);
        }
        spans.push(span.as_millis());
    }
    assert_eq!(spans[..3], [500, 1_000, 2_000]);
    assert_eq!(spans[7], 16_000, "the backoff is limited");
    health.record_success();
    health.record_failure(now, now);
    assert!(health.is_available(now.after(Health::INITIAL_BACKOFF)));
}

#[test]
fn backoff_does_not_exceed_retry_after() {
    let at = Time::from_millis;
    let retry_after = Duration::from_millis(3_000);
    let mut health = Health::new();
    // Concurrent reports must not extend the first backoff.
    health.record_failure_capped(Duration::ZERO, at(1_000));
    assert_eq!(health.failures(), 0);
    for _ in 0..5 {
        health.record_failure_capped(retry_after, at(1_000));
    }
    assert!(!health.is_available(at(1_499)));
    assert!(health.is_available(at(1_500)));
    for from in [2_000, 4_000, 8_000, 20_000, 40_000] {
        health.record_failure_capped(retry_after, at(from));
        assert!(
            !health.is_available(at(from + 999)),
            "the backoff did not grow"
        );
        assert!(health.is_available(at(from + 3_000)));
    }
}

/// Guards against an exclusion of many seconds after one silence, in which all
/// requests in flight at a server fail together.
#[test]
fn failures_of_requests_in_flight_together_count_once() {
    let at = Time::from_millis;
    let mut health = Health::new();
    for sent in 0..16 {
        health.record_failure(at(sent), at(1_500 + sent));
    }
    assert_eq!(health.failures(), 1);
    assert!(health.is_available(at(2_100)));
    // A request that was sent after that shows that it still fails.
    health.record_failure(at(2_100), at(3_600));
    assert_eq!(health.failures(), 2);
    assert!(!health.is_available(at(4_500)));
    assert!(health.is_available(at(4_600)));
}

/// Guards against a whole batch of requests that waits in vain at a server
/// which still stands still when its exclusion ends.
#[test]
fn one_request_at_a_time_tries_a_server_after_its_exclusion() {
    let at = Time::from_millis;
    let mut health = Health::new();
    health.record_sent(at(900));
    assert!(health.is_available(at(900)), "it has not failed");
    health.record_failure(at(0), at(1_000));
    assert!(health.is_available(at(1_500)));
    health.record_sent(at(1_500));
    assert!(!health.is_available(at(1_999)));
    assert!(health.is_available(at(2_000)), "its result may be lost");
    health.record_sent(at(2_000));
    health.record_success();
    assert!(health.is_available(at(2_001)));
    health.record_sent(at(2_001));
    assert!(health.is_available(at(2_001)));
}
