//! The rules of the at-most-once protocol, each omitted by one mutant.

/// A protocol rule that a mutant omits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// No rule: the unmodified protocol.
    Nothing,
    /// A revoked attempt leaves a tombstone.
    Tombstone,
    /// An attempt names the agent incarnation that it is addressed to.
    Incarnation,
    /// A restarted guard grants nothing until its earlier grants have expired.
    Deafness,
    /// A lease on a grant lasts for only half a window.
    Lease,
    /// The guard remembers a grant for longer than its lease.
    Keeping,
    /// A request that must not repeat claims its key before it runs.
    Claim,
    /// Only an attempt that certainly did not run releases its key.
    Settling,
    /// A "did not run" answer is trusted only for half the retention time.
    Settle,
}

impl Without {
    /// All rules.
    pub const RULES: [Without; 8] = [
        Without::Tombstone,
        Without::Incarnation,
        Without::Deafness,
        Without::Lease,
        Without::Keeping,
        Without::Claim,
        Without::Settling,
        Without::Settle,
    ];
}
