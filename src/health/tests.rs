use std::time::Duration;

use super::outcome_window::{MAX_SOURCES, OutcomeWindow};
use super::{
    EjectionLimits, EjectionRoom, Expectation, FirstByteSpeed, HealthChange,
    HealthCheck, ReplicaHealth, Sample, Source, Standing, UsualRatio,
    expected_rate,
};
use crate::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn source(workspace: usize) -> Source {
    Source::new("a.example", "/x/", Some(&workspace.to_string()))
}

fn sample(workspace: usize, failed: bool, trial: bool) -> Sample {
    let took = Duration::from_millis(20);
    Sample { source: source(workspace), failed, trial, took }
}

/// Records requests of many workspaces, which fail or succeed, and ejects the
/// replica when it is to be.
fn record(health: &mut ReplicaHealth, count: usize, failed: bool, now: Time) {
    let limits = EjectionLimits::default();
    for workspace in 0..count {
        let sample = sample(workspace, failed, false);
        let expected = Expectation::default();
        let change = health.record(&sample, expected, limits, now);
        if change == Some(HealthChange::Failing) {
            health.eject(limits, now);
        }
    }
}

fn try_once(health: &mut ReplicaHealth, failed: bool, now: Time) {
    assert!(health.wants_trial(now));
    health.record_trial_sent(now);
    assert!(!health.wants_trial(now), "one trial at a time");
    let limits = EjectionLimits::default();
    let sample = sample(0, failed, true);
    health.record(&sample, Expectation::default(), limits, now);
}

/// Guards against ejections that never end, and against trials and returns
/// that send a replica many requests at once.
#[test]
fn an_ejected_replica_returns_by_trials() {
    let mut health = ReplicaHealth::default();
    let mut three = health.clone();
    record(&mut three, 3, true, at(0));
    assert_eq!(three.standing(at(0)), Standing::InService);
    record(&mut health, 4, true, at(0));
    assert_eq!(health.standing(at(999)), Standing::Ejected);
    assert_eq!(health.standing(at(1_000)), Standing::OnTrial);
    let check = |health: &ReplicaHealth, repeatable, now| {
        health.check(repeatable, true, 0, 12, now)
    };
    assert_eq!(check(&health, false, at(1_000)), HealthCheck::Ejected);
    assert_eq!(check(&health, true, at(1_000)), HealthCheck::Trial);
    try_once(&mut health, true, at(1_000));
    assert_eq!(health.standing(at(2_999)), Standing::Ejected);
    assert_eq!(health.standing(at(3_000)), Standing::OnTrial);
    for _ in 0..2 {
        try_once(&mut health, false, at(3_000));
    }
    assert_eq!(health.standing(at(3_000)), Standing::Returning);
    assert_eq!(health.max_requests(12, at(3_000)), Some(1));
    assert_eq!(health.max_requests(12, at(4_000)), Some(7));
    assert_eq!(health.max_requests(12, at(5_000)), None);
    assert_eq!(health.check(false, true, 1, 12, at(3_000)), HealthCheck::Full);
    // Two failures after the return eject it again.
    let limits = EjectionLimits::default();
    let [one, other] = [10, 11].map(|workspace| {
        let sample = sample(workspace, true, false);
        health.record(&sample, Expectation::default(), limits, at(4_000))
    });
    assert_eq!([one, other], [None, Some(HealthChange::Failing)]);
    health.eject(limits, at(4_000));
    assert_eq!(health.standing(at(7_900)), Standing::Ejected);
}

/// Guards against replicas of services without repeatable requests that stay
/// ejected for ever.
#[test]
fn a_replica_without_trials_returns() {
    let mut health = ReplicaHealth::default();
    record(&mut health, 4, true, at(0));
    assert!(!health.update(at(5_900)));
    assert!(health.update(at(6_000)));
    assert_eq!(health.standing(at(6_000)), Standing::Returning);
    assert_eq!(
        health.check(false, true, 0, 12, at(6_000)),
        HealthCheck::Suspect
    );
}

/// Guards against a lost trial that blocks all others.
#[test]
fn a_trial_without_outcome_does_not_block_others() {
    let mut health = ReplicaHealth::default();
    record(&mut health, 4, true, at(0));
    health.record_trial_sent(at(1_000));
    assert!(!health.wants_trial(at(2_900)));
    assert!(health.wants_trial(at(3_000)));
    health.record_trial_sent(at(3_000));
    health.record_trial_void();
    assert!(health.wants_trial(at(3_000)));
}

/// Guards against ejecting a replica for one workspace whose requests no other
/// replica has served, and for one that fails elsewhere as well.
#[test]
fn a_workspaces_failures_count_fully_only_if_others_serve_it() {
    let limits = EjectionLimits::default();
    for (served_at, ejected) in [(None, false), (Some(at(100)), true)] {
        let mut health = ReplicaHealth::default();
        let mut failing = false;
        for i in 0..40 {
            let expected = Expectation { served_at, ..Expectation::default() };
            let sample = sample(0, true, false);
            let change = health.record(&sample, expected, limits, at(10 * i));
            failing |= change == Some(HealthChange::Failing);
        }
        assert_eq!(failing, ejected, "served at {served_at:?}");
    }
    let mut others = vec![ReplicaHealth::default(); 2];
    for other in &mut others {
        record(other, 8, true, at(0));
    }
    let expected = expected_rate(others.iter(), source(0), at(0));
    assert!(!expected.all_fail, "ejected replicas do not count");
    let mut other = ReplicaHealth::default();
    for _ in 0..8 {
        let expected = Expectation { rate: 0.5, ..Expectation::default() };
        other.record(&sample(0, true, false), expected, limits, at(0));
    }
    let expected = expected_rate([&other].into_iter(), source(0), at(0));
    assert!(expected.rate > 0.45 && expected.all_fail, "{expected:?}");
}

/// Guards against ejecting more than the allowed share, and against keeping a
/// replica that fails little ejected in place of one that fails all.
#[test]
fn the_least_bad_replicas_stay() {
    let limits = EjectionLimits::default();
    let mut bad = ReplicaHealth::default();
    record(&mut bad, 4, true, at(0));
    let good = ReplicaHealth::default();
    let mut candidate = ReplicaHealth::default();
    record(&mut candidate, 3, true, at(0));
    let of = |candidate: &ReplicaHealth, others: [&ReplicaHealth; 2]| {
        let others = others.into_iter().enumerate();
        EjectionRoom::of(limits, candidate, others, at(0))
    };
    assert_eq!(of(&candidate, [&good, &good]), EjectionRoom::Free);
    assert_eq!(of(&candidate, [&good, &bad]), EjectionRoom::Full);
    let mut half = ReplicaHealth::default();
    record(&mut half, 2, true, at(0));
    record(&mut half, 3, false, at(0));
    half.eject(limits, at(0));
    assert_eq!(of(&candidate, [&good, &half]), EjectionRoom::Replace(1));
    let alone = std::iter::empty::<(usize, &ReplicaHealth)>();
    let room = EjectionRoom::of(limits, &candidate, alone, at(0));
    assert_eq!(room, EjectionRoom::Full);
}

/// Guards against limits that eject most replicas or none for long.
#[test]
fn limits_are_checked() {
    let second = Duration::from_secs(1);
    assert!(EjectionLimits::new(0.5, second).is_ok());
    assert!(EjectionLimits::new(0.51, second).is_err());
    assert!(EjectionLimits::new(f64::NAN, second).is_err());
    assert!(EjectionLimits::new(0.5, Duration::from_millis(49)).is_err());
    assert!(EjectionLimits::new(0.5, second * 61).is_err());
}

/// Guards against memory that grows with the number of sources.
#[test]
fn the_number_of_sources_is_bounded() {
    let mut window = OutcomeWindow::default();
    for workspace in 0..1_000 {
        window.record(source(workspace), false, 0.0, at(workspace as u64));
    }
    assert!(window.len() <= MAX_SOURCES);
    assert!(window.source(source(999)).is_some());
    assert!(window.source(source(0)).is_none());
}

/// Guards against slow periods that are noticed too late or remembered too
/// long, and against single requests that change the speed.
#[test]
fn speed_follows_the_median_of_recent_requests() {
    let mut usual = UsualRatio::default();
    for _ in 0..200 {
        usual.record(1.2);
    }
    let mut speed = FirstByteSpeed::default();
    for ms in [0, 60, 120, 180, 240] {
        speed.record(1.2, at(ms));
    }
    speed.record(6.0, at(250));
    assert!(speed.factor(usual, at(250)) <= 1.0);
    // 14 requests a second, slow for 0.6 s.
    let mut noticed = None;
    for ms in (300..900).step_by(70) {
        speed.record(3.0, at(ms));
        let factor = speed.factor(usual, at(ms));
        if factor > 2.0 {
            noticed = noticed.or(Some(ms));
        }
    }
    assert!(noticed.is_some_and(|ms| ms <= 520), "{noticed:?}");
    assert!(speed.factor(usual, at(1_400)) <= 1.0);
}
