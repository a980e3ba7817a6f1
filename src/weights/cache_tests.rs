//! Tests of fetching through the caches of a hall, and of fetch pacing.

use std::collections::HashMap;
use std::sync::Arc;

use super::tests::{halls, none, rank_sources};
use super::{FetchPace, Source, SourceRanking};
use crate::Time;

fn caches() -> Vec<Arc<str>> {
    vec![Arc::from("c0"), Arc::from("c1"), Arc::from("c2")]
}

fn is_cache(source: &Source) -> bool {
    source.name().starts_with('c')
}

#[test]
fn the_caches_of_a_hall_share_all_chunks_evenly() {
    let all = halls(3, 8);
    let ranking =
        rank_sources(&all, 1, 3).with_fanout(2).with_caches(caches());
    let mut asked: HashMap<Source, usize> = HashMap::new();
    for i in 0..96 {
        *asked.entry(ranking.choose_source(i, none, none)).or_default() += 1;
    }
    assert!(asked.keys().all(is_cache), "{asked:?}");
    assert!(asked.values().all(|count| *count == 32), "{asked:?}");
}

#[test]
fn suspect_caches_are_skipped() {
    let all = halls(3, 8);
    let plain = rank_sources(&all, 1, 3).with_fanout(2);
    let ranking = plain.clone().with_caches(caches());
    for i in 0..96 {
        let one_gone = |s: &Source| s.name() == "c1";
        let source = ranking.choose_source(i, one_gone, none);
        assert!(is_cache(&source) && source.name() != "c1");
        let found = ranking.choose_source(i, is_cache, none);
        assert_eq!(found, plain.choose_source(i, is_cache, none));
    }
}

#[test]
fn holders_are_asked_before_sources_outside_the_hall() {
    let all = halls(3, 1);
    let (hall, names) = &all[0];
    let holders = vec![Arc::from("h0"), Arc::from("h1")];
    let ranking = SourceRanking::new(b"v", &all, hall, &names[0], 1)
        .with_holders(holders);
    let mut asked: HashMap<Source, usize> = HashMap::new();
    for i in 0..64 {
        *asked.entry(ranking.choose_source(i, none, none)).or_default() += 1;
    }
    assert_eq!(asked.len(), 2, "{asked:?}");
    assert!(asked.values().all(|count| *count == 32), "{asked:?}");
    let gone = |s: &Source| matches!(s, Source::Near(_));
    assert!(!matches!(ranking.choose_source(0, gone, none), Source::Near(_)));
}

#[test]
fn a_paced_fetch_ends_on_time() {
    let at = Time::from_millis;
    let pace = FetchPace::new(64, at(1_000), at(5_000));
    assert_eq!(pace.missing_at(at(1_000)), 64);
    assert_eq!(pace.missing_at(at(3_000)), 32);
    assert_eq!(pace.missing_at(at(4_990)), 0);
    assert_eq!(pace.missing_at(at(9_000)), 0);
    // The version is due already.
    assert_eq!(FetchPace::new(64, at(5_000), at(1_000)).missing_at(at(0)), 0);
}
