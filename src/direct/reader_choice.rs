//! Which process reads the platform for the others.
//!
//! Calls to the platform are counted, and links between regions are poor, so
//! the first in rank of a hall's entries reads and the others of the hall ask
//! it; and the first of each hall asks the first of all halls. Rank is the
//! order of addresses, which all entries agree on without talking; where
//! they do not, more of them read, and nothing else is lost. One that fails
//! is left out for a while that grows with each failure, and the next in rank
//! stands in for it: if all that it read for read the platform themselves,
//! their documents fill the link that they share for longer than the bound.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Time;
use crate::placing::MAX_LEADING_ENTRIES;

/// An entry that answers others.
#[derive(
    Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct HallEntry {
    /// Where it answers.
    pub addr: SocketAddr,
    /// Its data hall.
    pub hall: Arc<str>,
}

/// Whom an entry asks for what is published.
#[derive(Debug)]
pub struct ReaderChoice {
    own: HallEntry,
    failures: HashMap<SocketAddr, Failure>,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    /// Whether it did answer, though with nothing new enough.
    alive: bool,
    since: Time,
    until: Time,
}

impl ReaderChoice {
    /// How many entries are asked before an entry reads the platform itself:
    /// as many of its hall as it is told of.
    pub const MOST_ASKED: usize = MAX_LEADING_ENTRIES;

    /// How many of a hall's entries with old news are enough to know that the
    /// platform has told the hall nothing.
    pub const MOST_OLD: usize = 2;

    /// How many entries of a hall read the platform themselves where those
    /// before them have only old news. The others wait for them: if all do
    /// it, 150 entries read whole documents over the links between regions at
    /// the moment at which the platform is back, and the last have them 5 s
    /// later.
    pub const READERS: usize = 3;

    /// How long a reader is left out after its first failure.
    pub const FIRST_REST: Duration = Duration::from_secs(2);

    /// The longest that a reader is left out.
    pub const LONGEST_REST: Duration = Duration::from_secs(16);

    /// Returns the choice of an entry.
    pub fn new(own: HallEntry) -> ReaderChoice {
        ReaderChoice { own, failures: HashMap::new() }
    }

    /// Returns the entry to ask, or `None` if the platform is to be read.
    ///
    /// `entries` are those known, in any order, with or without the own one.
    pub fn choose(
        &self,
        entries: &[HallEntry],
        now: Time,
    ) -> Option<SocketAddr> {
        self.choose_next(entries, &[], now)
    }

    /// Returns the entry to ask after those in `asked`, which have not
    /// answered yet; or `None` if there is no other.
    pub fn choose_next(
        &self,
        entries: &[HallEntry],
        asked: &[SocketAddr],
        now: Time,
    ) -> Option<SocketAddr> {
        let near = near(entries, &self.own.hall);
        let reader = self.first_well(near, asked, now);
        reader.or_else(|| self.first_well(first_of_halls(entries), asked, now))
    }

    /// Returns whether an entry has failed, and not answered since.
    pub fn doubts(&self, entry: SocketAddr) -> bool {
        self.failures.contains_key(&entry)
    }

    /// Returns the first in rank before this entry that is not left out and
    /// not asked already. Those that are silent are passed over; where
    /// several have old news, the others have none either.
    fn first_well(
        &self,
        mut entries: Vec<SocketAddr>,
        asked: &[SocketAddr],
        now: Time,
    ) -> Option<SocketAddr> {
        entries.retain(|addr| *addr < self.own.addr);
        entries.sort_unstable();
        entries.dedup();
        let mut old = 0;
        for addr in entries {
            let failure = self.failures.get(&addr);
            if let Some(failure) = failure.filter(|f| f.until > now) {
                old += usize::from(failure.alive);
                if old >= ReaderChoice::MOST_OLD {
                    return None;
                }
                continue;
            }
            if !asked.contains(&addr) {
                return Some(addr);
            }
        }
        None
    }

    /// Notes that an entry failed to answer or had old news; returns whether
    /// it had been well until now.
    pub fn failed(&mut self, entry: SocketAddr, now: Time) -> bool {
        let failure = self.failures.entry(entry).or_insert(Failure {
            count: 0,
            alive: false,
            since: now,
            until: now,
        });
        failure.alive = false;
        let doubled = 1 << failure.count.min(8);
        let rest = (ReaderChoice::FIRST_REST * doubled)
            .min(ReaderChoice::LONGEST_REST);
        failure.count += 1;
        failure.until = now.after(rest);
        failure.count == 1
    }

    /// Notes that an entry that had failed was asked again, and that another
    /// one answered before it: it is left out for a while longer.
    pub fn passed_over(&mut self, entry: SocketAddr, now: Time) {
        if let Some(failure) = self.failures.get_mut(&entry) {
            failure.until = now.after(ReaderChoice::FIRST_REST);
        }
    }

    /// Notes that an entry answered, but knows nothing new enough; returns
    /// whether it had been well until now. It is asked again soon, however
    /// often that happens: it says so as soon as it has news.
    pub fn had_old_news(&mut self, entry: SocketAddr, now: Time) -> bool {
        let failure = self.failures.entry(entry).or_insert(Failure {
            count: 0,
            alive: true,
            since: now,
            until: now,
        });
        let was_well = failure.count == 0;
        failure.count = 1;
        failure.alive = true;
        failure.until = now.after(ReaderChoice::FIRST_REST);
        was_well
    }

    /// Returns whether this entry is one of those of its hall that read the
    /// platform where nobody before them has news. It is not while it knows
    /// of no entry.
    pub fn leads(&self, entries: &[HallEntry]) -> bool {
        let near = near(entries, &self.own.hall);
        let before = near.iter().filter(|addr| **addr < self.own.addr);
        !near.is_empty() && before.count() < ReaderChoice::READERS
    }

    /// Returns the entry whose news are waited for in place of reading the
    /// platform: the first in rank that is alive. There is none if this entry
    /// leads, or if its hall has so few entries, `leading` of them, that all
    /// may read.
    pub fn awaited(
        &self,
        entries: &[HallEntry],
        leading: usize,
    ) -> Option<SocketAddr> {
        if self.leads(entries) || leading < MAX_LEADING_ENTRIES {
            return None;
        }
        self.first_alive(near(entries, &self.own.hall))
    }

    /// Returns the entry that is asked again beside a reading of the platform
    /// that may be in vain: it answered when it had old news.
    pub fn alive(&self, entries: &[HallEntry]) -> Option<SocketAddr> {
        let near = self.first_alive(near(entries, &self.own.hall));
        near.or_else(|| self.first_alive(first_of_halls(entries)))
    }

    fn first_alive(&self, entries: Vec<SocketAddr>) -> Option<SocketAddr> {
        let before = entries.into_iter().filter(|a| *a < self.own.addr);
        let alive = before.filter(|addr| {
            self.failures.get(addr).is_some_and(|failure| failure.alive)
        });
        alive.min()
    }

    /// Notes that an entry answered with news; returns for how long it had
    /// failed before, if it had.
    pub fn answered(
        &mut self,
        entry: SocketAddr,
        now: Time,
    ) -> Option<Duration> {
        let failure = self.failures.remove(&entry)?;
        Some(now.since(failure.since))
    }
}

/// Returns the entries of a hall.
fn near(entries: &[HallEntry], hall: &str) -> Vec<SocketAddr> {
    let near = entries.iter().filter(|e| &*e.hall == hall);
    near.map(|e| e.addr).collect()
}

/// Returns the first in rank of each hall.
fn first_of_halls(entries: &[HallEntry]) -> Vec<SocketAddr> {
    let mut first: BTreeMap<&str, SocketAddr> = BTreeMap::new();
    for entry in entries {
        let least = first.entry(&entry.hall).or_insert(entry.addr);
        *least = (*least).min(entry.addr);
    }
    first.into_values().collect()
}
