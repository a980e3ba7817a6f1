//! Records of requests that have crashed replicas.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::Error;

/// The degree of suspicion that a request crashes replicas.
///
/// Values for the same request are ordered, and the greater one is newer.
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
    /// How often a complete answer has cleared the request.
    pub cleared: u32,
    /// The number of replicas that have crashed in succession since the last
    /// clearing.
    pub ended: u8,
    /// The number of trial runs since it was quarantined.
    pub trials: u8,
}

impl Suspicion {
    /// The number of replicas that a request must crash in succession to be
    /// quarantined. With 2, a harmless request would be quarantined if it ran
    /// alongside a poisoned one and was retried on the same second replica.
    pub const QUARANTINE_THRESHOLD: u8 = 3;

    /// The maximum number of trial runs of a quarantined request or part.
    pub const MAX_TRIALS: u8 = 5;

    /// Returns whether the request is quarantined.
    pub const fn is_quarantined(self) -> bool {
        self.ended >= Suspicion::QUARANTINE_THRESHOLD
    }

    /// Returns whether another crash would quarantine the request or keep it
    /// quarantined. Only one run of such a request may be in progress at a
    /// time.
    pub const fn requires_exclusive_run(self) -> bool {
        self.ended + 1 >= Suspicion::QUARANTINE_THRESHOLD
    }

    /// Returns whether the counts are within their ranges.
    pub(super) const fn is_valid(self) -> bool {
        self.ended <= Suspicion::QUARANTINE_THRESHOLD
            && self.trials <= Suspicion::MAX_TRIALS
    }
}

impl fmt::Display for Suspicion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.cleared, self.ended, self.trials)
    }
}

impl FromStr for Suspicion {
    type Err = Error;

    /// Parses the format that is written by `Display`.
    fn from_str(s: &str) -> Result<Suspicion, Error> {
        let invalid =
            || Error::range("suspicion", s, "three numbers separated by dots");
        let mut parts = s.splitn(3, '.');
        let mut next = || parts.next().ok_or_else(invalid);
        let suspicion = Suspicion {
            cleared: next()?.parse().map_err(|_| invalid())?,
            ended: next()?.parse().map_err(|_| invalid())?,
            trials: next()?.parse().map_err(|_| invalid())?,
        };
        if !suspicion.is_valid() {
            return Err(invalid());
        }
        Ok(suspicion)
    }
}

/// What one entry reports to others about a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoisonRecord {
    /// The fingerprint of the request.
    pub request: Fingerprint,
    /// The degree of suspicion against it.
    pub suspicion: Suspicion,
    /// How long ago the suspicion changed, in milliseconds.
    pub age_ms: u64,
    /// The names of the replicas that crashed under it, as far as known.
    pub replicas: Vec<Arc<str>>,
}

impl PoisonRecord {
    /// The maximum number of replicas in a record.
    pub(super) const MAX_REPLICAS: usize = 3;

    /// The maximum length of a replica's name in a record, in bytes; longer
    /// names are truncated. It ensures that a message of
    /// [`MAX_RECORDS`](super::PoisonMessage::MAX_RECORDS) records with three
    /// names each fits into a datagram.
    const MAX_NAME_BYTES: usize = 64;

    /// Returns a replica's name, truncated for use in a record.
    pub(super) fn truncated_name(replica: &Arc<str>) -> Arc<str> {
        if replica.len() <= PoisonRecord::MAX_NAME_BYTES {
            return Arc::clone(replica);
        }
        let end = replica.floor_char_boundary(PoisonRecord::MAX_NAME_BYTES);
        Arc::from(&replica[..end])
    }

    /// Returns how long ago the suspicion changed.
    pub(super) const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}
