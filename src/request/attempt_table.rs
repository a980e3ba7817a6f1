//! What an agent knows of the attempts sent to it.
//!
//! An entry that loses an agent in the middle of an attempt asks it to revoke
//! the attempt. The table answers from memory, and memory ends with the
//! process; so each attempt names the incarnation of the agent that it was
//! meant for, and only that incarnation may say "did not run".

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

/// The attempts of one incarnation of an agent.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AttemptTable {
    incarnation: u64,
    keep: Duration,
    most: usize,
    states: BTreeMap<Attempt, State>,
    ended: VecDeque<(Time, Attempt)>,
}

impl AttemptTable {
    /// Returns an empty table of an incarnation, which remembers an attempt
    /// for `keep` after its end and at most `most` attempts at a time.
    pub fn new(incarnation: u64, keep: Duration, most: usize) -> AttemptTable {
        AttemptTable {
            incarnation,
            keep,
            most,
            states: BTreeMap::new(),
            ended: VecDeque::new(),
        }
    }

    /// Admits an attempt, which from then on may have run.
    ///
    /// # Errors
    ///
    /// All of them mean that it did not run: [`Code::Behind`] if it was meant
    /// for another incarnation, [`Code::Revoked`] if it was revoked or is
    /// known already, [`Code::GuardFull`] if the table is full.
    pub fn admit(
        &mut self,
        attempt: &Attempt,
        incarnation: u64,
        now: Time,
    ) -> Result<(), Error> {
        self.forget(now);
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
                format_args!("attempt {attempt} is known already"),
            ));
        }
        if self.states.len() >= self.most {
            return Err(Error::new(
                Code::GuardFull,
                format_args!("{} attempts remembered", self.most),
            ));
        }
        self.states.insert(attempt.clone(), State::Running);
        Ok(())
    }

    /// Takes note that an admitted attempt came to its end, and whether it
    /// ran. One that did not run becomes as one revoked.
    pub fn end(&mut self, attempt: &Attempt, ran: Ran, now: Time) {
        let state = match ran {
            Ran::DidNotRun => State::Revoked,
            Ran::MayHaveRun | Ran::Ran => State::Ran,
        };
        self.states.insert(attempt.clone(), state);
        self.ended.push_back((now, attempt.clone()));
    }

    /// Revokes an attempt meant for `incarnation`; if it has not been
    /// admitted it never will be.
    pub fn revoke(
        &mut self,
        attempt: &Attempt,
        incarnation: u64,
        now: Time,
    ) -> Ran {
        self.forget(now);
        if incarnation != self.incarnation {
            return Ran::MayHaveRun;
        }
        match self.states.get(attempt) {
            Some(State::Running) => Ran::MayHaveRun,
            Some(State::Ran) => Ran::Ran,
            Some(State::Revoked) => Ran::DidNotRun,
            None if self.states.len() >= self.most => Ran::MayHaveRun,
            None => {
                self.end(attempt, Ran::DidNotRun, now);
                Ran::DidNotRun
            }
        }
    }

    fn forget(&mut self, now: Time) {
        while let Some((at, _)) = self.ended.front() {
            if now.since(*at) < self.keep {
                break;
            }
            if let Some((_, attempt)) = self.ended.pop_front() {
                self.states.remove(&attempt);
            }
        }
    }

    /// Returns how many attempts are remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
