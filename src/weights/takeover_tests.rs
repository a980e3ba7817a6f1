//! Tests of when a puller fetches chunks that another agent is responsible
//! for.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::tests::{chunks, halls, rank_sources};
use super::{FetchTimeouts, Puller, Source, Takeover};
use crate::{Digest, Time};

#[test]
fn final_chunks_are_taken_over_by_one_agent_after_the_other() {
    let all = halls(2, 3);
    let count = 24;
    let missing = 5;
    let mut fetched_at = Vec::new();
    for (h, (_, names)) in all.iter().enumerate() {
        for i in 0..names.len() {
            let mut puller = Puller::new(
                rank_sources(&all, h, i),
                &chunks(count),
                FetchTimeouts::new(),
                0,
                |d| *d != chunks(count)[missing].digest(),
            );
            let fetched = (0..40u64).find(|step| {
                let now = Time::from_millis(step * 50);
                let requests = puller.poll(now);
                requests.iter().any(|a| *a.source() == Source::Origin)
            });
            fetched_at.push(fetched.unwrap() * 50);
        }
    }
    fetched_at.sort_unstable();
    // The seed fetches it at once; the others follow one by one.
    assert_eq!(fetched_at, [0, 400, 500, 600, 700, 800]);
}

#[test]
fn all_hall_peers_are_asked_for_final_chunks() {
    let all = halls(1, 5);
    let count = 40;
    let mut puller = Puller::new(
        rank_sources(&all, 0, 0),
        &chunks(count),
        FetchTimeouts::new(),
        0,
        |d| *d != chunks(count)[7].digest(),
    );
    for request in puller.poll(Time::ZERO) {
        puller.record_not_yet(request.source(), Time::ZERO);
    }
    puller.poll(Time::from_millis(10));
    let requests = puller.poll(Time::from_millis(500));
    let near =
        requests.iter().filter(|a| matches!(a.source(), Source::Near(_)));
    assert_eq!(near.count(), 4, "{requests:?}");
}

/// Returns how many distinct chunks the agents of a fleet request from the
/// origin, summed over the agents, if no chunk arrives for `span` and every
/// other source answers "not yet".
fn origin_requests(timeouts: FetchTimeouts, span: Duration) -> usize {
    let all = halls(3, 8);
    let mut total = 0;
    for (h, (_, names)) in all.iter().enumerate() {
        for i in 0..names.len() {
            let mut puller = Puller::new(
                rank_sources(&all, h, i),
                &chunks(24),
                timeouts,
                0,
                |_| false,
            );
            let mut now = Time::ZERO;
            let mut fetched = HashSet::new();
            while now < Time::ZERO.after(span) {
                for request in puller.poll(now) {
                    if *request.source() == Source::Origin {
                        fetched.extend(request.want().to_vec());
                        puller.record_failure(request.source(), now);
                    } else {
                        puller.record_not_yet(request.source(), now);
                    }
                }
                now = now.after(Duration::from_millis(100));
            }
            total += fetched.len();
        }
    }
    total
}

#[test]
fn an_origin_outage_does_not_make_all_agents_ask_the_origin() {
    let hour = Duration::from_secs(3_600);
    let timeouts = FetchTimeouts::new()
        .with_not_yet_limit(hour)
        .with_suspicion(Duration::from_secs(2));
    let span = Duration::from_secs(6);
    // Each chunk is requested only by the responsible agent.
    assert_eq!(origin_requests(timeouts, span), 24);
    let takeover = Takeover {
        after: Duration::from_millis(1_500),
        step: Duration::from_millis(250),
    };
    // While no chunk arrives, other agents take over a few at a time.
    let requests = origin_requests(timeouts.with_takeover(takeover), span);
    assert!((24..=72).contains(&requests), "{requests}");
    // With a short limit for "not yet", each agent requests every chunk.
    let short_limit = FetchTimeouts::new()
        .with_not_yet_limit(Duration::from_millis(1_200))
        .with_suspicion(Duration::from_secs(2));
    let all = origin_requests(short_limit, span);
    assert!(all > 200, "{all}");
}

#[test]
fn the_next_rank_takes_over_for_agents_cut_off_from_the_origin() {
    let all = halls(1, 4);
    let takeover = Takeover {
        after: Duration::from_millis(1_000),
        step: Duration::from_millis(500),
    };
    let timeouts = FetchTimeouts::new()
        .with_not_yet_limit(Duration::from_secs(3_600))
        .with_takeover(takeover);
    let ranking = rank_sources(&all, 0, 0);
    let list = chunks(24);
    let mut puller =
        Puller::new(rank_sources(&all, 0, 0), &list, timeouts, 0, |_| false);
    let mut others = Vec::new();
    let mut last_received = 0;
    // The origin answers this agent; its peers never hold a chunk.
    for ms in (0..6_000).step_by(50) {
        let now = Time::from_millis(ms);
        for request in puller.poll(now) {
            if *request.source() != Source::Origin {
                puller.record_not_yet(request.source(), now);
                continue;
            }
            let digest = request.want()[0];
            let i = list.iter().position(|c| c.digest() == digest).unwrap();
            if ranking.global_rank(i) > 0 {
                others.push((ranking.global_rank(i), ms - last_received));
            }
            puller.record_chunk(request.source(), &digest);
            last_received = ms;
        }
    }
    // One agent of the next rank takes over each time that no chunk has
    // arrived for the delay.
    let (rank, waited) = others[0];
    assert_eq!(rank, 1);
    assert!((1_500..=1_600).contains(&waited), "{waited}");
    assert!(others.len() <= 4, "{others:?}");
}

#[test]
fn no_takeover_at_the_start_of_a_fetch() {
    let all = halls(1, 4);
    let takeover = Takeover {
        after: Duration::from_millis(1_000),
        step: Duration::from_millis(500),
    };
    let timeouts = FetchTimeouts::new().with_takeover(takeover);
    let ranking = rank_sources(&all, 0, 0);
    let list = chunks(24);
    let mut puller =
        Puller::new(rank_sources(&all, 0, 0), &list, timeouts, 0, |_| false);
    // The clock of a process doesn't start at zero.
    let start = Time::from_millis(24 * 3_600_000);
    let first = puller.poll(start);
    let asked = first.iter().any(|a| *a.source() == Source::Origin);
    assert!(!asked, "peers have not reported their holdings yet");
    for ms in (0..900).step_by(50) {
        let now = start.after(Duration::from_millis(ms));
        for request in puller.poll(now) {
            if *request.source() != Source::Origin {
                puller.record_not_yet(request.source(), now);
                continue;
            }
            for digest in request.want() {
                let i = list.iter().position(|c| c.digest() == *digest);
                assert_eq!(
                    ranking.global_rank(i.unwrap()),
                    0,
                    "after {ms} ms"
                );
            }
            puller.record_failure(request.source(), now);
        }
    }
}

#[test]
fn final_chunks_arriving_slowly_do_not_delay_the_takeover() {
    let all = halls(1, 5);
    let list = chunks(96);
    let missing: Vec<Digest> = list[..10].iter().map(|c| c.digest()).collect();
    let mut puller = Puller::new(
        rank_sources(&all, 0, 0),
        &list,
        FetchTimeouts::new().with_not_yet_limit(Duration::from_secs(3_600)),
        0,
        |d| !missing.contains(d),
    );
    let mut first = None;
    let mut remaining = missing.clone();
    for ms in (0..3_000).step_by(50) {
        let now = Time::from_millis(ms);
        let mut arrives = ms % 250 == 0 && remaining.len() > 2;
        for request in puller.poll(now) {
            if *request.source() == Source::Origin {
                let ranking = rank_sources(&all, 0, 0);
                let wanted = &request.want()[0];
                let i = list.iter().position(|c| c.digest() == *wanted);
                if ranking.global_rank(i.unwrap()) > 0 {
                    first.get_or_insert(ms);
                }
                remaining.retain(|d| d != wanted);
                puller.record_chunk(request.source(), wanted);
            } else if std::mem::take(&mut arrives) {
                // Now and then a peer has received another chunk.
                let digest = request.want()[0];
                remaining.retain(|d| *d != digest);
                puller.record_chunk(request.source(), &digest);
            } else {
                puller.record_not_yet(request.source(), now);
            }
        }
    }
    let first = first.expect("a chunk of another agent is requested");
    assert!(first <= 1_000, "only after {first} ms");
}

#[test]
fn agents_take_over_different_final_chunks() {
    let all = halls(1, 8);
    let list = chunks(96);
    let missing: Vec<Digest> = list[..8].iter().map(|c| c.digest()).collect();
    let mut fetches: HashMap<Digest, usize> = HashMap::new();
    for i in 0..8 {
        let mut puller = Puller::new(
            rank_sources(&all, 0, i),
            &list,
            FetchTimeouts::new()
                .with_not_yet_limit(Duration::from_secs(3_600)),
            0,
            |d| !missing.contains(d),
        );
        // The origin has just recovered from an outage of several seconds.
        let mut now = Time::ZERO;
        while now < Time::from_millis(6_000) {
            for request in puller.poll(now) {
                puller.record_not_yet(request.source(), now);
            }
            now = now.after(Duration::from_millis(100));
        }
        let requests = puller.poll(now);
        let origin = requests.iter().find(|a| *a.source() == Source::Origin);
        let digest = origin.expect("all chunks are due").want()[0];
        *fetches.entry(digest).or_default() += 1;
    }
    assert_eq!(
        fetches.len(),
        8,
        "each fetches a chunk of its own: {fetches:?}"
    );
}

#[test]
fn the_next_rank_in_another_hall_is_asked_for_an_overdue_chunk() {
    let all = halls(2, 5);
    let list = chunks(96);
    // A chunk that the other hall fetches and that this agent brings into its
    // own hall.
    let (me, i) = (0..5)
        .flat_map(|me| (0..list.len()).map(move |i| (me, i)))
        .find(|(me, i)| {
            let ranking = rank_sources(&all, 0, *me);
            ranking.hall_rank(*i) == 0
                && ranking.origin_fetchers(*i).count() > 1
        })
        .unwrap();
    let fetchers: Vec<Source> =
        rank_sources(&all, 0, me).origin_fetchers(i).collect();
    let mut puller = Puller::new(
        rank_sources(&all, 0, me),
        &list,
        FetchTimeouts::new().with_not_yet_limit(Duration::from_secs(3_600)),
        0,
        |d| *d != list[i].digest(),
    );
    let mut asked = None;
    for ms in (0..2_000).step_by(50) {
        let now = Time::from_millis(ms);
        for request in puller.poll(now) {
            if *request.source() == fetchers[1] {
                asked.get_or_insert(ms);
            }
            // The first agent is behind a congested link and doesn't answer;
            // the peers of this hall hold nothing.
            if matches!(request.source(), Source::Near(_)) {
                puller.record_not_yet(request.source(), now);
            }
        }
    }
    let asked = asked.expect("the next agent in rank order is asked");
    assert!(asked <= 1_000, "only after {asked} ms");
}

#[test]
fn a_final_chunk_is_sent_about_once_though_all_peers_are_asked() {
    let all = halls(1, 12);
    let list = chunks(96);
    let mut puller = Puller::new(
        rank_sources(&all, 0, 3),
        &list,
        FetchTimeouts::new().with_not_yet_limit(Duration::from_secs(3_600)),
        0,
        |d| *d != list[40].digest(),
    );
    // Nobody holds the chunk for 2 s; then all peers do at once.
    let mut waiting: Vec<(bool, Source)> = Vec::new();
    let mut sent = 0;
    for ms in (0..3_000).step_by(50) {
        let now = Time::from_millis(ms);
        for request in puller.poll(now) {
            match request.source() {
                Source::Origin => puller.record_failure(request.source(), now),
                _ if request.is_first_contact() => {
                    puller.record_not_yet(request.source(), now)
                }
                peer => {
                    waiting.push((request.is_holdings_only(), peer.clone()))
                }
            }
        }
        if ms < 2_000 {
            continue;
        }
        for (tell, source) in waiting.drain(..) {
            let held = (0..list.len()).map(|i| i == 40);
            puller.record_holdings(&source, held);
            if tell {
                puller.record_not_yet(&source, now);
            } else {
                sent += 1;
                puller.record_chunk(&source, &list[40].digest());
            }
        }
    }
    assert!(puller.is_complete());
    assert!((1..=2).contains(&sent), "it was sent {sent} times");
}
