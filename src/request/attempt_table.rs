//! The attempts that an agent has received.
//!
//! An entry that loses contact with an agent during an attempt asks the agent
//! to revoke the attempt. The answer comes from the table in the agent's
//! memory, which is lost when the process ends. Each attempt therefore names
//! the agent incarnation that it was sent to, and only that incarnation may
//! answer "did not run".

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Attempt;
use crate::{Code, Error, Ran, Time};

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum State {
    Running,
    Ran,
    Revoked,
}

/// The attempts received by one incarnation of an agent.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AttemptTable {
    incarnation: u64,
    retention: Duration,
    capacity: usize,
    states: BTreeMap<Attempt, State>,
    ended: VecDeque<(Time, Attempt)>,
}

impl AttemptTable {
    /// Returns the empty table of an incarnation. It keeps an attempt for
    /// `retention` after its end, and at most `capacity` attempts at a time.
    pub fn new(
        incarnation: u64,
        retention: Duration,
        capacity: usize,
    ) -> AttemptTable {
        AttemptTable {
            incarnation,
            retention,
            capacity,
            states: BTreeMap::new(),
            ended: VecDeque::new(),
        }
    }

    /// Admits an attempt. From then on it counts as possibly run.
    ///
    /// # Errors
    ///
    /// [`Code::Behind`] if the attempt was sent to another incarnation,
    /// [`Code::Revoked`] if it was revoked or has been received before,
    /// [`Code::GuardFull`] if the table is full. In each case it did not run.
    pub fn admit(
        &mut self,
        attempt: &Attempt,
        incarnation: u64,
        now: Time,
    ) -> Result<(), Error> {
        self.remove_expired(now);
        if incarnation != self.incarnation {
            return Err(Error::new(
                Code::Behind,
                format_args!(
                    "attempt for incarnation {incarnation}, this is {}",
                    self.incarnation
                ),
            ));
        }
        if self.states.contains_key(attempt) {
            return Err(Error::new(
                Code::Revoked,
                format_args!(
                    "attempt {attempt} was revoked or received before"
                ),
            ));
        }
        if self.states.len() >= self.capacity {
            return Err(Error::new(
                Code::GuardFull,
                format_args!(
                    "the attempt table is full, limit: {}",
                    self.capacity
                ),
            ));
        }
        self.states.insert(attempt.clone(), State::Running);
        Ok(())
    }

    /// Records that an attempt ended, and whether it ran. An attempt that did
    /// not run is treated as revoked.
    pub fn end(&mut self, attempt: &Attempt, ran: Ran, now: Time) {
        let state = match ran {
            Ran::DidNotRun => State::Revoked,
            Ran::MayHaveRun | Ran::Ran => State::Ran,
        };
        self.states.insert(attempt.clone(), state);
        self.ended.push_back((now, attempt.clone()));
    }

    /// Revokes an attempt that was sent to `incarnation`, and returns whether
    /// it ran.
    ///
    /// An attempt that has not been admitted is recorded as revoked, so that
    /// it never will be. If the table is too full to record it, the answer is
    /// [`Ran::MayHaveRun`].
    pub fn revoke(
        &mut self,
        attempt: &Attempt,
        incarnation: u64,
        now: Time,
    ) -> Ran {
        self.remove_expired(now);
        if incarnation != self.incarnation {
            return Ran::MayHaveRun;
        }
        match self.states.get(attempt) {
            Some(State::Running) => Ran::MayHaveRun,
            Some(State::Ran) => Ran::Ran,
            Some(State::Revoked) => Ran::DidNotRun,
            None if self.states.len() >= self.capacity => Ran::MayHaveRun,
            None => {
                self.end(attempt, Ran::DidNotRun, now);
                Ran::DidNotRun
            }
        }
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some((at, _)) = self.ended.front() {
            if now.since(*at) < self.retention {
                break;
            }
            if let Some((_, attempt)) = self.ended.pop_front() {
                self.states.remove(&attempt);
            }
        }
    }

    /// Returns the number of attempts in the table.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
