//! Requests to sources that hold chunks without being responsible for them.

use std::collections::HashSet;
use std::time::Duration;

use super::Puller;
use crate::Time;
use crate::weights::{ChunkRequest, Source};

impl Puller {
    /// Returns the requests for the holdings of processes that may hold part
    /// of the version. They answer at once and are asked again periodically.
    pub(super) fn holdings_requests(
        &mut self,
        now: Time,
    ) -> Vec<ChunkRequest> {
        let want: Vec<usize> = self.missing().take(1).collect();
        let mut requests = Vec::new();
        if want.is_empty() {
            return requests;
        }
        let partial_holders: Vec<Source> =
            self.ranking.partial_holders().collect();
        for source in partial_holders {
            let is_pending = self.pending.contains_key(&source);
            let state = self.source_states.get(&source);
            let is_due = state.is_none_or(|s| {
                !s.contacted
                    || now.since(s.last_asked) >= Puller::HOLDINGS_REFRESH
            });
            if is_pending || !is_due || self.is_suspect(&source, now) {
                continue;
            }
            let want = want.clone();
            requests.push(self.request_holdings(
                source,
                want,
                Duration::ZERO,
                now,
            ));
        }
        requests
    }

    /// Returns the requests for the holdings of idle caches while no chunk
    /// arrives: an agent from which this one takes chunks may be fetching
    /// another version, and the caches may hold them. A cache answers as soon
    /// as it holds one.
    pub(super) fn idle_cache_requests(
        &self,
        now: Time,
    ) -> Vec<(Source, Vec<usize>)> {
        let mut requests = Vec::new();
        let waits = now.since(self.last_progress.1) >= Puller::REQUEST_OVERDUE;
        if !waits || !self.ranking.is_exchanging() {
            return requests;
        }
        for cache in self.ranking.caches() {
            let is_pending = self.pending.contains_key(&cache);
            let want = self.not_reported_by(&cache);
            if is_pending || want.is_empty() || self.is_suspect(&cache, now) {
                continue;
            }
            requests.push((cache, want));
        }
        requests
    }

    /// Returns the chunks that outstanding requests may still deliver.
    ///
    /// While no chunk arrives at all (`is_arriving` is false), a request only
    /// counts if its source is known to hold the chunk; otherwise the chunk is
    /// requested from a known holder.
    fn expected_chunks(&self, is_arriving: bool, now: Time) -> HashSet<usize> {
        let mut expected = HashSet::new();
        for (source, pending) in &self.pending {
            if pending.holdings_only
                || now.since(pending.sent_at) >= Puller::REQUEST_OVERDUE
            {
                continue;
            }
            let holdings = self.source_states.get(source).map(|s| &s.holdings);
            for i in &pending.want {
                let is_holder = *source == Source::Origin
                    || holdings.is_some_and(|h| h.contains(i));
                if is_arriving || is_holder {
                    expected.insert(*i);
                }
            }
        }
        expected
    }

    /// Returns the requests to idle sources that hold chunks which the
    /// responsible source is late to deliver.
    pub(super) fn reassigned_requests(
        &self,
        now: Time,
    ) -> Vec<(Source, Vec<usize>)> {
        let is_arriving =
            now.since(self.last_progress.1) < Puller::REQUEST_OVERDUE;
        let mut expected = self.expected_chunks(is_arriving, now);
        let mut requests = Vec::new();
        for (source, state) in &self.source_states {
            let is_pending = self.pending.contains_key(source);
            // Links between halls are expensive. A chunk that is late usually
            // still arrives from within the hall, so other halls are asked
            // only once no chunk arrives at all.
            let is_expensive = matches!(source, Source::Far(_)) && is_arriving;
            if is_pending || is_expensive || self.is_suspect(source, now) {
                continue;
            }
            let mut want = Vec::new();
            for i in &state.holdings {
                let is_needed = !self.held[*i] && !expected.contains(i);
                if is_needed
                    && want.len() < Puller::MAX_HELD_CHUNKS_PER_REQUEST
                {
                    want.push(*i);
                }
            }
            if want.is_empty() {
                continue;
            }
            expected.extend(&want);
            requests.push((source.clone(), want));
        }
        requests
    }
}
