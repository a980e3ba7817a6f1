//! Which of a hall's entries place for the others.

use std::net::SocketAddr;

/// An entry's part in its hall.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HallRole {
    /// It may be asked for places, so it listens to all agents, and to those
    /// of its hall as often as they have something to say.
    Placer,
    /// It reads the platform or holds chunks for others, so it listens to the
    /// agents of all halls.
    Leading,
    /// It listens to the agents of its own hall.
    Following,
}

/// How many entries of a hall have a part for others: three that may read
/// the platform and hold chunks, and two that place.
pub const MAX_LEADING_ENTRIES: usize = 5;

/// How many entries of a hall are ready to place. One does; the second is
/// asked while the first is silent, and hears all that the first hears.
const PLACERS: usize = 2;

impl HallRole {
    /// Returns the part of the entry at `own`, given who comes first.
    pub fn of(own: SocketAddr, ranked: &[SocketAddr]) -> HallRole {
        match ranked.iter().position(|addr| *addr == own) {
            Some(place) if place < PLACERS => HallRole::Placer,
            Some(_) => HallRole::Leading,
            None => HallRole::Following,
        }
    }

    /// Returns whether the entry listens to agents of other halls.
    pub const fn listens_to_all_halls(self) -> bool {
        matches!(self, HallRole::Placer | HallRole::Leading)
    }
}

/// Returns the leading ones of a hall's entries, the first to place in front.
///
/// The order is that of addresses from behind, since from the front it says
/// who reads the platform and holds chunks, which fills links.
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
