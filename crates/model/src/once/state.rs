//! What one state of the explored system holds.

use stairhinge::Ran;
use stairhinge::request::{AttemptTable, KeyTable, RequestRetry};

/// Where one attempt is at its agent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum At {
    /// On its way.
    Sent,
    /// Admitted, and not yet granted.
    Admitted,
    /// Granted at this time.
    Granted(u64),
    /// Over, or lost with the process.
    Over,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Try {
    pub(super) agent: usize,
    pub(super) incarnation: u64,
    pub(super) sent: u64,
    pub(super) at: At,
    pub(super) ran: bool,
    /// What the entry was told or concluded of it.
    pub(super) said: Option<Ran>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Agent {
    pub(super) incarnation: u64,
    pub(super) attempts: AttemptTable,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Entry {
    pub(super) tries: Vec<Try>,
    pub(super) course: RequestRetry,
    /// The final answer, once given.
    pub(super) answer: Option<Ran>,
}

/// A state of the whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    pub(super) now: u64,
    pub(super) restarts: u8,
    pub(super) keys: KeyTable,
    pub(super) agents: Vec<Agent>,
    pub(super) entries: Vec<Entry>,
    /// When the request ran.
    pub(super) runs: Vec<u64>,
}
