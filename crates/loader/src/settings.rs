//! The settings of an agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairhinge::Error;
use stairhinge::number::whole;
use stairhinge_chunks::VersionSettings;
use stairhinge_shell::{LinkMbps, Settings, read_settings};

/// The settings of an agent beside an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentSettings {
    /// The name of the instance.
    pub instance: Arc<str>,
    /// The data hall of the instance.
    pub hall: Arc<str>,
    /// The address that peers and entries connect to. All agents use the
    /// same port.
    pub listen: SocketAddr,
    /// The address of the engine.
    pub engine: SocketAddr,
    /// The service of the engine.
    pub service: Arc<str>,
    /// The maximum duration of a planned stop, in seconds.
    #[serde(deserialize_with = "whole")]
    pub grace_s: u64,
    /// The time within which a newly targeted version must be serving, in
    /// milliseconds.
    #[serde(deserialize_with = "whole")]
    pub version_ms: u64,
    /// The time within which a process must be up to date again after a start
    /// or a network partition, in milliseconds.
    #[serde(deserialize_with = "whole")]
    pub contact_ms: u64,
    /// The bandwidth of the instance's link, in megabits per second.
    pub link_mbps: LinkMbps,
    /// Whether the whole platform is starting for the first time, so that no
    /// process serves callers yet.
    #[serde(default)]
    pub first_start: bool,
    /// How versions in quick succession are kept and fetched; `None` lets
    /// agents read all chunks from the caches of their hall.
    #[serde(default)]
    pub versions: Option<VersionSettings>,
    /// The interval between queries of the engine's state, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
}

/// Entries choose replicas by the last reported load, so older reports lead to
/// worse choices: 10.5 % of requests were late with an interval of 100 ms, and
/// 9.6 % with 40 ms.
const fn default_poll_ms() -> u64 {
    40
}

impl Settings for AgentSettings {
    fn parse(text: &str) -> Result<AgentSettings, Error> {
        let settings: AgentSettings = read_settings(text)?;
        settings.link_mbps.check()?;
        if let Some(versions) = settings.versions {
            versions.check()?;
        }
        if settings.poll_ms == 0 {
            return Err(Error::range("poll_ms", 0, "1 or more"));
        }
        Ok(settings)
    }

    // The identity, addresses and other settings take effect on a restart
    // only.
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
    /// Returns the maximum rate of chunk transfers, in bytes per second. The
    /// rest of the link is left for answers, which would otherwise queue
    /// behind chunks.
    pub const fn chunk_rate(&self) -> u64 {
        const CHUNK_FRACTION: f64 = 0.95;
        self.link_mbps.bytes_per_s(CHUNK_FRACTION)
    }

    /// Returns how long the instance's link takes to transfer `bytes`. The
    /// origin's link is assumed to have the same bandwidth.
    pub fn transfer(&self, bytes: u32) -> Duration {
        self.link_mbps.transfer(bytes)
    }

    /// Returns the interval between queries of the engine's state.
    pub const fn poll(&self) -> Duration {
        Duration::from_millis(self.poll_ms)
    }

    /// Returns the time within which a newly targeted version must be
    /// serving.
    pub const fn version_bound(&self) -> Duration {
        Duration::from_millis(self.version_ms)
    }

    /// Returns the presumed age of a version that was targeted before this
    /// process started: what is left of `version_ms` at this age is
    /// `contact_ms`, so replicas of older versions are used only until the
    /// process must be up to date.
    pub const fn presumed_age(&self) -> Duration {
        Duration::from_millis(self.version_ms.saturating_sub(self.contact_ms))
    }

    /// Returns how long a watch of the target versions waits at the platform.
    ///
    /// A watch on a connection that has fallen silent fails only after that,
    /// and the version must then be known before its bound. It must also be
    /// shorter than the 20 s of history that the platform keeps. Otherwise a
    /// version is found by a list, which only tells that it was set after the
    /// last answer, and replicas stop serving the previous one too early.
    pub(crate) fn target_watch(&self) -> Duration {
        const MIN_WATCH: Duration = Duration::from_secs(1);
        const MAX_WATCH: Duration = Duration::from_secs(10);
        self.presumed_age().clamp(MIN_WATCH, MAX_WATCH)
    }
}
