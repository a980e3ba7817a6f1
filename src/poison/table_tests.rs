//! Tests for the table of poisoned requests: when a request is quarantined,
//! and that the tables of all entries converge.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use super::{
    Admission, Fingerprint, Identity, PagePosition, PoisonMessage,
    PoisonRecord, PoisonTable, RefusalReason, Suspicion,
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

/// Admits a request, and panics if it is refused.
fn admit(
    table: &mut PoisonTable,
    request: Fingerprint,
    now: Time,
) -> Suspicion {
    match table.admit(request, now) {
        Admission::Admitted(suspicion) => suspicion,
        Admission::Refused(refusal) => panic!("{refusal}"),
    }
}

/// Records that a request crashed `count` replicas in succession.
fn crash_in_succession(
    table: &mut PoisonTable,
    request: Fingerprint,
    count: usize,
    now: Time,
) {
    for index in 0..count {
        let suspicion = admit(table, request, now);
        table.record_crash(request, suspicion, &replica(index), now);
    }
}

#[test]
fn a_request_that_crashes_three_replicas_in_succession_is_quarantined() {
    let mut table = PoisonTable::default();
    let bad = request("bad");
    crash_in_succession(&mut table, bad, 2, at(0));
    assert_eq!(table.quarantined(), 0);
    crash_in_succession(&mut table, bad, 1, at(100));
    assert_eq!(table.quarantined(), 1);
    let Admission::Refused(refusal) = table.admit(bad, at(1_100)) else {
        panic!("admitted while quarantined");
    };
    assert_eq!(refusal.reason, RefusalReason::Quarantined);
    assert_eq!(refusal.age, Duration::from_secs(1));
    let delay = PoisonTable::TRIAL_DELAYS[0];
    assert_eq!(refusal.retry_after, delay - Duration::from_secs(1));
    assert_eq!(refusal.replicas, [replica(0), replica(1), replica(0)]);
    let other = request("other");
    assert_eq!(admit(&mut table, other, at(1_100)), Suspicion::default());
}

#[test]
fn replicas_that_crash_together_count_once() {
    let mut table = PoisonTable::default();
    let hot = request("hot");
    // The request runs on eight replicas of a rack that loses power.
    for index in 0..8 {
        table.record_crash(hot, Suspicion::default(), &replica(index), at(0));
    }
    let suspicion = admit(&mut table, hot, at(10));
    assert_eq!(suspicion, Suspicion { ended: 1, ..Suspicion::default() });
}

#[test]
fn a_complete_answer_clears_a_request_of_earlier_crashes() {
    let mut table = PoisonTable::default();
    let hot = request("hot");
    crash_in_succession(&mut table, hot, 1, at(0));
    let before = admit(&mut table, hot, at(5));
    assert_eq!(table.record_answer(hot, at(10)), Some(before));
    assert_eq!(table.record_answer(hot, at(11)), None);
    // A run that was started before the answer crashes a replica after it.
    let suspicion = table.record_crash(hot, before, &replica(7), at(20));
    assert_eq!((suspicion.cleared, suspicion.ended), (1, 0));
    crash_in_succession(&mut table, hot, 2, at(30));
    assert_eq!(table.quarantined(), 0);
}

#[test]
fn the_last_run_before_quarantine_is_exclusive() {
    let mut table = PoisonTable::default();
    let bad = request("bad");
    crash_in_succession(&mut table, bad, 2, at(0));
    admit(&mut table, bad, at(100));
    let Admission::Refused(refusal) = table.admit(bad, at(200)) else {
        panic!("two runs at a time");
    };
    assert_eq!(refusal.reason, RefusalReason::OnTrial);
    assert_eq!(
        refusal.retry_after,
        PoisonTable::TRIAL_PERIOD - Duration::from_millis(100)
    );
    table.finish_run(bad);
    admit(&mut table, bad, at(200));
    // A run whose end is never reported blocks others only temporarily.
    admit(&mut table, bad, at(200).after(PoisonTable::TRIAL_PERIOD));
}

#[test]
fn a_quarantined_request_gets_at_most_three_trial_runs() {
    let mut table = PoisonTable::default();
    let bad = request("bad");
    crash_in_succession(&mut table, bad, 3, at(0));
    let mut now = at(0);
    for (trial, delay) in PoisonTable::TRIAL_DELAYS.iter().enumerate() {
        let early = now.after(*delay - Duration::from_millis(1));
        assert!(matches!(table.admit(bad, early), Admission::Refused(_)));
        now = now.after(*delay);
        let suspicion = admit(&mut table, bad, now);
        assert_eq!(usize::from(suspicion.trials), trial + 1);
        // Meanwhile this entry and others refuse the request.
        assert!(matches!(table.admit(bad, now), Admission::Refused(_)));
        let mut other = PoisonTable::default();
        other.merge(table.take_unsent(now), now);
        assert!(matches!(other.admit(bad, now), Admission::Refused(_)));
        table.record_crash(bad, suspicion, &replica(9), now);
    }
    // The request arrives every hour.
    for _ in 0..100 {
        now = now.after(Duration::from_secs(3_600));
        table.sweep(now);
        let Admission::Refused(refusal) = table.admit(bad, now) else {
            panic!("admitted to a fourth trial run");
        };
        assert_eq!(refusal.retry_after, PoisonTable::QUARANTINE_RETENTION);
    }
    // The request stops arriving and is forgotten.
    now = now.after(PoisonTable::QUARANTINE_RETENTION);
    table.sweep(now);
    assert!(table.is_empty());
}

#[test]
fn an_answered_trial_run_lifts_the_quarantine_everywhere() {
    let mut table = PoisonTable::default();
    let fixed = request("mended");
    crash_in_succession(&mut table, fixed, 3, at(0));
    let mut other = PoisonTable::default();
    other.merge(table.take_unsent(at(0)), at(0));
    assert_eq!(other.quarantined(), 1);
    let now = at(0).after(PoisonTable::TRIAL_DELAYS[0]);
    admit(&mut table, fixed, now);
    table.record_answer(fixed, now);
    other.merge(table.take_unsent(now), now);
    assert_eq!(other.quarantined(), 0);
    assert_eq!(admit(&mut other, fixed, now).ended, 0);
}

#[test]
fn a_crash_is_shared_after_giving_up_or_another_crash() {
    let mut table = PoisonTable::default();
    let (harmless, lost, bad) =
        (request("sound"), request("lost"), request("bad"));
    crash_in_succession(&mut table, harmless, 1, at(0));
    crash_in_succession(&mut table, lost, 1, at(0));
    assert!(
        table.take_unsent(at(0)).is_empty(),
        "the requests are being retried"
    );
    table.record_answer(harmless, at(900));
    table.record_give_up(lost);
    crash_in_succession(&mut table, bad, 2, at(900));
    let shared = table.take_unsent(at(900));
    let mut shared: Vec<Fingerprint> =
        shared.iter().map(|r| r.request).collect();
    shared.sort_unstable();
    let mut wanted = vec![lost, bad];
    wanted.sort_unstable();
    assert_eq!(shared, wanted);
    // If the client disconnects, giving up is not recorded.
    let left = request("left");
    crash_in_succession(&mut table, left, 1, at(1_000));
    table.sweep(at(2_999));
    assert!(table.take_unsent(at(2_999)).is_empty());
    table.sweep(at(3_000));
    assert_eq!(table.take_unsent(at(3_000))[0].request, left);
}

#[test]
fn an_empty_table_learns_all_records_in_batches() {
    let mut full = PoisonTable::default();
    for index in 0..100 {
        let name = request(&format!("r{index}"));
        crash_in_succession(&mut full, name, 2 + index % 2, at(index as u64));
    }
    let mut empty = PoisonTable::default();
    let mut batches = 0;
    while empty.digest() != full.digest() {
        let batch = full.next_batch(8, at(500));
        if batches == 0 {
            assert!(batch.iter().all(|r| r.suspicion.is_quarantined()));
        }
        empty.merge(batch, at(500));
        batches += 1;
        assert!(batches <= 13, "{} of 100", empty.len());
    }
    assert_eq!(empty.quarantined(), 50);
}

#[test]
fn a_full_table_keeps_quarantined_requests() {
    let mut table = PoisonTable::default();
    let bad = request("bad");
    crash_in_succession(&mut table, bad, 3, at(0));
    for index in 0..PoisonTable::MAX_REQUESTS + 100 {
        let name = request(&format!("r{index}"));
        let suspicion = Suspicion::default();
        table.record_crash(name, suspicion, &replica(0), at(1_000));
    }
    assert!(table.len() <= PoisonTable::MAX_REQUESTS);
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
fn a_message_with_the_longest_names_fits_into_a_datagram() {
    let mut table = PoisonTable::default();
    let long: Arc<str> = Arc::from("\u{e9}".repeat(400));
    for index in 0..PoisonMessage::MAX_RECORDS {
        let name = request(&format!("r{index}"));
        for _ in 0..3 {
            let suspicion = admit(&mut table, name, at(0));
            table.record_crash(name, suspicion, &long, at(0));
        }
    }
    let records = table.next_batch(PoisonMessage::MAX_RECORDS, at(0));
    assert_eq!(records.len(), PoisonMessage::MAX_RECORDS);
    let next = Some(PagePosition { record: u32::MAX, crash: u32::MAX });
    let news = PoisonMessage::Differs {
        digest: u64::MAX,
        records,
        next,
        catch_up: u64::MAX,
        current: true,
    };
    let json = serde_json::to_vec(&Message::Poison(news)).unwrap();
    assert!(json.len() <= 4_096, "{} bytes", json.len());
}

/// Guards against quarantining a harmless request that runs on all replicas of
/// a hall while racks fail at random.
#[test]
fn rack_failures_do_not_quarantine_a_request_that_runs_everywhere() {
    const REPLICAS: usize = 24;
    const RACK: usize = 6;
    for seed in 0..1_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = PoisonTable::default();
        let hot = request("hot");
        // For each replica, the suspicion at the start of its run and the time
        // at which the run ends.
        let mut runs: Vec<(Suspicion, u64)> = Vec::new();
        for now in (0..60_000).step_by(50) {
            runs.resize(REPLICAS, (Suspicion::default(), now));
            for (index, run) in runs.iter_mut().enumerate() {
                if run.1 > now || rng.random_ratio(1, 8) {
                    continue;
                }
                table.record_answer(hot, at(now));
                match table.admit(hot, at(now)) {
                    Admission::Admitted(sent) => *run = (sent, now + 800),
                    Admission::Refused(refusal) => {
                        let reason = RefusalReason::OnTrial;
                        let why = format!("seed {seed}, {index}: {refusal}");
                        assert_eq!(refusal.reason, reason, "{why}");
                    }
                }
            }
            if !rng.random_ratio(1, 40) {
                continue;
            }
            let first = rng.random_range(0..REPLICAS / RACK) * RACK;
            for (index, run) in runs.iter_mut().enumerate() {
                if (first..first + RACK).contains(&index) && run.1 > now {
                    table.record_crash(hot, run.0, &replica(index), at(now));
                    run.1 = now;
                }
            }
        }
        assert_eq!(table.quarantined(), 0, "seed {seed}");
    }
}

/// Plays rounds of twelve callers at two entries, in each of which six replicas
/// end 150 ms after the requests were sent, whether they run the request or
/// not. The agents of those that do not report that. Returns the number of
/// callers that were refused in each round.
fn refusals_while_all_replicas_end(rounds: u64, gap_ms: u64) -> Vec<usize> {
    let hot = request("hot");
    let mut entries = [PoisonTable::default(), PoisonTable::default()];
    let mut refused = Vec::new();
    for round in 0..rounds {
        let (now, end) = (at(round * gap_ms), at(round * gap_ms + 150));
        let mut runs = Vec::new();
        for caller in 0..12 {
            let entry = caller % 2;
            if let Admission::Admitted(sent) = entries[entry].admit(hot, now) {
                let shared = entries[entry].shares_replica(hot);
                let index = if shared { 0 } else { caller % 6 };
                runs.push((entry, index, sent));
            }
        }
        refused.push(12 - runs.len());
        for index in 0..6 {
            if runs.iter().all(|run| run.1 != index) {
                for entry in &mut entries {
                    entry.record_exit(&replica(index), now, end, true);
                }
            }
        }
        for (entry, index, sent) in runs {
            entries[entry].finish_run(hot);
            entries[entry].record_crash(hot, sent, &replica(index), end);
        }
        let records: Vec<Vec<PoisonRecord>> =
            entries.iter().map(|e| e.records(&[hot], end)).collect();
        for (entry, records) in entries.iter_mut().zip(records.iter().rev()) {
            entry.merge(records.clone(), end);
            entry.review(end.after(PoisonTable::SETTLE_PERIOD));
        }
    }
    refused
}

/// Guards against refusing the callers of a harmless request because all
/// replicas of its service end by themselves, repeatedly and at the same time,
/// so that replicas that do not run the request end with those that do.
#[test]
fn a_request_that_runs_while_engines_end_by_themselves_is_served_again() {
    let refused = refusals_while_all_replicas_end(4, 1_000);
    assert_eq!(refused, [0; 4]);
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
    /// Guards against tables that differ after the same records have arrived
    /// in another order or more than once.
    #[test]
    fn the_tables_of_all_entries_converge(
        records in proptest::collection::vec(any_record(), 1..24),
        order in any::<u64>(),
    ) {
        let now = at(100_000);
        let mut rng = StdRng::seed_from_u64(order);
        let mut one = PoisonTable::default();
        let mut two = PoisonTable::default();
        one.merge(records.clone(), now);
        let mut shuffled = records;
        for last in (1..shuffled.len()).rev() {
            shuffled.swap(last, rng.random_range(0..=last));
        }
        for record in shuffled {
            let twice = vec![record.clone(), record];
            two.merge(twice, now);
        }
        prop_assert_eq!(one.digest(), two.digest());
        let batch = one.next_batch(100, now);
        two.merge(batch, now);
        prop_assert_eq!(one.digest(), two.digest());
        prop_assert_eq!(one.quarantined(), two.quarantined());
    }
}
