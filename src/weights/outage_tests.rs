//! Tests of requests to an origin that is down or has recovered.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::tests::{chunks, halls, rank_sources};
use super::{Chunk, ChunkRequest, FetchTimeouts, Puller, Source, Takeover};
use crate::{Digest, Time};

const TAKEOVER: Takeover = Takeover {
    after: Duration::from_millis(1_500),
    step: Duration::from_millis(250),
};

#[test]
fn a_recovered_origin_sends_each_missing_chunk_few_times() {
    let all = halls(3, 25);
    let list = chunks(96);
    let timeouts = FetchTimeouts::new()
        .with_not_yet_limit(Duration::from_secs(3_600))
        .with_suspicion(Duration::from_secs(2))
        .with_takeover(TAKEOVER);
    for missing in [8, 15] {
        let missing_digests = &list[list.len() - missing..];
        let missing_digests: Vec<Digest> =
            missing_digests.iter().map(|c| c.digest()).collect();
        let mut requests_sent = 0;
        for (h, (_, names)) in all.iter().enumerate() {
            for i in 0..names.len() {
                let ranking = rank_sources(&all, h, i);
                let held = |d: &Digest| !missing_digests.contains(d);
                let mut puller =
                    Puller::new(ranking, &list, timeouts, 0, held);
                requests_sent += origin_requests_after_outage(&mut puller);
            }
        }
        assert!(
            requests_sent >= missing,
            "{requests_sent} requests for {missing} chunks"
        );
        assert!(
            requests_sent <= missing * 3,
            "{requests_sent} requests for {missing} chunks"
        );
    }
}

/// Returns how many requests a puller sends to the origin in the first 0.6 s
/// after an outage of 6 s during which peers hold none of the missing chunks.
fn origin_requests_after_outage(puller: &mut Puller) -> usize {
    const BACK: u64 = 6_000;
    let mut requests_sent = 0;
    for ms in (0..BACK + 600).step_by(50) {
        let now = Time::from_millis(ms);
        for request in puller.poll(now) {
            if *request.source() != Source::Origin {
                puller.record_not_yet(request.source(), now);
            } else if ms < BACK {
                puller.record_failure(request.source(), now);
            } else {
                requests_sent += 1;
                puller.record_chunk(request.source(), &request.want()[0]);
            }
        }
    }
    requests_sent
}

#[test]
fn a_failed_origin_is_retried_while_peers_hold_requests() {
    let all = halls(1, 4);
    let list = chunks(96);
    let ranking = rank_sources(&all, 0, 0);
    let own = (0..list.len()).find(|i| ranking.global_rank(*i) == 0).unwrap();
    let timeouts = FetchTimeouts::new()
        .with_suspicion(Duration::from_secs(2))
        .with_takeover(TAKEOVER);
    let mut puller =
        Puller::new(rank_sources(&all, 0, 0), &list, timeouts, 0, |d| {
            *d != list[own].digest()
        });
    let hold = 800;
    let mut waiting: Vec<(u64, Source)> = Vec::new();
    let mut retries = Vec::new();
    for ms in (0..6_000).step_by(50) {
        let now = Time::from_millis(ms);
        for request in puller.poll(now) {
            if *request.source() == Source::Origin {
                retries.push(ms);
                puller.record_failure(request.source(), now);
            } else {
                let until = ms + request.hold().as_millis() as u64;
                waiting.push((until, request.source().clone()));
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
    let gaps = retries.windows(2).map(|t| t[1] - t[0]);
    let longest = gaps.max().expect("the origin is retried");
    assert!(longest < hold / 2, "{longest} ms without a retry");
}

#[test]
fn chunks_of_a_lost_agent_are_taken_over_soon_after_an_outage() {
    let all = halls(1, 6);
    let list = chunks(96);
    let timeouts = FetchTimeouts::new()
        .with_not_yet_limit(Duration::from_secs(3_600))
        .with_suspicion(Duration::from_secs(2))
        .with_takeover(TAKEOVER);
    // The agent responsible for one chunk is gone and this agent is next in
    // rank. Another chunk arrives once the origin is back.
    let ranking = rank_sources(&all, 0, 0);
    let place = |place: usize| {
        let mut chunks = 0..list.len();
        chunks.find(|i| ranking.global_rank(*i) == place).unwrap()
    };
    let (taken_over, other) = (place(1), place(3));
    let missing = [list[taken_over].digest(), list[other].digest()];
    let held = |d: &Digest| !missing.contains(d);
    let mut puller =
        Puller::new(rank_sources(&all, 0, 0), &list, timeouts, 0, held);
    let mut fetched = None;
    for ms in (0..10_000).step_by(50) {
        let now = Time::from_millis(ms);
        for request in puller.poll(now) {
            if *request.source() != Source::Origin {
                puller.record_not_yet(request.source(), now);
            } else if ms < 6_000 {
                puller.record_failure(request.source(), now);
            } else if request.want()[0] == missing[0] {
                fetched.get_or_insert(ms);
            }
        }
        if ms == 6_200 {
            let peer = ranking.hall_peers().next().unwrap();
            puller.record_chunk(&peer, &missing[1]);
        }
    }
    let fetched = fetched.expect("the chunk is taken over");
    assert!(fetched <= 7_200, "only at {fetched} ms");
}

/// A fleet of pullers that forward chunks while the origin is down.
struct Outage {
    names: Vec<Arc<str>>,
    list: Vec<Chunk>,
    pullers: Vec<Puller>,
    held: Vec<HashSet<usize>>,
    /// Held requests: requester, source, request, time limit in ms.
    held_requests: Vec<(usize, usize, ChunkRequest, u64)>,
}

impl Outage {
    /// Returns a fleet in which each chunk that was fetched from the origin is
    /// held only by the agent that fetched it.
    fn new(
        halls_of: usize,
        members: usize,
        fetched: impl Fn(usize) -> bool,
    ) -> Outage {
        let all = halls(halls_of, members);
        let list = chunks(96);
        let mut outage = Outage {
            names: Vec::new(),
            list: list.clone(),
            pullers: Vec::new(),
            held: Vec::new(),
            held_requests: Vec::new(),
        };
        let timeouts = FetchTimeouts::new()
            .with_hold(Duration::from_millis(800))
            .with_not_yet_limit(Duration::from_secs(3_600))
            .with_suspicion(Duration::from_secs(2))
            .with_takeover(TAKEOVER);
        for (h, (_, names)) in all.iter().enumerate() {
            for (i, name) in names.iter().enumerate() {
                let ranking = rank_sources(&all, h, i);
                let own = (0..list.len())
                    .filter(|c| fetched(*c) && ranking.global_rank(*c) == 0);
                let own: HashSet<usize> = own.collect();
                let holds =
                    |d: &Digest| own.iter().any(|c| list[*c].digest() == *d);
                outage.pullers.push(Puller::new(
                    rank_sources(&all, h, i),
                    &list,
                    timeouts,
                    0,
                    holds,
                ));
                outage.names.push(Arc::clone(name));
                outage.held.push(own);
            }
        }
        outage
    }

    fn step(&mut self, ms: u64) {
        let now = Time::from_millis(ms);
        for me in 0..self.pullers.len() {
            for request in self.pullers[me].poll(now) {
                let named = |n: &Arc<str>| **n == *request.source().name();
                let Some(other) = self.names.iter().position(named) else {
                    self.pullers[me].record_failure(request.source(), now);
                    continue;
                };
                let until = ms + request.hold().as_millis() as u64;
                self.held_requests.push((me, other, request, until));
            }
        }
        for (me, other, request, until) in
            std::mem::take(&mut self.held_requests)
        {
            let place = |d: &Digest| {
                self.list.iter().position(|c| c.digest() == *d).unwrap()
            };
            let mut wanted = request.want().iter().map(place);
            let found = wanted.find(|c| self.held[other].contains(c));
            if found.is_none() && ms < until {
                self.held_requests.push((me, other, request, until));
                continue;
            }
            let held = &self.held[other];
            let bits = (0..self.list.len()).map(|c| held.contains(&c));
            self.pullers[me].record_holdings(request.source(), bits);
            match found {
                Some(c) => {
                    let digest = self.list[c].digest();
                    self.pullers[me].record_chunk(request.source(), &digest);
                    self.held[me].insert(c);
                }
                None => self.pullers[me].record_not_yet(request.source(), now),
            }
        }
    }
}

/// Chunks of 24 KB take 8 ms each on a link of 24 Mbit/s, so 58 of them take
/// half a second. The rest of the time allows for requests held by sources
/// that have nothing new.
#[test]
fn fetched_chunks_reach_all_agents_while_the_origin_is_down() {
    let fetched = |c: usize| c % 5 > 1;
    let mut outage = Outage::new(3, 3, fetched);
    for ms in (0..4_000).step_by(10) {
        outage.step(ms);
    }
    let held: Vec<usize> = outage.held.iter().map(HashSet::len).collect();
    let all = (0..96).filter(|c| fetched(*c)).count();
    assert!(held.iter().all(|count| *count == all), "{held:?} of {all}");
}

/// An entry that replaces another one fetches from the origin only chunks that
/// no agent of its hall holds. This includes chunks that an agent received
/// after it was first asked.
#[test]
fn chunks_of_partial_holders_are_not_fetched_from_the_origin() {
    let all = halls(1, 1);
    let list = chunks(96);
    let name = |i: usize| Arc::from(format!("part-{i}"));
    let partial_holders: Vec<Arc<str>> = (0..5).map(name).collect();
    let ranking =
        rank_sources(&all, 0, 0).with_partial_holders(partial_holders.clone());
    let timeouts =
        FetchTimeouts::new().with_not_yet_limit(Duration::from_secs(3_600));
    let mut puller = Puller::new(ranking, &list, timeouts, 0, |_| false);
    let mut fetched = HashSet::new();
    for ms in (0..6_000).step_by(20) {
        let now = Time::from_millis(ms);
        // The holders receive the second half of their chunks later.
        let until = if ms < 100 { 30 } else { 60 };
        for request in puller.poll(now) {
            let place = |d: &Digest| {
                list.iter().position(|c| c.digest() == *d).unwrap()
            };
            if *request.source() == Source::Origin {
                // The origin sends each chunk slowly.
                if ms % 100 == 0 {
                    let digest = request.want()[0];
                    fetched.insert(place(&digest));
                    puller.record_chunk(request.source(), &digest);
                } else {
                    puller.record_not_yet(request.source(), now);
                }
                continue;
            }
            let holder = partial_holders
                .iter()
                .position(|l| **l == *request.source().name());
            let holder = holder.unwrap();
            let holds = |c: usize| c < until && c % 5 == holder;
            puller
                .record_holdings(request.source(), (0..list.len()).map(holds));
            let found = request.want().iter().find(|d| holds(place(d)));
            match found.filter(|_| !request.is_holdings_only()) {
                Some(digest) => puller.record_chunk(request.source(), digest),
                None => puller.record_not_yet(request.source(), now),
            }
        }
    }
    assert!(puller.is_complete());
    let from_holders = fetched.iter().filter(|c| **c < 30).count();
    assert_eq!(from_holders, 0, "{fetched:?}");
    assert!(fetched.len() <= 36 + 15, "{} fetches", fetched.len());
}
