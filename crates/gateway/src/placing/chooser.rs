//! Who chose a request's replica, for the log.

use std::net::SocketAddr;

use stairhinge::placing::ChooserKind;

/// Who chose a request's replica, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Chooser {
    /// The placer of the hall.
    Placer(SocketAddr),
    /// The entry itself, which is the placer.
    IsPlacer,
    /// The entry itself: entries do not reach one another.
    NoPeers,
    /// The entry itself: its settings say so.
    Independent,
    /// The entry itself: it knows of no placer that is well.
    NoPlacer,
    /// The entry itself: the placer did not answer in time.
    PlacerTimeout,
    /// The entry itself: the placer knew too little of the hall.
    PlacerUnready,
    /// The entry itself: it may not use the replica that the placer chose.
    UnusableChoice,
}

impl Chooser {
    /// Returns the placer, if it was another entry.
    pub(crate) const fn placer(self) -> Option<SocketAddr> {
        match self {
            Chooser::Placer(addr) => Some(addr),
            _ => None,
        }
    }

    /// Returns how this choice counts against a bound that holds for all
    /// entries.
    pub(crate) const fn kind(self) -> ChooserKind {
        match self {
            Chooser::NoPeers => ChooserKind::Sole,
            Chooser::IsPlacer => ChooserKind::Placer,
            Chooser::Independent => ChooserKind::Independent,
            _ => ChooserKind::Fallback,
        }
    }

    /// Returns why the entry chose by itself, if it did.
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
