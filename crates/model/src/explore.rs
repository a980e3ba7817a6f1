//! Breadth-first exploration of a specification.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A specification: states, steps between them, and what must hold.
pub trait Spec {
    /// A state of the whole system.
    type State: Clone + Debug + Eq + Hash;

    /// Returns the first state.
    fn start(&self) -> Self::State;

    /// Returns each step from a state: its name and the state after it.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Returns which property a state breaks, if any.
    fn broken(&self, state: &Self::State) -> Option<&'static str>;
}

/// A property that fails, and the shortest way there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The property.
    pub property: &'static str,
    /// The names of the steps, first to last.
    pub trace: Vec<String>,
}

/// What an exploration came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// States reached.
    pub states: usize,
    /// The first failure, if any.
    pub finding: Option<Finding>,
}

/// Explores all states of a specification.
///
/// States beyond one that breaks a property are not explored: that one is
/// the shortest counterexample.
pub fn explore<S: Spec>(spec: &S) -> Outcome {
    let start = spec.start();
    let broken = RefCell::new(None);
    let after = |state: &S::State| {
        let mut next = Vec::new();
        if spec.broken(state).is_some() {
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
    for state in bfs_reach(start.clone(), &after) {
        states += 1;
        if spec.broken(&state).is_some() {
            broken.replace(Some(state));
            break;
        }
    }
    let Some(goal) = broken.into_inner() else {
        return Outcome { states, finding: None };
    };
    let path = bfs(&start, &after, |s| *s == goal).unwrap_or_default();
    let mut trace = Vec::new();
    for pair in path.windows(2) {
        let steps = spec.steps(&pair[0]);
        let taken = steps.into_iter().find(|(_, to)| *to == pair[1]);
        trace.extend(taken.map(|(name, _)| name));
    }
    let property = spec.broken(&goal).unwrap_or_default();
    Outcome { states, finding: Some(Finding { property, trace }) }
}
