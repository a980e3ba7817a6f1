//! Tests of which version a cache fetches first, and of what it keeps.

use std::time::Duration;

use proptest::prelude::*;

use super::{
    ChunkTransferTimes, FetchCandidate, FetchLimits, RetainedVersion,
    choose_fetch, versions_to_evict,
};
use crate::Digest;

const LIMITS: FetchLimits = FetchLimits {
    origin_reachable: true,
    times: ChunkTransferTimes {
        link: Duration::from_millis(14),
        origin: Duration::from_millis(44),
    },
    newest_due_in: Duration::from_millis(9_700),
};

fn candidate(
    version: u64,
    missing: usize,
    missing_in_fleet: usize,
) -> FetchCandidate {
    FetchCandidate {
        version,
        chunks: 48,
        missing,
        missing_in_fleet,
        servable_for: Duration::from_millis(9_700),
    }
}

/// Guards against dropping a version that lacks a few chunks right before the
/// origin becomes unreachable.
#[test]
fn a_version_nearly_complete_in_the_fleet_is_finished_first() {
    let newest = candidate(3, 48, 48);
    let older = candidate(2, 40, 12);
    assert_eq!(choose_fetch(&[newest, older], &LIMITS), Some(2));
    let begun = candidate(2, 40, 13);
    assert_eq!(choose_fetch(&[newest, begun], &LIMITS), Some(3));
    // All chunks of the newest are in the fleet.
    let whole = candidate(3, 48, 0);
    assert_eq!(choose_fetch(&[whole, older], &LIMITS), Some(3));
}

/// Guards against a newest version that misses its bound because an older one
/// was finished first.
#[test]
fn the_newest_is_not_delayed_beyond_its_bound() {
    let older = candidate(2, 10, 10);
    let newest = candidate(3, 48, 48);
    let needs = Duration::from_millis(48 * 44) + FetchCandidate::LAST_STEPS;
    let tight = FetchLimits { newest_due_in: needs, ..LIMITS };
    assert_eq!(choose_fetch(&[newest, older], &tight), Some(3));
    let late = FetchLimits { newest_due_in: Duration::from_secs(1), ..LIMITS };
    assert_eq!(choose_fetch(&[newest, older], &late), Some(2));
}

/// Guards against waiting for the origin while another version could be
/// completed from what the halls hold.
#[test]
fn during_an_outage_what_the_fleet_holds_is_fetched() {
    let outage = FetchLimits { origin_reachable: false, ..LIMITS };
    let newest = candidate(3, 44, 40);
    let whole = candidate(2, 12, 0);
    assert_eq!(choose_fetch(&[newest, whole], &outage), Some(2));
    // Neither can be completed: what the fleet holds is spread meanwhile.
    let partial = candidate(2, 12, 3);
    assert_eq!(choose_fetch(&[newest, partial], &outage), Some(2));
    let begun = candidate(2, 40, 30);
    assert_eq!(choose_fetch(&[newest, begun], &outage), Some(3));
    let expiring =
        FetchCandidate { servable_for: Duration::from_millis(500), ..partial };
    assert_eq!(choose_fetch(&[newest, expiring], &outage), Some(3));
}

/// Guards against fetching a version on which no request may begin any more.
#[test]
fn a_version_about_to_expire_is_not_fetched() {
    let newest = candidate(3, 48, 48);
    let servable_for = Duration::from_millis(900);
    let older = FetchCandidate { servable_for, ..candidate(2, 4, 1) };
    assert_eq!(choose_fetch(&[newest, older], &LIMITS), Some(3));
    let done = candidate(3, 0, 0);
    assert_eq!(choose_fetch(&[done, older], &LIMITS), Some(3));
    assert_eq!(choose_fetch(&[], &LIMITS), None);
}

proptest! {
    /// Guards against repeated switches: with the same counts a choice stands,
    /// and while the origin's state and time change, a cache that completes
    /// its choice chunk by chunk leaves it at most once per change.
    #[test]
    fn a_choice_stands_while_its_chunks_arrive(
        newest in 1usize..=48,
        older in 1usize..=48,
        reachable in any::<bool>(),
        due in 0u64..12_000,
        servable in 0u64..12_000,
    ) {
        let mut limits = FetchLimits {
            origin_reachable: reachable,
            newest_due_in: Duration::from_millis(due),
            ..LIMITS
        };
        let servable_for = Duration::from_millis(servable);
        let chunk_time = LIMITS.times.origin;
        let mut candidates = [
            candidate(3, newest, newest),
            FetchCandidate { servable_for, ..candidate(2, older, older) },
        ];
        let mut current = None;
        let mut switches = 0;
        for _ in 0..200 {
            let Some(choice) = choose_fetch(&candidates, &limits)
            else { break };
            switches +=
                usize::from(current.is_some_and(|v| v != choice));
            current = Some(choice);
            let chosen =
                candidates.iter_mut().find(|c| c.version == choice);
            let chosen = chosen.expect("the choice is a candidate");
            if chosen.fetch_time(&limits).is_none() || chosen.missing == 0 {
                break;
            }
            chosen.missing -= 1;
            chosen.missing_in_fleet -= 1;
            limits.newest_due_in =
                limits.newest_due_in.saturating_sub(chunk_time);
            let left = &mut candidates[1].servable_for;
            *left = left.saturating_sub(chunk_time);
        }
        prop_assert!(switches <= 1, "{switches} switches");
    }

    /// Guards against a cache beyond its memory, and against evicting a newer
    /// version before an older one.
    #[test]
    fn the_oldest_versions_are_evicted_until_the_rest_fits(
        sizes in prop::collection::vec((0u64..12, 0u64..4, any::<bool>()), 1..6),
        capacity in 0u64..300,
    ) {
        let mut versions = Vec::new();
        for (i, (own, shared, needed)) in sizes.iter().enumerate() {
            let mut held = Vec::new();
            for c in 0..*own {
                held.push(Digest::of(format!("{i}/{c}").as_bytes()));
            }
            for c in 0..*shared {
                held.push(Digest::of(format!("shared/{c}").as_bytes()));
            }
            versions.push(RetainedVersion {
                version: i as u64 + 1,
                held,
                chunk_bytes: 10,
                needed: *needed,
            });
        }
        let evicted = versions_to_evict(&versions, capacity);
        let kept: Vec<&RetainedVersion> = versions
            .iter()
            .filter(|v| !evicted.contains(&v.version))
            .collect();
        prop_assert!(kept.iter().all(|v| v.needed));
        let digests: std::collections::HashSet<Digest> =
            kept.iter().flat_map(|v| v.held.iter().copied()).collect();
        let used = digests.len() as u64 * 10;
        prop_assert!(used <= capacity || kept.len() == 1);
        for version in &versions {
            let is_older =
                kept.iter().any(|k| k.version < version.version);
            prop_assert!(
                !version.needed
                    || !is_older
                    || !evicted.contains(&version.version)
            );
        }
    }
}

/// Guards against counting a chunk of two versions twice.
#[test]
fn a_shared_chunk_counts_once() {
    let held: Vec<Digest> = (0..4u8).map(|i| Digest::of(&[i])).collect();
    let version = |version| RetainedVersion {
        version,
        held: held.clone(),
        chunk_bytes: 10,
        needed: true,
    };
    let versions = [version(2), version(3)];
    assert!(versions_to_evict(&versions, 40).is_empty());
    assert_eq!(versions_to_evict(&versions, 39), [2]);
}
