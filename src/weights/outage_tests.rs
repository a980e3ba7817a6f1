//! What is asked of an origin that is down, and of one that is back.

use std::time::Duration;

use super::tests::{chunks, halls, walk};
use super::{Patience, Puller, Source, Takeover};
use crate::{Digest, Time};

const TAKEOVER: Takeover = Takeover {
    after: Duration::from_millis(1_500),
    step: Duration::from_millis(250),
};

#[test]
fn an_origin_that_comes_back_sends_what_is_missing_about_once() {
    let all = halls(3, 25);
    let list = chunks(96);
    let patience = Patience::new()
        .with_waiting(Duration::from_secs(3_600))
        .with_suspect(Duration::from_secs(2))
        .with_takeover(TAKEOVER);
    for missing in [8, 15] {
        let gone = &list[list.len() - missing..];
        let gone: Vec<Digest> = gone.iter().map(|c| c.digest()).collect();
        let mut draws = 0;
        for (h, (_, names)) in all.iter().enumerate() {
            for i in 0..names.len() {
                let walk = walk(&all, h, i);
                let held = |d: &Digest| !gone.contains(d);
                let mut puller = Puller::new(walk, &list, patience, 0, held);
                draws += draws_at_return(&mut puller);
            }
        }
        assert!(draws >= missing, "{draws} draws for {missing} chunks");
        assert!(draws <= missing * 3, "{draws} draws for {missing} chunks");
    }
}

/// Returns how many questions to the origin a puller sends in the first 0.6 s
/// after the origin was down for 6 s, while peers have nothing.
fn draws_at_return(puller: &mut Puller) -> usize {
    const BACK: u64 = 6_000;
    let mut draws = 0;
    for ms in (0..BACK + 600).step_by(50) {
        let now = Time::from_millis(ms);
        for ask in puller.poll(now) {
            if *ask.source() != Source::Origin {
                puller.waited(ask.source(), now);
            } else if ms < BACK {
                puller.failed(ask.source(), now);
            } else {
                draws += 1;
                puller.got(ask.source(), &ask.want()[0]);
            }
        }
    }
    draws
}

#[test]
fn an_origin_that_is_down_is_tried_again_though_peers_are_asked_meanwhile() {
    let all = halls(1, 4);
    let list = chunks(96);
    let ranks = walk(&all, 0, 0);
    let mine = (0..list.len()).find(|i| ranks.place(*i) == 0).unwrap();
    let patience = Patience::new()
        .with_suspect(Duration::from_secs(2))
        .with_takeover(TAKEOVER);
    let mut puller = Puller::new(walk(&all, 0, 0), &list, patience, 0, |d| {
        *d != list[mine].digest()
    });
    let hold = 800;
    let mut waiting: Vec<(u64, Source)> = Vec::new();
    let mut tries = Vec::new();
    for ms in (0..6_000).step_by(50) {
        let now = Time::from_millis(ms);
        for ask in puller.poll(now) {
            if *ask.source() == Source::Origin {
                tries.push(ms);
                puller.failed(ask.source(), now);
            } else {
                let until = ms + ask.hold().as_millis() as u64;
                waiting.push((until, ask.source().clone()));
            }
        }
        waiting.retain(|(until, source)| {
            let over = *until <= ms;
            if over {
                puller.waited(source, now);
            }
            !over
        });
    }
    let gaps = tries.windows(2).map(|t| t[1] - t[0]);
    let longest = gaps.max().expect("it is tried again");
    assert!(longest < hold / 2, "{longest} ms without a try");
}

#[test]
fn what_a_drawer_that_is_gone_leaves_is_soon_taken_over_after_an_outage() {
    let all = halls(1, 6);
    let list = chunks(96);
    let patience = Patience::new()
        .with_waiting(Duration::from_secs(3_600))
        .with_suspect(Duration::from_secs(2))
        .with_takeover(TAKEOVER);
    // One chunk's drawer is gone, and this agent is the next in rank; one
    // other chunk comes at the origin's return.
    let ranks = walk(&all, 0, 0);
    let place = |place: usize| {
        let mut chunks = 0..list.len();
        chunks.find(|i| ranks.place(*i) == place).unwrap()
    };
    let (left, other) = (place(1), place(3));
    let missing = [list[left].digest(), list[other].digest()];
    let held = |d: &Digest| !missing.contains(d);
    let mut puller = Puller::new(walk(&all, 0, 0), &list, patience, 0, held);
    let mut drawn = None;
    for ms in (0..10_000).step_by(50) {
        let now = Time::from_millis(ms);
        for ask in puller.poll(now) {
            if *ask.source() != Source::Origin {
                puller.waited(ask.source(), now);
            } else if ms < 6_000 {
                puller.failed(ask.source(), now);
            } else if ask.want()[0] == missing[0] {
                drawn.get_or_insert(ms);
            }
        }
        if ms == 6_200 {
            let fellow = ranks.fellows().next().unwrap();
            puller.got(&fellow, &missing[1]);
        }
    }
    let drawn = drawn.expect("it is taken over");
    assert!(drawn <= 7_200, "only at {drawn} ms");
}
