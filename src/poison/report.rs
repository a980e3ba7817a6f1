//! Reports of crashes between entries.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Fingerprint;

/// What one entry tells others of a crash, in whole or in part.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashReport {
    /// The name of the replica that crashed.
    pub replica: Arc<str>,
    /// How long ago it crashed, in milliseconds.
    pub age_ms: u64,
    /// The service of the replica.
    pub service: Arc<str>,
    /// How many complete answers of the service entries have seen since, each
    /// with a number of the entry.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answers: Vec<(u32, u32)>,
    /// Whether a request under which another replica had just crashed was then
    /// sent to this one.
    #[serde(default)]
    pub in_turn: bool,
    /// Features of requests that ran on it, which may have caused the crash.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub accused: Vec<Fingerprint>,
    /// Those that a complete answer has cleared since.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<Fingerprint>,
}

impl CrashReport {
    /// The maximum number of features in one message. A feature takes 35
    /// bytes of JSON, and a datagram holds at most 4,096 bytes.
    pub const MAX_FEATURES: usize = 96;

    /// Returns how long ago the replica crashed.
    pub(super) const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }

    /// Splits reports into groups of which each fits into one message.
    pub fn split(reports: Vec<CrashReport>) -> Vec<Vec<CrashReport>> {
        let mut messages: Vec<Vec<CrashReport>> = Vec::new();
        let mut room = 0;
        for report in reports {
            for part in report.parts() {
                let size = part.size();
                if size > room {
                    messages.push(Vec::new());
                    room = CrashReport::MAX_FEATURES;
                }
                room = room.saturating_sub(size);
                if let Some(last) = messages.last_mut() {
                    last.push(part);
                }
            }
        }
        messages
    }

    /// The size of the fields other than features, in features. Names of the
    /// maximum length take 64 bytes each, and sixteen answers of as many
    /// entries take 224.
    const OTHER_FIELDS: usize = 12;

    /// Returns the size of the report in features.
    fn size(&self) -> usize {
        self.accused.len() + self.cleared.len() + CrashReport::OTHER_FIELDS
    }

    /// Splits a report into some of which each fits into one message.
    fn parts(self) -> Vec<CrashReport> {
        let most = CrashReport::MAX_FEATURES - CrashReport::OTHER_FIELDS;
        if self.accused.len() + self.cleared.len() <= most {
            return vec![self];
        }
        let mut parts = Vec::new();
        for accused in self.accused.chunks(most) {
            let (accused, cleared) = (accused.to_vec(), Vec::new());
            parts.push(CrashReport { accused, cleared, ..self.bare() });
        }
        for cleared in self.cleared.chunks(most) {
            let (accused, cleared) = (Vec::new(), cleared.to_vec());
            parts.push(CrashReport { accused, cleared, ..self.bare() });
        }
        parts
    }

    /// Returns the report without features.
    fn bare(&self) -> CrashReport {
        CrashReport {
            replica: Arc::clone(&self.replica),
            age_ms: self.age_ms,
            service: Arc::clone(&self.service),
            answers: self.answers.clone(),
            in_turn: self.in_turn,
            accused: Vec::new(),
            cleared: Vec::new(),
        }
    }
}
