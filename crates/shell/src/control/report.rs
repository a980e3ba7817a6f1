//! What one process tells another about itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::Code;
use stairhinge::document::Seen;
use stairhinge::serving::Phase;

/// What one process tells another about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The instance's name.
    pub name: Arc<str>,
    /// Its data hall.
    pub hall: Arc<str>,
    /// The process's incarnation.
    pub incarnation: u64,
    /// Its hybrid logical clock.
    pub clock: u64,
    /// Where it takes control calls.
    pub control: Option<SocketAddr>,
    /// How far it has got with the declaration.
    pub config: Seen,
    /// How far it has got with the instance list.
    pub listing: Seen,
    /// The age of the newest news of the platform known to it.
    pub contact: Duration,
    /// Where it stands; [`Report::LEAVING`] if it is to stop.
    pub state: Arc<str>,
    /// The model that it serves or is to serve.
    pub model: Arc<str>,
    /// The version that it serves or fetches.
    pub version: Arc<str>,
    /// Requests in progress.
    pub load: u32,
    /// Chunks held of the version wanted, per mille.
    pub share: u32,
    /// Kilobytes a second at which it fetches.
    pub rate: u32,
    /// What holds it up.
    pub stuck: Option<Code>,
    /// The digest of its table of poisoned requests.
    pub poison: u64,
}

impl Report {
    /// The state of a process that takes no new work for good.
    pub const LEAVING: &str = "leaving";

    /// The state of an entry that takes requests.
    pub const READY: &str = "ready";

    /// Returns whether it says that it serves a model.
    pub fn serves(&self, model: &str) -> bool {
        *self.state == *Phase::Serving.as_str() && *self.model == *model
    }

    /// Returns whether it says that it leaves.
    pub fn leaves(&self) -> bool {
        *self.state == *Report::LEAVING
    }
}
