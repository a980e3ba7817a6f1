//! The decision whether a request may be sent.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use super::{Fingerprint, Suspicion};

/// The decision whether a request may be sent to a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may be sent. The suspicion is that at the time of the decision.
    Admitted(Suspicion),
    /// It may not be sent.
    Refused(Refusal),
}

/// Why a request may not be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// The features that crashed replicas: the request itself, or parts of its
    /// prompt of which one or more are at fault.
    pub features: Vec<Fingerprint>,
    /// The replicas that crashed under it.
    pub replicas: Vec<Arc<str>>,
    /// How long ago its suspicion last changed.
    pub age: Duration,
    /// The time after which it may be sent again.
    pub retry_after: Duration,
}

/// The reason why a request may not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// It crashed [`Suspicion::QUARANTINE_THRESHOLD`] replicas.
    Quarantined,
    /// Another crash would quarantine it or keep it quarantined, and another
    /// run of it is in progress.
    OnTrial,
    /// A part of its prompt crashed [`Suspicion::QUARANTINE_THRESHOLD`]
    /// replicas.
    QuarantinedPart,
    /// Another run of a request with a quarantined part is in progress.
    PartOnTrial,
}

impl RefusalReason {
    /// Returns the name of the reason in logs.
    pub const fn name(self) -> &'static str {
        match self {
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::OnTrial => "on_trial",
            RefusalReason::QuarantinedPart => "quarantined_part",
            RefusalReason::PartOnTrial => "part_on_trial",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RefusalReason::Quarantined => "this same request ended",
            RefusalReason::OnTrial => {
                "this same request is just being tried after it ended"
            }
            RefusalReason::QuarantinedPart => "a part of its prompt ended",
            RefusalReason::PartOnTrial => {
                "a part of its prompt is just being tried after it ended"
            }
        })
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let replicas = self.replicas.join(", ");
        write!(f, "{} the replicas {replicas}", self.reason)
    }
}
