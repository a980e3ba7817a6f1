//! Who may be asked for a chunk, in rank order.
//!
//! The halls and the agents of each hall are put in an order that depends on
//! the version, and the order is turned by one for each chunk. Turning
//! instead of hashing each chunk makes the shares of all agents equal to
//! within one chunk (`DESIGN.md`, "Weights", has both figures).

use std::sync::Arc;

use crate::rank;

/// Where a chunk may be drawn from.
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

/// The ranks of halls and agents for one version, seen by one agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SourceRanking {
    me: Arc<str>,
    halls: Vec<Vec<Arc<str>>>,
    mine: usize,
    budget: usize,
    turns: bool,
    /// How many agents of the hall each one passes a chunk on to, if not the
    /// seed to all.
    fanout: Option<usize>,
    /// Processes of the hall that hold chunks for its agents.
    caches: Vec<Arc<str>>,
    /// Processes of the hall that hold all of the version.
    holders: Vec<Arc<str>>,
    /// Processes of the hall that may hold some of it.
    part_holders: Vec<Arc<str>>,
}

impl SourceRanking {
    /// Agents of another hall that are asked before the next hall is.
    const FAR_TRIES: usize = 2;

    /// Agents of another hall that may have drawn a chunk which is late.
    const DRAWERS: usize = 3;

    /// Returns the walk of agent `me` in `hall`, where `budget` halls may
    /// each draw a whole copy from the origin.
    ///
    /// `members` lists the agents that want the version by data hall. The
    /// agent is added to its own hall if the list does not have it yet.
    pub fn new(
        subject: &[u8],
        members: &[(Arc<str>, Vec<Arc<str>>)],
        hall: &Arc<str>,
        me: &Arc<str>,
        budget: u32,
    ) -> SourceRanking {
        let mut names: Vec<Arc<str>> = Vec::new();
        for (name, _) in members {
            names.push(Arc::clone(name));
        }
        if !names.contains(hall) {
            names.push(Arc::clone(hall));
        }
        let mut halls = Vec::new();
        let mut mine = 0;
        for (i, name) in rank::order(subject, &names).iter().enumerate() {
            let found = members.iter().find(|(n, _)| n == name);
            let mut agents = found.map_or_else(Vec::new, |(_, a)| a.clone());
            if name == hall {
                mine = i;
                if !agents.contains(me) {
                    agents.push(Arc::clone(me));
                }
            }
            halls.push(rank::order(subject, &agents));
        }
        let budget = budget.max(1) as usize;
        SourceRanking {
            me: Arc::clone(me),
            halls,
            mine,
            budget,
            turns: true,
            fanout: None,
            caches: Vec::new(),
            holders: Vec::new(),
            part_holders: Vec::new(),
        }
    }

    /// Returns the walk in which caches of the hall are asked before anybody
    /// else: their links are wider than those of agents, which need not pass
    /// chunks on as long as one cache is left.
    #[must_use]
    pub fn with_caches(mut self, caches: Vec<Arc<str>>) -> SourceRanking {
        self.caches = caches;
        self
    }

    /// Returns the walk in which those who hold the whole version are asked
    /// before anybody outside the hall.
    #[must_use]
    pub fn with_holders(mut self, holders: Vec<Arc<str>>) -> SourceRanking {
        self.holders = holders;
        self
    }

    /// Returns the walk in which those who may hold some of the version are
    /// asked what they hold, and for it, before anybody outside the hall.
    #[must_use]
    pub fn with_partial_holders(
        mut self,
        part_holders: Vec<Arc<str>>,
    ) -> SourceRanking {
        self.part_holders = part_holders;
        self
    }

    /// Returns the walk in which a chunk passes from its seed through a tree
    /// of the hall's agents, each of which sends it to `fanout` others.
    ///
    /// A seed that sends to all of a large hall gets the chunk to the last
    /// one late, and all wait for the last chunk.
    #[must_use]
    pub fn with_fanout(mut self, fanout: usize) -> SourceRanking {
        self.fanout = Some(fanout.max(1));
        self
    }

    /// Returns the baseline in which each agent draws all from the origin.
    #[must_use]
    pub fn direct(mut self) -> SourceRanking {
        self.halls = vec![vec![Arc::clone(&self.me)]];
        self.mine = 0;
        self
    }

    /// Returns the baseline in which one seed a hall draws all from the
    /// origin, and the others draw all from it.
    #[must_use]
    pub fn tree(mut self) -> SourceRanking {
        self.budget = self.halls.len();
        self.turns = false;
        self
    }

    /// Returns the first source in rank for chunk `index` that is not
    /// suspect.
    ///
    /// Caches of the hall come first, then its peers, in turn from the
    /// chunk's seed. Where
    /// this agent's own turn comes, it draws from a peer of its hall that is
    /// known to hold the chunk (it may have joined late), else from outside
    /// the hall. Where all else is suspect, the origin is the last resort.
    pub fn first(
        &self,
        index: usize,
        suspect: impl Fn(&Source) -> bool,
        holds: impl Fn(&Source) -> bool,
    ) -> Source {
        for name in spread(&self.caches, index) {
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
        for name in self.turned(self.mine, index) {
            if *name == self.me {
                let near = self.holder(index, &suspect, &holds);
                return near.unwrap_or_else(|| self.outside(index, &suspect));
            }
            let source = Source::Near(Arc::clone(name));
            if !suspect(&source) {
                return source;
            }
        }
        Source::Origin
    }

    /// Returns who stands between this agent and the chunk's seed in the
    /// hall's tree, the nearest first.
    fn ancestors(&self, index: usize) -> Vec<Arc<str>> {
        let mut ancestors = Vec::new();
        let Some(fanout) = self.fanout else { return ancestors };
        let order: Vec<&Arc<str>> = self.turned(self.mine, index).collect();
        let place = order.iter().position(|name| **name == self.me);
        let mut place = place.unwrap_or(0);
        while place > 0 {
            place = (place - 1) / fanout;
            ancestors.push(Arc::clone(order[place]));
        }
        ancestors
    }

    fn holder(
        &self,
        index: usize,
        suspect: &impl Fn(&Source) -> bool,
        holds: &impl Fn(&Source) -> bool,
    ) -> Option<Source> {
        for name in self.turned(self.mine, index) {
            let source = Source::Near(Arc::clone(name));
            if *name != self.me && holds(&source) && !suspect(&source) {
                return Some(source);
            }
        }
        for name in spread(&self.holders, index) {
            let source = Source::Near(Arc::clone(name));
            if !suspect(&source) {
                return Some(source);
            }
        }
        for name in spread(&self.part_holders, index) {
            let source = Source::Near(Arc::clone(name));
            if holds(&source) && !suspect(&source) {
                return Some(source);
            }
        }
        None
    }

    /// From the seeds of halls that rank before this one, or the origin.
    fn outside(
        &self,
        index: usize,
        suspect: &impl Fn(&Source) -> bool,
    ) -> Source {
        let place = self.position(index, self.mine);
        let draws = place < self.budget;
        let before = if draws { 0 } else { place };
        for step in 0..before {
            // Start among the halls that draw, so that these share the
            // sending to those that do not.
            let step = (place % self.budget + step) % before;
            let hall = (index + step) % self.halls.len();
            for name in self.turned(hall, index).take(SourceRanking::FAR_TRIES)
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
        self.rest(index, suspect)
    }

    /// With the origin suspect too, anybody who might hold the chunk.
    fn rest(
        &self,
        index: usize,
        suspect: &impl Fn(&Source) -> bool,
    ) -> Source {
        for name in self.turned(self.mine, index) {
            let source = Source::Near(Arc::clone(name));
            if *name != self.me && !suspect(&source) {
                return source;
            }
        }
        for hall in 0..self.halls.len() {
            if hall == self.mine {
                continue;
            }
            for name in self.turned(hall, index) {
                let source = Source::Far(Arc::clone(name));
                if !suspect(&source) {
                    return source;
                }
            }
        }
        Source::Origin
    }

    /// Returns how many agents of all halls rank before this one for a
    /// chunk, about.
    pub fn place(&self, index: usize) -> usize {
        let before = self.position(index, self.mine);
        let mut place = 0;
        for step in 0..before {
            place += self.halls[(index + step) % self.halls.len()].len();
        }
        let mut own = self.turned(self.mine, index);
        place + own.position(|name| *name == self.me).unwrap_or(0)
    }

    /// Returns how many agents of this hall rank before this one for a
    /// chunk.
    pub fn hall_place(&self, index: usize) -> usize {
        let mut own = self.turned(self.mine, index);
        own.position(|name| *name == self.me).unwrap_or(0)
    }

    /// Returns the agents of another hall that draw a chunk from the origin,
    /// one after the other should the first of them not bring it; none if
    /// they belong to this hall.
    pub fn drawers(&self, index: usize) -> impl Iterator<Item = Source> {
        let hall = index % self.halls.len();
        let most = if hall == self.mine { 0 } else { SourceRanking::DRAWERS };
        let names = self.turned(hall, index).take(most);
        names.map(|name| Source::Far(Arc::clone(name)))
    }

    /// Returns the caches of the hall.
    pub fn caches(&self) -> impl Iterator<Item = Source> {
        self.caches.iter().map(|name| Source::Near(Arc::clone(name)))
    }

    /// Returns those of the hall who may hold some of the version.
    pub fn part_holders(&self) -> impl Iterator<Item = Source> {
        self.part_holders.iter().map(|name| Source::Near(Arc::clone(name)))
    }

    /// Returns the other agents of the hall.
    pub fn fellows(&self) -> impl Iterator<Item = Source> {
        let others = self.halls[self.mine].iter().filter(|n| **n != self.me);
        others.map(|name| Source::Near(Arc::clone(name)))
    }

    /// How many halls rank before `hall` for a chunk.
    fn position(&self, index: usize, hall: usize) -> usize {
        let count = self.halls.len();
        (hall + count - index % count) % count
    }

    /// The agents of a hall, starting with the chunk's seed there.
    ///
    /// The turn goes on only every `halls` chunks, or hall and agent would
    /// turn together and some agents would draw all that comes from outside.
    fn turned(
        &self,
        hall: usize,
        index: usize,
    ) -> impl Iterator<Item = &Arc<str>> {
        let agents = &self.halls[hall];
        let turn = if self.turns { index / self.halls.len() } else { 0 };
        let start = turn % agents.len().max(1);
        agents.iter().cycle().skip(start).take(agents.len())
    }
}

/// Returns all of some processes, beginning with another one for each chunk.
fn spread(
    names: &[Arc<str>],
    index: usize,
) -> impl Iterator<Item = &Arc<str>> {
    let start = index % names.len().max(1);
    names.iter().cycle().skip(start).take(names.len())
}
