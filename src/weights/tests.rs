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

pub(super) fn rank_sources(
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

/// Counts the chunks that each source sends if no source fails.
fn chunks_sent(
    all: &[(Arc<str>, Vec<Arc<str>>)],
    count: usize,
    budget: u32,
) -> HashMap<Source, u64> {
    let mut sent = HashMap::new();
    for (hall, names) in all {
        for name in names {
            let ranking = SourceRanking::new(b"v", all, hall, name, budget);
            for i in 0..count {
                let source = ranking.choose_source(i, none, none);
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
fn the_origin_sends_each_chunk_once_and_uploads_are_even() {
    for (h, each) in [(3, 4), (6, 16)] {
        let all = halls(h, each);
        let count = h * each * 4;
        let sent = chunks_sent(&all, count, 1);
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
fn the_origin_sends_the_configured_number_of_copies() {
    let all = halls(6, 4);
    for budget in 1..=6 {
        let sent = chunks_sent(&all, 48, budget);
        assert_eq!(sent[&Source::Origin], u64::from(budget) * 48);
    }
}

#[test]
fn one_agent_replaces_a_suspect_seed() {
    let all = halls(1, 4);
    let seed = (0..4).find_map(|i| {
        match rank_sources(&all, 0, i).choose_source(0, none, none) {
            Source::Near(name) => Some(name),
            _ => None,
        }
    });
    let dead = Source::Near(seed.unwrap());
    let mut origin = 0;
    for (i, name) in all[0].1.iter().enumerate() {
        if Source::Near(Arc::clone(name)) == dead {
            continue;
        }
        let next =
            rank_sources(&all, 0, i).choose_source(0, |s| *s == dead, none);
        origin += u32::from(next == Source::Origin);
        assert_ne!(next, dead);
    }
    assert_eq!(origin, 1);
}

#[test]
fn peers_are_asked_if_the_origin_is_suspect() {
    let all = halls(2, 2);
    for h in 0..2 {
        for i in 0..2 {
            for c in 0..8 {
                let s = |s: &Source| *s == Source::Origin;
                let next = rank_sources(&all, h, i).choose_source(c, s, none);
                assert_ne!(next, Source::Origin);
            }
        }
    }
}

#[test]
fn a_late_joiner_fetches_from_holders_in_its_hall() {
    let all = halls(2, 3);
    for c in 0..12 {
        let holds = |s: &Source| matches!(s, Source::Near(_));
        let next = rank_sources(&all, 0, 1).choose_source(c, none, holds);
        assert!(matches!(next, Source::Near(_)), "{next:?}");
    }
}

#[test]
fn first_requests_are_not_held_and_precede_sources_outside_the_hall() {
    let all = halls(1, 3);
    let mut puller = Puller::new(
        rank_sources(&all, 0, 0),
        &chunks(9),
        FetchTimeouts::new(),
        0,
        |_| false,
    );
    let requests = puller.poll(Time::ZERO);
    assert_eq!(requests.len(), 2);
    for request in &requests {
        assert!(request.is_first_contact() && request.hold().is_zero());
        assert!(matches!(request.source(), Source::Near(_)));
    }
    for request in &requests {
        puller.record_not_yet(request.source(), Time::ZERO);
    }
    let requests = puller.poll(Time::ZERO);
    assert!(requests.iter().any(|a| *a.source() == Source::Origin));
    assert!(
        requests
            .iter()
            .all(|a| !a.is_first_contact() || *a.source() == Source::Origin)
    );
}

#[test]
fn a_source_becomes_suspect_after_the_not_yet_limit() {
    let all = halls(1, 2);
    let timeouts =
        FetchTimeouts::new().with_not_yet_limit(Duration::from_secs(3));
    let mut puller =
        Puller::new(rank_sources(&all, 0, 0), &chunks(4), timeouts, 0, |_| {
            false
        });
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
    /// However sources fail or answer, all chunks arrive in the end. No source
    /// has two requests at a time, and requests stay short. A chunk is
    /// requested twice at a time only when it is among the last few and these
    /// have stalled.
    #[test]
    fn a_puller_completes(
        fates in prop::collection::vec(0u8..4, 1..200),
        count in 1usize..40,
    ) {
        let all = halls(3, 3);
        let mut puller = Puller::new(
            rank_sources(&all, 1, 1),
            &chunks(count),
            FetchTimeouts::new(),
            3,
            |_| false,
        );
        let mut now = Time::ZERO;
        let mut fates = fates.into_iter().chain(std::iter::repeat(0));
        let mut rounds = 0;
        while !puller.is_complete() {
            let here = puller.held_permille() as usize * count / 1000;
            let is_final = count - here <= (count / 8).max(1) + 1;
            let requests = puller.poll(now);
            let mut seen = HashSet::new();
            let mut asked = HashSet::new();
            for request in requests {
                prop_assert!(asked.insert(request.source().clone()));
                prop_assert!(
                    request.want().len() <= Puller::MAX_CHUNKS_PER_REQUEST
                );
                for digest in request.want() {
                    prop_assert!(seen.insert(*digest) || is_final);
                }
                match fates.next() {
                    Some(1) => puller.record_failure(request.source(), now),
                    Some(2) => puller.record_not_yet(request.source(), now),
                    _ => puller
                        .record_chunk(request.source(), &request.want()[0]),
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
fn the_store_accepts_only_verified_bytes_up_to_its_capacity() {
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
fn a_manifest_is_verified_against_its_digest() {
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
fn a_token_bucket_holds_its_rate_over_time() {
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
fn the_distribution_bound_matches_the_formulas() {
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
fn a_full_link_reduces_chunk_requests() {
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
