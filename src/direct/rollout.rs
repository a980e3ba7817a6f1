//! When a replica changes to new weights.
//!
//! A replica that loads first finishes what it runs and takes nothing new
//! meanwhile, so the replicas of a hall take turns, and those of the first
//! turn finish their work while the chunks still come. Nobody hands out the turns: each agent works out
//! its own from the ranks of all replicas for this version, and the turns
//! are spread over the time that is left until the bound.

use std::sync::Arc;

use crate::{Time, rank};

/// One replica's turn in a change to a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RolloutTurn {
    turn: usize,
    turns: usize,
}

impl RolloutTurn {
    /// The most turns that replicas of one hall are dealt into.
    const MAX_TURNS: usize = 8;

    /// Returns the turn of `me` among the replicas of its hall that have to
    /// change to the version named by `subject`.
    pub fn new(subject: &[u8], members: &[Arc<str>], me: &str) -> RolloutTurn {
        let order = rank::order(subject, members);
        let place = order.iter().position(|m| &**m == me).unwrap_or(0);
        let turns = order.len().clamp(1, RolloutTurn::MAX_TURNS);
        RolloutTurn { turn: place % turns, turns }
    }

    /// Returns when the replica should get nothing new: the first turn at
    /// `first`, the last at `last`, and none of them after `last`.
    pub fn pauses_at(&self, first: Time, last: Time) -> Time {
        let first = first.min(last);
        let step = last.since(first) / (self.turns.max(2) - 1) as u32;
        first.after(step * self.turn as u32)
    }

    /// Returns the turn, counted from 0.
    pub const fn turn(&self) -> usize {
        self.turn
    }
}
