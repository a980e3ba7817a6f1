//! Tests for the state kept for a replica.

use std::sync::Arc;
use std::time::Duration;

use stairhinge::Time;
use stairhinge::direct::AllowedRegions;
use stairhinge::health::EjectionLimits;
use stairhinge::placing::{Need, RateLimit};
use stairhinge::poison::Suspicion;

use super::KnownReplica;

fn need() -> Need {
    Need {
        service: Arc::from("pool"),
        model: None,
        version: None,
        tried: Vec::new(),
        silent: Vec::new(),
        priority: 0,
        route_priority: 0,
        prompt_tokens: 0,
        objective: Duration::from_millis(400),
        regions: AllowedRegions::default(),
        suspicion: Suspicion::default(),
        shared_run: None,
        workspace: None,
        left_ms: 0,
        answer_tokens: None,
        fingerprint: None,
        continued: false,
        repeatable: true,
    }
}

/// Guards against a batch of requests for a replica that was silent, looks
/// idle when its exclusion ends, and is still silent.
#[test]
fn one_request_at_a_time_is_assigned_to_a_replica_that_failed() {
    let at = Time::from_millis;
    let mut known = KnownReplica::default();
    known.record_assigned(&need(), at(0));
    assert!(known.health.is_available(at(0)));
    known.health.record_failure(at(0), at(1_500));
    assert!(known.health.is_available(at(2_000)));
    known.record_assigned(&need(), at(2_000));
    assert!(!known.health.is_available(at(2_000)));
    known.health.record_success();
    assert!(known.health.is_available(at(2_100)));
}

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
