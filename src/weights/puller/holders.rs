//! What to ask of those who hold chunks without being in charge of them.

use std::collections::HashSet;
use std::time::Duration;

use super::Puller;
use crate::Time;
use crate::weights::{ChunkRequest, Source};

impl Puller {
    /// Returns the questions to those who may hold some of the chunks: they
    /// are to say at once what they hold, and again from time to time.
    pub(super) fn greetings(&mut self, now: Time) -> Vec<ChunkRequest> {
        let want: Vec<usize> = self.missing().take(1).collect();
        let mut asks = Vec::new();
        if want.is_empty() {
            return asks;
        }
        let part_holders: Vec<Source> = self.walk.part_holders().collect();
        for source in part_holders {
            let busy = self.asked.contains_key(&source);
            let standing = self.standing.get(&source);
            let due = standing.is_none_or(|s| {
                !s.met || now.since(s.asked_at) >= Puller::ASK_AGAIN
            });
            if busy || !due || self.suspect(&source, now) {
                continue;
            }
            let want = want.clone();
            asks.push(self.ask_to_tell(source, want, Duration::ZERO, now));
        }
        asks
    }

    /// Returns the chunks that may still come from where they were asked for.
    ///
    /// While no chunk comes at all, a question that waits at a source which
    /// is not known to hold a chunk is no reason to leave the chunk where it
    /// is known to be.
    fn fresh(&self, coming: bool, now: Time) -> HashSet<usize> {
        let mut fresh = HashSet::new();
        for (source, asked) in &self.asked {
            if asked.tell || now.since(asked.since) >= Puller::OVERDUE {
                continue;
            }
            let holds = self.standing.get(source).map(|s| &s.holds);
            for i in &asked.want {
                let sure = *source == Source::Origin
                    || holds.is_some_and(|h| h.contains(i));
                if coming || sure {
                    fresh.insert(*i);
                }
            }
        }
        fresh
    }

    /// Returns what to ask of idle sources that hold chunks of which others
    /// are in charge, but late.
    pub(super) fn leftovers(&self, now: Time) -> Vec<(Source, Vec<usize>)> {
        let coming = now.since(self.gained.1) < Puller::OVERDUE;
        let mut fresh = self.fresh(coming, now);
        let mut leftovers = Vec::new();
        for (source, standing) in &self.standing {
            let busy = self.asked.contains_key(source);
            // Links to other halls are dear: what is late there comes from
            // the hall as a rule, and is asked of others once nothing comes.
            let dear = matches!(source, Source::Far(_)) && coming;
            if busy || dear || self.suspect(source, now) {
                continue;
            }
            let mut want = Vec::new();
            for i in &standing.holds {
                let open = !self.held[*i] && !fresh.contains(i);
                if open && want.len() < Puller::MOST_SURE {
                    want.push(*i);
                }
            }
            if want.is_empty() {
                continue;
            }
            fresh.extend(&want);
            leftovers.push((source.clone(), want));
        }
        leftovers
    }
}
