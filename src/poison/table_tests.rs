//! The table of poisoned requests: what quarantines a request, what does not,
//! and that all entries come to the same.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use super::{
    Admission, Fingerprint, Identity, PoisonMessage, PoisonRecord,
    PoisonTable, RefusalReason, Suspicion,
};
use crate::Time;
use crate::placing::Message;

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

/// Admits a request that has to be.
fn sent(
    table: &mut PoisonTable,
    request: Fingerprint,
    now: Time,
) -> Suspicion {
    match table.admit(request, now) {
        Admission::Admitted(suspicion) => suspicion,
        Admission::Refused(refusal) => panic!("{refusal}"),
    }
}

/// Has a request end so many replicas, one after the other.
fn end_in_turn(
    table: &mut PoisonTable,
    request: Fingerprint,
    count: usize,
    now: Time,
) {
    for index in 0..count {
        let known = sent(table, request, now);
        table.record_end(request, known, &replica(index), now);
    }
}

#[test]
fn a_request_that_ends_three_replicas_in_turn_is_quarantined() {
    let mut table = PoisonTable::default();
    let bad = request("bad");
    end_in_turn(&mut table, bad, 2, at(0));
    assert_eq!(table.quarantined(), 0);
    end_in_turn(&mut table, bad, 1, at(100));
    assert_eq!(table.quarantined(), 1);
    let Admission::Refused(refusal) = table.admit(bad, at(1_100)) else {
        panic!("sent on");
    };
    assert_eq!(refusal.reason, RefusalReason::Quarantined);
    assert_eq!(refusal.age, Duration::from_secs(1));
    let hold = PoisonTable::HOLDS[0];
    assert_eq!(refusal.retry_after, hold - Duration::from_secs(1));
    assert_eq!(refusal.replicas, [replica(0), replica(1), replica(0)]);
    let other = request("other");
    assert_eq!(sent(&mut table, other, at(1_100)), Suspicion::default());
}

#[test]
fn replicas_that_end_together_count_once() {
    let mut table = PoisonTable::default();
    let hot = request("hot");
    // It runs on eight replicas of a rack, which loses its power.
    for index in 0..8 {
        table.record_end(hot, Suspicion::default(), &replica(index), at(0));
    }
    let known = sent(&mut table, hot, at(10));
    assert_eq!(known, Suspicion { ended: 1, ..Suspicion::default() });
}

#[test]
fn a_whole_answer_clears_a_request_of_all_that_went_before() {
    let mut table = PoisonTable::default();
    let hot = request("hot");
    end_in_turn(&mut table, hot, 1, at(0));
    let before = sent(&mut table, hot, at(5));
    assert_eq!(table.record_answer(hot, at(10)), Some(before));
    assert_eq!(table.record_answer(hot, at(11)), None);
    // One that had been sent before, and ends after.
    let known = table.record_end(hot, before, &replica(7), at(20));
    assert_eq!((known.cleared, known.ended), (1, 0));
    end_in_turn(&mut table, hot, 2, at(30));
    assert_eq!(table.quarantined(), 0);
}

#[test]
fn the_last_run_before_quarantine_has_no_other_beside_it() {
    let mut table = PoisonTable::default();
    let bad = request("bad");
    end_in_turn(&mut table, bad, 2, at(0));
    sent(&mut table, bad, at(100));
    let Admission::Refused(refusal) = table.admit(bad, at(200)) else {
        panic!("two at a time");
    };
    assert_eq!(refusal.reason, RefusalReason::OnTrial);
    assert_eq!(
        refusal.retry_after,
        PoisonTable::TRIAL_PERIOD - Duration::from_millis(100)
    );
    table.finish_run(bad);
    sent(&mut table, bad, at(200));
    // One whose end nobody tells holds no other up for good.
    sent(&mut table, bad, at(200).after(PoisonTable::TRIAL_PERIOD));
}

#[test]
fn a_quarantined_request_is_tried_three_times_and_then_no_more() {
    let mut table = PoisonTable::default();
    let bad = request("bad");
    end_in_turn(&mut table, bad, 3, at(0));
    let mut now = at(0);
    for (trial, hold) in PoisonTable::HOLDS.iter().enumerate() {
        let early = now.after(*hold - Duration::from_millis(1));
        assert!(matches!(table.admit(bad, early), Admission::Refused(_)));
        now = now.after(*hold);
        let known = sent(&mut table, bad, now);
        assert_eq!(usize::from(known.trials), trial + 1);
        // Whoever comes with it meanwhile is refused, here and elsewhere.
        assert!(matches!(table.admit(bad, now), Admission::Refused(_)));
        let mut other = PoisonTable::default();
        other.merge(table.take_unsent(now), now);
        assert!(matches!(other.admit(bad, now), Admission::Refused(_)));
        table.record_end(bad, known, &replica(9), now);
    }
    // It comes every hour.
    for _ in 0..100 {
        now = now.after(Duration::from_secs(3_600));
        table.sweep(now);
        let Admission::Refused(refusal) = table.admit(bad, now) else {
            panic!("a fourth trial");
        };
        assert_eq!(refusal.retry_after, PoisonTable::QUARANTINE_KEPT);
    }
    // It comes no more, and is forgotten.
    now = now.after(PoisonTable::QUARANTINE_KEPT);
    table.sweep(now);
    assert!(table.is_empty());
}

#[test]
fn a_trial_that_is_answered_lifts_the_quarantine_everywhere() {
    let mut table = PoisonTable::default();
    let mended = request("mended");
    end_in_turn(&mut table, mended, 3, at(0));
    let mut other = PoisonTable::default();
    other.merge(table.take_unsent(at(0)), at(0));
    assert_eq!(other.quarantined(), 1);
    let now = at(0).after(PoisonTable::HOLDS[0]);
    sent(&mut table, mended, now);
    table.record_answer(mended, now);
    other.merge(table.take_unsent(now), now);
    assert_eq!(other.quarantined(), 0);
    assert_eq!(sent(&mut other, mended, now).ended, 0);
}

#[test]
fn an_end_is_told_once_the_request_is_given_up_or_ends_another() {
    let mut table = PoisonTable::default();
    let (sound, lost, bad) =
        (request("sound"), request("lost"), request("bad"));
    end_in_turn(&mut table, sound, 1, at(0));
    end_in_turn(&mut table, lost, 1, at(0));
    assert!(table.take_unsent(at(0)).is_empty(), "they are sent on");
    table.record_answer(sound, at(900));
    table.record_give_up(lost);
    end_in_turn(&mut table, bad, 2, at(900));
    let told = table.take_unsent(at(900));
    let mut told: Vec<Fingerprint> = told.iter().map(|r| r.request).collect();
    told.sort_unstable();
    let mut wanted = vec![lost, bad];
    wanted.sort_unstable();
    assert_eq!(told, wanted);
    // A caller that goes leaves nobody to give it up.
    let left = request("left");
    end_in_turn(&mut table, left, 1, at(1_000));
    table.sweep(at(2_999));
    assert!(table.take_unsent(at(2_999)).is_empty());
    table.sweep(at(3_000));
    assert_eq!(table.take_unsent(at(3_000))[0].request, left);
}

#[test]
fn who_knows_nothing_learns_all_part_by_part() {
    let mut full = PoisonTable::default();
    for index in 0..100 {
        let name = request(&format!("r{index}"));
        end_in_turn(&mut full, name, 2 + index % 2, at(index as u64));
    }
    let mut empty = PoisonTable::default();
    let mut parts = 0;
    while empty.digest() != full.digest() {
        let part = full.next_batch(8, at(500));
        if parts == 0 {
            assert!(part.iter().all(|r| r.suspicion.is_quarantined()));
        }
        empty.merge(part, at(500));
        parts += 1;
        assert!(parts <= 13, "{} of 100", empty.len());
    }
    assert_eq!(empty.quarantined(), 50);
}

#[test]
fn a_table_is_bounded_and_keeps_what_is_quarantined() {
    let mut table = PoisonTable::default();
    let bad = request("bad");
    end_in_turn(&mut table, bad, 3, at(0));
    for index in 0..PoisonTable::MOST + 100 {
        let name = request(&format!("r{index}"));
        let known = Suspicion::default();
        table.record_end(name, known, &replica(0), at(1_000));
    }
    assert!(table.len() <= PoisonTable::MOST);
    assert_eq!(table.quarantined(), 1);
    let before = table.len();
    let out_of_range = PoisonRecord {
        request: request("forged"),
        suspicion: Suspicion { cleared: 0, ended: 200, trials: 0 },
        age_ms: 0,
        replicas: Vec::new(),
    };
    let too_old = PoisonRecord {
        suspicion: Suspicion { cleared: 0, ended: 3, trials: 0 },
        age_ms: u64::MAX,
        ..out_of_range.clone()
    };
    assert!(table.merge(vec![out_of_range, too_old], at(1_000)).is_empty());
    assert_eq!(table.len(), before);
}

#[test]
fn a_message_of_the_longest_names_fits_into_a_datagram() {
    let mut table = PoisonTable::default();
    let long: Arc<str> = Arc::from("\u{e9}".repeat(400));
    for index in 0..PoisonMessage::MAX_RECORDS {
        let name = request(&format!("r{index}"));
        for _ in 0..3 {
            let known = sent(&mut table, name, at(0));
            table.record_end(name, known, &long, at(0));
        }
    }
    let records = table.next_batch(PoisonMessage::MAX_RECORDS, at(0));
    assert_eq!(records.len(), PoisonMessage::MAX_RECORDS);
    let news = PoisonMessage::Differs { digest: u64::MAX, records };
    let json = serde_json::to_vec(&Message::Poison(news)).unwrap();
    assert!(json.len() <= 4_096, "{} bytes", json.len());
}

/// A hall of replicas on which a request of many callers runs, with racks
/// that fail at random: it is never quarantined.
#[test]
fn no_request_that_runs_everywhere_is_quarantined_as_racks_fail() {
    const REPLICAS: usize = 24;
    const RACK: usize = 6;
    for seed in 0..1_000 {
        let mut draw = StdRng::seed_from_u64(seed);
        let mut table = PoisonTable::default();
        let hot = request("hot");
        // What was known when each replica's run was sent there, and until
        // when it lasts.
        let mut runs: Vec<(Suspicion, u64)> = Vec::new();
        for now in (0..60_000).step_by(50) {
            runs.resize(REPLICAS, (Suspicion::default(), now));
            for (index, run) in runs.iter_mut().enumerate() {
                if run.1 > now || draw.random_ratio(1, 8) {
                    continue;
                }
                table.record_answer(hot, at(now));
                match table.admit(hot, at(now)) {
                    Admission::Admitted(known) => *run = (known, now + 800),
                    Admission::Refused(refusal) => {
                        let reason = RefusalReason::OnTrial;
                        let why = format!("seed {seed}, {index}: {refusal}");
                        assert_eq!(refusal.reason, reason, "{why}");
                    }
                }
            }
            if !draw.random_ratio(1, 40) {
                continue;
            }
            let first = draw.random_range(0..REPLICAS / RACK) * RACK;
            for (index, run) in runs.iter_mut().enumerate() {
                if (first..first + RACK).contains(&index) && run.1 > now {
                    table.record_end(hot, run.0, &replica(index), at(now));
                    run.1 = now;
                }
            }
        }
        assert_eq!(table.quarantined(), 0, "seed {seed}");
    }
}

fn any_record() -> impl Strategy<Value = PoisonRecord> {
    let counts = (0..3_u32, 0..=3_u8, 0..=3_u8);
    (0..4_usize, counts, 0..50_000_u64).prop_map(|(name, counts, age_ms)| {
        let (cleared, ended, trials) = counts;
        PoisonRecord {
            request: request(&format!("r{name}")),
            suspicion: Suspicion { cleared, ended, trials },
            age_ms,
            replicas: vec![replica(name)],
        }
    })
}

proptest! {
    /// Whatever order records come in, how often, and by which of two
    /// entries, both come to know the same.
    #[test]
    fn all_entries_come_to_know_the_same(
        records in proptest::collection::vec(any_record(), 1..24),
        order in any::<u64>(),
    ) {
        let now = at(100_000);
        let mut draw = StdRng::seed_from_u64(order);
        let mut one = PoisonTable::default();
        let mut two = PoisonTable::default();
        one.merge(records.clone(), now);
        let mut shuffled = records;
        for last in (1..shuffled.len()).rev() {
            shuffled.swap(last, draw.random_range(0..=last));
        }
        for record in shuffled {
            let twice = vec![record.clone(), record];
            two.merge(twice, now);
        }
        prop_assert_eq!(one.digest(), two.digest());
        let told = one.next_batch(100, now);
        two.merge(told, now);
        prop_assert_eq!(one.digest(), two.digest());
        prop_assert_eq!(one.quarantined(), two.quarantined());
    }
}
