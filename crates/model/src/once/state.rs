//! The state of the at-most-once specification.

use stairhinge::Ran;
use stairhinge::request::{AttemptTable, KeyTable, RequestRetry};

/// Stage of one attempt at its agent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Stage {
    /// In transit to the agent.
    Sent,
    /// Admitted by the agent; its key is not granted yet.
    Admitted,
    /// Key granted at this tick.
    Granted(u64),
    /// Ended, or lost in a restart of the agent.
    Over,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct AttemptState {
    pub(super) agent: usize,
    pub(super) incarnation: u64,
    pub(super) sent: u64,
    pub(super) stage: Stage,
    pub(super) ran: bool,
    /// The outcome that the entry received or concluded.
    pub(super) reported: Option<Ran>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Agent {
    pub(super) incarnation: u64,
    pub(super) attempts: AttemptTable,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Entry {
    pub(super) attempts: Vec<AttemptState>,
    pub(super) retry: RequestRetry,
    /// The final answer to the caller, once given.
    pub(super) answer: Option<Ran>,
}

/// A state of the modelled system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    pub(super) now: u64,
    pub(super) restarts: u8,
    pub(super) keys: KeyTable,
    pub(super) agents: Vec<Agent>,
    pub(super) entries: Vec<Entry>,
    /// Ticks at which the request ran.
    pub(super) runs: Vec<u64>,
}
