//! Tests of which version a replica takes.

use std::time::Duration;

use proptest::prelude::*;

use super::{ChunkTransferTimes, VersionCandidate, choose_version};

const CHUNK: ChunkTransferTimes = ChunkTransferTimes {
    link: Duration::from_millis(35),
    origin: Duration::from_millis(35),
};

fn candidate(
    version: u64,
    missing: usize,
    missing_in_hall: usize,
) -> VersionCandidate {
    VersionCandidate {
        version,
        missing,
        missing_in_hall,
        stalled: false,
        due_in: Duration::from_secs(4),
        servable_for: Duration::from_secs(10),
    }
}

#[test]
fn the_newest_version_is_taken_if_it_arrives_in_time() {
    let choice =
        choose_version(&[candidate(3, 64, 64), candidate(2, 0, 0)], CHUNK);
    assert_eq!(choice, Some(3));
}

#[test]
fn a_version_held_in_the_hall_is_taken_while_the_origin_is_away() {
    let newest = VersionCandidate { stalled: true, ..candidate(3, 64, 40) };
    let choice = choose_version(&[newest, candidate(2, 30, 0)], CHUNK);
    assert_eq!(choice, Some(2));
}

#[test]
fn an_almost_complete_version_is_taken_if_the_turn_is_due() {
    let due_in = Duration::ZERO;
    let newest = VersionCandidate { due_in, ..candidate(3, 64, 64) };
    let older = VersionCandidate { due_in, ..candidate(2, 2, 0) };
    assert_eq!(choose_version(&[newest, older], CHUNK), Some(2));
}

#[test]
fn a_version_about_to_expire_is_not_taken() {
    let servable_for = Duration::from_millis(900);
    let newest = VersionCandidate { stalled: true, ..candidate(3, 64, 64) };
    let older = VersionCandidate { servable_for, ..candidate(2, 0, 0) };
    assert_eq!(choose_version(&[newest, older], CHUNK), Some(3));
}

#[test]
fn the_newest_version_is_taken_if_none_can_arrive() {
    let newest = VersionCandidate { stalled: true, ..candidate(3, 64, 64) };
    let older = candidate(2, 64, 1);
    assert_eq!(choose_version(&[newest, older], CHUNK), Some(3));
    assert_eq!(choose_version(&[], CHUNK), None);
}

/// A replica without a version takes the one its hall serves if the newest
/// takes much longer to arrive.
#[test]
fn a_replica_without_a_version_takes_the_served_one_if_the_origin_is_slow() {
    let due_in = Duration::ZERO;
    let newest = VersionCandidate { due_in, ..candidate(2, 96, 96) };
    let served = VersionCandidate { due_in, ..candidate(1, 96, 0) };
    let link = Duration::from_millis(27);
    let fast = ChunkTransferTimes { link, origin: link };
    assert_eq!(choose_version(&[newest, served], fast), Some(2));
    let slow =
        ChunkTransferTimes { origin: Duration::from_millis(45), ..fast };
    assert_eq!(choose_version(&[newest, served], slow), Some(1));
    let half = VersionCandidate { missing_in_hall: 40, ..newest };
    assert_eq!(choose_version(&[half, served], slow), Some(2));
    let stalled = VersionCandidate { stalled: true, ..half };
    assert_eq!(choose_version(&[stalled, served], slow), Some(1));
    let ending = VersionCandidate {
        servable_for: Duration::from_millis(3_500),
        ..served
    };
    assert_eq!(choose_version(&[stalled, ending], slow), Some(2));
}

proptest! {
    #[test]
    fn an_older_version_is_only_taken_if_the_newest_would_be_late(
        missing in prop::collection::vec((0usize..64, 0usize..64), 1..4),
        stalled in prop::collection::vec(any::<bool>(), 4),
        due in 0u64..6_000,
        left in 0u64..10_000,
    ) {
        let mut candidates = Vec::new();
        for (i, (missing_here, missing_in_hall))
            in missing.iter().enumerate()
        {
            candidates.push(VersionCandidate {
                version: 9 - i as u64,
                missing: *missing_here,
                missing_in_hall: *missing_in_hall,
                stalled: stalled[i],
                due_in: Duration::from_millis(due),
                servable_for: Duration::from_millis(left),
            });
        }
        let choice = choose_version(&candidates, CHUNK).unwrap();
        let chosen = candidates.iter().find(|p| p.version == choice).unwrap();
        if choice == 9 {
            return Ok(());
        }
        let fetch_time =
            chosen.fetch_time(CHUNK).expect("the chosen version can arrive");
        prop_assert!(
            chosen.servable_for
                >= fetch_time + VersionCandidate::MIN_SERVING_TIME
        );
        prop_assert_eq!(chosen.missing_in_hall, 0);
        let newest = candidates[0].fetch_time(CHUNK);
        prop_assert!(newest.is_none_or(|n| n > candidates[0].due_in));
    }
}
