//! Tests for what holds for a request over all entries: which crashes excuse
//! one another, and how many runs of it there are in all.

use std::sync::Arc;

use super::{
    CrashReport, Fingerprint, Identity, PagePosition, PoisonRecord,
    PoisonTable, Suspicion,
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

/// Returns a record with these replicas, the last of which crashed 5 ms ago.
fn record(
    request: Fingerprint,
    ended: u8,
    replicas: &[usize],
) -> PoisonRecord {
    PoisonRecord {
        request,
        suspicion: Suspicion { ended, ..Suspicion::default() },
        age_ms: 5,
        replicas: replicas.iter().map(|index| replica(*index)).collect(),
    }
}

fn report(index: usize, accused: &[Fingerprint]) -> CrashReport {
    CrashReport {
        replica: replica(index),
        age_ms: 5,
        service: Arc::from("pool"),
        answers: Vec::new(),
        in_turn: false,
        accused: accused.to_vec(),
        cleared: Vec::new(),
    }
}

/// Guards against crashes under one request at several entries that excuse one
/// another, because an entry that learns of them knows each other replica only
/// by a request that ran beside it.
#[test]
fn crashes_under_the_same_request_at_other_entries_excuse_none_of_them() {
    let bad = request("bad");
    let mut table = PoisonTable::default();
    table.merge(vec![record(bad, 1, &[0])], at(300));
    table.merge(vec![record(bad, 2, &[0, 1])], at(545));
    table.merge_crashes(&[report(1, &[bad, request("x")])], at(545));
    // Entries that had learned of the crash of i-1 before add theirs.
    for (index, beside, now) in [(2, "y", 577), (3, "z", 590)] {
        let records = vec![
            record(bad, 2, &[index, 0, 1]),
            record(request(beside), 1, &[index]),
        ];
        table.merge(records, at(now));
        let accused = [bad, request(beside)];
        table.merge_crashes(&[report(index, &accused)], at(now));
    }
    assert_eq!(table.review(at(700)), []);
    assert_eq!(table.suspicion(bad).ended, 2);
}

/// Guards against a quarantined request that follows hundreds of others, and
/// against pages that leave out records.
#[test]
fn pages_begin_with_quarantined_requests_and_end_with_the_whole_table() {
    let mut full = PoisonTable::default();
    for index in 0..300 {
        let name = request(&format!("r{index}"));
        full.merge(vec![record(name, 1, &[0])], at(100));
        full.merge_crashes(&[report(index, &[name])], at(100));
    }
    let bad = request("bad");
    full.merge(vec![record(bad, 3, &[1])], at(50));
    let mut empty = PoisonTable::default();
    let mut from = PagePosition::default();
    loop {
        let page = full.page(from, at(200));
        assert_eq!(page.records[0].request, bad);
        empty.merge(page.records, at(200));
        empty.merge_crashes(&page.crashes, at(200));
        from = page.next;
        if from.is_start() {
            break;
        }
    }
    assert_eq!(empty.digest(), full.digest());
}
