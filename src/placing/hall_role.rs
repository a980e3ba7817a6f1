//! The roles of the entries of a data hall.

use std::net::SocketAddr;

/// The role of an entry in its hall, which determines the agents from which
/// it receives reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HallRole {
    /// It may be asked for places. It listens to the agents of all halls, and
    /// those of its own hall report every change of load to it.
    Placer,
    /// It reads the platform or holds chunks for other entries, so it listens
    /// to the agents of all halls.
    Leading,
    /// It listens to the agents of its own hall.
    Following,
}

/// The maximum number of entries of a hall that do work for other entries:
/// three that may read the platform and hold chunks, and two placers.
pub const MAX_LEADING_ENTRIES: usize = 5;

/// The number of entries of a hall that are ready to place. One of them
/// places; the other receives the same reports and is asked if the first one
/// does not answer.
const READY_PLACERS: usize = 2;

impl HallRole {
    /// Returns the role of the entry at `own`, given the hall's leading
    /// entries in the order of [`leading_entries`].
    pub fn of(own: SocketAddr, ranked: &[SocketAddr]) -> HallRole {
        match ranked.iter().position(|addr| *addr == own) {
            Some(rank) if rank < READY_PLACERS => HallRole::Placer,
            Some(_) => HallRole::Leading,
            None => HallRole::Following,
        }
    }

    /// Returns whether the entry listens to the agents of all halls.
    pub const fn listens_to_all_halls(self) -> bool {
        matches!(self, HallRole::Placer | HallRole::Leading)
    }
}

/// Returns the leading entries of a hall, with the placers first.
///
/// These are the entries with the lowest addresses, in descending order. The
/// ascending order determines which entries read the platform and hold chunks.
/// Because that work saturates links, placers are chosen from the other end.
pub fn leading_entries(
    entries: impl IntoIterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    let mut addrs: Vec<SocketAddr> = entries.into_iter().collect();
    addrs.sort_unstable();
    addrs.dedup();
    addrs.truncate(MAX_LEADING_ENTRIES);
    addrs.reverse();
    addrs
}
