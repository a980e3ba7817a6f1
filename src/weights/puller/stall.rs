//! Requests to send while no chunk arrives.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Puller, StallRequest};
use crate::Time;
use crate::weights::{Source, Takeover};

impl Puller {
    /// Returns the requests to send while no chunk arrives because the
    /// responsible agent is slow, gone or itself disconnected.
    pub(super) fn stall_requests(&mut self, now: Time) -> Vec<StallRequest> {
        let held_count = self.held.iter().filter(|h| **h).count();
        if self.last_progress.0 != held_count {
            self.last_progress = (held_count, now);
        }
        let peers = self.source_states.iter().filter(|(source, _)| {
            matches!(source, Source::Near(_) | Source::Far(_))
        });
        let received = peers.map(|(_, state)| state.chunks_received).sum();
        if self.last_peer_progress.0 != received {
            self.last_peer_progress = (received, now);
        }
        let missing = self.held.len() - held_count;
        let final_count =
            (self.held.len() / Puller::FINAL_CHUNKS_DIVISOR).max(1);
        let started = self.started.unwrap_or(now);
        let stalled = now.since(self.last_progress.1.max(started));
        let has_cache =
            self.ranking.caches().any(|c| !self.is_suspect(&c, now));
        if has_cache && stalled < Puller::CACHE_STALL_LIMIT {
            return Vec::new();
        }
        if missing <= final_count {
            let since = *self.final_chunks_since.get_or_insert(now);
            return self.final_chunk_requests(stalled, now.since(since), now);
        }
        let Some(takeover) = self.timeouts.takeover else {
            return Vec::new();
        };
        self.takeover_request(takeover, stalled, now).into_iter().collect()
    }

    /// Returns the requests to send when only the final chunks are missing:
    /// all peers of the hall are asked to report once they hold one, and one
    /// agent after the other asks the origin.
    ///
    /// Peers only report their holdings. If they sent the chunk, each agent
    /// would receive it once per peer, over links that have just carried all
    /// other chunks.
    ///
    /// `stalled` is how long no chunk has arrived, `final_elapsed` how long
    /// only the final chunks have been missing; the latter also covers final
    /// chunks that arrive one by one.
    fn final_chunk_requests(
        &self,
        stalled: Duration,
        final_elapsed: Duration,
        now: Time,
    ) -> Vec<StallRequest> {
        let final_elapsed =
            final_elapsed.saturating_sub(Puller::FINAL_CHUNKS_USUAL);
        let stalled = stalled.max(final_elapsed);
        if stalled < Puller::FINAL_TAKEOVER.after {
            return Vec::new();
        }
        let mut requests = Vec::new();
        for source in self.ranking.hall_peers() {
            let is_pending = self.pending.contains_key(&source);
            if is_pending || self.is_suspect(&source, now) {
                continue;
            }
            let want = self.not_reported_by(&source);
            if !want.is_empty() {
                requests.push(StallRequest {
                    source,
                    want,
                    holdings_only: true,
                });
            }
        }
        for (source, want) in self.origin_fetcher_requests(stalled, now) {
            requests.push(StallRequest { source, want, holdings_only: false });
        }
        requests.extend(self.takeover_request(
            Puller::FINAL_TAKEOVER,
            stalled,
            now,
        ));
        requests
    }

    /// Returns the missing chunks that a source has not reported to hold.
    pub(super) fn not_reported_by(&self, source: &Source) -> Vec<usize> {
        let holdings = self.source_states.get(source).map(|s| &s.holdings);
        let reported = |i: &usize| holdings.is_some_and(|h| h.contains(i));
        let unreported = self.missing().filter(|i| !reported(i));
        unreported.take(Puller::MAX_CHUNKS_PER_REQUEST).collect()
    }

    /// Returns the requests for chunks that another hall fetches from the
    /// origin. Agents next in rank there may have fetched a chunk that the
    /// first is late with.
    ///
    /// The agents of this hall ask one after the other, since each answer
    /// crosses a link between halls.
    fn origin_fetcher_requests(
        &self,
        stalled: Duration,
        now: Time,
    ) -> BTreeMap<Source, Vec<usize>> {
        let mut requests: BTreeMap<Source, Vec<usize>> = BTreeMap::new();
        for i in self.missing() {
            let rank = self.ranking.hall_rank(i) as u32;
            let due = Puller::FINAL_TAKEOVER.after
                + Puller::FINAL_TAKEOVER.step * rank;
            if stalled < due {
                continue;
            }
            for source in self.ranking.origin_fetchers(i) {
                let is_pending = self.pending.contains_key(&source);
                if is_pending || self.is_suspect(&source, now) {
                    continue;
                }
                let want = requests.entry(source).or_default();
                if want.len() < Puller::MAX_CHUNKS_PER_REQUEST {
                    want.push(i);
                }
            }
        }
        requests
    }

    /// Returns the request to the origin for the missing chunk that this agent
    /// ranks highest for, once its takeover delay has passed.
    ///
    /// Agents that take over at the same time thus fetch different chunks.
    fn takeover_request(
        &self,
        takeover: Takeover,
        stalled: Duration,
        now: Time,
    ) -> Option<StallRequest> {
        if !self.can_ask_origin(now) {
            return None;
        }
        let next =
            self.missing().min_by_key(|i| self.ranking.global_rank(*i))?;
        let rank = self.ranking.global_rank(next) as u32;
        let (takeover, stalled) =
            self.adjust_for_origin_failure(takeover, stalled, now);
        let is_due = stalled >= takeover.after + takeover.step * rank;
        let source = Source::Origin;
        is_due.then(|| StallRequest {
            source,
            want: vec![next],
            holdings_only: false,
        })
    }

    /// Returns the takeover delays to use and the part of the stall that
    /// counts towards them.
    ///
    /// While the origin is down, all agents stall. Responsible agents keep
    /// retrying and fetch what is missing as soon as the origin is back. If
    /// others took over at that moment, they would fetch all of it again.
    fn adjust_for_origin_failure(
        &self,
        takeover: Takeover,
        stalled: Duration,
        now: Time,
    ) -> (Takeover, Duration) {
        let Some(failed) = self.origin_failed_at else {
            return (takeover, stalled);
        };
        let since = now.since(failed);
        // Chunks arriving from peers show that the origin is back. A chunk
        // that is still missing then may belong to an agent that is gone.
        let is_back = self.last_peer_progress.1 > failed;
        let is_recent = since < Puller::ORIGIN_FAILURE_RECENT && !is_back;
        let slower = self.timeouts.takeover.filter(|_| is_recent);
        (slower.unwrap_or(takeover), stalled.min(since))
    }

    fn can_ask_origin(&self, now: Time) -> bool {
        let origin = Source::Origin;
        !self.pending.contains_key(&origin) && !self.is_suspect(&origin, now)
    }
}
