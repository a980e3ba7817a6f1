//! What is known of one request.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::Error;

/// How far a request is suspected.
///
/// Suspicions of one request are ordered: the greater one is newer.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Suspicion {
    /// How often a whole answer has cleared it.
    pub cleared: u32,
    /// Replicas that have ended under it since, one after the other.
    pub ended: u8,
    /// How often it was tried again while it was quarantined.
    pub trials: u8,
}

impl Suspicion {
    /// So many replicas have to end under a request, one after the other,
    /// until it is quarantined. With two, a request that ran beside a poisoned
    /// one and was sent to the same second replica would be.
    pub const QUARANTINE_THRESHOLD: u8 = 3;

    /// The most trials of a quarantined request.
    pub const MOST_TRIALS: u8 = 3;

    /// Returns whether the request is kept from replicas.
    pub const fn is_quarantined(self) -> bool {
        self.ended >= Suspicion::QUARANTINE_THRESHOLD
    }

    /// Returns whether one more replica that ends makes it quarantined, or
    /// keeps it so: its runs are kept apart from one another.
    pub const fn requires_exclusive_run(self) -> bool {
        self.ended + 1 >= Suspicion::QUARANTINE_THRESHOLD
    }

    /// Returns whether the counts are within their ranges.
    pub(super) const fn is_valid(self) -> bool {
        self.ended <= Suspicion::QUARANTINE_THRESHOLD
            && self.trials <= Suspicion::MOST_TRIALS
    }
}

impl fmt::Display for Suspicion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.cleared, self.ended, self.trials)
    }
}

impl FromStr for Suspicion {
    type Err = Error;

    /// Reads what [`Suspicion`]'s `Display` writes.
    fn from_str(s: &str) -> Result<Suspicion, Error> {
        let wrong = || Error::range("suspicion", s, "three numbers with dots");
        let mut parts = s.splitn(3, '.');
        let mut next = || parts.next().ok_or_else(wrong);
        let read = Suspicion {
            cleared: next()?.parse().map_err(|_| wrong())?,
            ended: next()?.parse().map_err(|_| wrong())?,
            trials: next()?.parse().map_err(|_| wrong())?,
        };
        if !read.is_valid() {
            return Err(wrong());
        }
        Ok(read)
    }
}

/// What one entry tells others of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoisonRecord {
    /// The request.
    pub request: Fingerprint,
    /// How far it is suspected.
    pub suspicion: Suspicion,
    /// How long ago that changed, in milliseconds.
    pub age_ms: u64,
    /// The replicas that ended under it, as far as told.
    pub replicas: Vec<Arc<str>>,
}

impl PoisonRecord {
    /// The most bytes of a replica's name that are told: with
    /// [`PoisonMessage::MAX_RECORDS`](super::PoisonMessage::MAX_RECORDS) records
    /// of three names each a message stays within a datagram.
    const MOST_NAME: usize = 64;

    /// Returns a replica's name as it is told.
    pub(super) fn name(replica: &Arc<str>) -> Arc<str> {
        if replica.len() <= PoisonRecord::MOST_NAME {
            return Arc::clone(replica);
        }
        let end = replica.floor_char_boundary(PoisonRecord::MOST_NAME);
        Arc::from(&replica[..end])
    }

    /// Returns how long ago it changed.
    pub(super) const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}
