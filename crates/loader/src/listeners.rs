//! The entries that listen to an agent.
//!
//! The platform does not list entries. Each listens to all agents, so these
//! can tell it of the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use stairhinge::direct::HallEntry;
use stairhinge::placing::leading_entries;
use tokio::sync::Notify;

/// The entries of a hall that others are told of: those that may read the
/// platform for them.
const TOLD_OF_HALL: usize = 3;

/// Entries that listen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Listeners {
    /// How many feeds each has open.
    feeds: Arc<Mutex<BTreeMap<HallEntry, u32>>>,
    joined: Arc<Notify>,
}

impl Listeners {
    /// Returns the first in rank of each hall's entries that listen now.
    pub(crate) fn first(&self) -> Vec<HallEntry> {
        let feeds = self.feeds.lock().unwrap_or_else(PoisonError::into_inner);
        let mut told: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        let mut first = Vec::new();
        // In the order of addresses, which is that of rank.
        for entry in feeds.keys() {
            let count = told.entry(Arc::clone(&entry.hall)).or_default();
            if *count < TOLD_OF_HALL {
                *count += 1;
                first.push(entry.clone());
            }
        }
        first
    }

    /// Returns the entries of a hall that listen now.
    pub(crate) fn of_hall(&self, hall: &str) -> Vec<HallEntry> {
        let feeds = self.feeds.lock().unwrap_or_else(PoisonError::into_inner);
        feeds.keys().filter(|entry| &*entry.hall == hall).cloned().collect()
    }

    /// Returns the leading ones of a hall's entries that listen now.
    pub(crate) fn leading(&self, hall: &str) -> Vec<SocketAddr> {
        leading_entries(self.of_hall(hall).into_iter().map(|entry| entry.addr))
    }

    /// Returns how many of a hall's entries listen now, rounded up to a power
    /// of two: each one that joins or leaves is no news to all others.
    pub(crate) fn count(&self, hall: &str) -> usize {
        self.of_hall(hall).len().next_power_of_two()
    }

    /// Ends when the next entry begins to listen.
    pub(crate) async fn joined(&self) {
        self.joined.notified().await;
    }

    /// Counts a feed of an entry in until the guard is dropped.
    pub(crate) fn listen(&self, entry: HallEntry) -> Listening {
        let mut feeds =
            self.feeds.lock().unwrap_or_else(PoisonError::into_inner);
        *feeds.entry(entry.clone()).or_default() += 1;
        drop(feeds);
        self.joined.notify_waiters();
        Listening { entry, listeners: self.clone() }
    }

    fn leave(&self, entry: &HallEntry) {
        let mut feeds =
            self.feeds.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(count) = feeds.get_mut(entry) else { return };
        *count -= 1;
        if *count == 0 {
            feeds.remove(entry);
        }
    }
}

/// An open feed of an entry.
#[derive(Debug)]
pub(crate) struct Listening {
    entry: HallEntry,
    listeners: Listeners,
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.listeners.leave(&self.entry);
    }
}
