//! The status report that processes exchange.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::Code;
use stairhinge::document::Seen;
use stairhinge::serving::Phase;

/// The status of one process, as it reports it to others.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The instance's name.
    pub name: Arc<str>,
    /// The data hall of the instance.
    pub hall: Arc<str>,
    /// The incarnation number of the process.
    pub incarnation: u64,
    /// The time of its hybrid logical clock.
    pub clock: u64,
    /// The address on which it accepts control calls.
    pub control: Option<SocketAddr>,
    /// The revision and digest of its declaration.
    pub config: Seen,
    /// The revision and digest of its instance list.
    pub listing: Seen,
    /// Time since the platform was last reachable, as far as it knows.
    pub contact: Duration,
    /// Its serving state; [`Report::LEAVING`] if it is to stop.
    pub state: Arc<str>,
    /// The model that it serves or is assigned to serve.
    pub model: Arc<str>,
    /// The version that it serves or fetches.
    pub version: Arc<str>,
    /// Number of requests in progress.
    pub load: u32,
    /// Part of the chunks of the wanted version that it holds, per mille.
    pub share: u32,
    /// Fetch rate in kilobytes per second.
    pub rate: u32,
    /// The code of the error that keeps it from progress, if any.
    pub stuck: Option<Code>,
    /// The digest of its table of poisoned requests.
    pub poison: u64,
}

impl Report {
    /// The state of a process that will take no new work until it stops.
    pub const LEAVING: &str = "leaving";

    /// The state of an entry that accepts requests.
    pub const READY: &str = "ready";

    /// Returns whether the process reports that it serves a model.
    pub fn serves(&self, model: &str) -> bool {
        *self.state == *Phase::Serving.as_str() && *self.model == *model
    }

    /// Returns whether the process reports that it is leaving.
    pub fn leaves(&self) -> bool {
        *self.state == *Report::LEAVING
    }
}
