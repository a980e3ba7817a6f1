//! Breadth-first exploration of a specification.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A specification: states, transitions and safety properties.
pub trait Spec {
    /// A state of the modelled system.
    type State: Clone + Debug + Eq + Hash;

    /// Returns the initial state.
    fn start(&self) -> Self::State;

    /// Returns each transition from a state: its name and its successor state.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Returns the property that a state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// A violated property and a shortest trace to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Counterexample {
    /// The violated property.
    pub property: &'static str,
    /// The names of the transitions, in order.
    pub trace: Vec<String>,
}

/// The result of an exploration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Number of states reached.
    pub states: usize,
    /// The first violation found, if any.
    pub counterexample: Option<Counterexample>,
}

/// Explores the reachable states of a specification breadth first.
///
/// Stops at the first state that violates a property, so that the trace to it
/// is a shortest counterexample.
pub fn explore<S: Spec>(spec: &S) -> Outcome {
    let start = spec.start();
    let violating = RefCell::new(None);
    let successors = |state: &S::State| {
        let mut next = Vec::new();
        if spec.violation(state).is_some() {
            return next;
        }
        let mut seen = HashSet::new();
        for (_, to) in spec.steps(state) {
            if seen.insert(to.clone()) {
                next.push(to);
            }
        }
        next
    };
    let mut states = 0;
    for state in bfs_reach(start.clone(), &successors) {
        states += 1;
        if spec.violation(&state).is_some() {
            violating.replace(Some(state));
            break;
        }
    }
    let Some(goal) = violating.into_inner() else {
        return Outcome { states, counterexample: None };
    };
    let path = bfs(&start, &successors, |s| *s == goal).unwrap_or_default();
    let mut trace = Vec::new();
    for pair in path.windows(2) {
        let steps = spec.steps(&pair[0]);
        let taken = steps.into_iter().find(|(_, to)| *to == pair[1]);
        trace.extend(taken.map(|(name, _)| name));
    }
    let property = spec.violation(&goal).unwrap_or_default();
    Outcome {
        states,
        counterexample: Some(Counterexample { property, trace }),
    }
}
