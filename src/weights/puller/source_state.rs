//! The state that a puller keeps per source.

use std::collections::HashSet;

use super::Puller;
use crate::Time;
use crate::weights::{FetchTimeouts, Source};

/// The state of one source.
#[derive(Clone, Debug, Default)]
pub(super) struct SourceState {
    /// Number of chunks received from the source.
    pub(super) chunks_received: usize,
    /// Whether the source was asked for chunks after the first contact.
    pub(super) asked_for_chunks: bool,
    pub(super) suspect_until: Time,
    pub(super) failures: u32,
    pub(super) not_yet_since: Option<Time>,
    pub(super) contacted: bool,
    pub(super) first_contact_pending: bool,
    pub(super) holdings: HashSet<usize>,
    /// When the source was last sent a request.
    pub(super) last_asked: Time,
}

impl Puller {
    /// Determines the sources that delivered far fewer chunks than the others.
    pub(super) fn update_slow_sources(&mut self, now: Time) {
        self.slow_sources.clear();
        let started = self.started.unwrap_or(now);
        if now.since(started) < Puller::SLOW_CHECK_DELAY {
            return;
        }
        let mut received = Vec::new();
        for (source, state) in &self.source_states {
            if state.asked_for_chunks && matches!(source, Source::Near(_)) {
                received.push((state.chunks_received, source));
            }
        }
        received.sort_unstable();
        let Some((median, _)) = received.get(received.len() / 2) else {
            return;
        };
        for (count, source) in &received {
            if count * Puller::SLOW_DIVISOR < *median {
                self.slow_sources.insert(Source::clone(source));
            }
        }
    }

    /// Records that a source answered "not yet".
    pub fn record_not_yet(&mut self, source: &Source, now: Time) {
        self.pending.remove(source);
        let state = self.source_states.entry(source.clone()).or_default();
        let since = *state.not_yet_since.get_or_insert(now);
        // While no chunk arrives at all, no agent has anything new.
        let is_arriving =
            now.since(self.last_progress.1) < Puller::REQUEST_OVERDUE;
        let exchanges = self.ranking.is_exchange_peer(source);
        let limit = if exchanges && is_arriving {
            Puller::EXCHANGE_LIMIT.min(self.timeouts.not_yet_limit)
        } else {
            self.timeouts.not_yet_limit
        };
        if now.since(since) < limit {
            return;
        }
        state.not_yet_since = None;
        state.suspect_until = now.after(self.timeouts.suspicion);
    }

    /// Records that a source failed, stalled or sent corrupt bytes.
    pub fn record_failure(&mut self, source: &Source, now: Time) {
        self.pending.remove(source);
        if *source == Source::Origin {
            self.origin_failed_at = Some(now);
        }
        let state = self.source_states.entry(source.clone()).or_default();
        let max_doublings = match source {
            Source::Origin => FetchTimeouts::MAX_ORIGIN_DOUBLINGS,
            Source::Near(_) | Source::Far(_) => FetchTimeouts::MAX_DOUBLINGS,
        };
        let doublings = state.failures.min(max_doublings);
        state.failures += 1;
        state.not_yet_since = None;
        state.holdings.clear();
        // Retry the origin sooner, since there is no alternative to it.
        let suspicion = match source {
            Source::Origin => {
                self.timeouts.suspicion
                    / FetchTimeouts::ORIGIN_SUSPICION_DIVISOR
            }
            Source::Near(_) | Source::Far(_) => self.timeouts.suspicion,
        };
        state.suspect_until = now.after(suspicion * (1 << doublings));
    }

    /// Records the holdings that a source reported, one bit per chunk.
    pub fn record_holdings(
        &mut self,
        source: &Source,
        held: impl Iterator<Item = bool>,
    ) {
        let state = self.source_states.entry(source.clone()).or_default();
        for (i, held) in held.take(self.chunks.len()).enumerate() {
            if held {
                state.holdings.insert(i);
            }
        }
    }

    /// Returns the sources with an outstanding request, and the suspect ones.
    pub fn pending_and_suspect(
        &self,
        now: Time,
    ) -> (Vec<Source>, Vec<Source>) {
        let pending = self.pending.keys().cloned().collect();
        let mut suspects: Vec<Source> = Vec::new();
        for (source, state) in &self.source_states {
            if state.suspect_until > now || self.slow_sources.contains(source)
            {
                suspects.push(source.clone());
            }
        }
        suspects.sort();
        (pending, suspects)
    }
}
