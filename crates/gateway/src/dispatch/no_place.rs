//! The reasons why a request gets no place.

use std::fmt;

use stairhinge::overload::Full;
use stairhinge::placing::NoPlaceReason;

/// Why a request gets no place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum NoPlace {
    /// A reason without a time at which to return.
    Reason(NoPlaceReason),
    /// There is no capacity, and the caller is told when to return.
    Full(Full),
}

impl From<NoPlaceReason> for NoPlace {
    fn from(reason: NoPlaceReason) -> NoPlace {
        NoPlace::Reason(reason)
    }
}

impl fmt::Display for NoPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NoPlace::Reason(reason) => reason.fmt(f),
            NoPlace::Full(full) => full.fmt(f),
        }
    }
}
