//! What a puller knows of its sources.

use std::collections::HashSet;

use super::Puller;
use crate::Time;
use crate::weights::{FetchTimeouts, Source};

/// How one source has done.
#[derive(Clone, Debug, Default)]
pub(super) struct Standing {
    /// Chunks that came from it.
    pub(super) got: usize,
    /// Whether it has been asked for chunks, beyond the first question.
    pub(super) asked: bool,
    pub(super) until: Time,
    pub(super) strikes: u32,
    pub(super) waiting: Option<Time>,
    pub(super) met: bool,
    pub(super) hello: bool,
    pub(super) holds: HashSet<usize>,
    /// When it was last asked.
    pub(super) asked_at: Time,
}

impl Puller {
    /// Notes which sources have given far less than their fellows.
    pub(super) fn compare(&mut self, now: Time) {
        self.slow.clear();
        let started = self.started.unwrap_or(now);
        if now.since(started) < Puller::COMPARED {
            return;
        }
        let mut given = Vec::new();
        for (source, standing) in &self.standing {
            if standing.asked && matches!(source, Source::Near(_)) {
                given.push((standing.got, source));
            }
        }
        given.sort_unstable();
        let Some((usual, _)) = given.get(given.len() / 2) else { return };
        for (got, source) in &given {
            if got * Puller::SLOW_PART < *usual {
                self.slow.insert(Source::clone(source));
            }
        }
    }

    /// Takes note that a source said "not yet".
    pub fn record_not_yet(&mut self, source: &Source, now: Time) {
        self.asked.remove(source);
        let standing = self.standing.entry(source.clone()).or_default();
        let since = *standing.waiting.get_or_insert(now);
        if now.since(since) < self.patience.waiting {
            return;
        }
        standing.waiting = None;
        standing.until = now.after(self.patience.suspect);
    }

    /// Takes note that a source failed, stalled or sent corrupt bytes.
    pub fn record_failure(&mut self, source: &Source, now: Time) {
        self.asked.remove(source);
        if *source == Source::Origin {
            self.origin_failed = Some(now);
        }
        let standing = self.standing.entry(source.clone()).or_default();
        let most = match source {
            Source::Origin => FetchTimeouts::ORIGIN_DOUBLINGS,
            Source::Near(_) | Source::Far(_) => FetchTimeouts::DOUBLINGS,
        };
        let doublings = standing.strikes.min(most);
        standing.strikes += 1;
        standing.waiting = None;
        standing.holds.clear();
        // There is one origin, so what it alone has is soon asked for again.
        let first = match source {
            Source::Origin => {
                self.patience.suspect / FetchTimeouts::ORIGIN_PART
            }
            Source::Near(_) | Source::Far(_) => self.patience.suspect,
        };
        standing.until = now.after(first * (1 << doublings));
    }

    /// Takes note of what a source says that it holds, a bit for each chunk.
    pub fn record_holdings(
        &mut self,
        source: &Source,
        held: impl Iterator<Item = bool>,
    ) {
        let standing = self.standing.entry(source.clone()).or_default();
        for (i, held) in held.take(self.chunks.len()).enumerate() {
            if held {
                standing.holds.insert(i);
            }
        }
    }

    /// Returns the sources that are asked now and those that are suspect.
    pub fn pending_and_suspect(
        &self,
        now: Time,
    ) -> (Vec<Source>, Vec<Source>) {
        let asked = self.asked.keys().cloned().collect();
        let mut suspects: Vec<Source> = Vec::new();
        for (source, standing) in &self.standing {
            if standing.until > now || self.slow.contains(source) {
                suspects.push(source.clone());
            }
        }
        suspects.sort();
        (asked, suspects)
    }
}
