//! Settings of an agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairhinge::Error;
use stairhinge::number::whole;
use stairhinge_shell::{LinkMbps, Settings, read_settings};

/// The settings of an agent beside an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentSettings {
    /// The instance's name.
    pub instance: Arc<str>,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Where peers and entries connect; agents share one port.
    pub listen: SocketAddr,
    /// The engine's address.
    pub engine: SocketAddr,
    /// The engine's service.
    pub service: Arc<str>,
    /// How long a planned stop may take, in seconds.
    #[serde(deserialize_with = "whole")]
    pub grace_s: u64,
    /// Within which a named version has to serve, in milliseconds.
    #[serde(deserialize_with = "whole")]
    pub version_ms: u64,
    /// How long a process may need to be up to date again after a start or
    /// a cut, in milliseconds.
    #[serde(deserialize_with = "whole")]
    pub contact_ms: u64,
    /// What the instance's link carries, in megabits a second.
    pub link_mbps: LinkMbps,
    /// Whether the whole platform starts for the first time: nobody serves
    /// callers yet.
    #[serde(default)]
    pub first_start: bool,
    /// How often the engine is asked, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
}

/// Entries choose by what was last reported: of all requests 10.5 in 100 were
/// late where engines were asked each 100 ms, and 9.6 at 40 ms.
const fn default_poll_ms() -> u64 {
    40
}

impl Settings for AgentSettings {
    fn parse(text: &str) -> Result<AgentSettings, Error> {
        let settings: AgentSettings = read_settings(text)?;
        settings.link_mbps.check()?;
        if settings.poll_ms == 0 {
            return Err(Error::range("poll_ms", 0, "1 or more"));
        }
        Ok(settings)
    }

    // Who the agent is and whom it serves needs a new start.
    fn with_live(&self, next: &AgentSettings) -> AgentSettings {
        AgentSettings {
            grace_s: next.grace_s,
            version_ms: next.version_ms,
            link_mbps: next.link_mbps,
            ..self.clone()
        }
    }
}

impl AgentSettings {
    /// Returns the bytes a second that chunks may take of the link. The rest
    /// is for answers, which would else queue behind them.
    pub const fn chunk_rate(&self) -> u64 {
        const PART: f64 = 0.95;
        self.link_mbps.bytes_per_s(PART)
    }

    /// Returns how long the instance's link takes for some bytes; that of
    /// the origin is taken to carry as much.
    pub fn transfer(&self, bytes: u32) -> Duration {
        self.link_mbps.transfer(bytes)
    }

    /// Returns how often the engine is asked.
    pub const fn poll(&self) -> Duration {
        Duration::from_millis(self.poll_ms)
    }

    /// Returns within which a named version has to serve.
    pub const fn version_bound(&self) -> Duration {
        Duration::from_millis(self.version_ms)
    }

    /// Returns how old a version is taken to be that was named before the
    /// process began: old replicas are used only until it has to be up to
    /// date.
    pub const fn presumed_age(&self) -> Duration {
        Duration::from_millis(self.version_ms.saturating_sub(self.contact_ms))
    }
}
