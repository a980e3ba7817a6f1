//! What to ask when no chunk comes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{LateAsk, Puller};
use crate::Time;
use crate::weights::{Source, Takeover};

impl Puller {
    /// Returns what to ask when no chunk comes: whoever is in charge is slow,
    /// gone, or cut off itself.
    pub(super) fn stalled(&mut self, now: Time) -> Vec<LateAsk> {
        let held = self.held.iter().filter(|h| **h).count();
        if self.gained.0 != held {
            self.gained = (held, now);
        }
        let near_or_far = self.standing.iter().filter(|(source, _)| {
            matches!(source, Source::Near(_) | Source::Far(_))
        });
        let passed_on = near_or_far.map(|(_, standing)| standing.got).sum();
        if self.passed_on.0 != passed_on {
            self.passed_on = (passed_on, now);
        }
        let missing = self.held.len() - held;
        let few = (self.held.len() / Puller::LAST_PART).max(1);
        let started = self.started.unwrap_or(now);
        let stalled = now.since(self.gained.1.max(started));
        let cached = self.walk.caches().any(|c| !self.suspect(&c, now));
        if cached && stalled < Puller::CACHE_PATIENCE {
            return Vec::new();
        }
        if missing <= few {
            let since = *self.last_since.get_or_insert(now);
            return self.last_chunks(stalled, now.since(since), now);
        }
        let Some(takeover) = self.patience.takeover else {
            return Vec::new();
        };
        self.take_over(takeover, stalled, now).into_iter().collect()
    }

    /// Returns what to ask when only a few chunks are missing: all fellows
    /// are to say once they hold one, and the origin is asked by one agent
    /// after the other.
    ///
    /// If the fellows sent the chunk itself, each agent would get it as often
    /// as it has fellows, over links that have just brought the rest.
    ///
    /// `stalled` is how long no chunk has come, `lasting` how long only the
    /// last ones have been missing: they may also come one by one.
    fn last_chunks(
        &self,
        stalled: Duration,
        lasting: Duration,
        now: Time,
    ) -> Vec<LateAsk> {
        let lasting = lasting.saturating_sub(Puller::LAST_USUAL);
        let stalled = stalled.max(lasting);
        if stalled < Puller::LAST.after {
            return Vec::new();
        }
        let mut asks = Vec::new();
        for source in self.walk.fellows() {
            let busy = self.asked.contains_key(&source);
            if busy || self.suspect(&source, now) {
                continue;
            }
            let want = self.not_known_at(&source);
            if !want.is_empty() {
                asks.push(LateAsk { source, want, tell: true });
            }
        }
        for (source, want) in self.late_drawers(stalled, now) {
            asks.push(LateAsk { source, want, tell: false });
        }
        asks.extend(self.take_over(Puller::LAST, stalled, now));
        asks
    }

    /// Returns missing chunks that a source has not said to hold.
    fn not_known_at(&self, source: &Source) -> Vec<usize> {
        let holds = self.standing.get(source).map(|s| &s.holds);
        let known = |i: &usize| holds.is_some_and(|h| h.contains(i));
        let unknown = self.missing().filter(|i| !known(i));
        unknown.take(Puller::MAX_CHUNKS_PER_REQUEST).collect()
    }

    /// Returns the questions for chunks that another hall draws: those who
    /// are next in rank there may have drawn what the first is late with.
    ///
    /// They are asked by one agent of the hall after the other, since each
    /// answer crosses a link between halls.
    fn late_drawers(
        &self,
        stalled: Duration,
        now: Time,
    ) -> BTreeMap<Source, Vec<usize>> {
        let mut asks: BTreeMap<Source, Vec<usize>> = BTreeMap::new();
        for i in self.missing() {
            let place = self.walk.hall_place(i) as u32;
            let due = Puller::LAST.after + Puller::LAST.step * place;
            if stalled < due {
                continue;
            }
            for source in self.walk.drawers(i) {
                let busy = self.asked.contains_key(&source);
                if busy || self.suspect(&source, now) {
                    continue;
                }
                let want = asks.entry(source).or_default();
                if want.len() < Puller::MAX_CHUNKS_PER_REQUEST {
                    want.push(i);
                }
            }
        }
        asks
    }

    /// Returns the question to the origin for the chunk that this agent is
    /// next in rank for, once it is its turn to take that one over.
    ///
    /// Agents that are all due then draw different chunks.
    fn take_over(
        &self,
        takeover: Takeover,
        stalled: Duration,
        now: Time,
    ) -> Option<LateAsk> {
        if !self.is_origin_free(now) {
            return None;
        }
        let next = self.missing().min_by_key(|i| self.walk.place(*i))?;
        let place = self.walk.place(next) as u32;
        let (takeover, stalled) = self.after_failure(takeover, stalled, now);
        let due = stalled >= takeover.after + takeover.step * place;
        let source = Source::Origin;
        due.then(|| LateAsk { source, want: vec![next], tell: false })
    }

    /// Returns when to take over, and how long no chunk has come as far as
    /// that counts.
    ///
    /// While the origin is down all agents stall. Those in charge go on
    /// asking and will draw what is missing as soon as it is back; others
    /// that find it back at the same moment would draw all of it again.
    fn after_failure(
        &self,
        takeover: Takeover,
        stalled: Duration,
        now: Time,
    ) -> (Takeover, Duration) {
        let Some(failed) = self.origin_failed else {
            return (takeover, stalled);
        };
        let since = now.since(failed);
        // Once peers pass chunks on again it is back, and whoever is in
        // charge of what is missing even so may be gone.
        let back = self.passed_on.1 > failed;
        let recent = since < Puller::ORIGIN_RECENT && !back;
        let patient = self.patience.takeover.filter(|_| recent);
        (patient.unwrap_or(takeover), stalled.min(since))
    }

    fn is_origin_free(&self, now: Time) -> bool {
        let origin = Source::Origin;
        !self.asked.contains_key(&origin) && !self.suspect(&origin, now)
    }
}
