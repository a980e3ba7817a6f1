//! Reports of one entry on the health of a replica to others.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What an entry found about one process lifetime of a replica.
///
/// The receiver does not adopt it if its own requests show the contrary:
/// failures may be those of a link between the sender and the replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HealthReport {
    /// The replica's incarnation.
    pub replica: Arc<str>,
    /// When its process started, if it announced that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
    /// What the sender does with the replica.
    pub standing: ReportedStanding,
    /// How long ago the first of the requests was sent that have all failed
    /// since the sender's last success, in milliseconds.
    pub failing_ms: u64,
}

/// What an entry does with a replica that fails more than others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedStanding {
    /// It sends it fewer requests.
    Suspected,
    /// It sends it none.
    Ejected {
        /// For how long from now on, in milliseconds.
        for_ms: u64,
    },
    /// It sends it requests again, since its trials succeeded.
    Readmitted,
}

impl ReportedStanding {
    /// Returns the standing of a replica that is ejected for `span`.
    pub fn ejected(span: Duration) -> ReportedStanding {
        let for_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        ReportedStanding::Ejected { for_ms }
    }
}

impl HealthReport {
    /// The maximum number of reports in one message. A report takes up to 160
    /// bytes of JSON, and a datagram holds at most 4,096 bytes.
    pub const MAX_REPORTS: usize = 20;

    /// Returns how long ago the sender's requests began to fail.
    pub const fn failing_for(&self) -> Duration {
        Duration::from_millis(self.failing_ms)
    }
}
