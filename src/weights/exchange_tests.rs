//! Tests of agents that take chunks from each other as well as from caches.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::tests::{chunks, halls, none, rank_sources};
use super::{FetchTimeouts, Puller, Source, SourceRanking};
use crate::Time;

fn exchange(hall: usize, agent: usize) -> SourceRanking {
    let caches = vec![Arc::from("c0"), Arc::from("c1"), Arc::from("c2")];
    rank_sources(&halls(3, 8), hall, agent)
        .with_fanout(2)
        .with_caches(caches)
        .with_exchange(true)
}

fn is_cache(source: &Source) -> bool {
    source.name().starts_with('c')
}

/// Guards against caches whose links carry a copy for each agent of the hall,
/// and against an agent that sends more than it receives.
#[test]
fn caches_send_half_of_the_copies_and_agents_the_rest() {
    let mut sent: HashMap<Source, usize> = HashMap::new();
    for agent in 0..8 {
        let ranking = exchange(1, agent);
        for i in 0..96 {
            let source = ranking.choose_source(i, none, none);
            assert!(matches!(source, Source::Near(_)), "{source:?}");
            *sent.entry(source).or_default() += 1;
        }
    }
    let from_caches = sent.iter().filter(|(source, _)| is_cache(source));
    let from_caches: usize = from_caches.map(|(_, count)| count).sum();
    assert_eq!(from_caches, 8 * 96 / 2);
    for (source, count) in &sent {
        assert!(is_cache(source) || *count <= 96, "{source:?}: {count}");
    }
}

/// Guards against a chunk that is requested from an agent in a circle, and so
/// never arrives.
#[test]
fn every_chunk_comes_from_a_cache_in_the_end() {
    let all = halls(3, 8);
    let names = &all[1].1;
    for agent in 0..8 {
        for i in 0..96 {
            let mut at = agent;
            let mut steps = 0;
            loop {
                let source = exchange(1, at).choose_source(i, none, none);
                if is_cache(&source) {
                    break;
                }
                let named = |n: &Arc<str>| **n == *source.name();
                at = names.iter().position(named).unwrap();
                steps += 1;
                assert!(steps < 8, "chunk {i} goes in a circle");
            }
        }
    }
}

/// Guards against an agent that waits for one that failed, and against a hall
/// without caches in which the exchange would leave chunks unfetched.
#[test]
fn caches_replace_a_failed_agent_and_agents_replace_the_caches() {
    let gone = |s: &Source| !is_cache(s);
    for i in 0..96 {
        let source = exchange(1, 3).choose_source(i, gone, none);
        assert!(is_cache(&source), "{source:?}");
        let plain = rank_sources(&halls(3, 8), 1, 3).with_fanout(2);
        assert_eq!(
            exchange(1, 3).choose_source(i, is_cache, none),
            plain.choose_source(i, is_cache, none)
        );
    }
}

/// Guards against an agent that fetches another version and so never has what
/// others wait for.
#[test]
fn an_agent_that_has_nothing_new_is_replaced_by_the_caches() {
    let list = chunks(96);
    let timeouts =
        FetchTimeouts::new().with_not_yet_limit(Duration::from_secs(3_600));
    let mut puller =
        Puller::new(exchange(1, 3), &list, timeouts, 0, |_| false);
    // The caches answer every 40 ms; agents hold requests for 400 ms.
    let mut waiting: Vec<(u64, Source)> = Vec::new();
    let mut complete_at = None;
    for ms in (0..10_000).step_by(40) {
        let now = Time::from_millis(ms);
        let (due, later): (Vec<_>, Vec<_>) =
            waiting.drain(..).partition(|(until, _)| *until <= ms);
        waiting = later;
        for (_, source) in due {
            puller.record_not_yet(&source, now);
        }
        for request in puller.poll(now) {
            assert_ne!(*request.source(), Source::Origin, "at {ms} ms");
            if is_cache(request.source()) {
                let digest = request.want()[0];
                puller.record_chunk(request.source(), &digest);
            } else {
                waiting.push((ms + 400, request.source().clone()));
            }
        }
        if puller.is_complete() {
            complete_at.get_or_insert(ms);
        }
    }
    // Three caches take 1.3 s for all chunks.
    let complete_at = complete_at.expect("all chunks arrive");
    assert!(complete_at <= 4_000, "only at {complete_at} ms");
}
