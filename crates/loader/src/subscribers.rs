//! The entries that subscribe to an agent's feed.
//!
//! The platform does not list entries. Each entry subscribes to all agents, so
//! agents can tell it of the other entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use stairhinge::direct::HallEntry;
use stairhinge::placing::leading_entries;
use tokio::sync::Notify;

/// The maximum number of entries per hall that are announced to others: those
/// that may read the platform on their behalf.
const MAX_ANNOUNCED_PER_HALL: usize = 3;

/// The subscribed entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct Subscribers {
    /// The number of open feeds of each entry.
    feeds: Arc<Mutex<BTreeMap<HallEntry, u32>>>,
    joined: Arc<Notify>,
}

impl Subscribers {
    /// Returns the highest ranked subscribed entries of each hall.
    pub(crate) fn first_ranked(&self) -> Vec<HallEntry> {
        let feeds = self.feeds.lock().unwrap_or_else(PoisonError::into_inner);
        let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        let mut first = Vec::new();
        // The map is sorted by address, which is the order of rank.
        for entry in feeds.keys() {
            let count = counts.entry(Arc::clone(&entry.hall)).or_default();
            if *count < MAX_ANNOUNCED_PER_HALL {
                *count += 1;
                first.push(entry.clone());
            }
        }
        first
    }

    /// Returns the subscribed entries of a hall.
    pub(crate) fn of_hall(&self, hall: &str) -> Vec<HallEntry> {
        let feeds = self.feeds.lock().unwrap_or_else(PoisonError::into_inner);
        feeds.keys().filter(|entry| &*entry.hall == hall).cloned().collect()
    }

    /// Returns the leading entries among the subscribed ones of a hall.
    pub(crate) fn leading(&self, hall: &str) -> Vec<SocketAddr> {
        leading_entries(self.of_hall(hall).into_iter().map(|entry| entry.addr))
    }

    /// Returns the number of subscribed entries of a hall, rounded up to a
    /// power of two, so that most changes of it need not be sent to all
    /// entries.
    pub(crate) fn count(&self, hall: &str) -> usize {
        self.of_hall(hall).len().next_power_of_two()
    }

    /// Waits until the next entry subscribes.
    pub(crate) async fn wait_for_join(&self) {
        self.joined.notified().await;
    }

    /// Counts an open feed of an entry until the guard is dropped.
    pub(crate) fn subscribe(&self, entry: HallEntry) -> Subscription {
        let mut feeds =
            self.feeds.lock().unwrap_or_else(PoisonError::into_inner);
        *feeds.entry(entry.clone()).or_default() += 1;
        drop(feeds);
        self.joined.notify_waiters();
        Subscription { entry, subscribers: self.clone() }
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

/// A guard for an open feed of an entry.
#[derive(Debug)]
pub(crate) struct Subscription {
    entry: HallEntry,
    subscribers: Subscribers,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.subscribers.leave(&self.entry);
    }
}
