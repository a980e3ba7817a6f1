//! Which agent is the guard of an idempotency key.
//!
//! The guard of a key is the one agent that may grant it. Guards are selected
//! from the declared backend servers, not from the instance list: the list
//! lags by a different time in each data hall, and two guards of one key would
//! each grant it. When the declaration adds or removes one of N backend
//! servers, 1 in N keys moves to another guard. The new guard asks the former
//! one first, for as long as that one may still grant under the older
//! declaration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::Key;
use crate::declaration::Fleet;
use crate::{Time, rank};

/// The guards of one declaration. Rendezvous hashing selects the guard of a
/// key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GuardSet {
    revision: u64,
    members: Arc<[Arc<str>]>,
}

impl GuardSet {
    /// Returns the guards of a declaration.
    pub fn from_fleet(fleet: &Fleet) -> GuardSet {
        let names = fleet.backends().iter().map(|b| Arc::clone(b.name()));
        GuardSet::new(fleet.revision(), names.collect())
    }

    /// Returns the set of the named guards, valid from `revision` on.
    pub fn new(revision: u64, members: Vec<Arc<str>>) -> GuardSet {
        GuardSet { revision, members: members.into() }
    }

    /// Returns the guard of a key, or `None` if no backend server is declared.
    pub fn guard(&self, key: &Key) -> Option<Arc<str>> {
        rank::first(key.as_str().as_bytes(), self.members.iter())
    }

    fn contains(&self, name: &str) -> bool {
        self.members.iter().any(|m| **m == *name)
    }
}

/// A guard set that has been replaced.
#[derive(Clone, Debug)]
struct FormerSet {
    guards: GuardSet,
    replaced_by: u64,
    replaced_at: Time,
}

/// The current guard set, and former ones whose grants may still be valid.
#[derive(Clone, Debug, Default)]
pub struct GuardHistory {
    current: Option<GuardSet>,
    former: Vec<FormerSet>,
    reported: HashMap<Arc<str>, (u64, Time)>,
}

impl GuardHistory {
    /// The number of former guard sets kept; the oldest is dropped first.
    pub const MAX_FORMER: usize = 8;

    /// Returns a history without any guard set.
    pub fn new() -> GuardHistory {
        GuardHistory::default()
    }

    /// Replaces the current guard set by that of a new declaration.
    pub fn adopt(&mut self, guards: GuardSet, now: Time) {
        if let Some(old) = self.current.take()
            && old.members != guards.members
        {
            let replaced_by = guards.revision;
            self.former.push(FormerSet {
                guards: old,
                replaced_by,
                replaced_at: now,
            });
            if self.former.len() > GuardHistory::MAX_FORMER {
                self.former.remove(0);
            }
        }
        self.current = Some(guards);
    }

    /// Records that a process reported a revision of the declaration.
    pub fn record_revision(
        &mut self,
        name: &Arc<str>,
        revision: u64,
        now: Time,
    ) {
        let known =
            self.reported.get(name).is_some_and(|(r, _)| *r >= revision);
        if !known {
            self.reported.insert(Arc::clone(name), (revision, now));
        }
    }

    /// Returns the guard of a key in the current guard set.
    pub fn guard(&self, key: &Key) -> Option<Arc<str>> {
        self.current.as_ref()?.guard(key)
    }

    /// Returns the former guards of a key that guard `me` must ask before it
    /// grants the key.
    ///
    /// A former guard that is still declared is asked until one window has
    /// passed since it reported the revision that replaced its guard set,
    /// because it may have granted the key itself until then. A former guard
    /// that is no longer declared is taken to be gone, as the declaration
    /// says, and is returned for one window after the change.
    pub fn former_guards(
        &self,
        key: &Key,
        me: &str,
        window: Duration,
        now: Time,
    ) -> Vec<Arc<str>> {
        let mut names = Vec::new();
        for former in &self.former {
            let Some(guard) = former.guards.guard(key) else { continue };
            if *guard == *me || names.contains(&guard) {
                continue;
            }
            let current = self.current.as_ref();
            let window_start = if current.is_some_and(|c| c.contains(&guard)) {
                let reported = self.reported.get(&guard);
                reported
                    .filter(|(r, _)| *r >= former.replaced_by)
                    .map(|(_, at)| *at)
            } else {
                Some(former.replaced_at)
            };
            let window_over =
                window_start.is_some_and(|at| now.since(at) >= window);
            if !window_over {
                names.push(guard);
            }
        }
        names
    }
}
