//! The process that chose a request's replica, for the log.

use std::net::SocketAddr;

use stairhinge::placing::ChooserKind;

/// The process that chose a request's replica, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Chooser {
    /// The placer of the hall, another entry.
    Placer(SocketAddr),
    /// The entry itself, because it is the placer.
    IsPlacer,
    /// The entry itself, because entries are not connected with each other.
    NoPeers,
    /// The entry itself, because its settings disable hall placing.
    Independent,
    /// The entry itself, because it knows no responsive placer.
    NoPlacer,
    /// The entry itself, because the placer did not answer in time.
    PlacerTimeout,
    /// The entry itself, because the placer had too few reports of the hall.
    PlacerUnready,
    /// The entry itself, because it may not use the replica that the placer
    /// chose.
    UnusableChoice,
}

impl Chooser {
    /// Returns the placer's address, if it was another entry.
    pub(crate) const fn placer(self) -> Option<SocketAddr> {
        match self {
            Chooser::Placer(addr) => Some(addr),
            _ => None,
        }
    }

    /// Returns the kind of chooser, which determines its share of a limit on
    /// all entries.
    pub(crate) const fn kind(self) -> ChooserKind {
        match self {
            Chooser::NoPeers => ChooserKind::Sole,
            Chooser::IsPlacer => ChooserKind::Placer,
            Chooser::Independent => ChooserKind::Independent,
            _ => ChooserKind::Fallback,
        }
    }

    /// Returns the reason why the entry itself chose, if it did.
    pub(crate) const fn own_choice(self) -> Option<&'static str> {
        match self {
            Chooser::Placer(_) => None,
            Chooser::IsPlacer => Some("places for the hall"),
            Chooser::NoPeers => Some("reaches no other entry"),
            Chooser::Independent => Some("does not place with others"),
            Chooser::NoPlacer => Some("knows no placer"),
            Chooser::PlacerTimeout => Some("the placer is silent"),
            Chooser::PlacerUnready => Some("the placer is not ready"),
            Chooser::UnusableChoice => Some("may not use the placer's choice"),
        }
    }
}
