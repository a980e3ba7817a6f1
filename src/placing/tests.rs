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
fn leading_entries_place_from_behind() {
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
fn a_silent_placer_is_left_for_the_next_and_asked_again() {
    let ranked = [7, 5, 4].map(addr);
    let mut choice = PlacerChoice::new(addr(1));
    let first = Some(Placer::Other(addr(7)));
    let second = Some(Placer::Other(addr(5)));
    assert_eq!(choice.choose(&ranked, at(0)), first);
    // One datagram may be lost.
    assert!(!choice.record_timeout(addr(7), at(0)));
    assert_eq!(choice.choose(&ranked, at(1)), first);
    assert!(choice.record_timeout(addr(7), at(1)));
    assert_eq!(choice.choose(&ranked, at(2)), second);
    assert_eq!(choice.choose(&ranked, at(502)), first);
    // Silent still: left for twice as long, and that is told once.
    assert!(!choice.record_timeout(addr(7), at(502)));
    assert_eq!(choice.choose(&ranked, at(1_400)), second);
    assert_eq!(choice.choose(&ranked, at(1_502)), first);
    // It counts from the first silence.
    assert_eq!(
        choice.record_answer(addr(7), ms(2), at(1_502)),
        Some(ms(1_502))
    );
    assert!(!choice.record_timeout(addr(7), at(1_600)));
    assert_eq!(choice.choose(&ranked, at(1_601)), first);
}

#[test]
fn an_entry_without_a_well_placer_picks_by_itself() {
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
fn patience_follows_the_usual_answer_within_bounds() {
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
fn a_doubled_question_takes_one_place() {
    let mut table = PlaceTable::new();
    assert_eq!(table.insert(key(1, 1), "a", at(0), ms(6_000)), None);
    assert_eq!(table.insert(key(1, 1), "b", at(1), ms(6_000)), Some("b"));
    assert_eq!(table.insert(key(2, 1), "c", at(1), ms(6_000)), None);
    assert_eq!(table.remove(&key(1, 1)), Some("a"));
    assert_eq!(table.remove(&key(1, 1)), None);
    assert_eq!(table.counts(), (1, 0));
}

#[test]
fn places_whose_ends_are_lost_expire() {
    let mut table = PlaceTable::new();
    table.insert(key(1, 1), "a", at(0), ms(1_000));
    table.insert(key(1, 2), "b", at(0), ms(6_000));
    assert!(table.remove_expired(at(999)).is_empty());
    assert_eq!(table.remove_expired(at(1_000)), ["a"]);
    assert_eq!(table.counts(), (1, 1));
}

#[test]
fn a_report_frees_the_oldest_places_that_it_does_not_show() {
    let mut table = PlaceTable::new();
    for number in 0..4 {
        table.insert(key(1, number), "r", at(number * 10), ms(6_000));
    }
    // This one may not have arrived at the replica yet.
    table.insert(key(1, 4), "r", at(390), ms(6_000));
    table.insert(key(1, 5), "unreported", at(0), ms(6_000));
    let totals = HashMap::from([("r", 1)]);
    let over = table.remove_unreported(at(430), |p| *p, &totals);
    assert_eq!(over.len(), 3);
    assert!(table.get_mut(&key(1, 3)).is_some());
    assert!(table.get_mut(&key(1, 4)).is_some());
    assert!(table.get_mut(&key(1, 5)).is_some());
    assert!(table.remove_unreported(at(430), |p| *p, &totals).is_empty());
}

#[derive(Clone, Debug)]
enum Step {
    Give(u8, u64),
    Begin(u8, u64),
    End(u8, u64),
    Expire,
    Reconcile(u32),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_u8, 0..20_u64).prop_map(|(a, n)| Step::Give(a, n)),
        1 => (0..4_u8, 0..20_u64).prop_map(|(a, n)| Step::Begin(a, n)),
        3 => (0..4_u8, 0..20_u64).prop_map(|(a, n)| Step::End(a, n)),
        1 => Just(Step::Expire),
        1 => (0..6_u32).prop_map(Step::Reconcile),
        2 => (0..900_u64).prop_map(Step::Pass),
    ]
}

proptest! {
    /// Lost, late and doubled messages in any order.
    #[test]
    fn no_place_leaks_and_none_is_freed_twice(
        steps in prop::collection::vec(step(), 0..200)
    ) {
        let mut table = PlaceTable::new();
        let mut now = 0;
        let (mut given, mut freed) = (0_usize, Vec::new());
        for step in steps {
            match step {
                Step::Give(asker, number) => {
                    let place = given;
                    let doubled =
                        table.insert(key(asker, number), place, at(now), ms(2_000));
                    given += 1;
                    freed.extend(doubled);
                }
                Step::Begin(asker, number) => {
                    table.get_mut(&key(asker, number));
                }
                Step::End(asker, number) => {
                    freed.extend(table.remove(&key(asker, number)));
                }
                Step::Expire => freed.extend(table.remove_expired(at(now))),
                Step::Reconcile(total) => {
                    let totals = HashMap::from([(0, total)]);
                    freed.extend(table.remove_unreported(at(now), |_| 0, &totals));
                }
                Step::Pass(span) => now += span,
            }
            prop_assert_eq!(given, freed.len() + table.counts().0);
        }
        freed.extend(table.remove_expired(at(now + 2_000)));
        freed.sort_unstable();
        prop_assert_eq!(freed, (0..given).collect::<Vec<_>>());
    }
}
