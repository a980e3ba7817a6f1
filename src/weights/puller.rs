//! Decides which chunks to request from which source.
//!
//! Each source has at most one outstanding request: "any of these chunks, as
//! soon as you hold one". The source holds the request until it can answer
//! (long polling), so a chunk is forwarded as soon as it arrives and holdings
//! need not be announced; the requests are the only control traffic. A source
//! becomes suspect after a failure, or after answering "not yet" for too long.
//! Its chunks pass to the next source in rank order until the suspicion
//! expires.

mod holders;
mod source_state;
mod stall;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use self::source_state::SourceState;
use super::{
    Chunk, ChunkRequest, FetchTimeouts, Source, SourceRanking, Takeover,
};
use crate::{Digest, Time};

/// An outstanding request.
#[derive(Clone, Debug)]
struct PendingRequest {
    want: Vec<usize>,
    sent_at: Time,
    /// Whether the source only reports its holdings and sends no chunk.
    holdings_only: bool,
}

/// A request to send because chunks are overdue.
#[derive(Clone, Debug)]
struct StallRequest {
    source: Source,
    want: Vec<usize>,
    /// Whether the source only reports its holdings and sends no chunk.
    holdings_only: bool,
}

/// The state of fetching one set of chunks.
///
/// Chunks are identified by their index in [`Puller::chunks`].
#[derive(Clone, Debug)]
pub struct Puller {
    ranking: SourceRanking,
    chunks: Vec<Chunk>,
    index: HashMap<Digest, usize>,
    held: Vec<bool>,
    pending: BTreeMap<Source, PendingRequest>,
    source_states: HashMap<Source, SourceState>,
    timeouts: FetchTimeouts,
    start_offset: usize,
    started: Option<Time>,
    /// Sources that delivered far fewer chunks than the others.
    slow_sources: HashSet<Source>,
    /// The number of chunks held, and when it last changed.
    last_progress: (usize, Time),
    /// The number of chunks received from peers, and when it last changed.
    last_peer_progress: (usize, Time),
    /// Since when only the final chunks have been missing.
    final_chunks_since: Option<Time>,
    /// When the origin last failed.
    origin_failed_at: Option<Time>,
}

impl Puller {
    /// How long a request may be outstanding before its chunks are also
    /// requested from other holders.
    const REQUEST_OVERDUE: Duration = Duration::from_millis(600);

    /// The final chunks are the last `1 / FINAL_CHUNKS_DIVISOR` of all chunks.
    const FINAL_CHUNKS_DIVISOR: usize = 8;

    /// When agents take over the final chunks from the responsible agent.
    const FINAL_TAKEOVER: Takeover = Takeover {
        after: Duration::from_millis(300),
        step: Duration::from_millis(100),
    };

    /// How long after a failure the origin is assumed to be still down.
    const ORIGIN_FAILURE_RECENT: Duration = Duration::from_millis(3_000);

    /// How long to rely on a responsive cache of the hall that delivers no
    /// chunk. Requests to the origin compete with the cache for the origin's
    /// link, and during an origin outage a cache has nothing new: when 65
    /// agents all turned to the recovered origin, it sent 2.7 copies.
    const CACHE_STALL_LIMIT: Duration = Duration::from_millis(10_000);

    /// How long an agent that takes chunks from the caches for others may
    /// answer "not yet" before this agent asks the caches itself: it may be
    /// fetching another version. A request is held for 0.8 s, so this is after
    /// the second answer.
    const EXCHANGE_LIMIT: Duration = Duration::from_millis(800);

    /// How long the final chunks usually take.
    const FINAL_CHUNKS_USUAL: Duration = Duration::from_millis(400);

    /// How long sources outside the hall are held back while peers of the hall
    /// have not reported their holdings.
    const FIRST_CONTACT_LIMIT: Duration = Duration::from_millis(400);

    /// How long a fetch runs before slow sources are determined.
    const SLOW_CHECK_DELAY: Duration = Duration::from_millis(1_500);

    /// A source is slow if it delivered less than `1 / SLOW_DIVISOR` of the
    /// median of the hall's sources.
    const SLOW_DIVISOR: usize = 4;

    /// The most chunks named in one request, by index: half a kilobyte.
    ///
    /// A source has one request at a time. A request that names only chunks
    /// which nobody has yet blocks those that the source does hold. With a
    /// limit of 8, nine entries that together held 60% of a version had only
    /// 18 to 48 chunks each after 6 s without the origin.
    pub const MAX_CHUNKS_PER_REQUEST: usize = 128;

    /// How often possible holders are asked for their holdings again: they
    /// keep fetching while no entry of the hall answers them. A request and
    /// its answer take 0.6 KB.
    const HOLDINGS_REFRESH: Duration = Duration::from_millis(1_000);

    /// The most chunks named to a source that is known to hold them. Each
    /// answer carries one chunk; the rest are left to other holders.
    const MAX_HELD_CHUNKS_PER_REQUEST: usize = 4;

    /// Returns a puller of `chunks`, skipping those for which `held` returns
    /// true. `start_offset` is the chunk to start with, so that the pullers of
    /// a hall start at different chunks.
    pub fn new(
        ranking: SourceRanking,
        chunks: &[Chunk],
        timeouts: FetchTimeouts,
        start_offset: usize,
        held: impl Fn(&Digest) -> bool,
    ) -> Puller {
        let mut index = HashMap::new();
        let mut unique = Vec::new();
        for chunk in chunks {
            if index.contains_key(&chunk.digest()) {
                continue;
            }
            index.insert(chunk.digest(), unique.len());
            unique.push(*chunk);
        }
        let held = unique.iter().map(|c| held(&c.digest())).collect();
        Puller {
            ranking,
            chunks: unique,
            index,
            held,
            pending: BTreeMap::new(),
            source_states: HashMap::new(),
            timeouts,
            start_offset,
            started: None,
            slow_sources: HashSet::new(),
            last_progress: (0, Time::ZERO),
            last_peer_progress: (0, Time::ZERO),
            final_chunks_since: None,
            origin_failed_at: None,
        }
    }

    /// Replaces the ranking after a change of members. Outstanding requests
    /// and the state of sources are kept.
    pub fn set_ranking(&mut self, ranking: SourceRanking) {
        self.ranking = ranking;
    }

    /// Returns the requests to send now.
    pub fn poll(&mut self, now: Time) -> Vec<ChunkRequest> {
        self.started.get_or_insert(now);
        self.update_slow_sources(now);
        let mut requests = self.holdings_requests(now);
        let plan = self.plan(now);
        // Wait for the holdings of the hall's peers before fetching from
        // outside the hall, since this agent may have restarted. The wait is
        // bounded because a peer may be unreachable.
        let started = self.started.unwrap_or(now);
        let await_peers = now.since(started) < Puller::FIRST_CONTACT_LIMIT
            && (self.awaits_first_contact()
                || plan.keys().any(|s| self.is_uncontacted(s)));
        for (source, want) in plan {
            let near = matches!(source, Source::Near(_));
            if self.is_suspect(&source, now) || (await_peers && !near) {
                continue;
            }
            requests.push(self.request(source, want, self.timeouts.hold, now));
        }
        // Where only a few requests may be outstanding, fetch the chunks in
        // order.
        let count = self.chunks.len();
        let offset = self.start_offset;
        requests.sort_by_key(|request| {
            let first = request.want.first().and_then(|d| self.index.get(d));
            first.map_or(0, |i| (i + count - offset % count) % count)
        });
        for (source, want) in self.reassigned_requests(now) {
            requests.push(self.request(source, want, Duration::ZERO, now));
        }
        for (source, want) in self.idle_cache_requests(now) {
            let hold = self.timeouts.hold;
            requests.push(self.request_holdings(source, want, hold, now));
        }
        for overdue in self.stall_requests(now) {
            let hold = self.timeouts.hold;
            let request = if overdue.holdings_only {
                self.request_holdings(overdue.source, overdue.want, hold, now)
            } else {
                self.request(overdue.source, overdue.want, hold, now)
            };
            requests.push(request);
        }
        requests
    }

    /// Returns the chunks to request from the source responsible for each.
    fn plan(&self, now: Time) -> BTreeMap<Source, Vec<usize>> {
        let mut plan: BTreeMap<Source, Vec<usize>> = BTreeMap::new();
        let chunk_requests =
            self.pending.values().filter(|r| !r.holdings_only);
        let requested: HashSet<usize> =
            chunk_requests.flat_map(|r| &r.want).copied().collect();
        let count = self.chunks.len();
        for step in 0..count {
            let i = (self.start_offset + step) % count;
            if self.held[i] {
                continue;
            }
            let source = self.choose_source(i, now);
            // While the origin is down, the agents that fetch from it also
            // ask peers, which hold those requests. This must not delay the
            // request to the origin.
            let requested_elsewhere =
                requested.contains(&i) && source != Source::Origin;
            if requested_elsewhere
                || self.pending.contains_key(&source)
                || self.is_too_early(&source, i, now)
            {
                continue;
            }
            let want = plan.entry(source).or_default();
            if want.len() < Puller::MAX_CHUNKS_PER_REQUEST {
                want.push(i);
            }
        }
        if self.ranking.is_rarest_first() {
            self.sort_by_rarity(&mut plan);
        }
        plan
    }

    /// Sorts the chunks to request from each source by the number of sources
    /// that are known to hold them.
    fn sort_by_rarity(&self, plan: &mut BTreeMap<Source, Vec<usize>>) {
        let mut holders = vec![0_usize; self.chunks.len()];
        for state in self.source_states.values() {
            for i in &state.holdings {
                holders[*i] += 1;
            }
        }
        for want in plan.values_mut() {
            want.sort_by_key(|i| holders[*i]);
        }
    }

    /// Returns whether the origin's link is still needed for earlier chunks.
    fn is_too_early(&self, source: &Source, i: usize, now: Time) -> bool {
        let started = self.started.unwrap_or(now);
        let due_at = started.after(self.timeouts.origin_interval * i as u32);
        *source == Source::Origin && now < due_at
    }

    /// Returns whether a first request to a peer of the hall is outstanding.
    fn awaits_first_contact(&self) -> bool {
        self.pending.keys().any(|s| {
            let state = self.source_states.get(s);
            matches!(s, Source::Near(_))
                && state.is_some_and(|x| x.first_contact_pending)
        })
    }

    fn is_uncontacted(&self, source: &Source) -> bool {
        let contacted =
            self.source_states.get(source).is_some_and(|s| s.contacted);
        matches!(source, Source::Near(_)) && !contacted
    }

    fn request(
        &mut self,
        source: Source,
        want: Vec<usize>,
        hold: Duration,
        now: Time,
    ) -> ChunkRequest {
        let state = self.source_states.entry(source.clone()).or_default();
        // The first request is answered at once, with the holdings of the
        // source.
        let first_contact = !state.contacted;
        let hold = if first_contact { Duration::ZERO } else { hold };
        state.contacted = true;
        state.last_asked = now;
        state.asked_for_chunks |= !first_contact;
        state.first_contact_pending = first_contact;
        let digests = want.iter().map(|i| self.chunks[*i].digest()).collect();
        let pending =
            PendingRequest { want, sent_at: now, holdings_only: false };
        self.pending.insert(source.clone(), pending);
        ChunkRequest {
            source,
            want: digests,
            hold,
            first_contact,
            holdings_only: false,
        }
    }

    /// Returns a request for a source's holdings, without chunks.
    fn request_holdings(
        &mut self,
        source: Source,
        want: Vec<usize>,
        hold: Duration,
        now: Time,
    ) -> ChunkRequest {
        let mut request = self.request(source, want, hold, now);
        request.holdings_only = true;
        if let Some(pending) = self.pending.get_mut(&request.source) {
            pending.holdings_only = true;
        }
        request
    }

    fn choose_source(&self, i: usize, now: Time) -> Source {
        self.ranking.choose_source(
            i,
            |s| self.is_suspect(s, now),
            |s| {
                self.source_states
                    .get(s)
                    .is_some_and(|x| x.holdings.contains(&i))
            },
        )
    }

    fn is_suspect(&self, source: &Source, now: Time) -> bool {
        self.slow_sources.contains(source)
            || self
                .source_states
                .get(source)
                .is_some_and(|s| s.suspect_until > now)
    }

    /// Records that a source sent a chunk, which was verified and stored.
    pub fn record_chunk(&mut self, source: &Source, digest: &Digest) {
        self.pending.remove(source);
        if let Some(i) = self.index.get(digest) {
            self.held[*i] = true;
        }
        let state = self.source_states.entry(source.clone()).or_default();
        state.failures = 0;
        state.not_yet_since = None;
        state.chunks_received += 1;
    }

    /// Returns the chunks without duplicates, in the order that
    /// [`Self::record_holdings`] uses.
    pub fn chunks(&self) -> &[Chunk] {
        &self.chunks
    }

    /// Returns whether all chunks are held.
    pub fn is_complete(&self) -> bool {
        self.held.iter().all(|h| *h)
    }

    /// Returns the indices of missing chunks, as used by
    /// [`Self::record_holdings`].
    pub fn missing(&self) -> impl Iterator<Item = usize> {
        let held = self.held.iter().enumerate();
        held.filter(|(_, held)| !**held).map(|(i, _)| i)
    }

    /// Returns the share of chunks that are held, in permille.
    pub fn held_permille(&self) -> u32 {
        let held = self.held.iter().filter(|h| **h).count();
        (held * 1000 / self.held.len().max(1)) as u32
    }
}
