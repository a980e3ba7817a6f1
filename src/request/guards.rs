//! Which backend server's agent guards a key.
//!
//! The guards are the declared backend servers, and not the listed instances:
//! a list lags differently in each hall, and two guards for one key would
//! each grant it. When the declaration changes, 1 in N keys gets another
//! guard; the new one asks the old one first, for as long as that one may
//! still grant under the old declaration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::Key;
use crate::declaration::Fleet;
use crate::{Time, rank};

/// The guards under one declaration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GuardSet {
    revision: u64,
    members: Arc<[Arc<str>]>,
}

impl GuardSet {
    /// Returns the ring of a declaration.
    pub fn from_fleet(fleet: &Fleet) -> GuardSet {
        let names = fleet.backends().iter().map(|b| Arc::clone(b.name()));
        GuardSet::new(fleet.revision(), names.collect())
    }

    /// Returns a ring of named guards, in force from a revision on.
    pub fn new(revision: u64, members: Vec<Arc<str>>) -> GuardSet {
        GuardSet { revision, members: members.into() }
    }

    /// Returns the guard of a key; none if no backend server is declared.
    pub fn guard(&self, key: &Key) -> Option<Arc<str>> {
        rank::first(key.as_str().as_bytes(), self.members.iter())
    }

    fn has(&self, name: &str) -> bool {
        self.members.iter().any(|m| **m == *name)
    }
}

#[derive(Clone, Debug)]
struct Former {
    ring: GuardSet,
    until: u64,
    since: Time,
}

/// The ring in force and those before it that may still matter.
#[derive(Clone, Debug, Default)]
pub struct GuardHistory {
    current: Option<GuardSet>,
    former: Vec<Former>,
    heard: HashMap<Arc<str>, (u64, Time)>,
}

impl GuardHistory {
    /// The most earlier rings that are remembered; the oldest goes first.
    pub const MAX_FORMER: usize = 8;

    /// Returns one without any ring.
    pub fn new() -> GuardHistory {
        GuardHistory::default()
    }

    /// Takes the ring of a new declaration.
    pub fn adopt(&mut self, ring: GuardSet, now: Time) {
        if let Some(old) = self.current.take()
            && old.members != ring.members
        {
            let until = ring.revision;
            self.former.push(Former { ring: old, until, since: now });
            if self.former.len() > GuardHistory::MAX_FORMER {
                self.former.remove(0);
            }
        }
        self.current = Some(ring);
    }

    /// Takes note that a process was heard at a revision of the declaration.
    pub fn record_revision(
        &mut self,
        name: &Arc<str>,
        revision: u64,
        now: Time,
    ) {
        let known = self.heard.get(name).is_some_and(|(r, _)| *r >= revision);
        if !known {
            self.heard.insert(Arc::clone(name), (revision, now));
        }
    }

    /// Returns the guard of a key under the ring in force.
    pub fn guard(&self, key: &Key) -> Option<Arc<str>> {
        self.current.as_ref()?.guard(key)
    }

    /// Returns the earlier guards of a key that `me` must ask before it
    /// grants.
    ///
    /// A guard that is still declared is asked until a window has passed
    /// since it was heard under the later ring: until then it may have
    /// granted the key itself. One that is no longer declared is taken to be
    /// gone, as its operator says, and is waited for during one window.
    pub fn former_guards(
        &self,
        key: &Key,
        me: &str,
        window: Duration,
        now: Time,
    ) -> Vec<Arc<str>> {
        let mut names = Vec::new();
        for former in &self.former {
            let Some(guard) = former.ring.guard(key) else { continue };
            if *guard == *me || names.contains(&guard) {
                continue;
            }
            let current = self.current.as_ref();
            let from = if current.is_some_and(|c| c.has(&guard)) {
                let heard = self.heard.get(&guard);
                heard.filter(|(r, _)| *r >= former.until).map(|(_, at)| *at)
            } else {
                Some(former.since)
            };
            let over = from.is_some_and(|at| now.since(at) >= window);
            if !over {
                names.push(guard);
            }
        }
        names
    }
}
