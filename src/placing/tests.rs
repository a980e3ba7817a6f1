use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;

use super::*;
use crate::Time;

fn addr(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7700))
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn key(requester: u8, number: u64) -> PlaceKey {
    PlaceKey { requester: addr(requester), number }
}

#[test]
fn placers_are_the_last_leading_entries_by_address() {
    let ranked = leading_entries([7, 3, 5, 3, 9, 1, 4].map(addr));
    assert_eq!(ranked, [7, 5, 4, 3, 1].map(addr));
    assert_eq!(HallRole::of(addr(7), &ranked), HallRole::Placer);
    assert_eq!(HallRole::of(addr(5), &ranked), HallRole::Placer);
    assert_eq!(HallRole::of(addr(1), &ranked), HallRole::Leading);
    assert_eq!(HallRole::of(addr(9), &ranked), HallRole::Following);
    assert!(HallRole::Leading.listens_to_all_halls());
    assert!(!HallRole::Following.listens_to_all_halls());
}

#[test]
fn a_placer_that_times_out_is_skipped_and_retried() {
    let ranked = [7, 5, 4].map(addr);
    let mut choice = PlacerChoice::new(addr(1));
    let first = Some(Placer::Other(addr(7)));
    let second = Some(Placer::Other(addr(5)));
    assert_eq!(choice.choose(&ranked, at(0)), first);
    // A single timeout may be due to a lost datagram.
    assert!(!choice.record_timeout(addr(7), at(0)));
    assert_eq!(choice.choose(&ranked, at(1)), first);
    assert!(choice.record_timeout(addr(7), at(1)));
    assert_eq!(choice.choose(&ranked, at(2)), second);
    assert_eq!(choice.choose(&ranked, at(502)), first);
    // It is skipped for twice as long, and the change is reported only once.
    assert!(!choice.record_timeout(addr(7), at(502)));
    assert_eq!(choice.choose(&ranked, at(1_400)), second);
    assert_eq!(choice.choose(&ranked, at(1_502)), first);
    // The time without an answer is measured from the first timeout.
    assert_eq!(
        choice.record_answer(addr(7), ms(2), at(1_502)),
        Some(ms(1_502))
    );
    assert!(!choice.record_timeout(addr(7), at(1_600)));
    assert_eq!(choice.choose(&ranked, at(1_601)), first);
}

#[test]
fn an_entry_without_an_available_placer_picks_by_itself() {
    let ranked = [7, 5, 4].map(addr);
    let mut choice = PlacerChoice::new(addr(4));
    choice.record_unready(addr(7), at(0));
    choice.record_unready(addr(5), at(0));
    assert_eq!(choice.choose(&ranked, at(1)), None);
    assert_eq!(choice.choose(&[], at(1)), None);
    let first = Some(Placer::Other(addr(7)));
    assert_eq!(choice.choose(&ranked, at(250)), first);
    let mut own = PlacerChoice::new(addr(5));
    own.record_unready(addr(7), at(0));
    assert_eq!(own.choose(&ranked, at(1)), Some(Placer::Own));
}

#[test]
fn the_answer_timeout_follows_the_average_within_bounds() {
    let mut choice = PlacerChoice::new(addr(1));
    for _ in 0..200 {
        choice.record_answer(addr(7), ms(0), at(0));
    }
    assert_eq!(choice.answer_timeout(), ms(12));
    for _ in 0..200 {
        choice.record_answer(addr(7), ms(40), at(0));
    }
    assert_eq!(choice.answer_timeout(), ms(50));
}

#[test]
fn a_duplicated_question_takes_one_place() {
    let mut table = PlaceTable::new();
    assert_eq!(table.insert(key(1, 1), "a", at(0), ms(6_000)), None);
    assert_eq!(table.insert(key(1, 1), "b", at(1), ms(6_000)), Some("b"));
    assert_eq!(table.insert(key(2, 1), "c", at(1), ms(6_000)), None);
    assert_eq!(table.remove(&key(1, 1)), Some("a"));
    assert_eq!(table.remove(&key(1, 1)), None);
    assert_eq!(table.counts(), (1, 0));
}

#[test]
fn places_without_a_reported_end_expire() {
    let mut table = PlaceTable::new();
    table.insert(key(1, 1), "a", at(0), ms(1_000));
    table.insert(key(1, 2), "b", at(0), ms(6_000));
    assert!(table.remove_expired(at(999)).is_empty());
    assert_eq!(table.remove_expired(at(1_000)), ["a"]);
    assert_eq!(table.counts(), (1, 1));
}

#[test]
fn the_oldest_places_missing_from_a_report_are_removed() {
    let mut table = PlaceTable::new();
    for number in 0..4 {
        table.insert(key(1, number), "r", at(number * 10), ms(6_000));
    }
    // This request may not have reached the replica when it reported.
    table.insert(key(1, 4), "r", at(390), ms(6_000));
    table.insert(key(1, 5), "unreported", at(0), ms(6_000));
    let totals = HashMap::from([("r", 1)]);
    let removed = table.remove_unreported(at(430), |p| *p, &totals);
    assert_eq!(removed.len(), 3);
    assert!(table.get_mut(&key(1, 3)).is_some());
    assert!(table.get_mut(&key(1, 4)).is_some());
    assert!(table.get_mut(&key(1, 5)).is_some());
    assert!(table.remove_unreported(at(430), |p| *p, &totals).is_empty());
}

#[derive(Clone, Debug)]
enum Step {
    Insert(u8, u64),
    Get(u8, u64),
    Remove(u8, u64),
    Expire,
    RemoveUnreported(u32),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_u8, 0..20_u64).prop_map(|(a, n)| Step::Insert(a, n)),
        1 => (0..4_u8, 0..20_u64).prop_map(|(a, n)| Step::Get(a, n)),
        3 => (0..4_u8, 0..20_u64).prop_map(|(a, n)| Step::Remove(a, n)),
        1 => Just(Step::Expire),
        1 => (0..6_u32).prop_map(Step::RemoveUnreported),
        2 => (0..900_u64).prop_map(Step::Advance),
    ]
}

proptest! {
    /// Guards against leaking places or removing them twice when messages are
    /// lost, delayed, duplicated or reordered.
    #[test]
    fn no_place_leaks_and_none_is_removed_twice(
        steps in prop::collection::vec(step(), 0..200)
    ) {
        let mut table = PlaceTable::new();
        let mut now = 0;
        let (mut given, mut removed) = (0_usize, Vec::new());
        for step in steps {
            match step {
                Step::Insert(requester, number) => {
                    let place = given;
                    let duplicate = table.insert(
                        key(requester, number),
                        place,
                        at(now),
                        ms(2_000)
                    );
                    given += 1;
                    removed.extend(duplicate);
                }
                Step::Get(requester, number) => {
                    table.get_mut(&key(requester, number));
                }
                Step::Remove(requester, number) => {
                    removed.extend(table.remove(&key(requester, number)));
                }
                Step::Expire => removed.extend(table.remove_expired(at(now))),
                Step::RemoveUnreported(total) => {
                    let totals = HashMap::from([(0, total)]);
                    removed.extend(
                        table.remove_unreported(at(now), |_| 0, &totals)
                    );
                }
                Step::Advance(span) => now += span,
            }
            prop_assert_eq!(given, removed.len() + table.counts().0);
        }
        removed.extend(table.remove_expired(at(now + 2_000)));
        removed.sort_unstable();
        prop_assert_eq!(removed, (0..given).collect::<Vec<_>>());
    }
}
