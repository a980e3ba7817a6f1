//! The idempotency keys that a guard has granted.
//!
//! A key is granted to one holder within its window. The holder then runs the
//! request at any agent. If the request certainly did not run, the holder
//! returns the key, and a caller may send the request again.
//!
//! A restarted guard has lost its table, so it grants nothing until one and a
//! half windows have passed: running a request at most once takes precedence
//! over availability. With 260 restarts a day over 3,400 guards and a window
//! of 10 minutes, 0.08 % of the requests with a key are refused for this
//! reason (260 / 3,400 x 15 min / 1,440 min).

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Key;
use crate::{Code, Error, Ran, Time};

/// A guard's decision on a claim.
#[derive(Clone, Debug)]
pub enum ClaimDecision {
    /// The holder may run the request.
    Granted,
    /// The holder may not run the request. The duration is the time after
    /// which a claim may succeed, or zero if a later claim would not help.
    Refused(Error, Duration),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Grant {
    holder: String,
    granted_at: Time,
    ran: bool,
}

/// The keys that one guard has granted, with a bound on their number.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct KeyTable {
    retention: Duration,
    capacity: usize,
    grants_from: Time,
    grants: BTreeMap<Key, Grant>,
    expiry_queue: VecDeque<(Time, Key)>,
}

impl KeyTable {
    /// Returns how long after its claim a granted request may be started, for
    /// the given window.
    pub fn lease_duration(window: Duration) -> Duration {
        window / 2
    }

    /// Returns how long a grant is kept. It is kept for one window after the
    /// latest time at which the request may have been started, so that two
    /// runs with the same key are at least one window apart.
    fn retention(window: Duration) -> Duration {
        window + KeyTable::lease_duration(window)
    }

    /// Returns the empty table of a guard that started at `start`, for the
    /// given window and at most `capacity` keys. It grants nothing until every
    /// grant from before the start has expired.
    pub fn new(start: Time, window: Duration, capacity: usize) -> KeyTable {
        let retention = KeyTable::retention(window);
        KeyTable {
            retention,
            capacity,
            grants_from: start.after(retention),
            grants: BTreeMap::new(),
            expiry_queue: VecDeque::new(),
        }
    }

    /// Sets the window of a new configuration.
    ///
    /// A longer window also lengthens the wait after a restart; a shorter one
    /// does not shorten a wait that has begun.
    pub fn set_window(&mut self, start: Time, window: Duration) {
        self.retention = KeyTable::retention(window);
        self.grants_from = self.grants_from.max(start.after(self.retention));
    }

    /// Grants a key to a holder, unless it is granted to another.
    ///
    /// A holder that claims its own key again is granted it again, since the
    /// answer to its first claim may have been lost with the connection.
    pub fn claim(
        &mut self,
        key: &Key,
        holder: &str,
        now: Time,
    ) -> ClaimDecision {
        self.remove_expired(now);
        if let Some(grant) = self.grants.get(key) {
            return self.claim_granted(key, grant, holder);
        }
        if now < self.grants_from {
            let wait = self.grants_from.since(now);
            let err = Error::new(
                Code::GuardForgetful,
                format_args!(
                    "the guard of key {key} restarted and grants nothing yet"
                ),
            );
            return ClaimDecision::Refused(err, wait);
        }
        if self.expiry_queue.len() >= self.capacity {
            let first = self.expiry_queue.front().map_or(now, |(at, _)| *at);
            let wait = first.after(self.retention).since(now);
            let err = Error::new(
                Code::GuardFull,
                format_args!(
                    "the key table is full, limit: {}",
                    self.capacity
                ),
            );
            return ClaimDecision::Refused(err, wait);
        }
        let grant =
            Grant { holder: holder.to_string(), granted_at: now, ran: false };
        self.grants.insert(key.clone(), grant);
        self.expiry_queue.push_back((now, key.clone()));
        ClaimDecision::Granted
    }

    fn claim_granted(
        &self,
        key: &Key,
        grant: &Grant,
        holder: &str,
    ) -> ClaimDecision {
        if grant.holder == holder && !grant.ran {
            return ClaimDecision::Granted;
        }
        let code = if grant.ran {
            Code::DuplicateRan
        } else {
            Code::DuplicateRunning
        };
        let err = Error::new(code, format_args!("key {key}"));
        ClaimDecision::Refused(err, Duration::ZERO)
    }

    /// Records how the holder's request ended. If it did not run, the key can
    /// be granted again.
    pub fn settle(&mut self, key: &Key, holder: &str, ran: Ran) {
        let Some(grant) = self.grants.get_mut(key) else { return };
        if grant.holder != holder {
            return;
        }
        match ran {
            Ran::DidNotRun if !grant.ran => {
                self.grants.remove(key);
            }
            Ran::DidNotRun | Ran::MayHaveRun => {}
            Ran::Ran => grant.ran = true,
        }
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some((at, _)) = self.expiry_queue.front() {
            if now.since(*at) < self.retention {
                break;
            }
            let Some((at, key)) = self.expiry_queue.pop_front() else { break };
            // A key that was returned and granted again has a later entry.
            if self.grants.get(&key).is_some_and(|g| g.granted_at == at) {
                self.grants.remove(&key);
            }
        }
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}
