//! The published list of replicas, as one process hands it on to others.
//!
//! Few processes read the platform for their hall; the others ask one of
//! them for what has changed since the revision that they know. What is kept
//! is the newest state of each replica and the revision at which it changed,
//! so that an answer holds each replica once, however often it changed.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Replica;

/// The replicas that a reader knows, and since which revision.
#[derive(Clone, Debug, Default)]
pub struct PublishedReplicas {
    /// The platform's revision that the list reflects, once one was read.
    at: Option<u64>,
    /// Changes up to this revision can no longer be told apart.
    floor: u64,
    entries: BTreeMap<Arc<str>, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    changed: u64,
    /// `None` once it is listed no more.
    replica: Option<Replica>,
}

/// What has changed after a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicaChanges {
    /// The platform's revision up to which these are all changes.
    pub at: u64,
    /// Whether this is the whole list: a replica that is not in it is gone.
    pub whole: bool,
    /// Replicas that came or changed.
    pub listed: Vec<Replica>,
    /// Incarnations that are listed no more.
    pub gone: Vec<Arc<str>>,
}

impl PublishedReplicas {
    /// The most replicas remembered as gone.
    const MAX_REMOVED: usize = 1_024;

    /// Returns the platform's revision that the list reflects.
    pub const fn revision(&self) -> Option<u64> {
        self.at
    }

    /// Takes in a whole list that reflects a revision.
    pub fn replace(&mut self, listed: Vec<Replica>, at: u64) {
        if self.at.is_none() {
            // Nothing is known of what went before.
            self.floor = at;
        }
        let mut absent = Vec::new();
        for (incarnation, entry) in &self.entries {
            let named = listed.iter().any(|r| r.incarnation == *incarnation);
            if entry.replica.is_some() && !named {
                absent.push(Arc::clone(incarnation));
            }
        }
        for replica in listed {
            self.set(replica, at);
        }
        for incarnation in absent {
            self.remove(incarnation, at);
        }
        self.advance_to(at);
    }

    /// Takes in a replica as it is at a revision.
    pub fn set(&mut self, replica: Replica, at: u64) {
        let known = self.entries.get(&replica.incarnation);
        if known.is_some_and(|e| e.replica.as_ref() == Some(&replica)) {
            return;
        }
        let incarnation = Arc::clone(&replica.incarnation);
        let entry = Entry { changed: at, replica: Some(replica) };
        self.entries.insert(incarnation, entry);
    }

    /// Takes in that a replica is listed no more as of a revision.
    pub fn remove(&mut self, incarnation: Arc<str>, at: u64) {
        let entry = Entry { changed: at, replica: None };
        self.entries.insert(incarnation, entry);
        self.evict_oldest_removal();
    }

    /// Takes in that all changes up to a revision are known.
    pub fn advance_to(&mut self, at: u64) {
        self.at = Some(self.at.map_or(at, |known| known.max(at)));
    }

    /// Returns whether a replica changed after a revision.
    pub fn changed_after(&self, after: u64) -> bool {
        after < self.floor || self.entries.values().any(|e| e.changed > after)
    }

    /// Returns what has changed after a revision, all that is listed without
    /// one, or `None` while nothing has been read.
    pub fn changes_since(&self, after: Option<u64>) -> Option<ReplicaChanges> {
        let at = self.at?;
        let whole = after.is_none_or(|after| after < self.floor);
        let mut changes = ReplicaChanges { at, whole, ..Default::default() };
        for (incarnation, entry) in &self.entries {
            if !whole && after.is_some_and(|after| entry.changed <= after) {
                continue;
            }
            match &entry.replica {
                Some(replica) => changes.listed.push(replica.clone()),
                None if whole => {}
                None => changes.gone.push(Arc::clone(incarnation)),
            }
        }
        Some(changes)
    }

    /// Drops the replicas that went first, once too many are gone.
    fn evict_oldest_removal(&mut self) {
        let gone = self.entries.iter().filter(|(_, e)| e.replica.is_none());
        if gone.clone().count() <= PublishedReplicas::MAX_REMOVED {
            return;
        }
        let oldest = gone.min_by_key(|(_, e)| e.changed);
        let Some((incarnation, entry)) = oldest else { return };
        self.floor = self.floor.max(entry.changed);
        let incarnation = Arc::clone(incarnation);
        self.entries.remove(&incarnation);
    }
}
