//! Selects the entry of the hall that an agent asks next.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use stairhinge::direct::HallEntry;
use stairhinge::rank;

/// The number of consecutive entries without an answer after which the
/// platform is asked once. An entry that answers that it has no data yet does
/// not count: when all processes have just started, only entries should
/// send requests to the platform.
const MAX_SILENT_ENTRIES: usize = 2;

/// Selects an entry by rank, and the next one after each failure, since an
/// entry that hangs keeps its feed open.
#[derive(Debug, Default)]
pub(crate) struct EntryRotation {
    failures: usize,
    /// The number of consecutive entries that did not answer.
    silent: usize,
}

impl EntryRotation {
    /// Returns which of `entries` the agent at `own` should ask. Each agent
    /// ranks the entries in a different order.
    pub(crate) fn entry(
        &self,
        own: SocketAddr,
        entries: Vec<HallEntry>,
    ) -> Option<SocketAddr> {
        let own_key = own.to_string();
        let score = |entry: &SocketAddr| {
            rank::score(own_key.as_bytes(), &entry.to_string())
        };
        let mut ranked: Vec<SocketAddr> =
            entries.into_iter().map(|entry| entry.addr).collect();
        ranked.sort_by_key(|entry| Reverse(score(entry)));
        let turn = self.failures.checked_rem(ranked.len())?;
        ranked.get(turn).copied()
    }

    /// Returns whether the platform should be asked now. If so, it resets the
    /// count, so that entries are asked again afterwards.
    pub(crate) const fn take_platform_turn(&mut self) -> bool {
        if self.silent < MAX_SILENT_ENTRIES {
            return false;
        }
        self.silent = 0;
        true
    }

    /// Records that an entry returned the requested data.
    pub(crate) const fn succeeded(&mut self) {
        self.silent = 0;
    }

    /// Records that an entry failed to return the requested data after `took`.
    /// It counts as silent if `took` is at least `timeout`.
    pub(crate) fn failed(&mut self, took: Duration, timeout: Duration) {
        self.failures += 1;
        self.silent = if took < timeout { 0 } else { self.silent + 1 };
    }
}

#[cfg(test)]
#[path = "entry_rotation_tests.rs"]
mod tests;
