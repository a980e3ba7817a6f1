//! Tests for the state kept for a replica.

use stairhinge::Time;
use stairhinge::health::EjectionLimits;
use stairhinge::placing::RateLimit;

use super::KnownReplica;

/// Guards against dropping a rate limit too early or retaining it forever.
#[test]
fn a_rate_limit_is_retained_for_a_limited_time() {
    let at = Time::from_millis;
    let mut known = KnownReplica::default();
    assert!(!known.has_recent_notice(at(0)));
    let limit = RateLimit::new(2.0).unwrap();
    known.limit.update(Some(limit), at(0), at(1_000));
    assert!(known.has_recent_notice(at(60_000)));
    assert!(
        !known.has_recent_notice(at(121_000)),
        "the rate limit is still retained"
    );
}

/// Guards against logging and counting ordinary requests as trials.
#[test]
fn only_requests_to_a_replica_on_trial_are_trials() {
    let at = Time::from_millis;
    let mut known = KnownReplica::default();
    assert_eq!(known.record_trial_sent(at(0)), None);
    known.outcomes.eject(EjectionLimits::default(), at(0));
    assert_eq!(known.record_trial_sent(at(1_000)), Some(1));
}
