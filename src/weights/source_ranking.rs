//! Ranks the sources that an agent may fetch a chunk from.
//!
//! Halls, and the agents within each hall, are ordered by a hash of the
//! version; the order is rotated by one position per chunk. Rotating instead
//! of hashing each chunk keeps the load of all agents equal to within one
//! chunk (`DESIGN.md`, "Weights", compares the two).

use std::sync::Arc;

use crate::rank;

/// A source of chunks.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// An agent of the same data hall.
    Near(Arc<str>),
    /// An agent of another data hall.
    Far(Arc<str>),
    /// The origin of weights.
    Origin,
}

impl Source {
    /// Returns the name used in logs.
    pub fn name(&self) -> &str {
        match self {
            Source::Near(name) | Source::Far(name) => name,
            Source::Origin => "origin",
        }
    }
}

/// The order in which one agent tries sources, per chunk of one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SourceRanking {
    own_name: Arc<str>,
    halls: Vec<Vec<Arc<str>>>,
    own_hall: usize,
    origin_copies: usize,
    rotates: bool,
    /// Fan-out of the distribution tree within the hall. Without one, the seed
    /// sends to every agent.
    fanout: Option<usize>,
    /// Processes of the hall that cache chunks for its agents.
    caches: Vec<Arc<str>>,
    /// Whether most agents take each chunk from another agent of the hall that
    /// reads it from a cache.
    exchanges: bool,
    /// Whether the chunks with the fewest known holders are requested first.
    rarest_first: bool,
    /// Processes of the hall that hold the whole version.
    holders: Vec<Arc<str>>,
    /// Processes of the hall that may hold part of the version.
    partial_holders: Vec<Arc<str>>,
}

impl SourceRanking {
    /// One of so many agents reads a chunk from a cache and sends it to the
    /// others: an agent then sends two thirds of what it receives.
    const AGENTS_PER_READER: usize = 2;

    /// Agents tried in another hall before the next hall is tried.
    const MAX_FAR_ATTEMPTS: usize = 2;

    /// Agents of another hall that may have fetched an overdue chunk from the
    /// origin.
    const MAX_ORIGIN_FETCHERS: usize = 3;

    /// Returns the ranking for agent `own_name` in `hall`, where up to
    /// `origin_copies` halls each fetch a full copy from the origin.
    ///
    /// `members` lists the agents that want the version, by data hall. The
    /// agent is added to its own hall if it is missing from the list.
    pub fn new(
        subject: &[u8],
        members: &[(Arc<str>, Vec<Arc<str>>)],
        hall: &Arc<str>,
        own_name: &Arc<str>,
        origin_copies: u32,
    ) -> SourceRanking {
        let mut names: Vec<Arc<str>> = Vec::new();
        for (name, _) in members {
            names.push(Arc::clone(name));
        }
        if !names.contains(hall) {
            names.push(Arc::clone(hall));
        }
        let mut halls = Vec::new();
        let mut own_hall = 0;
        for (i, name) in rank::order(subject, &names).iter().enumerate() {
            let listed = members.iter().find(|(n, _)| n == name);
            let mut agents = listed.map_or_else(Vec::new, |(_, a)| a.clone());
            if name == hall {
                own_hall = i;
                if !agents.contains(own_name) {
                    agents.push(Arc::clone(own_name));
                }
            }
            halls.push(rank::order(subject, &agents));
        }
        let origin_copies = origin_copies.max(1) as usize;
        SourceRanking {
            own_name: Arc::clone(own_name),
            halls,
            own_hall,
            origin_copies,
            rotates: true,
            fanout: None,
            caches: Vec::new(),
            exchanges: false,
            rarest_first: false,
            holders: Vec::new(),
            partial_holders: Vec::new(),
        }
    }

    /// Tries the hall's caches before any other source. Their links are wider
    /// than those of agents, which then don't forward chunks as long as one
    /// cache is available.
    #[must_use]
    pub fn with_caches(mut self, caches: Vec<Arc<str>>) -> SourceRanking {
        self.caches = caches;
        self
    }

    /// Lets a third of the hall's agents, a different one for each chunk, read
    /// a chunk from the caches, and the others take it from those agents.
    ///
    /// The links of three caches carry less than the links of all agents of a
    /// hall: 20 copies of 2.4 MB take 4.5 s over three links of 28 Mbit/s, and
    /// chunks for other halls' caches wait behind them.
    #[must_use]
    pub fn with_exchange(mut self, exchanges: bool) -> SourceRanking {
        self.exchanges = exchanges;
        self
    }

    /// Requests the chunks with the fewest known holders first, so that a
    /// chunk which only one process holds soon has several sources.
    #[must_use]
    pub fn with_rarest_first(mut self, rarest_first: bool) -> SourceRanking {
        self.rarest_first = rarest_first;
        self
    }

    /// Returns whether the chunks with the fewest known holders are requested
    /// first.
    pub const fn is_rarest_first(&self) -> bool {
        self.rarest_first
    }

    /// Tries processes that hold the whole version before any source outside
    /// the hall.
    #[must_use]
    pub fn with_holders(mut self, holders: Vec<Arc<str>>) -> SourceRanking {
        self.holders = holders;
        self
    }

    /// Tries processes that may hold part of the version before any source
    /// outside the hall. They are asked which chunks they hold first.
    #[must_use]
    pub fn with_partial_holders(
        mut self,
        partial_holders: Vec<Arc<str>>,
    ) -> SourceRanking {
        self.partial_holders = partial_holders;
        self
    }

    /// Forwards each chunk from its seed through a tree of the hall's agents,
    /// each of which sends it to `fanout` others.
    ///
    /// With a single seed sending to a large hall, the last agent gets each
    /// chunk late, which delays the whole version.
    #[must_use]
    pub fn with_fanout(mut self, fanout: usize) -> SourceRanking {
        self.fanout = Some(fanout.max(1));
        self
    }

    /// Returns the baseline strategy in which each agent fetches everything
    /// from the origin.
    #[must_use]
    pub fn direct(mut self) -> SourceRanking {
        self.halls = vec![vec![Arc::clone(&self.own_name)]];
        self.own_hall = 0;
        self
    }

    /// Returns the baseline strategy in which one seed per hall fetches
    /// everything from the origin and the others fetch from that seed.
    #[must_use]
    pub fn tree(mut self) -> SourceRanking {
        self.origin_copies = self.halls.len();
        self.rotates = false;
        self
    }

    /// Returns the first source in rank order for chunk `index` that is not
    /// suspect.
    ///
    /// The order is: caches of the hall, ancestors in the distribution tree,
    /// then the agents of the hall starting at the chunk's seed. If this agent
    /// is next in that order, it fetches from a process of its hall that is
    /// known to hold the chunk (this agent may have joined late), or else from
    /// outside the hall. The origin is the last resort if all other sources
    /// are suspect.
    pub fn choose_source(
        &self,
        index: usize,
        suspect: impl Fn(&Source) -> bool,
        holds: impl Fn(&Source) -> bool,
    ) -> Source {
        let has_cache = self.caches().any(|cache| !suspect(&cache));
        if let Some(name) = self.exchange_parent(index).filter(|_| has_cache) {
            let source = Source::Near(name);
            if !suspect(&source) {
                return source;
            }
        }
        for name in rotated_by_chunk(&self.caches, index) {
            let source = Source::Near(Arc::clone(name));
            if !suspect(&source) {
                return source;
            }
        }
        for name in self.ancestors(index) {
            let source = Source::Near(name);
            if !suspect(&source) {
                return source;
            }
        }
        for name in self.rotated_agents(self.own_hall, index) {
            if *name == self.own_name {
                let near = self.hall_holder(index, &suspect, &holds);
                return near
                    .unwrap_or_else(|| self.outside_source(index, &suspect));
            }
            let source = Source::Near(Arc::clone(name));
            if !suspect(&source) {
                return source;
            }
        }
        Source::Origin
    }

    /// Returns the agent from which this one takes a chunk that a third of the
    /// agents read from the caches, or `None` if it is among those.
    fn exchange_parent(&self, index: usize) -> Option<Arc<str>> {
        if !self.exchanges {
            return None;
        }
        let order: Vec<&Arc<str>> =
            self.rotated_agents(self.own_hall, index).collect();
        let readers = order.len().div_ceil(SourceRanking::AGENTS_PER_READER);
        let position = order.iter().position(|n| **n == self.own_name)?;
        let followers = SourceRanking::AGENTS_PER_READER - 1;
        let parent = position.checked_sub(readers)? / followers;
        order.get(parent).map(|name| Arc::clone(name))
    }

    /// Returns whether agents of the hall take chunks from each other that
    /// their caches also have.
    pub const fn is_exchanging(&self) -> bool {
        self.exchanges
    }

    /// Returns whether a source is an agent with which this one exchanges
    /// chunks that its caches also have.
    pub fn is_exchange_peer(&self, source: &Source) -> bool {
        self.exchanges
            && matches!(source, Source::Near(_))
            && !self.caches().any(|cache| cache == *source)
    }

    /// Returns the agents between this one and the chunk's seed in the hall's
    /// distribution tree, nearest first.
    fn ancestors(&self, index: usize) -> Vec<Arc<str>> {
        let mut ancestors = Vec::new();
        let Some(fanout) = self.fanout else { return ancestors };
        let order: Vec<&Arc<str>> =
            self.rotated_agents(self.own_hall, index).collect();
        let position = order.iter().position(|name| **name == self.own_name);
        let mut position = position.unwrap_or(0);
        while position > 0 {
            position = (position - 1) / fanout;
            ancestors.push(Arc::clone(order[position]));
        }
        ancestors
    }

    fn hall_holder(
        &self,
        index: usize,
        suspect: &impl Fn(&Source) -> bool,
        holds: &impl Fn(&Source) -> bool,
    ) -> Option<Source> {
        for name in self.rotated_agents(self.own_hall, index) {
            let source = Source::Near(Arc::clone(name));
            if *name != self.own_name && holds(&source) && !suspect(&source) {
                return Some(source);
            }
        }
        for name in rotated_by_chunk(&self.holders, index) {
            let source = Source::Near(Arc::clone(name));
            if !suspect(&source) {
                return Some(source);
            }
        }
        for name in rotated_by_chunk(&self.partial_holders, index) {
            let source = Source::Near(Arc::clone(name));
            if holds(&source) && !suspect(&source) {
                return Some(source);
            }
        }
        None
    }

    /// Returns a seed of a hall that ranks before this one, or the origin.
    fn outside_source(
        &self,
        index: usize,
        suspect: &impl Fn(&Source) -> bool,
    ) -> Source {
        let halls_before = self.halls_before(index, self.own_hall);
        let uses_origin = halls_before < self.origin_copies;
        let before = if uses_origin { 0 } else { halls_before };
        for step in 0..before {
            // Start among the halls that fetch from the origin, so that they
            // share the load of serving the other halls.
            let step = (halls_before % self.origin_copies + step) % before;
            let hall = (index + step) % self.halls.len();
            for name in self
                .rotated_agents(hall, index)
                .take(SourceRanking::MAX_FAR_ATTEMPTS)
            {
                let source = Source::Far(Arc::clone(name));
                if !suspect(&source) {
                    return source;
                }
            }
        }
        if !suspect(&Source::Origin) {
            return Source::Origin;
        }
        self.fallback_source(index, suspect)
    }

    /// Returns any agent that may hold the chunk, for when the origin is
    /// suspect as well.
    fn fallback_source(
        &self,
        index: usize,
        suspect: &impl Fn(&Source) -> bool,
    ) -> Source {
        for name in self.rotated_agents(self.own_hall, index) {
            let source = Source::Near(Arc::clone(name));
            if *name != self.own_name && !suspect(&source) {
                return source;
            }
        }
        for hall in 0..self.halls.len() {
            if hall == self.own_hall {
                continue;
            }
            for name in self.rotated_agents(hall, index) {
                let source = Source::Far(Arc::clone(name));
                if !suspect(&source) {
                    return source;
                }
            }
        }
        Source::Origin
    }

    /// Returns roughly how many agents of all halls rank before this one for a
    /// chunk.
    pub fn global_rank(&self, index: usize) -> usize {
        let before = self.halls_before(index, self.own_hall);
        let mut preceding = 0;
        for step in 0..before {
            preceding += self.halls[(index + step) % self.halls.len()].len();
        }
        let mut own = self.rotated_agents(self.own_hall, index);
        preceding + own.position(|name| *name == self.own_name).unwrap_or(0)
    }

    /// Returns how many agents of this hall rank before this one for a chunk.
    pub fn hall_rank(&self, index: usize) -> usize {
        let mut own = self.rotated_agents(self.own_hall, index);
        own.position(|name| *name == self.own_name).unwrap_or(0)
    }

    /// Returns the agents of another hall that fetch a chunk from the origin,
    /// in the order in which they take over from each other. Empty if this
    /// hall fetches the chunk.
    pub fn origin_fetchers(
        &self,
        index: usize,
    ) -> impl Iterator<Item = Source> {
        let hall = index % self.halls.len();
        let max_fetchers = if hall == self.own_hall {
            0
        } else {
            SourceRanking::MAX_ORIGIN_FETCHERS
        };
        let names = self.rotated_agents(hall, index).take(max_fetchers);
        names.map(|name| Source::Far(Arc::clone(name)))
    }

    /// Returns the caches of the hall.
    pub fn caches(&self) -> impl Iterator<Item = Source> {
        self.caches.iter().map(|name| Source::Near(Arc::clone(name)))
    }

    /// Returns the processes of the hall that may hold part of the version.
    pub fn partial_holders(&self) -> impl Iterator<Item = Source> {
        self.partial_holders.iter().map(|name| Source::Near(Arc::clone(name)))
    }

    /// Returns the other agents of the hall.
    pub fn hall_peers(&self) -> impl Iterator<Item = Source> {
        let others =
            self.halls[self.own_hall].iter().filter(|n| **n != self.own_name);
        others.map(|name| Source::Near(Arc::clone(name)))
    }

    /// Returns how many halls rank before `hall` for a chunk.
    fn halls_before(&self, index: usize, hall: usize) -> usize {
        let count = self.halls.len();
        (hall + count - index % count) % count
    }

    /// Returns the agents of a hall, starting with the chunk's seed.
    ///
    /// The start advances once every `halls` chunks. If it advanced with every
    /// chunk, hall and agent would rotate in step, and a few agents would
    /// fetch everything that comes from outside the hall.
    fn rotated_agents(
        &self,
        hall: usize,
        index: usize,
    ) -> impl Iterator<Item = &Arc<str>> {
        let agents = &self.halls[hall];
        let offset = if self.rotates { index / self.halls.len() } else { 0 };
        let start = offset % agents.len().max(1);
        agents.iter().cycle().skip(start).take(agents.len())
    }
}

/// Returns all `names`, starting at a different one for each chunk.
fn rotated_by_chunk(
    names: &[Arc<str>],
    index: usize,
) -> impl Iterator<Item = &Arc<str>> {
    let start = index % names.len().max(1);
    names.iter().cycle().skip(start).take(names.len())
}
