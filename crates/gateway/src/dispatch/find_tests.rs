//! Tests for the fitness of a replica that is in doubt or on trial.

use std::time::Duration;

use stairhinge::Time;
use stairhinge::health::{
    EjectionLimits, Expectation, HealthCheck, Sample, Source,
};

use super::Fitness;
use crate::dispatch::known::KnownReplica;

/// Guards against refusing requests while the only replica is free: after two
/// lost connections it is in doubt and briefly unavailable, but in service.
#[test]
fn a_replica_in_service_stays_eligible_after_lost_connections() {
    let now = Time::from_millis(1_000);
    let mut known = KnownReplica::default();
    let limits = EjectionLimits::default();
    for _ in 0..2 {
        let sample = Sample {
            source: Source::new("a.example", "/x/", None),
            failed: true,
            trial: false,
            took: Duration::from_millis(2),
        };
        known.health.record_failure(now, now);
        known.outcomes.record(&sample, Expectation::default(), limits, now);
    }
    assert!(!known.health.is_available(now));
    let check = known.outcomes.check(true, true, 0, 12, now);
    assert_eq!(check, HealthCheck::Trial);
    let excluded = known.outcomes.standing(now).is_excluded();
    let fitness =
        |available, at_risk| Fitness::of(check, excluded, available, at_risk);
    assert_eq!(fitness(false, false), Some(Fitness::Failing));
    assert_eq!(fitness(true, true), Some(Fitness::AtRisk));
    assert_eq!(fitness(true, false), Some(Fitness::Trial));
    // A replica that is excluded gets no such requests.
    let of_excluded = Fitness::of(check, true, false, false);
    assert_eq!(of_excluded, Some(Fitness::Ejected));
}
