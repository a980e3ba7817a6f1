//! The published list of replicas, as one process forwards it to others.
//!
//! A few processes read the platform for their data hall. The others ask one
//! of them for the changes since the revision that they know. Only the newest
//! state of each replica is kept, with the revision at which it changed, so
//! that a response contains each replica once, however often it changed.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::Replica;

/// The replicas known to a reader, each with the revision of its last change.
#[derive(Clone, Debug, Default)]
pub struct PublishedReplicas {
    /// The platform's revision of the list, `None` before the first read.
    revision: Option<u64>,
    /// The oldest revision since which all changes are known.
    oldest: u64,
    /// Revisions of lists that followed one another. A replica that came and
    /// went between two of them is unknown.
    gaps: VecDeque<(u64, u64)>,
    entries: BTreeMap<Arc<str>, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    /// The revision of the last change.
    changed: u64,
    /// `None` if the replica is no longer listed.
    replica: Option<Replica>,
}

/// The changes since a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicaChanges {
    /// The platform's revision up to which the changes are complete.
    pub revision: u64,
    /// Whether `listed` is the complete list, so that a replica that is not
    /// in it no longer exists.
    pub whole: bool,
    /// The added and changed replicas.
    pub listed: Vec<Replica>,
    /// The incarnations that are no longer listed.
    pub gone: Vec<Arc<str>>,
    /// Pairs of revisions, of which the changes between them are known by
    /// their result only.
    pub gaps: Vec<(u64, u64)>,
}

impl PublishedReplicas {
    /// The maximum number of removed replicas that are kept.
    const MAX_REMOVED: usize = 1_024;

    /// The maximum number of gaps that are kept.
    const MAX_GAPS: usize = 16;

    /// Returns the platform's revision of the list, or `None` before the
    /// first read.
    pub const fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Replaces the list with the complete list of a revision.
    pub fn replace(&mut self, listed: Vec<Replica>, revision: u64) {
        match self.revision {
            // Earlier changes are unknown.
            None => self.oldest = revision,
            Some(known) => self.note_gap((known, revision)),
        }
        let mut absent = Vec::new();
        for (incarnation, entry) in &self.entries {
            let found = listed.iter().any(|r| r.incarnation == *incarnation);
            if entry.replica.is_some() && !found {
                absent.push(Arc::clone(incarnation));
            }
        }
        for replica in listed {
            self.set(replica, revision);
        }
        for incarnation in absent {
            self.remove(incarnation, revision);
        }
        self.advance_to(revision);
    }

    /// Adds or updates a replica as of a revision. The platform tells of it
    /// at each heartbeat, mostly with nothing new.
    pub fn set(&mut self, replica: Replica, revision: u64) {
        let known = self.entries.get(&replica.incarnation);
        if known.is_some_and(|e| e.replica.as_ref() == Some(&replica)) {
            return;
        }
        self.update(replica, revision);
    }

    /// Updates a replica that has changed since the revision of the list,
    /// perhaps to what it was before.
    pub fn update(&mut self, replica: Replica, revision: u64) {
        let incarnation = Arc::clone(&replica.incarnation);
        let entry = Entry { changed: revision, replica: Some(replica) };
        self.entries.insert(incarnation, entry);
    }

    /// Removes a replica as of a revision.
    pub fn remove(&mut self, incarnation: Arc<str>, revision: u64) {
        let entry = Entry { changed: revision, replica: None };
        self.entries.insert(incarnation, entry);
        self.evict_oldest_removal();
    }

    /// Records that the changes between two revisions are known by their
    /// result only.
    pub fn note_gap(&mut self, gap: (u64, u64)) {
        if self.gaps.contains(&gap) {
            return;
        }
        self.gaps.push_back(gap);
        if self.gaps.len() > PublishedReplicas::MAX_GAPS
            && let Some((_, to)) = self.gaps.pop_front()
        {
            self.oldest = self.oldest.max(to);
        }
    }

    /// Records that all changes up to a revision are known.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision =
            Some(self.revision.map_or(revision, |known| known.max(revision)));
    }

    /// Returns whether a replica may have changed after a revision.
    pub fn changed_after(&self, after: u64) -> bool {
        self.needs_list(after)
            || self.entries.values().any(|e| e.changed > after)
    }

    /// Returns the changes after a revision, or the complete list if `after`
    /// is `None` or too old.
    ///
    /// Returns `None` before the first read.
    pub fn changes_since(&self, after: Option<u64>) -> Option<ReplicaChanges> {
        let revision = self.revision?;
        let whole = after.is_none_or(|after| self.needs_list(after));
        let mut changes =
            ReplicaChanges { revision, whole, ..Default::default() };
        if !whole {
            let later = |gap: &&(u64, u64)| Some(gap.1) > after;
            changes.gaps = self.gaps.iter().filter(later).copied().collect();
        }
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

    /// Returns whether not all changes after a revision are known.
    fn needs_list(&self, after: u64) -> bool {
        let within = |(from, to): &(u64, u64)| *from < after && after < *to;
        after < self.oldest || self.gaps.iter().any(within)
    }

    /// Drops the oldest removal if there are too many.
    fn evict_oldest_removal(&mut self) {
        let gone = self.entries.iter().filter(|(_, e)| e.replica.is_none());
        if gone.clone().count() <= PublishedReplicas::MAX_REMOVED {
            return;
        }
        let oldest = gone.min_by_key(|(_, e)| e.changed);
        let Some((incarnation, entry)) = oldest else { return };
        self.oldest = self.oldest.max(entry.changed);
        let incarnation = Arc::clone(incarnation);
        self.entries.remove(&incarnation);
    }
}
