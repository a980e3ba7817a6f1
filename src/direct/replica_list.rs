//! The platform's list of replicas, and which of its entries are in use.
//!
//! An address can be listed more than once: a crashed run stays in the list
//! until its heartbeats time out, and other writers add entries of their own.
//! All entries are kept for as long as they are listed. Which of them are in
//! use is derived from the list and the known services, so that a replica
//! returns as soon as nothing replaces it any more.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Replica;

/// Whether the list of replicas still confirms a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It is in the list.
    Listed,
    /// It disappeared from the list while the platform was failing, possibly
    /// only because of that failure. The platform had answered for this long
    /// in all by then, as in [`Absence::Doubtful`](super::Absence::Doubtful).
    Doubtful(Duration),
}

impl Standing {
    /// Returns whether the list confirms the replica.
    pub const fn is_listed(self) -> bool {
        matches!(self, Standing::Listed)
    }
}

/// Replicas by incarnation, with their standing.
pub type Replicas = HashMap<Arc<str>, (Arc<Replica>, Standing)>;

/// The replicas of the platform's list and those that disappeared from it in
/// doubt.
#[derive(Clone, Debug, Default)]
pub struct ReplicaList {
    entries: Replicas,
}

impl ReplicaList {
    /// Returns an entry of the list, in use or not.
    pub fn get(&self, incarnation: &str) -> Option<&(Arc<Replica>, Standing)> {
        self.entries.get(incarnation)
    }

    /// Returns all incarnations that have an entry.
    pub fn incarnations(&self) -> impl Iterator<Item = &Arc<str>> {
        self.entries.keys()
    }

    /// Returns whether an entry would change the list, which it would not if
    /// one of a later process is known.
    pub fn accepts(&self, replica: &Replica) -> bool {
        let Some((known, standing)) = self.entries.get(&replica.incarnation)
        else {
            return true;
        };
        let unchanged = **known == *replica && standing.is_listed();
        !unchanged && !replica.is_older_than(known)
    }

    /// Adds or updates an entry, unless the list does not accept it. Returns
    /// whether the list has changed.
    pub fn set(&mut self, replica: Arc<Replica>) -> bool {
        let accepted = self.accepts(&replica);
        if accepted {
            let incarnation = Arc::clone(&replica.incarnation);
            self.entries.insert(incarnation, (replica, Standing::Listed));
        }
        accepted
    }

    /// Removes an entry. Returns whether there was one.
    pub fn remove(&mut self, incarnation: &str) -> bool {
        self.entries.remove(incarnation).is_some()
    }

    /// Keeps an entry that is missing as doubtful from then on, unless it is
    /// already. Returns whether it was listed before.
    pub fn doubt(&mut self, incarnation: &str, since: Duration) -> bool {
        let Some((_, standing)) = self.entries.get_mut(incarnation) else {
            return false;
        };
        let was_listed = standing.is_listed();
        if was_listed {
            *standing = Standing::Doubtful(since);
        }
        was_listed
    }

    /// Returns the incarnations of the entries that have been doubtful since
    /// then or before.
    pub fn doubtful(&self, until: Duration) -> Vec<Arc<str>> {
        let mut doubtful = Vec::new();
        for (incarnation, (_, standing)) in &self.entries {
            if matches!(standing, Standing::Doubtful(at) if *at <= until) {
                doubtful.push(Arc::clone(incarnation));
            }
        }
        doubtful
    }

    /// Returns the replicas in use: all but those whose address a later entry
    /// has taken over. `knows_service` tells whether a service is configured.
    ///
    /// An entry of an unknown service takes nothing over, since a replica did
    /// not necessarily write it; nor does a doubtful one from a listed one,
    /// which is the only one that the list still confirms.
    pub fn in_use(&self, knows_service: impl Fn(&str) -> bool) -> Replicas {
        let mut at: HashMap<SocketAddr, Vec<_>> = HashMap::new();
        for entry in self.entries.values() {
            at.entry(entry.0.addr).or_default().push(entry);
        }
        let mut in_use = self.entries.clone();
        for entries in at.into_values().filter(|entries| entries.len() > 1) {
            for (old, standing) in &entries {
                let taken_over = entries.iter().any(|(new, other)| {
                    old.is_replaced_by(new)
                        && knows_service(&new.service)
                        && (other.is_listed() || !standing.is_listed())
                });
                if taken_over {
                    in_use.remove(&old.incarnation);
                }
            }
        }
        in_use
    }
}
