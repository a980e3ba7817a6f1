//! The division of fleet-wide limits among the entries that choose replicas.
//!
//! Entries share no state about such a limit, so each chooser gets a fixed
//! part of it. Each hall has one placer, but two entries may act as its placer
//! for a short time, so each of them gets half of the hall's part.

/// The kind of chooser that a limit is divided by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChooserKind {
    /// The only entry that chooses replicas.
    Sole,
    /// The placer of a hall, which chooses for all entries of the hall.
    Placer,
    /// One of many entries that all choose for themselves, without placers.
    Independent,
    /// An entry that chooses for itself because it has no usable placer.
    Fallback,
}

/// The maximum number of entries that act as placer of one hall at a time.
pub(super) const MAX_PLACERS: usize = 2;
