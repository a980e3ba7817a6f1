//! Tests for parts of prompts that crash replicas: when one is quarantined,
//! which requests are refused, and that the tables of all entries converge.

use std::sync::Arc;

use super::{
    Admission, Fingerprint, Identity, Judgement, PoisonMessage, PoisonTable,
    Refusal, RefusalReason, RequestFeatures, Suspicion,
};
use crate::Time;
use crate::placing::Message;

/// The service of all replicas.
const SERVICE: &str = "pool";

/// Complete answers after which crashes are judged.
const ANSWERS: usize = 16;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn replica(index: usize) -> Arc<str> {
    Arc::from(format!("i-{index}"))
}

fn part(name: &str) -> Fingerprint {
    Fingerprint::of_part(name)
}

/// Returns a request with these parts in its prompt.
fn request(name: &str, parts: &[&str]) -> RequestFeatures {
    let body = name.as_bytes();
    let identity = Identity { host: "a", path: "/", caller: "c", body };
    RequestFeatures::new(Fingerprint::of(&identity), parts.iter().copied())
}

/// Sends a request and has it crash a replica.
fn crash(
    table: &mut PoisonTable,
    index: usize,
    request: &RequestFeatures,
    now: Time,
) {
    let Admission::Admitted(sent) = table.admit_features(request, now) else {
        panic!("refused");
    };
    record(table, index, request, sent, now);
}

fn record(
    table: &mut PoisonTable,
    index: usize,
    request: &RequestFeatures,
    sent: Suspicion,
    now: Time,
) {
    table.accuse(request, sent, &replica(index), &SERVICE.into(), now);
}

/// Has requests with these parts get complete answers.
fn answer_others(table: &mut PoisonTable, parts: &[&str], now: Time) {
    for index in 0..ANSWERS {
        let other = request(&format!("other{index}"), parts);
        table.clear_features(&other, Some(SERVICE), now);
    }
}

fn refusal(
    table: &mut PoisonTable,
    request: &RequestFeatures,
    now: Time,
) -> Option<Refusal> {
    table.judge(now);
    match table.admit_features(request, now) {
        Admission::Admitted(_) => None,
        Admission::Refused(refusal) => Some(refusal),
    }
}

/// Has three requests with the part "bad" crash a replica each.
fn crash_three(table: &mut PoisonTable) {
    for index in 0..3 {
        let name = format!("r{index}");
        let request = request(&name, &["first", "bad"]);
        crash(table, index, &request, at(300 * index as u64));
        let now = at(300 * index as u64 + 100);
        answer_others(table, &["first"], now);
    }
}

#[test]
fn a_part_under_which_three_replicas_crashed_is_refused() {
    let mut table = PoisonTable::default();
    crash_three(&mut table);
    let judgement = table.judge(at(1_000));
    let replicas = (0..3).map(replica).collect();
    assert_eq!(judgement.quarantined, [(part("bad"), replicas)]);
    let new = request("new", &["other", "bad"]);
    let refusal = refusal(&mut table, &new, at(1_000)).unwrap();
    assert_eq!(refusal.reason, RefusalReason::QuarantinedPart);
    assert_eq!(refusal.features, [part("bad")]);
    assert_eq!(refusal.retry_after, PoisonTable::PART_TRIAL_DELAYS[0]);
    let sound = request("sound", &["first"]);
    assert_eq!(self::refusal(&mut table, &sound, at(1_000)), None);
}

#[test]
fn a_quarantined_part_is_tried_again_after_a_second() {
    let mut table = PoisonTable::default();
    crash_three(&mut table);
    table.judge(at(1_000));
    let due = at(1_000).after(PoisonTable::PART_TRIAL_DELAYS[0]);
    let (first, second) = (request("n1", &["bad"]), request("n2", &["bad"]));
    assert_eq!(refusal(&mut table, &first, due), None);
    assert!(matches!(
        table.recheck_features(&first, Suspicion::default(), due),
        Admission::Admitted(_)
    ));
    let refused = refusal(&mut table, &second, due).unwrap();
    assert_eq!(refused.reason, RefusalReason::PartOnTrial);
    table.clear_features(&first, Some(SERVICE), due);
    assert_eq!(refusal(&mut table, &second, due), None);
}

/// Guards against refusals of requests for a part that has only occurred
/// beside the one at fault.
#[test]
fn parts_that_crashed_together_are_refused_only_together() {
    let mut table = PoisonTable::default();
    for index in 0..3 {
        let request = request(&format!("r{index}"), &["rare", "bad"]);
        crash(&mut table, index, &request, at(300 * index as u64));
    }
    let now = at(1_000);
    answer_others(&mut table, &[], now);
    let both = request("n1", &["rare", "bad"]);
    assert!(refusal(&mut table, &both, now).is_some());
    let rare = request("n2", &["rare"]);
    assert_eq!(refusal(&mut table, &rare, now), None);
    let bad = request("n3", &["bad"]);
    assert_eq!(refusal(&mut table, &bad, now), None);
    crash(&mut table, 3, &request("n4", &["bad"]), at(1_100));
    answer_others(&mut table, &[], at(1_200));
    assert!(refusal(&mut table, &bad, at(1_300)).is_some());
    assert_eq!(refusal(&mut table, &rare, at(1_300)), None);
}

#[test]
fn a_repeated_request_does_not_accuse_its_parts_alone() {
    let mut table = PoisonTable::default();
    let poisoned = request("poisoned", &["first"]);
    for index in 0..3 {
        crash(&mut table, index, &poisoned, at(300 * index as u64));
    }
    answer_others(&mut table, &[], at(900));
    assert!(refusal(&mut table, &poisoned, at(1_000)).is_some());
    let other = request("other", &["first"]);
    assert_eq!(refusal(&mut table, &other, at(1_000)), None);
}

#[test]
fn a_request_that_was_admitted_before_is_not_sent() {
    let mut table = PoisonTable::default();
    let waiting = request("waiting", &["bad"]);
    table.admit_features(&waiting, at(0));
    crash_three(&mut table);
    table.judge(at(1_000));
    let sent = Suspicion::default();
    let recheck = table.recheck_features(&waiting, sent, at(1_000));
    assert!(matches!(recheck, Admission::Refused(_)));
}

/// Guards against quarantine of a part of many requests while all replicas
/// exit together, again and again, before any request gets its answer.
#[test]
fn crashes_accuse_no_part_before_the_service_answers_others() {
    let mut table = PoisonTable::default();
    let mut index = 0;
    for round in 0..5 {
        let now = at(600 * round);
        for run in 0..12 {
            let name = format!("r{round}-{run}");
            let request = request(&name, &["hot"]);
            crash(&mut table, index, &request, now);
            index += 1;
        }
    }
    assert!(table.judge(at(5_000)).is_empty());
    let hot = request("next", &["hot"]);
    assert_eq!(refusal(&mut table, &hot, at(5_000)), None);
    answer_others(&mut table, &["hot"], at(5_000));
    assert!(table.judge(at(5_000)).is_empty());
}

/// Guards against crashes that are excused because the request that caused
/// them went from one replica to the next within milliseconds.
#[test]
fn a_request_that_is_retried_at_once_accuses_its_parts() {
    let mut table = PoisonTable::default();
    let requests = [request("r0", &["bad"]), request("r1", &["bad"])];
    for index in 0..6 {
        let (round, turn) = (index / 3, index % 3);
        let now = at(200 * round as u64 + 10 * turn as u64);
        crash(&mut table, index, &requests[round], now);
    }
    let now = at(1_000);
    assert_eq!(table.judge(now).quarantined[0].0, part("bad"));
}

/// Guards against quarantine of parts of requests that ran on some of the
/// replicas of a rack each time that it failed.
#[test]
fn a_rack_that_fails_accuses_no_part_that_ran_on_some_of_its_replicas() {
    let mut table = PoisonTable::default();
    let mut index = 0;
    for round in 0..4 {
        for run in 0..4 {
            let parts: &[&str] = if run == 0 { &["rare"] } else { &[] };
            let request = request(&format!("r{round}-{run}"), parts);
            crash(&mut table, index, &request, at(600 * round));
            index += 1;
        }
        answer_others(&mut table, &[], at(600 * round + 300));
    }
    assert!(table.judge(at(5_000)).is_empty());
}

#[test]
fn an_idle_replica_that_exits_too_excuses_the_parts() {
    let mut table = PoisonTable::default();
    for index in 0..4 {
        let now = at(600 * index as u64);
        crash(&mut table, index, &request(&format!("r{index}"), &["a"]), now);
        table.record_exit(&replica(100 + index), now, now, true);
    }
    answer_others(&mut table, &[], at(4_000));
    assert!(table.judge(at(5_000)).is_empty());
}

#[test]
fn requests_beside_a_part_at_fault_are_excused() {
    let mut table = PoisonTable::default();
    let beside = request("beside", &["first"]);
    for index in 0..3 {
        let now = at(300 * index as u64);
        let sent = table.suspicion(beside.request);
        crash(
            &mut table,
            index,
            &request(&format!("r{index}"), &["bad"]),
            now,
        );
        record(&mut table, index, &beside, sent, now);
    }
    assert!(table.suspicion(beside.request).is_quarantined());
    crash(&mut table, 3, &request("r3", &["bad"]), at(900));
    answer_others(&mut table, &[], at(950));
    let judgement = table.judge(at(1_000));
    assert!(judgement.excused.contains(&beside.request));
    assert_eq!(refusal(&mut table, &beside, at(1_000)), None);
}

/// Guards against a part that stays refused although others turn out to
/// explain the crashes.
#[test]
fn a_part_is_released_once_others_explain_the_crashes() {
    let mut table = PoisonTable::default();
    let day = [
        ("bad", true),
        ("evil", true),
        ("bad", true),
        ("evil", false),
        ("bad", false),
        ("evil", false),
        ("bad", false),
        ("evil", false),
    ];
    let mut judged = Vec::new();
    for (index, (name, with_sound)) in day.into_iter().enumerate() {
        let now = at(300 * index as u64);
        let parts: &[&str] =
            if with_sound { &[name, "sound"] } else { &[name] };
        let request = request(&format!("r{index}"), parts);
        record(&mut table, index, &request, Suspicion::default(), now);
        answer_others(&mut table, &[], now);
        judged.push(table.judge(now.after(PoisonTable::SETTLE_PERIOD)));
    }
    assert_eq!(judged[2].quarantined[0].0, part("sound"));
    assert!(judged.iter().any(|j| j.released == [part("sound")]));
    let now = at(2_400);
    let request = |parts: &[&str]| self::request("new", parts);
    assert_eq!(refusal(&mut table, &request(&["sound"]), now), None);
    assert!(refusal(&mut table, &request(&["bad"]), now).is_some());
    assert!(refusal(&mut table, &request(&["evil"]), now).is_some());
}

/// Sends what is new in a table to another one.
fn send(from: &mut PoisonTable, to: &mut PoisonTable, now: Time) {
    let records = from.take_unsent(now);
    let crashes = from.take_unsent_crashes(now);
    to.merge(records, now);
    to.merge_crashes(&crashes, now);
}

#[test]
fn crashes_that_each_entry_saw_once_are_put_together() {
    let mut tables = vec![PoisonTable::default(); 5];
    for (index, table) in tables.iter_mut().enumerate() {
        let request = request(&format!("r{index}"), &["first", "bad"]);
        let now = at(100 * index as u64);
        record(table, index, &request, Suspicion::default(), now);
    }
    let mut new = PoisonTable::default();
    for table in &mut tables {
        send(table, &mut new, at(600));
    }
    let first = request("other", &["first"]);
    answer_others(&mut new, &["first"], at(600));
    let judgement = new.judge(at(700));
    assert_eq!(judgement.quarantined[0].0, part("bad"));
    assert_eq!(refusal(&mut new, &first, at(700)), None);
}

/// Guards against answers that are counted twice, or not at all, when several
/// entries see some of them.
#[test]
fn answers_that_entries_saw_are_added_up() {
    let mut tables = vec![PoisonTable::default(); 4];
    for (entry, table) in tables.iter_mut().enumerate() {
        table.set_entry(entry as u32);
        for index in 0..3 {
            let request = request(&format!("r{index}"), &["bad"]);
            let now = at(300 * index as u64);
            record(table, index, &request, Suspicion::default(), now);
        }
    }
    let now = at(1_000);
    for round in 1..=4 {
        for table in &mut tables {
            let other = request("other", &[]);
            table.clear_features(&other, Some(SERVICE), now);
        }
        let mut reports = Vec::new();
        for table in &mut tables {
            reports.extend(table.take_unsent_crashes(now));
        }
        for table in &mut tables {
            table.merge_crashes(&reports, now);
            table.merge_crashes(&reports, now);
            let known = !table.judge(now).quarantined.is_empty();
            assert_eq!(known, round == 4, "round {round}");
        }
    }
}

#[test]
fn tables_that_exchange_batches_converge() {
    let mut table = PoisonTable::default();
    for index in 0..40 {
        let parts: Vec<String> =
            (0..20).map(|i| format!("p{index}-{i}")).collect();
        let parts: Vec<&str> = parts.iter().map(|p| &**p).collect();
        let request = request(&format!("r{index}"), &parts);
        let (now, sent) = (at(300 * index as u64), Suspicion::default());
        record(&mut table, index, &request, sent, now);
    }
    let mut new = PoisonTable::default();
    for index in 0..30 {
        let request = request(&format!("r{index}"), &[]);
        table.record_answer(request.request, at(12_000));
        table.clear_features(&request, Some(SERVICE), at(12_000));
    }
    for _ in 0..20 {
        if new.digest() == table.digest() {
            break;
        }
        new.merge(table.next_batch(32, at(13_000)), at(13_000));
        new.merge_crashes(&table.next_crashes(200, at(13_000)), at(13_000));
    }
    assert_eq!(new.crashes(), 40);
    assert_eq!(new.judge(at(14_000)), Judgement::default());
}

/// Guards against reports that do not fit into a datagram.
#[test]
fn reports_fit_into_messages() {
    let mut table = PoisonTable::default();
    for index in 0..9 {
        for run in 0..12 {
            let parts: Vec<String> = (0..index * 4)
                .map(|i| format!("p{index}-{run}-{i}"))
                .collect();
            let parts: Vec<&str> = parts.iter().map(|p| &**p).collect();
            let request = request(&format!("r{index}-{run}"), &parts);
            let name: Arc<str> = Arc::from(format!("{index:0>80}"));
            let sent = Suspicion::default();
            table.accuse(&request, sent, &name, &SERVICE.into(), at(0));
        }
    }
    let messages = super::CrashReport::split(table.take_unsent_crashes(at(9)));
    let mut new = PoisonTable::default();
    for reports in messages {
        let message = PoisonMessage::Crashes(reports.clone());
        let json = serde_json::to_vec(&Message::Poison(message)).unwrap();
        assert!(json.len() <= 4_096, "{} bytes", json.len());
        new.merge_crashes(&reports, at(9));
    }
    assert_eq!(new.digest(), table.digest());
}

/// Guards against a harmless part that is quarantined because the replicas to
/// which several requests were sent again after a hall had ended ended with
/// another hall.
#[test]
fn requests_sent_again_to_a_hall_that_ends_accuse_no_part() {
    let mut table = PoisonTable::default();
    for index in 0..4 {
        let own = format!("own{index}");
        let request = request(&own, &["first", &own]);
        crash(&mut table, index, &request, at(1_000));
        crash(&mut table, 4 + index, &request, at(1_020));
    }
    let judgement = table.judge(at(1_030));
    assert_eq!(judgement.quarantined, []);
    let next = request("next", &["first"]);
    assert_eq!(refusal(&mut table, &next, at(1_040)), None);
}
