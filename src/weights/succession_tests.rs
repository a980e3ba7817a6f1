//! Tests of which version a replica takes.

use std::time::Duration;

use proptest::prelude::*;

use super::{ChunkTimes, Prospect, choose_version};

const CHUNK: ChunkTimes = ChunkTimes {
    link: Duration::from_millis(35),
    origin: Duration::from_millis(35),
};

fn prospect(version: u64, missing: usize, outside: usize) -> Prospect {
    Prospect {
        version,
        missing,
        outside,
        stuck: false,
        due: Duration::from_secs(4),
        left: Duration::from_secs(10),
    }
}

#[test]
fn the_newest_is_taken_where_it_comes_in_time() {
    let choice =
        choose_version(&[prospect(3, 64, 64), prospect(2, 0, 0)], CHUNK);
    assert_eq!(choice, Some(3));
}

#[test]
fn one_that_the_hall_holds_bridges_an_origin_that_is_away() {
    let newest = Prospect { stuck: true, ..prospect(3, 64, 40) };
    let choice = choose_version(&[newest, prospect(2, 30, 0)], CHUNK);
    assert_eq!(choice, Some(2));
}

#[test]
fn what_is_almost_here_goes_first_where_the_turn_has_come() {
    let due = Duration::ZERO;
    let newest = Prospect { due, ..prospect(3, 64, 64) };
    let before = Prospect { due, ..prospect(2, 2, 0) };
    assert_eq!(choose_version(&[newest, before], CHUNK), Some(2));
}

#[test]
fn one_whose_own_time_is_almost_over_is_left_alone() {
    let left = Duration::from_millis(900);
    let newest = Prospect { stuck: true, ..prospect(3, 64, 64) };
    let before = Prospect { left, ..prospect(2, 0, 0) };
    assert_eq!(choose_version(&[newest, before], CHUNK), Some(3));
}

#[test]
fn where_nothing_can_come_the_newest_is_waited_for() {
    let newest = Prospect { stuck: true, ..prospect(3, 64, 64) };
    let before = prospect(2, 64, 1);
    assert_eq!(choose_version(&[newest, before], CHUNK), Some(3));
    assert_eq!(choose_version(&[], CHUNK), None);
}

/// One that starts empty serves what its hall holds until the newest is here,
/// where that takes long.
#[test]
fn an_empty_replica_takes_what_its_hall_serves_where_the_origin_is_slow() {
    let due = Duration::ZERO;
    let newest = Prospect { due, ..prospect(2, 96, 96) };
    let served = Prospect { due, ..prospect(1, 96, 0) };
    let link = Duration::from_millis(27);
    let fast = ChunkTimes { link, origin: link };
    assert_eq!(choose_version(&[newest, served], fast), Some(2));
    let slow = ChunkTimes { origin: Duration::from_millis(45), ..fast };
    assert_eq!(choose_version(&[newest, served], slow), Some(1));
    let half = Prospect { outside: 40, ..newest };
    assert_eq!(choose_version(&[half, served], slow), Some(2));
    let stuck = Prospect { stuck: true, ..half };
    assert_eq!(choose_version(&[stuck, served], slow), Some(1));
    let ending = Prospect { left: Duration::from_millis(3_500), ..served };
    assert_eq!(choose_version(&[stuck, ending], slow), Some(2));
}

proptest! {
    #[test]
    fn an_older_one_is_only_taken_where_the_newest_would_be_late(
        missing in prop::collection::vec((0usize..64, 0usize..64), 1..4),
        stuck in prop::collection::vec(any::<bool>(), 4),
        due in 0u64..6_000,
        left in 0u64..10_000,
    ) {
        let mut prospects = Vec::new();
        for (i, (here, outside)) in missing.iter().enumerate() {
            prospects.push(Prospect {
                version: 9 - i as u64,
                missing: *here,
                outside: *outside,
                stuck: stuck[i],
                due: Duration::from_millis(due),
                left: Duration::from_millis(left),
            });
        }
        let choice = choose_version(&prospects, CHUNK).unwrap();
        let chosen = prospects.iter().find(|p| p.version == choice).unwrap();
        if choice == 9 {
            return Ok(());
        }
        let whole = chosen.whole_in(CHUNK).expect("it can come");
        prop_assert!(chosen.left >= whole + Prospect::WORTH);
        prop_assert_eq!(chosen.outside, 0);
        let newest = prospects[0].whole_in(CHUNK);
        prop_assert!(newest.is_none_or(|n| n > prospects[0].due));
    }
}
