//! The schedule by which replicas switch to new weights.
//!
//! Before a replica loads new weights it drains: it finishes its running
//! requests and accepts no new ones. The replicas of a hall therefore switch
//! in turns, and those of the first turn drain while the chunks are still
//! being fetched. Turns are not assigned centrally: each agent derives its
//! own from the rank of its replica among all replicas for this version. The
//! turns are spread over the time left until the bound.

use std::sync::Arc;

use crate::{Time, rank};

/// A replica's turn in the rollout of a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RolloutTurn {
    turn: usize,
    turns: usize,
}

impl RolloutTurn {
    /// The maximum number of turns that the replicas of a hall are split
    /// into.
    const MAX_TURNS: usize = 8;

    /// Returns the turn of `me` among `members`, the replicas of its hall
    /// that have to switch to the version identified by `subject`.
    pub fn new(subject: &[u8], members: &[Arc<str>], me: &str) -> RolloutTurn {
        let order = rank::order(subject, members);
        let position = order.iter().position(|m| &**m == me).unwrap_or(0);
        let turns = order.len().clamp(1, RolloutTurn::MAX_TURNS);
        RolloutTurn { turn: position % turns, turns }
    }

    /// Returns when the replica should stop accepting requests: `first` for
    /// the first turn, `last` for the last one, and never after `last`.
    pub fn pauses_at(&self, first: Time, last: Time) -> Time {
        let first = first.min(last);
        let step = last.since(first) / (self.turns.max(2) - 1) as u32;
        first.after(step * self.turn as u32)
    }

    /// Returns the index of the turn, starting at 0.
    pub const fn turn(&self) -> usize {
        self.turn
    }
}
