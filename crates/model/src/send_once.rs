//! Direct serving: what may be sent again, and what callers are told.
//!
//! An entry sends one request to replicas, one after the other. A request
//! that was sent may arrive at any later time or never, also after the entry
//! has lost the connection; a replica runs it or declines it, and its answer
//! may be lost. What follows after each attempt is decided by
//! [`stairhinge::direct::next_step`].

use stairhinge::direct::{AttemptResult, NextStep, Repeat, next_step};

use crate::Spec;

/// A rule that a mutant leaves out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// Nothing: the protocol as it is.
    Nothing,
    /// Silence is not the replica's word that it did not run the request.
    OwnWord,
    /// An entry remembers that an earlier attempt may have run.
    Memory,
}

impl Without {
    /// All rules.
    pub const RULES: [Without; 2] = [Without::OwnWord, Without::Memory];
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct SendOnce {
    /// The rule left out.
    pub without: Without,
    /// What may be done with the request.
    pub repeat: Repeat,
    /// The most attempts.
    pub attempts: usize,
}

/// Where the request of one attempt is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Place {
    OnItsWay,
    Lost,
    Ran,
    Declined,
}

/// What the caller was told.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Told {
    Answer,
    DidNotRun,
    MayHaveRun,
}

/// A state of the whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    /// The attempts that were sent.
    sent: Vec<Place>,
    /// Attempts made, also those for which no connection came up.
    made: usize,
    /// Whether the entry waits for the answer to the newest one.
    waiting: bool,
    /// What the entry remembers of earlier attempts.
    may_have_run: bool,
    told: Option<Told>,
}

impl SendOnce {
    /// Goes on after an attempt that brought no answer.
    fn after(&self, state: &State, result: AttemptResult) -> State {
        let mut to = state.clone();
        to.waiting = false;
        to.may_have_run |= result == AttemptResult::NoResponse;
        let known = to.may_have_run && self.without != Without::Memory;
        let seen = match (self.without, result) {
            (Without::OwnWord, AttemptResult::NoResponse) => {
                AttemptResult::Declined
            }
            _ => result,
        };
        let may_retry = to.made < self.attempts;
        match next_step(seen, self.repeat, known, may_retry) {
            NextStep::Retry => {}
            NextStep::Refuse => to.told = Some(Told::DidNotRun),
            NextStep::Fail => to.told = Some(Told::MayHaveRun),
        }
        to
    }

    fn send(&self, state: &State, next: &mut Vec<(String, State)>) {
        let idle = !state.waiting && state.told.is_none();
        if !idle || state.made >= self.attempts {
            return;
        }
        let mut to = state.clone();
        to.made += 1;
        let unsent = self.after(&to, AttemptResult::Unsent);
        next.push(("no connection comes up".to_string(), unsent));
        to.sent.push(Place::OnItsWay);
        to.waiting = true;
        next.push((format!("attempt {} is sent", to.made), to));
    }

    fn arrive(state: &State, next: &mut Vec<(String, State)>) {
        for (i, place) in state.sent.iter().enumerate() {
            if *place != Place::OnItsWay {
                continue;
            }
            for (what, place) in [
                ("is lost", Place::Lost),
                ("runs", Place::Ran),
                ("is declined", Place::Declined),
            ] {
                let mut to = state.clone();
                to.sent[i] = place;
                next.push((format!("sending {i} {what}"), to));
            }
        }
    }

    fn hear(&self, state: &State, next: &mut Vec<(String, State)>) {
        if !state.waiting {
            return;
        }
        let silent = self.after(state, AttemptResult::NoResponse);
        next.push(("the connection breaks".to_string(), silent));
        match state.sent.last() {
            Some(Place::Ran) => {
                let mut to = state.clone();
                to.waiting = false;
                to.told = Some(Told::Answer);
                next.push(("its answer arrives".to_string(), to));
            }
            Some(Place::Declined) => {
                let to = self.after(state, AttemptResult::Declined);
                next.push(("its no arrives".to_string(), to));
            }
            _ => {}
        }
    }
}

impl Spec for SendOnce {
    type State = State;

    fn start(&self) -> State {
        State {
            sent: Vec::new(),
            made: 0,
            waiting: false,
            may_have_run: false,
            told: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut next = Vec::new();
        self.send(state, &mut next);
        SendOnce::arrive(state, &mut next);
        self.hear(state, &mut next);
        next
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        let runs = state.sent.iter().filter(|p| **p == Place::Ran).count();
        if runs > 1 && self.repeat == Repeat::Never {
            return Some("a request that must not repeat ran twice");
        }
        if runs > 0 && state.told == Some(Told::DidNotRun) {
            return Some("said not to have run, and ran");
        }
        None
    }
}
