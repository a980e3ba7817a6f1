//! When a puller draws what another agent is in charge of.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::tests::{chunks, halls, walk};
use super::{FetchTimeouts, Puller, Source, Takeover};
use crate::{Digest, Time};

#[test]
fn the_last_chunks_are_drawn_by_one_agent_after_the_other() {
    let all = halls(2, 3);
    let count = 24;
    let missing = 5;
    let mut draws = Vec::new();
    for (h, (_, names)) in all.iter().enumerate() {
        for i in 0..names.len() {
            let mut puller = Puller::new(
                walk(&all, h, i),
                &chunks(count),
                FetchTimeouts::new(),
                0,
                |d| *d != chunks(count)[missing].digest(),
            );
            let drawn = (0..40u64).find(|step| {
                let now = Time::from_millis(step * 50);
                let asks = puller.poll(now);
                asks.iter().any(|a| *a.source() == Source::Origin)
            });
            draws.push(drawn.unwrap() * 50);
        }
    }
    draws.sort_unstable();
    // Its seed draws it at once; the others follow, well apart.
    assert_eq!(draws, [0, 400, 500, 600, 700, 800]);
}

#[test]
fn all_fellows_are_asked_for_the_last_chunks() {
    let all = halls(1, 5);
    let count = 40;
    let mut puller = Puller::new(
        walk(&all, 0, 0),
        &chunks(count),
        FetchTimeouts::new(),
        0,
        |d| *d != chunks(count)[7].digest(),
    );
    for ask in puller.poll(Time::ZERO) {
        puller.record_not_yet(ask.source(), Time::ZERO);
    }
    puller.poll(Time::from_millis(10));
    let asks = puller.poll(Time::from_millis(500));
    let near = asks.iter().filter(|a| matches!(a.source(), Source::Near(_)));
    assert_eq!(near.count(), 4, "{asks:?}");
}

/// Returns how many agents of a fleet draw on the origin at a time, if
/// nobody gets a chunk for `span` and every source says "not yet".
fn herd(patience: FetchTimeouts, span: Duration) -> usize {
    let all = halls(3, 8);
    let mut herd = 0;
    for (h, (_, names)) in all.iter().enumerate() {
        for i in 0..names.len() {
            let mut puller = Puller::new(
                walk(&all, h, i),
                &chunks(24),
                patience,
                0,
                |_| false,
            );
            let mut now = Time::ZERO;
            let mut drawn = HashSet::new();
            while now < Time::ZERO.after(span) {
                for ask in puller.poll(now) {
                    if *ask.source() == Source::Origin {
                        drawn.extend(ask.want().to_vec());
                        puller.record_failure(ask.source(), now);
                    } else {
                        puller.record_not_yet(ask.source(), now);
                    }
                }
                now = now.after(Duration::from_millis(100));
            }
            herd += drawn.len();
        }
    }
    herd
}

#[test]
fn an_origin_that_is_down_is_not_asked_by_a_herd() {
    let hour = Duration::from_secs(3_600);
    let patience = FetchTimeouts::new()
        .with_not_yet_limit(hour)
        .with_suspicion(Duration::from_secs(2));
    let span = Duration::from_secs(6);
    // Each chunk is asked for by the one agent in charge of it.
    assert_eq!(herd(patience, span), 24);
    let takeover = Takeover {
        after: Duration::from_millis(1_500),
        step: Duration::from_millis(250),
    };
    // Where nothing comes at all, others join in, a few at a time.
    let some = herd(patience.with_takeover(takeover), span);
    assert!((24..=72).contains(&some), "{some}");
    // With patience alone, each agent ends up asking for every chunk.
    let left = FetchTimeouts::new()
        .with_not_yet_limit(Duration::from_millis(1_200))
        .with_suspicion(Duration::from_secs(2));
    let all = herd(left, span);
    assert!(all > 200, "{all}");
}

#[test]
fn those_who_cannot_reach_the_origin_are_followed_by_the_next() {
    let all = halls(1, 4);
    let takeover = Takeover {
        after: Duration::from_millis(1_000),
        step: Duration::from_millis(500),
    };
    let patience = FetchTimeouts::new()
        .with_not_yet_limit(Duration::from_secs(3_600))
        .with_takeover(takeover);
    let ranks = walk(&all, 0, 0);
    let list = chunks(24);
    let mut puller =
        Puller::new(walk(&all, 0, 0), &list, patience, 0, |_| false);
    let mut others = Vec::new();
    let mut gained = 0;
    // The origin answers this agent; its fellows never have anything.
    for ms in (0..6_000).step_by(50) {
        let now = Time::from_millis(ms);
        for ask in puller.poll(now) {
            if *ask.source() != Source::Origin {
                puller.record_not_yet(ask.source(), now);
                continue;
            }
            let digest = ask.want()[0];
            let i = list.iter().position(|c| c.digest() == digest).unwrap();
            if ranks.place(i) > 0 {
                others.push((ranks.place(i), ms - gained));
            }
            puller.record_chunk(ask.source(), &digest);
            gained = ms;
        }
    }
    // One of the next rank each time that nothing has come for so long.
    let (place, waited) = others[0];
    assert_eq!(place, 1);
    assert!((1_500..=1_600).contains(&waited), "{waited}");
    assert!(others.len() <= 4, "{others:?}");
}

#[test]
fn nobody_takes_over_at_the_start_of_a_fetch() {
    let all = halls(1, 4);
    let takeover = Takeover {
        after: Duration::from_millis(1_000),
        step: Duration::from_millis(500),
    };
    let patience = FetchTimeouts::new().with_takeover(takeover);
    let ranks = walk(&all, 0, 0);
    let list = chunks(24);
    let mut puller =
        Puller::new(walk(&all, 0, 0), &list, patience, 0, |_| false);
    // The process's time does not begin at zero.
    let start = Time::from_millis(24 * 3_600_000);
    let first = puller.poll(start);
    let asked = first.iter().any(|a| *a.source() == Source::Origin);
    assert!(!asked, "peers have not said yet what they hold");
    for ms in (0..900).step_by(50) {
        let now = start.after(Duration::from_millis(ms));
        for ask in puller.poll(now) {
            if *ask.source() != Source::Origin {
                puller.record_not_yet(ask.source(), now);
                continue;
            }
            for digest in ask.want() {
                let i = list.iter().position(|c| c.digest() == *digest);
                assert_eq!(ranks.place(i.unwrap()), 0, "after {ms} ms");
            }
            puller.record_failure(ask.source(), now);
        }
    }
}

#[test]
fn last_chunks_that_trickle_in_do_not_put_off_the_takeover() {
    let all = halls(1, 5);
    let list = chunks(96);
    let missing: Vec<Digest> = list[..10].iter().map(|c| c.digest()).collect();
    let mut puller = Puller::new(
        walk(&all, 0, 0),
        &list,
        FetchTimeouts::new().with_not_yet_limit(Duration::from_secs(3_600)),
        0,
        |d| !missing.contains(d),
    );
    let mut first = None;
    let mut left = missing.clone();
    for ms in (0..3_000).step_by(50) {
        let now = Time::from_millis(ms);
        let mut comes = ms % 250 == 0 && left.len() > 2;
        for ask in puller.poll(now) {
            if *ask.source() == Source::Origin {
                let ranks = walk(&all, 0, 0);
                let wanted = &ask.want()[0];
                let i = list.iter().position(|c| c.digest() == *wanted);
                if ranks.place(i.unwrap()) > 0 {
                    first.get_or_insert(ms);
                }
                left.retain(|d| d != wanted);
                puller.record_chunk(ask.source(), wanted);
            } else if std::mem::take(&mut comes) {
                // Now and then a fellow has got hold of another one.
                let digest = ask.want()[0];
                left.retain(|d| *d != digest);
                puller.record_chunk(ask.source(), &digest);
            } else {
                puller.record_not_yet(ask.source(), now);
            }
        }
    }
    let first = first.expect("the origin is asked for another's chunk");
    assert!(first <= 1_000, "only after {first} ms");
}

#[test]
fn agents_that_take_the_last_chunks_over_draw_different_ones() {
    let all = halls(1, 8);
    let list = chunks(96);
    let missing: Vec<Digest> = list[..8].iter().map(|c| c.digest()).collect();
    let mut draws: HashMap<Digest, usize> = HashMap::new();
    for i in 0..8 {
        let mut puller = Puller::new(
            walk(&all, 0, i),
            &list,
            FetchTimeouts::new()
                .with_not_yet_limit(Duration::from_secs(3_600)),
            0,
            |d| !missing.contains(d),
        );
        // The origin was down for seconds and has just come back.
        let mut now = Time::ZERO;
        while now < Time::from_millis(6_000) {
            for ask in puller.poll(now) {
                puller.record_not_yet(ask.source(), now);
            }
            now = now.after(Duration::from_millis(100));
        }
        let asks = puller.poll(now);
        let origin = asks.iter().find(|a| *a.source() == Source::Origin);
        let digest = origin.expect("all are due").want()[0];
        *draws.entry(digest).or_default() += 1;
    }
    assert_eq!(draws.len(), 8, "each draws one of its own: {draws:?}");
}

#[test]
fn who_took_a_late_chunk_over_in_another_hall_is_asked_for_it() {
    let all = halls(2, 5);
    let list = chunks(96);
    // A chunk that the other hall draws, and that comes here through me.
    let (me, i) = (0..5)
        .flat_map(|me| (0..list.len()).map(move |i| (me, i)))
        .find(|(me, i)| {
            let ranks = walk(&all, 0, *me);
            ranks.hall_place(*i) == 0 && ranks.drawers(*i).count() > 1
        })
        .unwrap();
    let drawers: Vec<Source> = walk(&all, 0, me).drawers(i).collect();
    let mut puller = Puller::new(
        walk(&all, 0, me),
        &list,
        FetchTimeouts::new().with_not_yet_limit(Duration::from_secs(3_600)),
        0,
        |d| *d != list[i].digest(),
    );
    let mut asked = None;
    for ms in (0..2_000).step_by(50) {
        let now = Time::from_millis(ms);
        for ask in puller.poll(now) {
            if *ask.source() == drawers[1] {
                asked.get_or_insert(ms);
            }
            // The first drawer sits behind a squeezed link and does not
            // answer; the fellows of this hall have nothing.
            if matches!(ask.source(), Source::Near(_)) {
                puller.record_not_yet(ask.source(), now);
            }
        }
    }
    let asked = asked.expect("the next one in rank is asked");
    assert!(asked <= 1_000, "only after {asked} ms");
}

#[test]
fn a_last_chunk_comes_once_though_all_fellows_are_asked() {
    let all = halls(1, 12);
    let list = chunks(96);
    let mut puller = Puller::new(
        walk(&all, 0, 3),
        &list,
        FetchTimeouts::new().with_not_yet_limit(Duration::from_secs(3_600)),
        0,
        |d| *d != list[40].digest(),
    );
    // For 2 s nobody has it; then all fellows do, in the same moment.
    let mut waiting: Vec<(bool, Source)> = Vec::new();
    let mut sent = 0;
    for ms in (0..3_000).step_by(50) {
        let now = Time::from_millis(ms);
        for ask in puller.poll(now) {
            match ask.source() {
                Source::Origin => puller.record_failure(ask.source(), now),
                _ if ask.is_first_contact() => {
                    puller.record_not_yet(ask.source(), now)
                }
                peer => waiting.push((ask.is_holdings_only(), peer.clone())),
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
