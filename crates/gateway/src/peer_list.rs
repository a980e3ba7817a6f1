//! The other entries to which an entry reports what it finds.
//!
//! What one entry tells all others grows with the number of entries, and the
//! links between halls carry requests and weights too. So a report crosses
//! them once for each other hall: one entry there, the relay, forwards it in
//! its hall. Lost reports are made up for by comparing tables.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use stairhinge::direct::HallEntry;
use stairhinge::rank;
use stairhinge::serving::CatchUpPeers;

use crate::dispatch::Dispatcher;

/// How long an entry is sent changes after it last compared tables. In a hall
/// of 150 entries each does so with five others, with each of them every
/// 2.5 s.
const MEMBER_RETENTION: Duration = Duration::from_secs(30);

/// The number of entries of its hall that an entry without leading ones
/// catches up with.
const MAX_CATCH_UP: usize = 5;

/// The number of leading entries that forward what entries of their hall
/// report to the entries that these do not know.
const FORWARDERS: usize = 2;

/// The entries that agents report, which are the first-ranked ones of each
/// hall, and those of the same hall that recently compared tables.
pub(crate) struct PeerList {
    dispatcher: Arc<Dispatcher>,
    own: SocketAddr,
    /// When each entry of the hall last compared tables with this one.
    members: Mutex<HashMap<SocketAddr, Instant>>,
}

impl PeerList {
    /// Returns the list of the entry that others reach at `own`.
    pub(crate) fn new(dispatcher: Arc<Dispatcher>, own: SocketAddr) -> Self {
        PeerList { dispatcher, own, members: Mutex::default() }
    }

    /// Returns the hall of this entry.
    pub(crate) fn hall(&self) -> &Arc<str> {
        self.dispatcher.hall()
    }

    /// Records that an entry of a hall compared tables with this one.
    pub(crate) fn record_seen(&self, from: SocketAddr, hall: &str) {
        if hall != &**self.hall() {
            return;
        }
        let mut members =
            self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members.insert(from, Instant::now());
    }

    /// Returns the other known entries of this hall.
    pub(crate) fn near(&self) -> BTreeSet<SocketAddr> {
        let mut near: BTreeSet<SocketAddr> =
            self.dispatcher.leading_entries().iter().copied().collect();
        for entry in self.dispatcher.entries().iter() {
            if entry.hall == *self.hall() {
                near.insert(entry.addr);
            }
        }
        let now = Instant::now();
        let mut members =
            self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members.retain(|_, at| now.duration_since(*at) < MEMBER_RETENTION);
        near.extend(members.keys());
        near.remove(&self.own);
        near
    }

    /// Returns the estimated number of entries of this hall.
    pub(crate) fn hall_size(&self) -> usize {
        self.dispatcher.hall_entries().max(self.near().len() + 1)
    }

    /// Returns the entries of `to` in other halls with these halls, or with an
    /// empty name if the hall is not known.
    pub(crate) fn far_halls(
        &self,
        to: &BTreeSet<SocketAddr>,
    ) -> HashMap<SocketAddr, Arc<str>> {
        let mut far = HashMap::new();
        for addr in to.difference(&self.near()) {
            far.insert(*addr, Arc::from(""));
        }
        for entry in self.dispatcher.entries().iter() {
            if let Some(hall) = far.get_mut(&entry.addr) {
                *hall = Arc::clone(&entry.hall);
            }
        }
        far
    }

    /// Returns one entry of each other hall. `turn` selects among several.
    pub(crate) fn relays(&self, turn: usize) -> Vec<HallEntry> {
        let entries = self.dispatcher.entries();
        relays(&entries, self.hall(), self.own, turn)
    }

    /// Returns the entries with which this one catches up: the other leading
    /// ones of its hall, and one of each other hall.
    pub(crate) fn catch_up_peers(&self) -> CatchUpPeers {
        let leading = self.dispatcher.leading_entries();
        let mut near: BTreeSet<SocketAddr> = leading.iter().copied().collect();
        near.remove(&self.own);
        if near.is_empty() {
            near = self.near().into_iter().take(MAX_CATCH_UP).collect();
        }
        let relays = self.relays(0).into_iter();
        CatchUpPeers {
            near,
            far: relays.map(|entry| entry.addr).collect(),
            complete: self.dispatcher.knows_entries(),
        }
    }

    /// Returns the entries to which a report from `from` is forwarded. A
    /// report from another hall goes to all of this one, and one from this
    /// hall to those that its sender does not know.
    pub(crate) fn to_forward(&self, from: SocketAddr) -> BTreeSet<SocketAddr> {
        let mut near = self.near();
        if !near.remove(&from) {
            return near;
        }
        let leading = self.dispatcher.leading_entries();
        let forwards = leading.iter().take(FORWARDERS).any(|e| *e == self.own);
        // A leading entry knows the others itself.
        if !forwards || leading.contains(&from) {
            return BTreeSet::new();
        }
        for addr in leading.iter() {
            near.remove(addr);
        }
        near
    }

    /// Returns whether this entry compares tables with those of other halls.
    pub(crate) fn compares_halls(&self) -> bool {
        let leading = self.dispatcher.leading_entries();
        leading.is_empty()
            || leading.iter().take(FORWARDERS).any(|e| *e == self.own)
    }
}

/// Returns one of the `entries` of each hall other than `hall`. Entries choose
/// different ones, and `turn` steps through them.
fn relays(
    entries: &[HallEntry],
    hall: &str,
    own: SocketAddr,
    turn: usize,
) -> Vec<HallEntry> {
    let mut by_hall: HashMap<&Arc<str>, Vec<&HallEntry>> = HashMap::new();
    for entry in entries {
        if *entry.hall != *hall && entry.addr != own {
            by_hall.entry(&entry.hall).or_default().push(entry);
        }
    }
    let subject = own.to_string();
    let mut relays = Vec::new();
    for mut candidates in by_hall.into_values() {
        candidates.sort_by_cached_key(|entry| {
            rank::score(subject.as_bytes(), &entry.addr.to_string())
        });
        let index = turn % candidates.len();
        relays.push(candidates[index].clone());
    }
    relays.sort_unstable();
    relays
}

#[cfg(test)]
#[path = "peer_list_tests.rs"]
mod tests;
