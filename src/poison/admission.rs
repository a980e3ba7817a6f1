//! Whether a request may be sent, and why not.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use super::Suspicion;

/// Whether a request may be sent to a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may, and this was known of it then.
    Admitted(Suspicion),
    /// It may not.
    Refused(Refusal),
}

/// Why a request may not be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// What keeps it back.
    pub reason: RefusalReason,
    /// The replicas that ended under it.
    pub replicas: Vec<Arc<str>>,
    /// How long ago that became known here.
    pub age: Duration,
    /// When it may be sent again.
    pub retry_after: Duration,
}

/// What keeps a request back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// Replicas ended under it up to the limit.
    Quarantined,
    /// It is one short of that, and runs just now.
    OnTrial,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RefusalReason::Quarantined => "this same request ended",
            RefusalReason::OnTrial => {
                "this same request is just being tried after it ended"
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
