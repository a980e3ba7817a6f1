//! What an agent tells of the engine beside it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use stairhinge::direct::HallEntry;
use stairhinge_shell::directory::News;

/// One line of an agent's feed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineReport {
    /// Whether the engine answers its agent.
    pub up: bool,
    /// Whether a load is under way: the engine takes nothing new.
    pub loading: bool,
    /// The model that it holds whole.
    #[serde(default)]
    pub model: Option<Arc<str>>,
    /// The version of its weights.
    #[serde(default)]
    pub version: Option<u64>,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub queued: u32,
    /// How slow it is; 1 is usual.
    #[serde(default)]
    pub pace: f32,
    /// How long a probe of the instance's link took of late, in
    /// milliseconds; 0 while chunks do not use it.
    #[serde(default)]
    pub link_ms: u32,
    /// The newest that the agent knows to be published; told when it
    /// changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub news: Option<News>,
    /// The first in rank of each hall's entries that listen to the agent;
    /// told to entries of its own hall, when it changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<Vec<HallEntry>>,
    /// The leading ones of the entries that listen, of the agent's hall; told
    /// with `entries`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leading: Option<Vec<SocketAddr>>,
    /// How many entries of the agent's hall listen, rounded up to a power of
    /// two; told with `entries`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listening: Option<usize>,
}

impl EngineReport {
    /// Returns whether the engine takes the same requests as another report
    /// says; only load and news may differ.
    pub fn has_same_availability(&self, other: &EngineReport) -> bool {
        self.up == other.up
            && self.loading == other.loading
            && self.model == other.model
            && self.version == other.version
    }

    /// Keeps what an earlier report told that is only told when it changes.
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

    /// Returns all requests at the engine.
    pub const fn total(&self) -> u32 {
        self.running + self.queued
    }
}
