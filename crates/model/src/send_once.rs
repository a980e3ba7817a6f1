//! Direct serving: which requests are retried, and what callers are told.
//!
//! An entry sends one request to replicas sequentially. A sent request may
//! arrive after any delay or never, even after the entry has lost the
//! connection; a replica runs or declines it, and its answer may be lost.
//! [`stairhinge::direct::next_step`] decides what follows each attempt.

use stairhinge::direct::{AttemptResult, NextStep, Repeat, next_step};

use crate::Spec;

/// A protocol rule that a mutant omits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// No rule: the unmodified protocol.
    Nothing,
    /// A missing response doesn't prove that the replica didn't run a request.
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
    /// The omitted rule.
    pub without: Without,
    /// Whether the request may be repeated.
    pub repeat: Repeat,
    /// The most attempts.
    pub attempts: usize,
}

/// Delivery state of one attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Delivery {
    InTransit,
    Lost,
    Ran,
    Declined,
}

/// What the caller was told.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum CallerOutcome {
    Answer,
    DidNotRun,
    MayHaveRun,
}

/// A state of the modelled system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    /// Delivery states of the attempts that were sent.
    sent: Vec<Delivery>,
    /// Number of attempts, including those that failed to connect.
    attempts_made: usize,
    /// Whether the entry awaits the answer to the latest attempt.
    waiting: bool,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    outcome: Option<CallerOutcome>,
}

impl SendOnce {
    /// Returns the state after an attempt that got no answer.
    fn after_failure(&self, state: &State, result: AttemptResult) -> State {
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
        let may_retry = to.attempts_made < self.attempts;
        match next_step(seen, self.repeat, known, may_retry) {
            NextStep::Retry => {}
            NextStep::Refuse => to.outcome = Some(CallerOutcome::DidNotRun),
            NextStep::Fail => to.outcome = Some(CallerOutcome::MayHaveRun),
        }
        to
    }

    fn send(&self, state: &State, next: &mut Vec<(String, State)>) {
        let idle = !state.waiting && state.outcome.is_none();
        if !idle || state.attempts_made >= self.attempts {
            return;
        }
        let mut to = state.clone();
        to.attempts_made += 1;
        let unsent = self.after_failure(&to, AttemptResult::Unsent);
        next.push(("the connection attempt fails".to_string(), unsent));
        to.sent.push(Delivery::InTransit);
        to.waiting = true;
        next.push((format!("attempt {} is sent", to.attempts_made), to));
    }

    fn deliver(state: &State, next: &mut Vec<(String, State)>) {
        for (i, delivery) in state.sent.iter().enumerate() {
            if *delivery != Delivery::InTransit {
                continue;
            }
            for (what, delivery) in [
                ("is lost", Delivery::Lost),
                ("runs", Delivery::Ran),
                ("is declined", Delivery::Declined),
            ] {
                let mut to = state.clone();
                to.sent[i] = delivery;
                next.push((format!("sent request {i} {what}"), to));
            }
        }
    }

    fn receive(&self, state: &State, next: &mut Vec<(String, State)>) {
        if !state.waiting {
            return;
        }
        let silent = self.after_failure(state, AttemptResult::NoResponse);
        next.push(("the connection breaks".to_string(), silent));
        match state.sent.last() {
            Some(Delivery::Ran) => {
                let mut to = state.clone();
                to.waiting = false;
                to.outcome = Some(CallerOutcome::Answer);
                next.push(("its answer arrives".to_string(), to));
            }
            Some(Delivery::Declined) => {
                let to = self.after_failure(state, AttemptResult::Declined);
                next.push(("its refusal arrives".to_string(), to));
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
            attempts_made: 0,
            waiting: false,
            may_have_run: false,
            outcome: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut next = Vec::new();
        self.send(state, &mut next);
        SendOnce::deliver(state, &mut next);
        self.receive(state, &mut next);
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let runs = state.sent.iter().filter(|p| **p == Delivery::Ran).count();
        if runs > 1 && self.repeat == Repeat::Never {
            return Some("a request that must not repeat ran twice");
        }
        if runs > 0 && state.outcome == Some(CallerOutcome::DidNotRun) {
            return Some("said not to have run, and ran");
        }
        None
    }
}
