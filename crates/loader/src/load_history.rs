//! What is known about the chunks that the engine's layers were loaded from.
//!
//! An engine may take staged chunks long after an order was sent, and orders
//! of an earlier process of the agent may arrive late. Each order that an
//! engine accepts raises its sequence number, so what is known about a load
//! belongs to one sequence number.

use std::time::{Duration, Instant};

use stairhinge_gateway::Provenance;

use crate::engine::EngineState;

/// How long after the engine's first answer a failed write may still take
/// effect: its bytes may lie unread in the engine's connections.
const LATE_WRITE_PERIOD: Duration = Duration::from_secs(1);

/// Whether a write that failed may still take effect.
#[derive(Clone, Copy, Debug, Default)]
enum LateWrite {
    #[default]
    None,
    /// The engine has not answered since the write failed.
    Pending,
    /// The engine has answered again since this time.
    Settling(Instant),
}

/// A query of the engine's state, at its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateQuery {
    began: Instant,
    writes: Option<u64>,
}

/// The loads of one engine, as far as this process knows them.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    /// The last sequence number, and when it was received.
    last: Option<(u64, Instant)>,
    /// The sequence number that this process found, if the engine was idle.
    inherited: Option<u64>,
    /// The sequence number of the last load from chunks known to be intact.
    verified: Option<u64>,
    writes_started: u64,
    writes_ended: u64,
    late_write: LateWrite,
    /// The number of writes before the last query with the last sequence
    /// number, if all of them had ended.
    writes: Option<u64>,
    /// The same for the sequence number before.
    writes_before: Option<u64>,
}

impl LoadHistory {
    /// Records that a chunk is written to the engine.
    pub(crate) fn begin_write(&mut self) {
        self.writes_started += 1;
    }

    /// Records the end of a write.
    pub(crate) fn end_write(&mut self, succeeded: bool) {
        self.writes_ended += 1;
        if !succeeded {
            self.late_write = LateWrite::Pending;
        }
    }

    /// Returns the start of a query of the engine's state.
    pub(crate) fn begin_query(&self, now: Instant) -> StateQuery {
        StateQuery { began: now, writes: self.settled_writes() }
    }

    /// Records the engine's answer to a query.
    pub(crate) fn record_state(
        &mut self,
        state: &EngineState,
        query: StateQuery,
        now: Instant,
    ) {
        self.settle_writes(now);
        let sequence = state.sequence;
        match self.last {
            None => {
                self.inherited = (!state.busy).then_some(sequence);
                self.writes_before = query.writes;
            }
            // The answer was overtaken by that to a later query.
            Some((last, at)) if sequence < last && query.began < at => return,
            Some((last, _)) if sequence < last => {
                // The engine has restarted.
                self.inherited = None;
                self.verified = None;
                self.writes_before = None;
            }
            Some((last, _)) if sequence > last => {
                self.writes_before = self.writes;
            }
            Some(_) => {}
        }
        self.last = Some((sequence, now));
        self.writes = query.writes;
    }

    /// Records that the load with this sequence number was from intact chunks.
    pub(crate) fn record_verified(&mut self, sequence: u64) {
        self.verified = Some(sequence);
    }

    /// Records that nobody has confirmed the load that this process found.
    pub(crate) fn reject_inherited(&mut self) {
        self.inherited = None;
    }

    /// Returns what is known about the engine's layers.
    pub(crate) fn provenance(&self, state: &EngineState) -> Provenance {
        let sequence = Some(state.sequence);
        // Without an order the engine has the layers that it started with.
        if state.sequence == 0 || self.verified == sequence {
            return Provenance::Verified;
        }
        if self.inherited == sequence {
            return Provenance::Inherited;
        }
        Provenance::Unverified
    }

    /// Returns whether no chunk was written since before the last load, so
    /// that a staged chunk that is intact now was intact then.
    pub(crate) fn is_staging_unchanged(&self) -> bool {
        self.writes_before.is_some()
            && self.writes_before == self.settled_writes()
    }

    /// Returns the number of writes if none can take effect any more.
    fn settled_writes(&self) -> Option<u64> {
        let settled = matches!(self.late_write, LateWrite::None)
            && self.writes_started == self.writes_ended;
        settled.then_some(self.writes_started)
    }

    fn settle_writes(&mut self, now: Instant) {
        match self.late_write {
            LateWrite::Pending => self.late_write = LateWrite::Settling(now),
            LateWrite::Settling(since)
                if now.duration_since(since) >= LATE_WRITE_PERIOD =>
            {
                self.late_write = LateWrite::None;
            }
            LateWrite::None | LateWrite::Settling(_) => {}
        }
    }
}

#[cfg(test)]
#[path = "load_history_tests.rs"]
mod tests;
