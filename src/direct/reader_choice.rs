//! The choice of the entry that reads the platform for the others.
//!
//! Calls to the platform are metered, and links between regions are slow. So
//! the first-ranked entry of a hall reads the platform and the others of the
//! hall ask it; the first-ranked entry of each hall asks that of the first
//! hall. Entries are ranked by address, which needs no coordination. If their
//! views differ, more of them read the platform, and nothing else is lost.
//!
//! A reader that fails is excluded for a time that grows with each failure,
//! and the next in rank replaces it. If all its clients read the platform
//! instead, their documents would saturate the shared link for longer than
//! the propagation bound.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Time;
use crate::placing::MAX_LEADING_ENTRIES;

/// An entry that other entries can ask.
#[derive(
    Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct HallEntry {
    /// The address at which it answers.
    pub addr: SocketAddr,
    /// Its data hall.
    pub hall: Arc<str>,
}

/// Chooses the entry that one entry asks for published data.
#[derive(Debug)]
pub struct ReaderChoice {
    own: HallEntry,
    failures: HashMap<SocketAddr, Failure>,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    /// Whether it answered, but with stale data.
    responsive: bool,
    since: Time,
    excluded_until: Time,
}

impl ReaderChoice {
    /// The maximum number of entries to ask before reading the platform. It
    /// equals the number of entries of its hall that an entry is told of.
    pub const MAX_ASKED: usize = MAX_LEADING_ENTRIES;

    /// The number of a hall's entries with stale data from which an entry
    /// concludes that the hall has received nothing newer from the platform.
    pub const MAX_STALE: usize = 2;

    /// The number of entries of a hall that read the platform themselves if
    /// those ranked before them have only stale data. The others wait for
    /// them. Otherwise 150 entries would read complete documents over the
    /// links between regions as soon as the platform is back, and the last
    /// would receive them 5 s later.
    pub const LEADERS: usize = 3;

    /// How long a reader is excluded after its first failure.
    pub const INITIAL_BACKOFF: Duration = Duration::from_secs(2);

    /// The maximum time for which a reader is excluded.
    pub const MAX_BACKOFF: Duration = Duration::from_secs(16);

    /// Returns the choice of the entry `own`, with no failures recorded.
    pub fn new(own: HallEntry) -> ReaderChoice {
        ReaderChoice { own, failures: HashMap::new() }
    }

    /// Returns the entry to ask, or `None` if the platform should be read.
    ///
    /// `entries` are the known entries in any order, with or without this one.
    pub fn choose(
        &self,
        entries: &[HallEntry],
        now: Time,
    ) -> Option<SocketAddr> {
        self.choose_next(entries, &[], now)
    }

    /// Returns the entry to ask in addition to those in `asked`, which have
    /// not answered yet, or `None` if there is no other.
    pub fn choose_next(
        &self,
        entries: &[HallEntry],
        asked: &[SocketAddr],
        now: Time,
    ) -> Option<SocketAddr> {
        let near = hall_addrs(entries, &self.own.hall);
        let reader = self.first_available(near, asked, now);
        reader.or_else(|| {
            self.first_available(first_of_halls(entries), asked, now)
        })
    }

    /// Returns whether an entry has failed or had stale data, and has not
    /// answered with fresh data since.
    pub fn has_failed(&self, entry: SocketAddr) -> bool {
        self.failures.contains_key(&entry)
    }

    /// Returns the first entry ranked before this one that is neither
    /// excluded nor in `asked`.
    ///
    /// Unresponsive entries are skipped. If [`MAX_STALE`] entries have stale
    /// data, the others are assumed to have none that is newer.
    ///
    /// [`MAX_STALE`]: ReaderChoice::MAX_STALE
    fn first_available(
        &self,
        mut entries: Vec<SocketAddr>,
        asked: &[SocketAddr],
        now: Time,
    ) -> Option<SocketAddr> {
        entries.retain(|addr| *addr < self.own.addr);
        entries.sort_unstable();
        entries.dedup();
        let mut stale = 0;
        for addr in entries {
            let failure = self.failures.get(&addr);
            if let Some(failure) = failure.filter(|f| f.excluded_until > now) {
                stale += usize::from(failure.responsive);
                if stale >= ReaderChoice::MAX_STALE {
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

    /// Records that an entry did not answer. Returns whether this is its
    /// first failure since its last success.
    pub fn record_failure(&mut self, entry: SocketAddr, now: Time) -> bool {
        let failure = self.failures.entry(entry).or_insert(Failure {
            count: 0,
            responsive: false,
            since: now,
            excluded_until: now,
        });
        failure.responsive = false;
        let factor = 1 << failure.count.min(8);
        let backoff = (ReaderChoice::INITIAL_BACKOFF * factor)
            .min(ReaderChoice::MAX_BACKOFF);
        failure.count += 1;
        failure.excluded_until = now.after(backoff);
        failure.count == 1
    }

    /// Records that another entry answered earlier than this one, which had
    /// failed before. It is excluded for another
    /// [`INITIAL_BACKOFF`](ReaderChoice::INITIAL_BACKOFF).
    pub fn extend_backoff(&mut self, entry: SocketAddr, now: Time) {
        if let Some(failure) = self.failures.get_mut(&entry) {
            failure.excluded_until = now.after(ReaderChoice::INITIAL_BACKOFF);
        }
    }

    /// Records that an entry answered with stale data. Returns whether this
    /// is its first failure since its last success.
    ///
    /// The backoff does not grow, since the entry answers as soon as it has
    /// newer data.
    pub fn record_stale(&mut self, entry: SocketAddr, now: Time) -> bool {
        let failure = self.failures.entry(entry).or_insert(Failure {
            count: 0,
            responsive: true,
            since: now,
            excluded_until: now,
        });
        let was_healthy = failure.count == 0;
        failure.count = 1;
        failure.responsive = true;
        failure.excluded_until = now.after(ReaderChoice::INITIAL_BACKOFF);
        was_healthy
    }

    /// Returns whether this entry is one of the first [`LEADERS`] of its hall,
    /// which read the platform if no entry ranked before them has fresh data.
    ///
    /// Returns `false` as long as no entry of the hall is known.
    ///
    /// [`LEADERS`]: ReaderChoice::LEADERS
    pub fn leads(&self, entries: &[HallEntry]) -> bool {
        let near = hall_addrs(entries, &self.own.hall);
        !near.is_empty() && self.readers_before(entries) < Self::LEADERS
    }

    /// Returns the number of entries of its hall that should read the platform
    /// before this one.
    ///
    /// Unresponsive entries don't count, unless this entry is not among the
    /// first [`MAX_ASKED`]: as many entries as there are would otherwise
    /// replace the first ones.
    ///
    /// [`MAX_ASKED`]: ReaderChoice::MAX_ASKED
    pub fn readers_before(&self, entries: &[HallEntry]) -> usize {
        let mut before = hall_addrs(entries, &self.own.hall);
        before.retain(|addr| *addr < self.own.addr);
        before.sort_unstable();
        before.dedup();
        if before.len() < Self::MAX_ASKED {
            before.retain(|addr| !self.is_unresponsive(*addr));
        }
        before.len()
    }

    /// Returns the entries of its hall that this one may ask whatever their
    /// rank: all but those excluded because they are unresponsive.
    pub fn responsive(
        &self,
        entries: &[HallEntry],
        now: Time,
    ) -> Vec<SocketAddr> {
        let mut near = hall_addrs(entries, &self.own.hall);
        near.retain(|addr| {
            let failure = self.failures.get(addr).filter(|f| !f.responsive);
            let excluded = failure.is_some_and(|f| f.excluded_until > now);
            *addr != self.own.addr && !excluded
        });
        near.sort_unstable();
        near.dedup();
        near
    }

    fn is_unresponsive(&self, entry: SocketAddr) -> bool {
        self.failures.get(&entry).is_some_and(|failure| !failure.responsive)
    }

    /// Returns the entry to wait for instead of reading the platform: the
    /// first in rank that answered with stale data.
    ///
    /// Returns `None` if this entry leads, or if its hall has so few entries,
    /// `leading` of them, that all may read.
    pub fn reader_to_await(
        &self,
        entries: &[HallEntry],
        leading: usize,
    ) -> Option<SocketAddr> {
        if self.leads(entries) || leading < MAX_LEADING_ENTRIES {
            return None;
        }
        self.responsive_among(hall_addrs(entries, &self.own.hall))
    }

    /// Returns the entry to ask again while a read of the platform, which may
    /// fail, is in progress: the first in rank that answered with stale data.
    pub fn first_responsive(
        &self,
        entries: &[HallEntry],
    ) -> Option<SocketAddr> {
        let near = self.responsive_among(hall_addrs(entries, &self.own.hall));
        near.or_else(|| self.responsive_among(first_of_halls(entries)))
    }

    fn responsive_among(
        &self,
        entries: Vec<SocketAddr>,
    ) -> Option<SocketAddr> {
        let before = entries.into_iter().filter(|a| *a < self.own.addr);
        let responsive = before.filter(|addr| {
            self.failures.get(addr).is_some_and(|failure| failure.responsive)
        });
        responsive.min()
    }

    /// Records that an entry answered with fresh data. Returns for how long
    /// it had been failing, if it had.
    pub fn record_success(
        &mut self,
        entry: SocketAddr,
        now: Time,
    ) -> Option<Duration> {
        let failure = self.failures.remove(&entry)?;
        Some(now.since(failure.since))
    }
}

/// Returns the addresses of the entries of a hall.
fn hall_addrs(entries: &[HallEntry], hall: &str) -> Vec<SocketAddr> {
    let near = entries.iter().filter(|e| &*e.hall == hall);
    near.map(|e| e.addr).collect()
}

/// Returns the address of the first-ranked entry of each hall.
fn first_of_halls(entries: &[HallEntry]) -> Vec<SocketAddr> {
    let mut first: BTreeMap<&str, SocketAddr> = BTreeMap::new();
    for entry in entries {
        let least = first.entry(&entry.hall).or_insert(entry.addr);
        *least = (*least).min(entry.addr);
    }
    first.into_values().collect()
}
