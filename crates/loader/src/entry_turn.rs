//! Which entry of the hall an agent asks.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use stairhinge::direct::HallEntry;
use stairhinge::rank;

/// How many entries in a row are silent before the platform is asked in
/// between. One that answers that it has nothing yet is not silent: where all
/// processes have just started, the platform is left to the entries.
const SILENT: usize = 2;

/// Whose turn it is to be asked: after each failure the next in rank, since
/// an entry that is frozen still listens.
#[derive(Debug, Default)]
pub(crate) struct EntryTurn {
    failures: usize,
    /// Entries in a row that did not answer.
    silent: usize,
}

impl EntryTurn {
    /// Returns which of some entries the agent at `own` asks; each agent has
    /// an order of its own.
    pub(crate) fn entry(
        &self,
        own: SocketAddr,
        entries: Vec<HallEntry>,
    ) -> Option<SocketAddr> {
        let me = own.to_string();
        let score = |entry: &SocketAddr| {
            rank::score(me.as_bytes(), &entry.to_string())
        };
        let mut near: Vec<SocketAddr> =
            entries.into_iter().map(|entry| entry.addr).collect();
        near.sort_by_key(|entry| Reverse(score(entry)));
        let turn = self.failures.checked_rem(near.len())?;
        near.get(turn).copied()
    }

    /// Returns whether the platform is asked in between, and if so begins
    /// anew with entries.
    pub(crate) const fn asks_platform(&mut self) -> bool {
        if self.silent < SILENT {
            return false;
        }
        self.silent = 0;
        true
    }

    /// Takes in that an entry has told what it was asked for.
    pub(crate) const fn heard(&mut self) {
        self.silent = 0;
    }

    /// Takes in that an entry that was asked for `took` has told nothing; it
    /// counts as silent from `patience` on.
    pub(crate) fn failed(&mut self, took: Duration, patience: Duration) {
        self.failures += 1;
        self.silent = if took < patience { 0 } else { self.silent + 1 };
    }
}

#[cfg(test)]
#[path = "entry_turn_tests.rs"]
mod tests;
