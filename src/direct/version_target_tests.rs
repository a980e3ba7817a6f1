//! Tests of when versions became outdated, according to processes that do not
//! hear of all versions.
//!
//! Guards against an old version that is used for too long. The platform
//! holds the newest version only, so a process that starts after versions 2
//! and 3 were set reads 3 alone. Once others told it when 3 was set, it took
//! version 1 to be outdated since then rather than since 2.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use super::{HeardVersion, VersionTarget, VersionTargets};
use crate::Time;

const MODEL: &str = "m";

/// How old a version is presumed to be by a process that just starts.
const PRESUMED: u64 = 5_000;

fn target(version: u64) -> VersionTarget {
    VersionTarget { model: Arc::from(MODEL), version }
}

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns what an observer of a version tells a process that knew all
/// versions at `unheard`.
const fn told(
    since: u64,
    previous: Option<u64>,
    unheard: u64,
) -> HeardVersion {
    let (since, unheard) = (at(since), at(unheard));
    HeardVersion { since, estimated: false, previous, unheard }
}

const fn presumed(unheard: u64) -> HeardVersion {
    let since = at(unheard);
    HeardVersion { since, estimated: true, previous: None, unheard: since }
}

#[test]
fn an_older_version_is_inserted_where_it_belongs() {
    let mut targets = VersionTargets::default();
    targets.record(&target(1), at(1_000));
    targets.learn(&target(3), &presumed(2_000));
    assert!(!targets.record(&target(2), at(4_000)), "it is not the newest");
    assert!(targets.learn(&target(3), &told(6_000, None, 7_000)).dated);
    assert_eq!(targets.version(MODEL), Some(3));
    assert_eq!(targets.outdated_since(MODEL, 1), Some(at(4_000)));
    assert_eq!(targets.outdated_since(MODEL, 2), Some(at(6_000)));
    let close = Duration::from_millis(2_001);
    assert!(targets.is_succession(MODEL, close), "both are distributed");
}

#[test]
fn a_corrected_date_does_not_hide_a_version_that_may_be_missing() {
    let mut targets = VersionTargets::default();
    targets.learn(&target(1), &told(1_000, Some(0), 1_000));
    targets.learn(&target(3), &presumed(2_000));
    targets.learn(&target(3), &told(6_000, None, 7_000));
    assert!(targets.is_uncertain());
    assert_eq!(targets.outdated_since(MODEL, 1), Some(at(2_000)));
    assert_eq!(targets.outdated_since(MODEL, 2), Some(at(6_000)));
    assert!(targets.learn(&target(3), &told(6_000, Some(1), 7_000)).linked);
    assert!(!targets.is_uncertain());
    assert_eq!(targets.outdated_since(MODEL, 1), Some(at(6_000)));
    // A link stays known.
    targets.learn(&target(3), &told(6_000, None, 7_000));
    assert!(!targets.has_gaps());
}

#[test]
fn a_first_version_hides_others_unless_it_is_known_to_be_the_first() {
    let mut targets = VersionTargets::default();
    targets.learn(&target(9), &presumed(2_000));
    targets.learn(&target(9), &told(6_000, None, 7_000));
    assert!(targets.has_gaps());
    assert_eq!(targets.outdated_since(MODEL, 4), Some(at(2_000)));
    targets.learn(&target(9), &told(6_000, Some(0), 7_000));
    assert!(!targets.has_gaps());
    assert_eq!(targets.outdated_since(MODEL, 4), Some(at(6_000)));
}

#[test]
fn an_older_version_without_a_date_is_as_old_as_it_can_be() {
    let mut targets = VersionTargets::default();
    targets.learn(&target(10), &told(1_000, Some(0), 1_000));
    targets.learn(&target(30), &told(6_000, Some(20), 2_000));
    targets.learn(&target(20), &presumed(7_000));
    assert_eq!(targets.outdated_since(MODEL, 10), Some(at(2_000)));
    assert!(targets.has_estimates());
    targets.learn(&target(20), &told(4_000, Some(10), 7_000));
    assert!(!targets.is_uncertain());
    assert_eq!(targets.outdated_since(MODEL, 10), Some(at(4_000)));
}

#[test]
fn of_two_dates_of_observers_the_earliest_counts() {
    let mut targets = VersionTargets::default();
    targets.learn(&target(2), &told(4_200, Some(1), 4_200));
    assert!(targets.learn(&target(2), &told(4_000, None, 4_200)).dated);
    assert!(!targets.learn(&target(2), &told(4_100, None, 4_200)).is_any());
    assert_eq!(targets.outdated_since(MODEL, 1), Some(at(4_000)));
}

#[test]
fn a_date_that_was_long_under_way_does_not_postpone_an_earlier_one() {
    let mut targets = VersionTargets::default();
    targets.learn(&target(3), &told(4_000, None, 2_000));
    targets.learn(&target(2), &told(9_000, Some(1), 9_000));
    assert_eq!(targets.outdated_since(MODEL, 1), Some(at(4_000)));
}

/// A process, as far as it hears of versions.
#[derive(Clone, Default)]
struct Process {
    targets: VersionTargets,
    /// How many of the versions it has read, once it has read any.
    read: Option<usize>,
    /// When it knew all versions, or else what it presumes.
    synced: u64,
    started: u64,
    /// Whether its watch is waiting for the next version.
    waiting: bool,
}

impl Process {
    fn start(now: u64) -> Process {
        let synced = now - PRESUMED;
        Process { synced, started: now, ..Process::default() }
    }

    fn watch(&mut self, set: &[(u64, u64)], now: u64) {
        let Some(read) = self.read else { return self.list(set, now) };
        for (version, since) in &set[read..] {
            let older = set.iter().rev().find(|(v, _)| v < version);
            let heard = HeardVersion {
                since: at(if self.waiting { *since } else { self.synced }),
                estimated: !self.waiting,
                previous: Some(older.map_or(0, |(v, _)| *v)),
                unheard: at(self.synced),
            };
            self.targets.learn(&target(*version), &heard);
        }
        self.sync(set, now);
        self.waiting = true;
    }

    fn list(&mut self, set: &[(u64, u64)], now: u64) {
        if let Some((version, _)) = set.last() {
            self.targets.learn(&target(*version), &presumed(self.synced));
        }
        self.sync(set, now);
    }

    fn sync(&mut self, set: &[(u64, u64)], now: u64) {
        self.read = Some(set.len());
        self.synced = now;
    }

    fn tell(&self, other: &mut Process) {
        for (_, version, heard) in self.targets.all() {
            let unheard = at(other.synced);
            let since = if heard.estimated { unheard } else { heard.since };
            let heard = HeardVersion { since, unheard, ..*heard };
            other.targets.learn(&target(version), &heard);
        }
    }
}

const PROCESSES: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    Set(u64),
    Start(usize),
    Watch(usize),
    Cut(usize),
    List(usize),
    Tell(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let one = 0..PROCESSES;
    prop_oneof![
        3 => (1_u64..4).prop_map(Step::Set),
        1 => one.clone().prop_map(Step::Start),
        3 => one.clone().prop_map(Step::Watch),
        1 => one.clone().prop_map(Step::Cut),
        2 => one.clone().prop_map(Step::List),
        4 => (one.clone(), one).prop_map(|(a, b)| Step::Tell(a, b)),
    ]
}

/// Fails if a process takes a version to be outdated since a later time than
/// it is. What was set before a process started may be as old as it presumes.
fn check(process: &Process, set: &[(u64, u64)]) {
    for version in 0..set.last().map_or(0, |(v, _)| *v) {
        let newer = set.iter().find(|(v, _)| *v > version);
        let real = newer.map_or(0, |(_, since)| *since);
        let most = at(real.max(process.started - PRESUMED));
        let Some(known) = process.targets.outdated_since(MODEL, version)
        else {
            continue;
        };
        assert!(known <= most, "{version}: {known:?}, {real}: {process:?}");
    }
}

impl std::fmt::Debug for Process {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.targets.fmt(f)
    }
}

proptest! {
    #[test]
    fn no_version_is_taken_for_outdated_later_than_it_is(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut now = 100_000;
        let mut set: Vec<(u64, u64)> = Vec::new();
        let mut processes = vec![Process::start(now); PROCESSES];
        for step in steps {
            now += 1_000;
            match step {
                Step::Set(more) => {
                    let newest = set.last().map_or(0, |(v, _)| *v);
                    set.push((newest + more, now));
                    // A watch that waits returns at once.
                    for process in &mut processes {
                        if process.waiting {
                            process.watch(&set, now);
                        }
                    }
                }
                Step::Start(i) => processes[i] = Process::start(now),
                Step::Watch(i) => processes[i].watch(&set, now),
                Step::Cut(i) => processes[i].waiting = false,
                Step::List(i) => processes[i].list(&set, now),
                Step::Tell(from, to) => {
                    let teller = processes[from].clone();
                    teller.tell(&mut processes[to]);
                }
            }
            for process in &processes {
                check(process, &set);
            }
        }
    }
}
