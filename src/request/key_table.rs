//! What a guard knows of the keys that it guards.
//!
//! A key is granted to one holder in its window. The holder then runs the
//! request at any agent; if it certainly did not run the holder gives the key
//! back, and a caller may send it again. A guard that has restarted has
//! forgotten, so it grants nothing until one and a half windows have passed:
//! at most once goes before availability. At 260 restarts a day over 3,400
//! guards and a window of 10 minutes that withholds 0.08 % of keyed requests
//! (260 / 3,400 x 15 min / 1,440 min).

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Key;
use crate::{Code, Error, Ran, Time};

/// A guard's answer to a claim.
#[derive(Clone, Debug)]
pub enum ClaimDecision {
    /// The holder may run the request.
    Granted,
    /// It may not, and where it may later, when.
    Refused(Error, Duration),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Grant {
    holder: String,
    at: Time,
    ran: bool,
}

/// The keys that one guard has granted.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct KeyTable {
    hold: Duration,
    most: usize,
    deaf: Time,
    grants: BTreeMap<Key, Grant>,
    order: VecDeque<(Time, Key)>,
}

impl KeyTable {
    /// Returns how long after its claim a grant may be acted on, for a window.
    pub fn lease_duration(window: Duration) -> Duration {
        window / 2
    }

    /// A grant is remembered for a window after the last moment at which it
    /// may have been acted on, so that two runs of a key are never closer
    /// than a window.
    fn hold(window: Duration) -> Duration {
        window + KeyTable::lease_duration(window)
    }

    /// Returns the table of a guard that started at `start` and has forgotten
    /// what it granted before, with a window and a bound on its size.
    pub fn new(start: Time, window: Duration, most: usize) -> KeyTable {
        let hold = KeyTable::hold(window);
        KeyTable {
            hold,
            most,
            deaf: start.after(hold),
            grants: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Takes over a window from a new configuration.
    ///
    /// A longer one lengthens the wait after a restart as well; a shorter one
    /// never shortens a wait that has begun.
    pub fn set_window(&mut self, start: Time, window: Duration) {
        self.hold = KeyTable::hold(window);
        self.deaf = self.deaf.max(start.after(self.hold));
    }

    /// Grants a key to a holder, unless it was granted to another.
    ///
    /// A holder that asks again for its own key gets it again: its first
    /// question may have been answered into a broken connection.
    pub fn claim(
        &mut self,
        key: &Key,
        holder: &str,
        now: Time,
    ) -> ClaimDecision {
        self.forget(now);
        if let Some(grant) = self.grants.get(key) {
            return self.known(key, grant, holder);
        }
        if now < self.deaf {
            let wait = self.deaf.since(now);
            let err = Error::new(
                Code::GuardForgetful,
                format_args!("guard restarted, key {key}"),
            );
            return ClaimDecision::Refused(err, wait);
        }
        if self.order.len() >= self.most {
            let first = self.order.front().map_or(now, |(at, _)| *at);
            let wait = first.after(self.hold).since(now);
            let err = Error::new(
                Code::GuardFull,
                format_args!("{} keys remembered", self.most),
            );
            return ClaimDecision::Refused(err, wait);
        }
        let grant = Grant { holder: holder.to_string(), at: now, ran: false };
        self.grants.insert(key.clone(), grant);
        self.order.push_back((now, key.clone()));
        ClaimDecision::Granted
    }

    fn known(&self, key: &Key, grant: &Grant, holder: &str) -> ClaimDecision {
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

    /// Takes note of how the holder's request ended. If it did not run the
    /// key is free again.
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

    fn forget(&mut self, now: Time) {
        while let Some((at, _)) = self.order.front() {
            if now.since(*at) < self.hold {
                break;
            }
            let Some((at, key)) = self.order.pop_front() else { break };
            // A key given back and granted anew has a later entry.
            if self.grants.get(&key).is_some_and(|g| g.at == at) {
                self.grants.remove(&key);
            }
        }
    }

    /// Returns how many keys are remembered.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Returns whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}
