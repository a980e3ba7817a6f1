//! Recent exits of replicas, with the requests that ran on them.
//!
//! A replica that exits under a request says little about the request if
//! others that did not run it exit at the same time, as when a rack loses
//! power. [`RecentExits::coincided`] tells these cases apart.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::{Fingerprint, PoisonRecord};
use crate::Time;

/// The exit of a replica's process.
#[derive(Clone, Debug)]
struct Exit {
    /// The replica's name as in records.
    replica: Arc<str>,
    /// The last time at which the process may have been running.
    after: Time,
    /// The time by which it had exited.
    by: Time,
    /// The requests that are known to have run on it.
    requests: BTreeSet<Fingerprint>,
    /// Whether it is known to have run no request.
    idle: bool,
}

impl Exit {
    /// Returns whether the process may have exited at about this time.
    fn is_near(&self, after: Time, by: Time) -> bool {
        let span = RecentExits::SPAN;
        self.after <= by.after(span) && after <= self.by.after(span)
    }
}

/// The exits that were recorded in the last seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentExits {
    exits: Vec<Exit>,
}

impl RecentExits {
    /// How far apart two exits may be to have the same cause. Entries learn
    /// of a broken connection within a few milliseconds.
    pub const SPAN: Duration = Duration::from_millis(50);

    /// How long an exit is remembered.
    pub const RETENTION: Duration = Duration::from_secs(10);

    /// The maximum number of exits; further ones are ignored.
    const MAX_EXITS: usize = 128;

    /// The maximum number of requests remembered of one replica.
    const MAX_REQUESTS: usize = 256;

    /// Records that a replica exited at `at` while it ran a request.
    pub fn record_run(
        &mut self,
        replica: &Arc<str>,
        request: Fingerprint,
        at: Time,
    ) {
        let Some(exit) = self.entry(replica, at, at) else { return };
        if exit.requests.len() < RecentExits::MAX_REQUESTS {
            exit.requests.insert(request);
        }
    }

    /// Records that a request ran on a replica whose exit is known.
    pub fn add_run(&mut self, replica: &str, request: Fingerprint) {
        for exit in &mut self.exits {
            if *exit.replica == *replica
                && exit.requests.len() < RecentExits::MAX_REQUESTS
            {
                exit.requests.insert(request);
            }
        }
    }

    /// Records that a replica exited between `after` and `by`; `idle` tells
    /// whether it ran no request.
    pub fn record(
        &mut self,
        replica: &Arc<str>,
        after: Time,
        by: Time,
        idle: bool,
    ) {
        if let Some(exit) = self.entry(replica, after, by) {
            exit.idle |= idle;
        }
    }

    /// Returns the exit of a replica in a time span, which is added if it is
    /// not known. Returns `None` if there are too many.
    fn entry(
        &mut self,
        replica: &Arc<str>,
        after: Time,
        by: Time,
    ) -> Option<&mut Exit> {
        let replica = PoisonRecord::truncated_name(replica);
        let known = self
            .exits
            .iter()
            .position(|e| e.replica == replica && e.is_near(after, by));
        if let Some(index) = known {
            return self.exits.get_mut(index);
        }
        if self.exits.len() >= RecentExits::MAX_EXITS {
            return None;
        }
        self.exits.push(Exit {
            replica,
            after,
            by,
            requests: BTreeSet::new(),
            idle: false,
        });
        self.exits.last_mut()
    }

    /// Returns whether the exit of a replica at `at` under a request coincided
    /// with exits that the request cannot have caused: of a replica that ran
    /// nothing, or of several replicas that did not run it and have no other
    /// request in common. A request that all of them ran may have crashed them,
    /// and then there is no common cause.
    ///
    /// `replica` is the name of the replica in records, and `ran_on` tells
    /// what else is known of replicas that ran the request.
    pub fn coincided(
        &self,
        request: Fingerprint,
        replica: &str,
        at: Time,
        ran_on: impl Fn(&str) -> bool,
    ) -> bool {
        let mut others = Vec::new();
        for exit in &self.exits {
            if *exit.replica == *replica || !exit.is_near(at, at) {
                continue;
            }
            if exit.requests.contains(&request) || ran_on(&exit.replica) {
                continue;
            }
            if exit.idle && exit.requests.is_empty() {
                return true;
            }
            others.push(exit);
        }
        let [first, rest @ ..] = &others[..] else { return false };
        let ran_on_all = |r| rest.iter().all(|e| e.requests.contains(r));
        !rest.is_empty() && !first.requests.iter().any(ran_on_all)
    }

    /// Returns whether a replica that ran nothing exited at about this time.
    pub fn idle_near(&self, at: Time) -> bool {
        let mut near = self.exits.iter().filter(|e| e.is_near(at, at));
        near.any(|exit| exit.idle && exit.requests.is_empty())
    }

    /// Removes exits that are too old to matter.
    pub fn sweep(&mut self, now: Time) {
        self.exits.retain(|e| now.since(e.by) < RecentExits::RETENTION);
    }

    /// Returns the names of the replicas that exited at about this time.
    pub fn names_near(&self, at: Time) -> Vec<Arc<str>> {
        let near = self.exits.iter().filter(|e| e.is_near(at, at));
        near.map(|e| Arc::clone(&e.replica)).collect()
    }
}
