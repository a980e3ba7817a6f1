//! Tests for what holds for a request over all entries: which crashes excuse
//! one another, and how many runs of it there are in all.

use std::sync::Arc;
use std::time::Duration;

use super::{
    Admission, ClaimStage, CrashReport, Fingerprint, Identity, PagePosition,
    PoisonRecord, PoisonTable, RefusalReason, RequestFeatures, RunClaim,
    Suspicion,
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

/// Has a request crash a replica in the table of an entry.
fn crash(
    table: &mut PoisonTable,
    request: Fingerprint,
    index: usize,
    now: Time,
) {
    let sent = table.suspicion(request);
    let features = RequestFeatures::from(request);
    let service = Arc::from("pool");
    table.accuse(&features, sent, &replica(index), &service, now);
}

/// Has other requests of the service get complete answers.
fn answer_others(table: &mut PoisonTable, now: Time) {
    for index in 0..16 {
        let other = request(&format!("other{index}"));
        let features = RequestFeatures::from(other);
        table.clear_features(&features, Some("pool"), now);
    }
}

fn refusal(
    table: &mut PoisonTable,
    request: Fingerprint,
    now: Time,
) -> Option<RefusalReason> {
    match table.admit(request, now) {
        Admission::Admitted(_) => None,
        Admission::Refused(refusal) => Some(refusal.reason),
    }
}

/// Returns a table in which each crash of the request coincided with exits of
/// idle replicas, and was withdrawn if it was not the first.
fn withdrawn(bad: Fingerprint, crashes: usize, gap_ms: u64) -> PoisonTable {
    let mut table = PoisonTable::default();
    for index in 0..crashes {
        let now = at(1_000 + index as u64 * gap_ms);
        crash(&mut table, bad, index, now);
        let idle = replica(100 + index);
        table.record_exit(&idle, now, now, true);
        table.review(now.after(PoisonTable::SETTLE_PERIOD));
        assert!(table.suspicion(bad).ended <= 1);
    }
    table
}

/// Guards against a request whose crashes all coincide with exits of others,
/// so that it goes on crashing replicas while others are answered.
#[test]
fn withdrawn_crashes_do_not_excuse_a_request_for_good() {
    let bad = request("bad");
    let mut table = withdrawn(bad, 3, 100);
    answer_others(&mut table, at(1_300));
    assert_eq!(refusal(&mut table, bad, at(3_100)), None);
    assert_eq!(refusal(&mut table, bad, at(3_100)), None);
    // One run at a time from 2 s after the third crash on.
    assert_eq!(refusal(&mut table, bad, at(3_200)), None);
    let on_trial = Some(RefusalReason::OnTrial);
    assert_eq!(refusal(&mut table, bad, at(3_200)), on_trial);
    crash(&mut table, bad, 3, at(3_300));
    table.record_exit(&replica(103), at(3_300), at(3_300), true);
    let settled = at(3_300).after(PoisonTable::SETTLE_PERIOD);
    assert_eq!(table.review(settled), []);
    let quarantined = Some(RefusalReason::Quarantined);
    assert_eq!(refusal(&mut table, bad, settled), quarantined);
}

/// Guards against evidence that is lost as a part of the prompt explains the
/// crashes and is released later.
#[test]
fn crashes_on_trial_prove_a_request_whatever_clears_its_count() {
    let bad = request("bad");
    let mut table = withdrawn(bad, 3, 100);
    answer_others(&mut table, at(1_300));
    for (index, ms) in [(3, 4_000), (4, 6_000)] {
        assert_eq!(refusal(&mut table, bad, at(ms)), None);
        crash(&mut table, bad, index, at(ms + 100));
        // As others do that have excused it.
        let cleared = table.suspicion(bad).cleared + 1;
        let suspicion = Suspicion { cleared, ..Suspicion::default() };
        let excused = PoisonRecord { suspicion, ..record(bad, 0, &[]) };
        table.merge(vec![excused], at(ms + 200));
    }
    let quarantined = Some(RefusalReason::Quarantined);
    assert_eq!(refusal(&mut table, bad, at(8_000)), quarantined);
    let later = at(6_100).after(Duration::from_secs(600));
    assert_eq!(refusal(&mut table, bad, later), None);
}

/// Guards against doubt of a harmless request: while nothing else is answered,
/// and once it is answered itself.
#[test]
fn a_request_is_not_in_doubt_while_none_is_answered_or_once_it_is() {
    let hot = request("hot");
    let admitted_twice = |table: &mut PoisonTable| {
        for _ in 0..2 {
            assert_eq!(refusal(table, hot, at(9_000)), None);
        }
    };
    let mut table = withdrawn(hot, 8, 600);
    admitted_twice(&mut table);
    let mut table = withdrawn(hot, 8, 600);
    answer_others(&mut table, at(6_000));
    table.record_answer(hot, at(6_100));
    table.clear_features(&hot.into(), Some("pool"), at(6_100));
    admitted_twice(&mut table);
}

/// Returns two tables, each with a claim to the run of a request that is one
/// crash short of quarantine.
fn two_claims(bad: Fingerprint) -> ([PoisonTable; 2], [RunClaim; 2]) {
    let claim = |number| {
        let mut table = PoisonTable::default();
        table.merge(vec![record(bad, 2, &[0, 1])], at(500));
        assert_eq!(refusal(&mut table, bad, at(1_000)), None);
        let claim = table.begin_claim(&bad.into(), number, at(1_000));
        (table, claim.unwrap())
    };
    let ((first, one), (second, two)) = (claim(1), claim(2));
    ([first, second], [one, two])
}

/// Guards against runs of a request at two entries that both must be the only
/// one.
#[test]
fn one_of_two_claims_to_the_only_run_begins() {
    let bad = request("bad");
    let ([mut first, mut second], [one, two]) = two_claims(bad);
    assert!(!first.hear_claim(&two, at(1_020)).is_new);
    assert!(second.hear_claim(&one, at(1_020)).is_new);
    assert!(first.begin_claimed_run(&one));
    assert!(!second.begin_claimed_run(&two));
    second.end_claims(&two);
    let on_trial = Some(RefusalReason::OnTrial);
    assert_eq!(refusal(&mut second, bad, at(1_100)), on_trial);
    // A crash under another run is reported meanwhile.
    second.merge(vec![record(bad, 2, &[2, 0, 1])], at(1_150));
    assert_eq!(refusal(&mut second, bad, at(1_200)), on_trial);
    let over = RunClaim { stage: ClaimStage::Over, ..one };
    assert!(second.hear_claim(&over, at(1_300)).is_new);
    assert_eq!(refusal(&mut second, bad, at(1_300)), None);
}

/// Guards against a better claim that is made when a run has begun of which its
/// entry had not heard.
#[test]
fn a_run_in_progress_precedes_later_claims() {
    let bad = request("bad");
    let ([mut first, mut second], [one, two]) = two_claims(bad);
    assert!(second.begin_claimed_run(&two));
    let heard = second.hear_claim(&one, at(1_200));
    assert!(!heard.is_new);
    let running = heard.preceding.unwrap();
    assert_eq!((running.number, running.stage), (2, ClaimStage::Running));
    assert!(first.hear_claim(&running, at(1_210)).is_new);
    assert!(!first.begin_claimed_run(&one));
}

/// Guards against trials of a quarantined part at all entries at once.
#[test]
fn the_trial_of_a_part_is_claimed() {
    let part = Fingerprint::of_part("bad part");
    let features = RequestFeatures::from_parts(request("any"), vec![part]);
    let mut table = PoisonTable::default();
    table.merge(vec![record(part, 3, &[0, 1, 2])], at(500));
    let later = at(500).after(PoisonTable::PART_TRIAL_DELAYS[0]);
    let admission = table.admit_features(&features, later);
    assert!(matches!(admission, Admission::Admitted(_)));
    let claim = table.begin_claim(&features, 1, later).unwrap();
    assert_eq!(claim.features, [part]);
}

/// Guards against callers of a quarantined request who are told to come back
/// after a run that is over.
#[test]
fn a_quarantined_request_awaits_no_run() {
    let bad = request("bad");
    let ([mut first, mut second], [one, _]) = two_claims(bad);
    assert!(first.begin_claimed_run(&one));
    let running = RunClaim { stage: ClaimStage::Running, ..one };
    assert!(second.hear_claim(&running, at(1_100)).is_new);
    second.merge(vec![record(bad, 3, &[0, 1, 2])], at(1_150));
    let quarantined = Some(RefusalReason::Quarantined);
    assert_eq!(refusal(&mut second, bad, at(1_160)), quarantined);
    // The news of the run's beginning arrives late.
    second.hear_claim(&running, at(1_170));
    assert_eq!(refusal(&mut second, bad, at(1_180)), quarantined);
}

/// Guards against crashes under runs that were claimed first, which accuse no
/// part until the service has answered others.
#[test]
fn a_crash_under_a_claimed_run_counts_for_its_parts_at_once() {
    let part = Fingerprint::of_part("bad part");
    let service = Arc::from("pool");
    let mut table = PoisonTable::default();
    // The third run of the first request begins once it has been claimed.
    let crashes = [
        ("first", 1_000),
        ("first", 1_010),
        ("first", 1_125),
        ("second", 1_300),
        ("second", 1_310),
    ];
    for (index, (name, ms)) in crashes.into_iter().enumerate() {
        let features = RequestFeatures::from_parts(request(name), vec![part]);
        let sent = table.suspicion(features.request);
        table.accuse(&features, sent, &replica(index), &service, at(ms));
    }
    let judged = table.judge(at(1_320));
    let parts: Vec<_> = judged.quarantined.iter().map(|(p, _)| *p).collect();
    assert_eq!(parts, [part]);
}
