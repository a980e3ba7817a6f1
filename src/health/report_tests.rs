//! Tests for what entries report of a replica's health to one another, and for
//! failures that a retry confirms.

use std::time::Duration;

use super::{
    EjectionLimits, Expectation, HealthChange, HealthCheck, ReplicaHealth,
    Sample, Source, Standing,
};
use crate::Time;

const SECOND: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn source(workspace: usize) -> Source {
    Source::new("a.example", "/x/", Some(&workspace.to_string()))
}

/// Records a request that took 20 ms, of a source that fails at a rate
/// elsewhere.
fn record(
    health: &mut ReplicaHealth,
    workspace: usize,
    failed: bool,
    rate: f64,
    now: Time,
) -> Option<HealthChange> {
    let took = Duration::from_millis(20);
    let source = source(workspace);
    let sample = Sample { source, failed, trial: false, took };
    let expected = Expectation { rate, ..Expectation::default() };
    health.record(&sample, expected, EjectionLimits::default(), now)
}

/// Guards against an entry that goes on sending requests to a replica that
/// fails at others, and against one that believes them although its own
/// requests succeed, as when only their link to the replica is down.
#[test]
fn a_reported_ejection_counts_unless_own_requests_succeed() {
    let mut used_before = ReplicaHealth::default();
    record(&mut used_before, 0, false, 0.05, at(1_000));
    assert!(used_before.eject_as_reported(SECOND, at(990), at(1_500)));
    assert_eq!(used_before.standing(at(2_499)), Standing::Ejected);
    assert_eq!(used_before.standing(at(2_500)), Standing::OnTrial);
    let mut unused = ReplicaHealth::default();
    assert!(unused.eject_as_reported(SECOND, at(990), at(1_500)));
    let mut used_since = ReplicaHealth::default();
    record(&mut used_since, 0, false, 0.05, at(1_400));
    assert!(!used_since.eject_as_reported(SECOND, at(990), at(1_500)));
    assert_eq!(used_since.standing(at(1_500)), Standing::InService);
    // A reported suspicion only makes another hall prefer other replicas.
    let check =
        |health: &ReplicaHealth| health.check(false, false, 0, 12, at(1_500));
    used_since.doubt_as_reported(at(990), at(1_500));
    assert_eq!(check(&used_since), HealthCheck::Passed);
    let mut suspected = ReplicaHealth::default();
    suspected.doubt_as_reported(at(990), at(1_500));
    assert_eq!(check(&suspected), HealthCheck::Suspect);
}

/// Guards against replicas that stay excluded because the entry that reported
/// them is gone, and against own evidence that a report overrides.
#[test]
fn a_reported_ejection_ends_as_reported_or_by_own_trials() {
    let mut reported = ReplicaHealth::default();
    reported.eject_as_reported(SECOND, at(0), at(0));
    // The trial of the other entry failed.
    reported.eject_as_reported(2 * SECOND, at(0), at(1_100));
    assert_eq!(reported.standing(at(3_099)), Standing::Ejected);
    let mut returned = reported.clone();
    assert!(returned.readmit_as_reported(at(2_000)));
    assert_eq!(returned.standing(at(2_000)), Standing::Returning);
    // No more is heard.
    assert!(reported.wants_trial(at(3_100)));
    let mut own = ReplicaHealth::default();
    for workspace in 0..4 {
        record(&mut own, workspace, true, 0.05, at(0));
    }
    own.eject(EjectionLimits::default(), at(0));
    assert!(!own.readmit_as_reported(at(500)));
    assert_eq!(own.standing(at(500)), Standing::Ejected);
}

/// Guards against trials by the entries of all halls at once.
#[test]
fn other_halls_leave_trials_to_the_replicas_own() {
    let limits = EjectionLimits::default();
    assert_eq!(limits.reported(4 * SECOND, true), SECOND);
    assert!(limits.far().reported(SECOND, false) > 2 * SECOND);
    let longest = limits.far().reported(Duration::MAX, false);
    assert_eq!(longest, 60 * SECOND);
    assert_eq!(limits.reported(Duration::ZERO, false), Duration::ZERO);
}

/// Guards against a failing replica that is taken for one whose requests fail
/// everywhere, although other replicas serve them on their retry.
#[test]
fn a_failure_counts_in_full_once_a_retry_succeeds() {
    let limits = EjectionLimits::default();
    let mut health = ReplicaHealth::default();
    for workspace in 0..4 {
        let now = at(100 * workspace as u64);
        let change = record(&mut health, workspace, true, 0.25, now);
        assert!(change != Some(HealthChange::Failing));
    }
    let confirm = |health: &mut ReplicaHealth, workspace| {
        health.confirm_failure(source(workspace), limits, at(450))
    };
    assert_eq!(confirm(&mut health, 9), None, "no such failure");
    for workspace in 0..3 {
        assert_eq!(confirm(&mut health, workspace), None);
        assert_eq!(confirm(&mut health, workspace), None, "counts once");
    }
    assert_eq!(confirm(&mut health, 3), Some(HealthChange::Failing));
}
