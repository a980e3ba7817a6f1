//! What is asked of an origin that is down, and of one that is back.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::tests::{chunks, halls, walk};
use super::{Chunk, ChunkRequest, FetchTimeouts, Puller, Source, Takeover};
use crate::{Digest, Time};

const TAKEOVER: Takeover = Takeover {
    after: Duration::from_millis(1_500),
    step: Duration::from_millis(250),
};

#[test]
fn an_origin_that_comes_back_sends_what_is_missing_about_once() {
    let all = halls(3, 25);
    let list = chunks(96);
    let patience = FetchTimeouts::new()
        .with_not_yet_limit(Duration::from_secs(3_600))
        .with_suspicion(Duration::from_secs(2))
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
                puller.record_not_yet(ask.source(), now);
            } else if ms < BACK {
                puller.record_failure(ask.source(), now);
            } else {
                draws += 1;
                puller.record_chunk(ask.source(), &ask.want()[0]);
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
    let patience = FetchTimeouts::new()
        .with_suspicion(Duration::from_secs(2))
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
                puller.record_failure(ask.source(), now);
            } else {
                let until = ms + ask.hold().as_millis() as u64;
                waiting.push((until, ask.source().clone()));
            }
        }
        waiting.retain(|(until, source)| {
            let over = *until <= ms;
            if over {
                puller.record_not_yet(source, now);
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
    let patience = FetchTimeouts::new()
        .with_not_yet_limit(Duration::from_secs(3_600))
        .with_suspicion(Duration::from_secs(2))
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
                puller.record_not_yet(ask.source(), now);
            } else if ms < 6_000 {
                puller.record_failure(ask.source(), now);
            } else if ask.want()[0] == missing[0] {
                drawn.get_or_insert(ms);
            }
        }
        if ms == 6_200 {
            let fellow = ranks.fellows().next().unwrap();
            puller.record_chunk(&fellow, &missing[1]);
        }
    }
    let drawn = drawn.expect("it is taken over");
    assert!(drawn <= 7_200, "only at {drawn} ms");
}

/// A fleet of pullers that pass chunks on while the origin is down.
struct Outage {
    names: Vec<Arc<str>>,
    list: Vec<Chunk>,
    pullers: Vec<Puller>,
    held: Vec<HashSet<usize>>,
    /// Questions that wait: who asked whom, for what, until when.
    out: Vec<(usize, usize, ChunkRequest, u64)>,
}

impl Outage {
    /// Returns a fleet of which each chunk that was drawn is where it was
    /// drawn, and nowhere else.
    fn new(
        halls_of: usize,
        members: usize,
        drawn: impl Fn(usize) -> bool,
    ) -> Outage {
        let all = halls(halls_of, members);
        let list = chunks(96);
        let mut outage = Outage {
            names: Vec::new(),
            list: list.clone(),
            pullers: Vec::new(),
            held: Vec::new(),
            out: Vec::new(),
        };
        let patience = FetchTimeouts::new()
            .with_hold(Duration::from_millis(800))
            .with_not_yet_limit(Duration::from_secs(3_600))
            .with_suspicion(Duration::from_secs(2))
            .with_takeover(TAKEOVER);
        for (h, (_, names)) in all.iter().enumerate() {
            for (i, name) in names.iter().enumerate() {
                let ranks = walk(&all, h, i);
                let mine = (0..list.len())
                    .filter(|c| drawn(*c) && ranks.place(*c) == 0);
                let mine: HashSet<usize> = mine.collect();
                let holds =
                    |d: &Digest| mine.iter().any(|c| list[*c].digest() == *d);
                outage.pullers.push(Puller::new(
                    walk(&all, h, i),
                    &list,
                    patience,
                    0,
                    holds,
                ));
                outage.names.push(Arc::clone(name));
                outage.held.push(mine);
            }
        }
        outage
    }

    fn step(&mut self, ms: u64) {
        let now = Time::from_millis(ms);
        for me in 0..self.pullers.len() {
            for ask in self.pullers[me].poll(now) {
                let named = |n: &Arc<str>| **n == *ask.source().name();
                let Some(other) = self.names.iter().position(named) else {
                    self.pullers[me].record_failure(ask.source(), now);
                    continue;
                };
                let until = ms + ask.hold().as_millis() as u64;
                self.out.push((me, other, ask, until));
            }
        }
        for (me, other, ask, until) in std::mem::take(&mut self.out) {
            let place = |d: &Digest| {
                self.list.iter().position(|c| c.digest() == *d).unwrap()
            };
            let mut wanted = ask.want().iter().map(place);
            let found = wanted.find(|c| self.held[other].contains(c));
            if found.is_none() && ms < until {
                self.out.push((me, other, ask, until));
                continue;
            }
            let held = &self.held[other];
            let bits = (0..self.list.len()).map(|c| held.contains(&c));
            self.pullers[me].record_holdings(ask.source(), bits);
            match found {
                Some(c) => {
                    let digest = self.list[c].digest();
                    self.pullers[me].record_chunk(ask.source(), &digest);
                    self.held[me].insert(c);
                }
                None => self.pullers[me].record_not_yet(ask.source(), now),
            }
        }
    }
}

/// A link of 24 Mbit/s brings a chunk of 24 KB in 8 ms, so 58 of them take
/// half a second; the rest is for questions that wait at those who hold
/// nothing new.
#[test]
fn what_was_drawn_reaches_all_while_the_origin_is_down() {
    let drawn = |c: usize| c % 5 > 1;
    let mut outage = Outage::new(3, 3, drawn);
    for ms in (0..4_000).step_by(10) {
        outage.step(ms);
    }
    let held: Vec<usize> = outage.held.iter().map(HashSet::len).collect();
    let all = (0..96).filter(|c| drawn(*c)).count();
    assert!(held.iter().all(|count| *count == all), "{held:?} of {all}");
}

/// An entry that takes the place of one that has ended draws only what no
/// agent of its hall holds, also what an agent got since it was first asked.
#[test]
fn what_part_holders_hold_is_not_drawn_from_the_origin() {
    let all = halls(1, 1);
    let list = chunks(96);
    let name = |i: usize| Arc::from(format!("part-{i}"));
    let part_holders: Vec<Arc<str>> = (0..5).map(name).collect();
    let walk = walk(&all, 0, 0).with_partial_holders(part_holders.clone());
    let patience =
        FetchTimeouts::new().with_not_yet_limit(Duration::from_secs(3_600));
    let mut puller = Puller::new(walk, &list, patience, 0, |_| false);
    let mut drawn = HashSet::new();
    for ms in (0..6_000).step_by(20) {
        let now = Time::from_millis(ms);
        // The second half of what the part holders hold comes to them later.
        let until = if ms < 100 { 30 } else { 60 };
        for ask in puller.poll(now) {
            let place = |d: &Digest| {
                list.iter().position(|c| c.digest() == *d).unwrap()
            };
            if *ask.source() == Source::Origin {
                // The origin takes long for each of its chunks.
                if ms % 100 == 0 {
                    let digest = ask.want()[0];
                    drawn.insert(place(&digest));
                    puller.record_chunk(ask.source(), &digest);
                } else {
                    puller.record_not_yet(ask.source(), now);
                }
                continue;
            }
            let holder =
                part_holders.iter().position(|l| **l == *ask.source().name());
            let holder = holder.unwrap();
            let holds = |c: usize| c < until && c % 5 == holder;
            puller.record_holdings(ask.source(), (0..list.len()).map(holds));
            let found = ask.want().iter().find(|d| holds(place(d)));
            match found.filter(|_| !ask.is_holdings_only()) {
                Some(digest) => puller.record_chunk(ask.source(), digest),
                None => puller.record_not_yet(ask.source(), now),
            }
        }
    }
    assert!(puller.is_complete());
    let lent = drawn.iter().filter(|c| **c < 30).count();
    assert_eq!(lent, 0, "{drawn:?}");
    assert!(drawn.len() <= 36 + 15, "{} draws", drawn.len());
}
