//! What to ask of whom next, for one set of chunks.
//!
//! Each source gets one question at a time: "any of these chunks, as soon as
//! you hold one". The question waits at the source, so a chunk moves on the
//! moment it arrives there, and no announcement is needed; the only control
//! bytes are the questions themselves. A source is suspect after a failure,
//! or when it keeps answering "not yet" beyond patience; its chunks pass to
//! the next in rank until the suspicion lapses.

mod holders;
mod stall;
mod standing;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use self::standing::Standing;
use super::{
    Chunk, ChunkRequest, FetchTimeouts, Source, SourceRanking, Takeover,
};
use crate::{Digest, Time};

/// A question that is out.
#[derive(Clone, Debug)]
struct Asked {
    want: Vec<usize>,
    since: Time,
    /// Whether it brings no chunk.
    tell: bool,
}

/// A question to be sent because chunks are late.
#[derive(Clone, Debug)]
struct LateAsk {
    source: Source,
    want: Vec<usize>,
    /// Whether the source is only to say what it holds.
    tell: bool,
}

/// The state of drawing one set of chunks.
#[derive(Clone, Debug)]
pub struct Puller {
    walk: SourceRanking,
    chunks: Vec<Chunk>,
    index: HashMap<Digest, usize>,
    held: Vec<bool>,
    asked: BTreeMap<Source, Asked>,
    standing: HashMap<Source, Standing>,
    patience: FetchTimeouts,
    turn: usize,
    started: Option<Time>,
    /// Sources that have given far less than their fellows.
    slow: HashSet<Source>,
    /// How many chunks were here, and since when.
    gained: (usize, Time),
    /// How many chunks came from peers, and since when.
    passed_on: (usize, Time),
    /// Since when only the last chunks have been missing.
    last_since: Option<Time>,
    /// When the origin last failed.
    origin_failed: Option<Time>,
}

impl Puller {
    /// How long a question may be out before its chunks are also asked of
    /// others that hold them.
    const OVERDUE: Duration = Duration::from_millis(600);

    /// The last chunks are those of which this part of all is missing.
    const LAST_PART: usize = 8;

    /// When agents take the last chunks over.
    const LAST: Takeover = Takeover {
        after: Duration::from_millis(300),
        step: Duration::from_millis(100),
    };

    /// How long after the origin's last failure it may still be down.
    const ORIGIN_RECENT: Duration = Duration::from_millis(3_000);

    /// How long no chunk may come from a cache of the hall that answers. Who
    /// asks the origin besides takes its link from the cache, and while the
    /// origin is down a cache has nothing to give: 65 agents that all turned
    /// to the origin at its return had it send 2.7 copies.
    const CACHE_PATIENCE: Duration = Duration::from_millis(10_000);

    /// How long the last chunks usually take.
    const LAST_USUAL: Duration = Duration::from_millis(400);

    /// How long nothing is drawn from outside the hall while its peers have
    /// not said what they hold.
    const GREETING: Duration = Duration::from_millis(400);

    /// How long sources are compared before the slow ones are left.
    const COMPARED: Duration = Duration::from_millis(1_500);

    /// A source that has given less than this part of what is usual among
    /// its fellows is slow.
    const SLOW_PART: usize = 4;

    /// The most chunks named in one question, by their places: half a
    /// kilobyte. A source has one question at a time, so one that names only
    /// chunks which nobody has yet keeps back those that the source holds:
    /// with 8, nine entries that held 60 in 100 of a version among them had 18
    /// to 48 each after 6 s without the origin.
    pub const MAX_CHUNKS_PER_REQUEST: usize = 128;

    /// How often those who may hold chunks are asked anew what they hold: they
    /// draw too while no entry of the hall answers them. A question and its
    /// answer are 0.6 KB.
    const ASK_AGAIN: Duration = Duration::from_millis(1_000);

    /// The most chunks named to one who is known to hold them: each answer
    /// brings one, and the others are left for those who hold them too.
    const MOST_SURE: usize = 4;

    /// Returns a puller of `chunks`; those for which `held` says yes are here
    /// already. `turn` spreads where pullers of one hall begin.
    pub fn new(
        walk: SourceRanking,
        chunks: &[Chunk],
        patience: FetchTimeouts,
        turn: usize,
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
            walk,
            chunks: unique,
            index,
            held,
            asked: BTreeMap::new(),
            standing: HashMap::new(),
            patience,
            turn,
            started: None,
            slow: HashSet::new(),
            gained: (0, Time::ZERO),
            passed_on: (0, Time::ZERO),
            last_since: None,
            origin_failed: None,
        }
    }

    /// Goes on with other members. What is out, and what is known of the
    /// sources, stays.
    pub fn set_ranking(&mut self, walk: SourceRanking) {
        self.walk = walk;
    }

    /// Returns the questions to send now.
    pub fn poll(&mut self, now: Time) -> Vec<ChunkRequest> {
        self.started.get_or_insert(now);
        self.compare(now);
        let mut asks = self.greetings(now);
        let plan = self.plan(now);
        // What peers of the hall hold is to be known before anything is
        // drawn from outside: this agent may have restarted.
        // A peer that is out of reach must not hold that up for long.
        let started = self.started.unwrap_or(now);
        let greet = now.since(started) < Puller::GREETING
            && (self.greets() || plan.keys().any(|s| self.unmet(s)));
        for (source, want) in plan {
            let near = matches!(source, Source::Near(_));
            if self.suspect(&source, now) || (greet && !near) {
                continue;
            }
            asks.push(self.ask(source, want, self.patience.hold, now));
        }
        // Where only a few questions may be out, chunks come in order.
        let count = self.chunks.len();
        let turn = self.turn;
        asks.sort_by_key(|ask| {
            let first = ask.want.first().and_then(|d| self.index.get(d));
            first.map_or(0, |i| (i + count - turn % count) % count)
        });
        for (source, want) in self.leftovers(now) {
            asks.push(self.ask(source, want, Duration::ZERO, now));
        }
        for late in self.stalled(now) {
            let hold = self.patience.hold;
            let ask = if late.tell {
                self.ask_to_tell(late.source, late.want, hold, now)
            } else {
                self.ask(late.source, late.want, hold, now)
            };
            asks.push(ask);
        }
        asks
    }

    /// Returns what to ask of the sources in charge.
    fn plan(&self, now: Time) -> BTreeMap<Source, Vec<usize>> {
        let mut plan: BTreeMap<Source, Vec<usize>> = BTreeMap::new();
        let coming = self.asked.values().filter(|a| !a.tell);
        let out: HashSet<usize> =
            coming.flat_map(|a| &a.want).copied().collect();
        let count = self.chunks.len();
        for step in 0..count {
            let i = (self.turn + step) % count;
            if self.held[i] {
                continue;
            }
            let source = self.source(i, now);
            // While the origin is down its drawers ask peers too, and these
            // questions wait; the origin is not to be asked later for it.
            let elsewhere = out.contains(&i) && source != Source::Origin;
            if elsewhere
                || self.asked.contains_key(&source)
                || self.too_early(&source, i, now)
            {
                continue;
            }
            let want = plan.entry(source).or_default();
            if want.len() < Puller::MAX_CHUNKS_PER_REQUEST {
                want.push(i);
            }
        }
        plan
    }

    /// Returns whether the origin still has earlier chunks to send.
    fn too_early(&self, source: &Source, i: usize, now: Time) -> bool {
        let started = self.started.unwrap_or(now);
        let due = started.after(self.patience.origin_pace * i as u32);
        *source == Source::Origin && now < due
    }

    /// Whether a first question to a peer of the hall is out.
    fn greets(&self) -> bool {
        self.asked.keys().any(|s| {
            let standing = self.standing.get(s);
            matches!(s, Source::Near(_)) && standing.is_some_and(|x| x.hello)
        })
    }

    fn unmet(&self, source: &Source) -> bool {
        let met = self.standing.get(source).is_some_and(|s| s.met);
        matches!(source, Source::Near(_)) && !met
    }

    fn ask(
        &mut self,
        source: Source,
        want: Vec<usize>,
        hold: Duration,
        now: Time,
    ) -> ChunkRequest {
        let standing = self.standing.entry(source.clone()).or_default();
        // The first question comes back at once and says what is held there.
        let hello = !standing.met;
        let hold = if hello { Duration::ZERO } else { hold };
        standing.met = true;
        standing.asked_at = now;
        standing.asked |= !hello;
        standing.hello = hello;
        let digests = want.iter().map(|i| self.chunks[*i].digest()).collect();
        let asked = Asked { want, since: now, tell: false };
        self.asked.insert(source.clone(), asked);
        ChunkRequest { source, want: digests, hold, hello, tell: false }
    }

    /// Asks a source to say what it holds, and to send nothing.
    fn ask_to_tell(
        &mut self,
        source: Source,
        want: Vec<usize>,
        hold: Duration,
        now: Time,
    ) -> ChunkRequest {
        let mut ask = self.ask(source, want, hold, now);
        ask.tell = true;
        if let Some(asked) = self.asked.get_mut(&ask.source) {
            asked.tell = true;
        }
        ask
    }

    fn source(&self, i: usize, now: Time) -> Source {
        self.walk.first(
            i,
            |s| self.suspect(s, now),
            |s| self.standing.get(s).is_some_and(|x| x.holds.contains(&i)),
        )
    }

    fn suspect(&self, source: &Source, now: Time) -> bool {
        self.slow.contains(source)
            || self.standing.get(source).is_some_and(|s| s.until > now)
    }

    /// Takes note that a source sent a chunk, which was verified and kept.
    pub fn record_chunk(&mut self, source: &Source, digest: &Digest) {
        self.asked.remove(source);
        if let Some(i) = self.index.get(digest) {
            self.held[*i] = true;
        }
        let standing = self.standing.entry(source.clone()).or_default();
        standing.strikes = 0;
        standing.waiting = None;
        standing.got += 1;
    }

    /// Returns the chunks without repetition, as counted by [`Self::record_holdings`].
    pub fn chunks(&self) -> &[Chunk] {
        &self.chunks
    }

    /// Returns whether all chunks are here.
    pub fn is_complete(&self) -> bool {
        self.held.iter().all(|h| *h)
    }

    /// Returns the chunks that are missing, as counted by [`Self::record_holdings`].
    pub fn missing(&self) -> impl Iterator<Item = usize> {
        let held = self.held.iter().enumerate();
        held.filter(|(_, held)| !**held).map(|(i, _)| i)
    }

    /// Returns the share of chunks that are here, per mille.
    pub fn held_permille(&self) -> u32 {
        let held = self.held.iter().filter(|h| **h).count();
        (held * 1000 / self.held.len().max(1)) as u32
    }
}
