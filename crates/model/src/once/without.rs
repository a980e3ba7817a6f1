//! The rules of the protocol, each left out by one mutant.

/// A rule that a mutant leaves out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// Nothing: the protocol as it is.
    Nothing,
    /// A revoked attempt leaves a tombstone.
    Tombstone,
    /// An attempt names the incarnation that it is meant for.
    Incarnation,
    /// A restarted guard is deaf until all it granted has lapsed.
    Deafness,
    /// A grant may be acted on for half a window only.
    Lease,
    /// A grant is kept longer than it may be acted on.
    Keeping,
    /// A request that must not repeat claims its key.
    Claim,
    /// Only what certainly did not run gives its key back.
    Settling,
    /// An old "did not run" is not believed.
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
