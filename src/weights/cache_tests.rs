//! How chunks come by way of the caches of a hall, and at which pace.

use std::collections::HashMap;
use std::sync::Arc;

use super::tests::{halls, none, walk};
use super::{FetchPace, Source, SourceRanking};
use crate::Time;

fn caches() -> Vec<Arc<str>> {
    vec![Arc::from("c0"), Arc::from("c1"), Arc::from("c2")]
}

fn is_cache(source: &Source) -> bool {
    source.name().starts_with('c')
}

#[test]
fn caches_of_the_hall_share_all_chunks() {
    let all = halls(3, 8);
    let walk = walk(&all, 1, 3).with_fanout(2).with_caches(caches());
    let mut asked: HashMap<Source, usize> = HashMap::new();
    for i in 0..96 {
        *asked.entry(walk.first(i, none, none)).or_default() += 1;
    }
    assert!(asked.keys().all(is_cache), "{asked:?}");
    assert!(asked.values().all(|count| *count == 32), "{asked:?}");
}

#[test]
fn a_cache_that_is_gone_is_passed_over_and_all_of_them_too() {
    let all = halls(3, 8);
    let plain = walk(&all, 1, 3).with_fanout(2);
    let walk = plain.clone().with_caches(caches());
    for i in 0..96 {
        let one_gone = |s: &Source| s.name() == "c1";
        let source = walk.first(i, one_gone, none);
        assert!(is_cache(&source) && source.name() != "c1");
        let found = walk.first(i, is_cache, none);
        assert_eq!(found, plain.first(i, is_cache, none));
    }
}

#[test]
fn who_holds_all_is_asked_before_anybody_outside_the_hall() {
    let all = halls(3, 1);
    let (hall, names) = &all[0];
    let holders = vec![Arc::from("h0"), Arc::from("h1")];
    let walk = SourceRanking::new(b"v", &all, hall, &names[0], 1)
        .with_holders(holders);
    let mut asked: HashMap<Source, usize> = HashMap::new();
    for i in 0..64 {
        *asked.entry(walk.first(i, none, none)).or_default() += 1;
    }
    assert_eq!(asked.len(), 2, "{asked:?}");
    assert!(asked.values().all(|count| *count == 32), "{asked:?}");
    let gone = |s: &Source| matches!(s, Source::Near(_));
    assert!(!matches!(walk.first(0, gone, none), Source::Near(_)));
}

#[test]
fn a_paced_fetch_ends_when_it_has_to_and_never_waits_beyond() {
    let at = Time::from_millis;
    let pace = FetchPace::new(64, at(1_000), at(5_000));
    assert_eq!(pace.missing_at(at(1_000)), 64);
    assert_eq!(pace.missing_at(at(3_000)), 32);
    assert_eq!(pace.missing_at(at(4_990)), 0);
    assert_eq!(pace.missing_at(at(9_000)), 0);
    // A turn that is due already.
    assert_eq!(FetchPace::new(64, at(5_000), at(1_000)).missing_at(at(0)), 0);
}
