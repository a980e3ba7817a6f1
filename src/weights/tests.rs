use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use super::{
    Chunk, ChunkStore, DistributionBound, Duplex, FetchTimeouts, LinkShare,
    Manifest, Puller, Source, SourceRanking, TokenBucket,
};
use crate::{Code, Digest, Time};

pub(super) fn halls(
    halls: usize,
    each: usize,
) -> Vec<(Arc<str>, Vec<Arc<str>>)> {
    let mut out = Vec::new();
    for h in 0..halls {
        let names = (0..each).map(|i| format!("a{h}-{i}").into());
        out.push((format!("h{h}").into(), names.collect()));
    }
    out
}

pub(super) fn walk(
    all: &[(Arc<str>, Vec<Arc<str>>)],
    h: usize,
    i: usize,
) -> SourceRanking {
    let (hall, names) = &all[h];
    SourceRanking::new(b"v", all, hall, &names[i], 1)
}

pub(super) fn chunks(count: usize) -> Vec<Chunk> {
    (0..count).map(|i| Chunk::of(&i.to_le_bytes())).collect()
}

pub(super) fn none(_: &Source) -> bool {
    false
}

/// Counts who draws what from where if nobody fails.
fn draws(
    all: &[(Arc<str>, Vec<Arc<str>>)],
    count: usize,
    budget: u32,
) -> HashMap<Source, u64> {
    let mut sent = HashMap::new();
    for (hall, names) in all {
        for name in names {
            let walk = SourceRanking::new(b"v", all, hall, name, budget);
            for i in 0..count {
                let source = walk.first(i, none, none);
                let source = match source {
                    Source::Far(n) | Source::Near(n) => Source::Near(n),
                    Source::Origin => Source::Origin,
                };
                *sent.entry(source).or_default() += 1;
            }
        }
    }
    sent
}

#[test]
fn each_chunk_leaves_the_origin_once_and_uploads_are_even() {
    for (h, each) in [(3, 4), (6, 16)] {
        let all = halls(h, each);
        let count = h * each * 4;
        let sent = draws(&all, count, 1);
        assert_eq!(sent[&Source::Origin], count as u64);
        let most = sent
            .iter()
            .filter(|(s, _)| **s != Source::Origin)
            .map(|(_, n)| *n as f64 / count as f64)
            .fold(0.0, f64::max);
        assert!(most <= 1.0, "busiest sends {most} copies");
    }
}

#[test]
fn a_budget_draws_as_many_copies() {
    let all = halls(6, 4);
    for budget in 1..=6 {
        let sent = draws(&all, 48, budget);
        assert_eq!(sent[&Source::Origin], u64::from(budget) * 48);
    }
}

#[test]
fn a_suspect_seed_is_followed_by_the_next_and_not_by_a_herd() {
    let all = halls(1, 4);
    let seed =
        (0..4).find_map(|i| match walk(&all, 0, i).first(0, none, none) {
            Source::Near(name) => Some(name),
            _ => None,
        });
    let dead = Source::Near(seed.unwrap());
    let mut origin = 0;
    for (i, name) in all[0].1.iter().enumerate() {
        if Source::Near(Arc::clone(name)) == dead {
            continue;
        }
        let next = walk(&all, 0, i).first(0, |s| *s == dead, none);
        origin += u32::from(next == Source::Origin);
        assert_ne!(next, dead);
    }
    assert_eq!(origin, 1);
}

#[test]
fn without_the_origin_any_peer_is_asked() {
    let all = halls(2, 2);
    for h in 0..2 {
        for i in 0..2 {
            for c in 0..8 {
                let s = |s: &Source| *s == Source::Origin;
                let next = walk(&all, h, i).first(c, s, none);
                assert_ne!(next, Source::Origin);
            }
        }
    }
}

#[test]
fn a_late_joiner_draws_what_its_hall_holds_from_its_hall() {
    let all = halls(2, 3);
    for c in 0..12 {
        let holds = |s: &Source| matches!(s, Source::Near(_));
        let next = walk(&all, 0, 1).first(c, none, holds);
        assert!(matches!(next, Source::Near(_)), "{next:?}");
    }
}

#[test]
fn first_questions_come_back_at_once_and_hold_back_the_rest() {
    let all = halls(1, 3);
    let mut puller = Puller::new(
        walk(&all, 0, 0),
        &chunks(9),
        FetchTimeouts::new(),
        0,
        |_| false,
    );
    let asks = puller.poll(Time::ZERO);
    assert_eq!(asks.len(), 2);
    for ask in &asks {
        assert!(ask.is_first_contact() && ask.hold().is_zero());
        assert!(matches!(ask.source(), Source::Near(_)));
    }
    for ask in &asks {
        puller.record_not_yet(ask.source(), Time::ZERO);
    }
    let asks = puller.poll(Time::ZERO);
    assert!(asks.iter().any(|a| *a.source() == Source::Origin));
    assert!(
        asks.iter()
            .all(|a| !a.is_first_contact() || *a.source() == Source::Origin)
    );
}

#[test]
fn a_source_without_news_is_left_after_patience() {
    let all = halls(1, 2);
    let patience =
        FetchTimeouts::new().with_not_yet_limit(Duration::from_secs(3));
    let mut puller =
        Puller::new(walk(&all, 0, 0), &chunks(4), patience, 0, |_| false);
    let peer = Source::Near(Arc::clone(&all[0].1[1]));
    let mut now = Time::ZERO;
    let mut rounds = 0;
    while puller.poll(now).iter().any(|a| *a.source() == peer) {
        puller.record_not_yet(&peer, now);
        now = now.after(Duration::from_secs(1));
        rounds += 1;
        assert!(rounds < 10);
    }
    assert_eq!(rounds, 4);
    assert_eq!(puller.pending_and_suspect(now).1, [peer]);
}

proptest! {
    /// Whatever sources fail, lie or wait, all chunks come in the end, no
    /// source is asked twice at a time, no chunk is but for the last few once
    /// these have stalled, and questions stay short.
    #[test]
    fn a_puller_ends(
        fates in prop::collection::vec(0u8..4, 1..200),
        count in 1usize..40,
    ) {
        let all = halls(3, 3);
        let mut puller = Puller::new(
            walk(&all, 1, 1), &chunks(count), FetchTimeouts::new(), 3, |_| false,
        );
        let mut now = Time::ZERO;
        let mut fates = fates.into_iter().chain(std::iter::repeat(0));
        let mut rounds = 0;
        while !puller.is_complete() {
            let here = puller.held_permille() as usize * count / 1000;
            let last = count - here <= (count / 8).max(1) + 1;
            let asks = puller.poll(now);
            let mut seen = HashSet::new();
            let mut asked = HashSet::new();
            for ask in asks {
                prop_assert!(asked.insert(ask.source().clone()));
                prop_assert!(ask.want().len() <= Puller::MAX_CHUNKS_PER_REQUEST);
                for digest in ask.want() {
                    prop_assert!(seen.insert(*digest) || last);
                }
                match fates.next() {
                    Some(1) => puller.record_failure(ask.source(), now),
                    Some(2) => puller.record_not_yet(ask.source(), now),
                    _ => puller.record_chunk(ask.source(), &ask.want()[0]),
                }
            }
            now = now.after(Duration::from_millis(500));
            rounds += 1;
            prop_assert!(rounds < 20_000);
        }
        prop_assert_eq!(puller.held_permille(), 1000);
    }
}

#[test]
fn only_verified_bytes_get_into_the_store_and_within_its_bound() {
    let mut store: ChunkStore<Vec<u8>> = ChunkStore::new(10);
    let (a, b) = (vec![1; 6], vec![2; 6]);
    let wrong = store.put(Digest::of(&a), b.clone()).unwrap_err();
    assert_eq!(wrong.code(), Code::CorruptChunk);
    assert!(!store.contains(&Digest::of(&a)));
    store.put(Digest::of(&a), a.clone()).unwrap();
    store.put(Digest::of(&a), a.clone()).unwrap();
    assert_eq!(store.used(), 6);
    let full = store.put(Digest::of(&b), b.clone()).unwrap_err();
    assert_eq!(full.code(), Code::StoreTooSmall);
    store.retain(&HashSet::new());
    store.put(Digest::of(&b), b).unwrap();
    assert_eq!(store.used(), 6);
}

#[test]
fn a_manifest_is_what_its_digest_says() {
    let bytes: Vec<u8> = (0..1_000u32).map(|i| i as u8).collect();
    let manifest = Manifest::cut(&bytes, 300).unwrap();
    assert_eq!(manifest.chunks().len(), 4);
    assert_eq!(manifest.size(), 1_000);
    let coded = manifest.encode();
    let digest = Digest::of(&coded);
    assert_eq!(Manifest::parse(&coded, digest).unwrap(), manifest);
    let mut wrong = coded.clone();
    wrong[5] ^= 1;
    let err = Manifest::parse(&wrong, digest).unwrap_err();
    assert_eq!(err.code(), Code::CorruptChunk);
    let err = Manifest::parse(b"{}", Digest::of(b"{}")).unwrap_err();
    assert_eq!(err.code(), Code::BadManifest);
}

#[test]
fn a_bucket_holds_its_rate_over_time() {
    let mut bucket = TokenBucket::new(1_000, 100);
    let mut now = Time::ZERO;
    let mut sent = 0;
    while now < Time::from_millis(10_000) {
        let wait = bucket.take(50, now);
        sent += 50;
        let pause = wait.max(Duration::from_millis(1));
        now = now.after(pause + Duration::from_millis(1));
    }
    assert!((9_000..=10_200).contains(&sent), "{sent}");
    let mut open = TokenBucket::new(0, 0);
    assert_eq!(open.take(1 << 40, Time::ZERO), Duration::ZERO);
}

#[test]
fn the_bound_is_what_the_design_says() {
    let window = Duration::from_secs(100);
    let secs = |link, n, o| {
        DistributionBound::new(n, window, link).min_duration(o).as_secs_f64()
    };
    let close = |a: f64, b: f64| assert!((a - b).abs() < 0.01, "{a} {b}");
    close(secs(Duplex::Full, 12, 4.0), 50.0);
    // W / (1 + 2/N) for any number of copies.
    close(secs(Duplex::Half, 12, 4.0), 100.0 / (1.0 + 2.0 / 12.0));
    // One copy: (2N - 1) S / (N c).
    close(secs(Duplex::Half, 12, 1.0), 23.0 / 24.0 * 100.0);
}

#[test]
fn a_full_link_is_left_to_answers() {
    let mut share = LinkShare::new();
    assert_eq!(share.max_requests(20), 20);
    for _ in 0..3 {
        share.record_delay(LinkShare::TARGET_DELAY * 2);
    }
    assert_eq!(share.max_requests(20), 2);
    share.record_delay(LinkShare::TARGET_DELAY * 3 / 2);
    assert_eq!(share.max_requests(20), 1);
    for _ in 0..20 {
        share.record_delay(LinkShare::TARGET_DELAY * 2);
    }
    // The transfer never stops altogether.
    assert!(share.download() >= LinkShare::MIN_SHARE);
    assert_eq!(share.max_requests(20), 1);
    for _ in 0..30 {
        share.record_delay(Duration::from_millis(5));
    }
    assert_eq!(share.max_requests(20), 20);
}
