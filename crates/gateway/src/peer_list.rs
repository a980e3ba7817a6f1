//! The other entries to which an entry reports what it finds.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::dispatch::Dispatcher;

/// How long an entry is sent changes after it was last seen. In a hall of 150
/// entries each exchanges digests with five others, with each of them every
/// 2.5 s.
const PEER_RETENTION: Duration = Duration::from_secs(30);

/// The entries that agents report, which are the first-ranked ones of each
/// hall, and those that sent a message recently.
pub(crate) struct PeerList {
    dispatcher: Arc<Dispatcher>,
    own: SocketAddr,
    /// When each other entry last sent a message or was last reported.
    last_seen: Mutex<HashMap<SocketAddr, Instant>>,
}

impl PeerList {
    /// Returns the list of the entry that others reach at `own`.
    pub(crate) fn new(dispatcher: Arc<Dispatcher>, own: SocketAddr) -> Self {
        PeerList { dispatcher, own, last_seen: Mutex::default() }
    }

    /// Records a message from an entry.
    pub(crate) fn record_seen(&self, from: SocketAddr) {
        self.last_seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(from, Instant::now());
    }

    /// Returns all other known entries.
    pub(crate) fn all(&self) -> BTreeSet<SocketAddr> {
        let now = Instant::now();
        let entries = self.dispatcher.entries();
        let leading = self.dispatcher.leading_entries();
        let mut last_seen =
            self.last_seen.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in entries.iter() {
            last_seen.insert(entry.addr, now);
        }
        for addr in leading.iter() {
            last_seen.insert(*addr, now);
        }
        last_seen.retain(|addr, at| {
            *addr != self.own && now.duration_since(*at) < PEER_RETENTION
        });
        last_seen.keys().copied().collect()
    }

    /// Returns the entries to which a message from `from` is forwarded: those
    /// to which the sender has not sent it, because only this hall knows them.
    pub(crate) fn to_forward(&self, from: SocketAddr) -> BTreeSet<SocketAddr> {
        let mut to = self.all();
        to.remove(&from);
        for entry in self.dispatcher.entries().iter() {
            to.remove(&entry.addr);
        }
        to
    }
}
