//! The report of an agent on the engine of its instance.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use stairhinge::direct::HallEntry;
use stairhinge_shell::directory::News;

/// What an agent knows about the chunks that its engine has loaded.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Provenance {
    /// They were intact, or the engine started with them.
    #[default]
    Verified,
    /// The engine had loaded them when the agent started.
    Inherited,
    /// One of them may have turned bad before it was loaded.
    Unverified,
}

/// One line of an agent's feed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineReport {
    /// Whether the engine answers its agent.
    pub up: bool,
    /// Whether weights are being loaded; the engine accepts no new requests
    /// meanwhile.
    pub loading: bool,
    /// The model whose weights are completely loaded.
    #[serde(default)]
    pub model: Option<Arc<str>>,
    /// The version of the loaded weights.
    #[serde(default)]
    pub version: Option<u64>,
    /// What is known about the chunks that they were loaded from.
    #[serde(default)]
    pub provenance: Provenance,
    /// The number of orders that the engine has accepted since its start.
    #[serde(default)]
    pub sequence: u64,
    /// The number of requests that the engine is running.
    pub running: u32,
    /// The number of requests that are queued at the engine.
    pub queued: u32,
    /// How slow the engine is, relative to its usual speed; 1 is usual.
    #[serde(default)]
    pub pace: f32,
    /// The recent duration of a probe of the instance's link, in
    /// milliseconds; 0 while no chunks are transferred over it.
    #[serde(default)]
    pub link_ms: u32,
    /// The newest published revisions that the agent knows; sent when they
    /// change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub news: Option<News>,
    /// The first-ranked of each hall's entries that read the agent's feed;
    /// sent to entries of its own hall when it changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<Vec<HallEntry>>,
    /// The first-ranked entries of the agent's hall that read its feed; sent
    /// with `entries`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leading: Option<Vec<SocketAddr>>,
    /// The number of entries of the agent's hall that read its feed, rounded
    /// up to a power of two; sent with `entries`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listening: Option<usize>,
}

impl EngineReport {
    /// Returns whether the engine accepts the same requests according to both
    /// reports; the load and other fields may differ.
    pub fn has_same_availability(&self, other: &EngineReport) -> bool {
        self.up == other.up
            && self.loading == other.loading
            && self.model == other.model
            && self.version == other.version
            && self.provenance == other.provenance
            && self.sequence == other.sequence
    }

    /// Fills in the fields that are sent only when they change from an earlier
    /// report.
    pub(crate) fn fill_missing_from(&mut self, earlier: &mut EngineReport) {
        if self.entries.is_none() {
            self.entries = earlier.entries.take();
        }
        if self.leading.is_none() {
            self.leading = earlier.leading.take();
        }
        self.listening = self.listening.or(earlier.listening);
        if self.news.is_none() {
            self.news = earlier.news.take();
        }
    }

    /// Returns the number of running and queued requests.
    pub const fn total(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}
