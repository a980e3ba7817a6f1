//! Tests for crashes that coincide with exits of other replicas: they must not
//! count against a harmless request, and must not excuse a poisoned one.

use std::sync::Arc;
use std::time::Duration;

use super::{
    Admission, Fingerprint, Identity, PoisonRecord, PoisonTable,
    RefusalReason, Suspicion,
};
use crate::Time;

fn request(name: &str) -> Fingerprint {
    let body = name.as_bytes();
    Fingerprint::of(&Identity { host: "a", path: "/", caller: "c", body })
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn replica(index: usize) -> Arc<str> {
    Arc::from(format!("i-{index}"))
}

fn suspicion(ended: u8) -> Suspicion {
    Suspicion { ended, ..Suspicion::default() }
}

/// Returns a table in which the request crashed two replicas in succession,
/// the second one, `i-1`, at 1,000 ms.
fn crashed_twice(request: Fingerprint) -> PoisonTable {
    let mut table = PoisonTable::default();
    table.record_crash(request, suspicion(0), &replica(0), at(500));
    table.record_crash(request, suspicion(1), &replica(1), at(1_000));
    table
}

fn settled(ms: u64) -> Time {
    at(ms).after(PoisonTable::SETTLE_PERIOD)
}

#[test]
fn an_idle_replica_that_exits_at_the_same_time_withdraws_a_crash() {
    let hot = request("hot");
    let mut table = crashed_twice(hot);
    table.record_exit(&replica(2), at(900), at(1_010), true);
    assert!(table.review(at(1_010)).is_empty(), "not settled yet");
    let withdrawn = table.review(settled(1_010));
    assert_eq!(withdrawn[0].0, hot);
    assert_eq!(withdrawn[0].1, [replica(1), replica(2)]);
    assert_eq!(table.suspicion(hot).ended, 1);
    // The others learn of it.
    let mut other = crashed_twice(hot);
    other.merge(table.take_unsent(settled(1_010)), settled(1_010));
    assert_eq!(other.suspicion(hot), table.suspicion(hot));
    // The same exits do not withdraw the first crash too.
    assert!(table.review(settled(1_020)).is_empty());
}

#[test]
fn an_exit_at_another_time_withdraws_nothing() {
    let bad = request("bad");
    let mut table = crashed_twice(bad);
    table.record_exit(&replica(2), at(1_060), at(1_070), true);
    table.record_exit(&replica(3), at(800), at(940), true);
    assert!(table.review(settled(1_100)).is_empty());
    assert_eq!(table.suspicion(bad).ended, 2);
}

/// Guards against an excuse by replicas that the request itself crashed, as
/// when it is sent to all of them in one moment.
#[test]
fn replicas_that_ran_the_request_do_not_withdraw_a_crash() {
    let bad = request("bad");
    let mut table = crashed_twice(bad);
    for index in 2..6 {
        let name = replica(index);
        table.record_crash(bad, suspicion(1), &name, at(1_005));
        table.record_exit(&name, at(990), at(1_010), true);
    }
    assert!(table.review(settled(1_010)).is_empty());
    assert_eq!(table.suspicion(bad).ended, 2);
}

/// Guards against two poisoned requests that excuse each other, also if
/// harmless requests ran beside them.
#[test]
fn two_poisoned_requests_do_not_excuse_each_other() {
    let (bad, worse) = (request("bad"), request("worse"));
    let mut table = crashed_twice(bad);
    for index in 2..5 {
        let beside = request(&format!("beside {index}"));
        for request in [worse, beside] {
            table.record_crash(
                request,
                suspicion(0),
                &replica(index),
                at(1_010),
            );
        }
    }
    assert!(table.review(settled(1_010)).is_empty());
    assert_eq!(table.suspicion(bad).ended, 2);
}

#[test]
fn replicas_without_a_request_in_common_withdraw_a_crash() {
    let hot = request("hot");
    let mut table = crashed_twice(hot);
    let mut exit = |index: usize| {
        let beside = request(&format!("beside {index}"));
        table.record_crash(beside, suspicion(0), &replica(index), at(1_010));
        table.review(settled(1_010)).len()
    };
    // A single one may have been crashed by what it ran.
    assert_eq!(exit(2), 0);
    assert_eq!(exit(3), 1);
}

/// Guards against a replica whose requests are unknown, which may have been
/// crashed by another poisoned request.
#[test]
fn one_replica_with_unknown_requests_withdraws_nothing() {
    let bad = request("bad");
    let mut table = crashed_twice(bad);
    table.record_exit(&replica(2), at(950), at(1_010), false);
    assert!(table.review(settled(1_010)).is_empty());
    table.record_exit(&replica(3), at(950), at(1_010), false);
    assert_eq!(table.review(settled(1_010)).len(), 1);
}

/// Guards against an entry that learns of a crash from others and does not
/// compare it with the exits that it knows of.
#[test]
fn a_reported_crash_is_compared_with_known_exits() {
    let hot = request("hot");
    let mut told = crashed_twice(hot);
    let records = told.next_batch(8, at(1_200));
    assert!(records.is_empty() || records[0].age_ms == 200);
    let records = told.records(&[hot], at(1_200));
    let mut table = PoisonTable::default();
    table.record_exit(&replica(2), at(900), at(1_010), true);
    table.merge(records, at(1_200));
    assert_eq!(table.review(at(1_200)).len(), 1);
    assert_eq!(table.suspicion(hot).ended, 1);
}

/// Guards against a replica with a long name whose own exit is taken for that
/// of another one.
#[test]
fn a_replica_with_a_long_name_is_not_another_one() {
    let bad = request("bad");
    let long: Arc<str> = Arc::from("i-".repeat(100));
    let mut table = PoisonTable::default();
    table.record_crash(bad, suspicion(0), &replica(0), at(500));
    table.record_crash(bad, suspicion(1), &long, at(1_000));
    let records = table.records(&[bad], at(1_010));
    let mut other = PoisonTable::default();
    other.merge(records, at(1_010));
    for table in [&mut table, &mut other] {
        table.record_exit(&long, at(990), at(1_005), true);
        assert!(table.review(settled(1_010)).is_empty());
        assert_eq!(table.suspicion(bad).ended, 2);
    }
}

/// Guards against a quarantine that outlasts the evidence against it.
#[test]
fn a_crash_that_led_to_quarantine_is_withdrawn() {
    let hot = request("hot");
    let mut table = crashed_twice(hot);
    table.record_crash(hot, suspicion(2), &replica(4), at(2_000));
    assert_eq!(table.quarantined(), 1);
    table.record_exit(&replica(2), at(1_950), at(2_000), true);
    let admission = table.admit(hot, settled(2_000));
    assert!(matches!(admission, Admission::Admitted(s) if s.ended == 2));
}

/// Guards against an exit that is told again and again with other records and
/// is taken for a new one each time.
#[test]
fn a_withdrawn_crash_reports_no_new_exit() {
    let hot = request("hot");
    let mut table = crashed_twice(hot);
    table.record_crash(hot, suspicion(1), &replica(5), at(1_001));
    table.record_exit(&replica(2), at(900), at(1_010), true);
    table.review(settled(1_010));
    let records = table.records(&[hot], at(3_000));
    assert_eq!(records[0].suspicion.to_string(), "1.1.0");
    let mut other = PoisonTable::default();
    let bad = request("bad");
    for _ in 0..2 {
        other.merge(records.clone(), at(3_000));
    }
    other.record_crash(bad, suspicion(0), &replica(8), at(2_000));
    other.record_crash(bad, suspicion(1), &replica(9), at(3_000));
    other.record_exit(&replica(7), at(2_990), at(3_000), false);
    assert!(other.review(settled(3_000)).is_empty());
}

/// The replicas of a service, two entries, and requests that crash each replica
/// that runs them, in bursts of twelve callers.
struct Bursts {
    replicas: usize,
    /// The poisoned requests, each sent in each burst.
    poisoned: Vec<Fingerprint>,
    gap_ms: u64,
    /// The replicas that exit by themselves in each burst, at the time of the
    /// crashes.
    rack: Vec<usize>,
}

impl Bursts {
    /// Plays bursts. Returns for each how many replicas the poisoned requests
    /// ended, and how many callers were admitted.
    fn play(&self, bursts: u64) -> Vec<(usize, usize)> {
        let mut entries = [PoisonTable::default(), PoisonTable::default()];
        let mut played = Vec::new();
        for burst in 0..bursts {
            let now = at(burst * self.gap_ms);
            let end = now.after(Duration::from_millis(70));
            let mut runs = Vec::new();
            for caller in 0..12 {
                for (number, bad) in self.poisoned.iter().enumerate() {
                    let table = &mut entries[caller % 2];
                    let Admission::Admitted(sent) = table.admit(*bad, now)
                    else {
                        continue;
                    };
                    let index = if table.shares_replica(*bad) {
                        number
                    } else {
                        caller
                    };
                    let index = index % self.replicas;
                    runs.push((caller % 2, index, *bad, sent));
                }
            }
            let mut ended: Vec<usize> = runs.iter().map(|r| r.1).collect();
            ended.sort_unstable();
            ended.dedup();
            played.push((ended.len(), runs.len()));
            for (entry, index, bad, sent) in &runs {
                let name = replica(*index);
                entries[*entry].finish_run(*bad);
                entries[*entry].record_crash(*bad, *sent, &name, end);
            }
            for index in &self.rack {
                if ended.contains(index) {
                    continue;
                }
                for entry in &mut entries {
                    entry.record_exit(&replica(*index), now, end, true);
                }
            }
            let told: Vec<Vec<PoisonRecord>> = entries
                .iter()
                .map(|e| e.records(&self.poisoned, end))
                .collect();
            for (entry, records) in entries.iter_mut().zip(told.iter().rev()) {
                entry.merge(records.clone(), end);
                entry.review(end.after(PoisonTable::SETTLE_PERIOD));
            }
        }
        played
    }
}

/// Guards against a poisoned request that is sent to all replicas in one moment
/// and, since they exit together, is taken for one that they exited beside.
#[test]
fn a_poisoned_request_sent_to_all_replicas_at_once_is_quarantined() {
    for (replicas, gap_ms) in [(6, 500), (6, 5_000), (2, 5_000), (40, 5_000)] {
        let poisoned = vec![request("bad")];
        let rack = Vec::new();
        let bursts = Bursts { replicas, poisoned, gap_ms, rack };
        let played = bursts.play(6);
        let ends: usize = played.iter().map(|(ends, _)| ends).sum();
        let first = replicas.min(12);
        assert!(ends <= first + 2, "{replicas} replicas: {played:?}");
        assert_eq!(played[5], (0, 0), "{played:?}");
    }
}

#[test]
fn two_poisoned_requests_sent_to_all_replicas_at_once_are_quarantined() {
    for replicas in [2, 3, 6, 40] {
        let poisoned = vec![request("bad"), request("worse")];
        let gap_ms = 5_000;
        let bursts = Bursts { replicas, poisoned, gap_ms, rack: Vec::new() };
        let played = bursts.play(6);
        let ends: usize = played.iter().map(|(ends, _)| ends).sum();
        let first = replicas.min(12);
        assert!(ends <= first + 4, "{replicas} replicas: {played:?}");
        assert_eq!(played[5], (0, 0), "{played:?}");
    }
}

/// Guards against a rack without power that excuses a poisoned request for
/// good: each loss of power excuses one crash.
#[test]
fn a_poisoned_request_is_quarantined_though_a_rack_loses_power() {
    let poisoned = vec![request("bad")];
    let rack = (6..12).collect();
    let mut bursts = Bursts { replicas: 6, poisoned, gap_ms: 5_000, rack };
    let with_rack = bursts.play(1);
    assert_eq!(with_rack[0].0, 6);
    // The rack fails with each burst: none of the crashes is proved to be the
    // request's, but each costs one replica only.
    let played = bursts.play(8);
    assert!(played[1..].iter().all(|(ends, _)| *ends <= 1), "{played:?}");
    bursts.rack.clear();
    let played = bursts.play(8);
    assert_eq!(played[7], (0, 0), "{played:?}");
}

/// Guards against a last run that is no longer exclusive once the exits of
/// others had the time to become known.
#[test]
fn the_last_run_is_exclusive_after_replicas_crashed_together() {
    let bad = request("bad");
    let mut table = crashed_twice(bad);
    table.record_crash(bad, suspicion(1), &replica(2), at(1_000));
    assert!(table.shares_replica(bad));
    let during = at(1_100);
    for _ in 0..2 {
        let admission = table.admit(bad, during);
        assert!(matches!(admission, Admission::Admitted(_)));
    }
    let later = at(1_000).after(PoisonTable::REVIEW_PERIOD);
    assert!(matches!(table.admit(bad, later), Admission::Admitted(_)));
    let Admission::Refused(refusal) = table.admit(bad, later) else {
        panic!("two runs at a time");
    };
    assert_eq!(refusal.reason, RefusalReason::OnTrial);
}
