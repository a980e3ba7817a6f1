//! The settings of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairhinge::Error;
use stairhinge::buffers::BufferBounds;
use stairhinge::direct::{EvacuationBound, HallRegions};
use stairhinge::health::EjectionLimits;
use stairhinge::number::{maybe_whole, whole};
use stairhinge::overload::OverloadSettings;
use stairhinge::placing::ColdBound;
use stairhinge_chunks::VersionSettings;
use stairhinge_shell::{LinkMbps, Settings, read_settings};

/// The bound on the retries of all entries together.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct RetryBound {
    /// The maximum ratio of retries to requests.
    pub ratio: f64,
    /// The length of the sliding window, in seconds.
    pub window_s: f64,
    /// The number of retries that are allowed in addition to the ratio.
    pub minimum: f64,
}

/// The bound on the requests of all entries together to a cold replica.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct ColdLimits {
    /// The factor by which requests may exceed the rate that the replica
    /// sustains; 1 by default.
    #[serde(default)]
    pub overage: Option<f64>,
    /// The number of requests that are allowed in addition; 0 by default.
    #[serde(default)]
    pub slack: Option<f64>,
}

impl ColdLimits {
    /// Returns the bound for replicas that sustain `per_s` requests a second.
    pub fn bound(self, per_s: f64) -> Option<ColdBound> {
        let overage = self.overage.unwrap_or(1.0);
        ColdBound::new(per_s, overage, self.slack.unwrap_or(0.0))
    }
}

/// The detection and exclusion of failing and slow replicas by the outcomes of
/// their requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct HealthSettings {
    /// The maximum share of a service's replicas that is ejected at a time;
    /// 0.5 by default.
    #[serde(default)]
    pub max_ejected: Option<f64>,
    /// How long a replica is excluded the first time, in milliseconds; 1,000
    /// by default.
    #[serde(default, deserialize_with = "maybe_whole")]
    pub eject_ms: Option<u64>,
    /// Whether the observed speed of replicas counts; true by default.
    #[serde(default)]
    pub speed: Option<bool>,
}

impl HealthSettings {
    /// Returns the limits on ejections.
    ///
    /// # Errors
    ///
    /// [`Code::OutOfRange`](stairhinge::Code::OutOfRange) for a value outside
    /// its range.
    pub fn limits(self) -> Result<EjectionLimits, Error> {
        let first =
            self.eject_ms.map_or(EjectionLimits::FIRST, Duration::from_millis);
        let max = self.max_ejected.unwrap_or(EjectionLimits::MAX_EJECTED);
        EjectionLimits::new(max, first)
    }
}

/// The bounds on what an entry buffers for slow callers and replicas.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct BufferSettings {
    /// The maximum for one answer, in KB; 256 by default.
    #[serde(default, deserialize_with = "maybe_whole")]
    pub connection_kb: Option<u64>,
    /// The maximum for one workspace, in KB; half of the process's by default.
    #[serde(default, deserialize_with = "maybe_whole")]
    pub workspace_kb: Option<u64>,
    /// The maximum for the process, in KB; a quarter of the memory limit by
    /// default.
    #[serde(default, deserialize_with = "maybe_whole")]
    pub process_kb: Option<u64>,
    /// The time after which an answer that is not being read is cut, in
    /// milliseconds; 10,000 by default.
    #[serde(default, deserialize_with = "maybe_whole")]
    pub unread_ms: Option<u64>,
    /// The time within which a request body must arrive, in milliseconds;
    /// 10,000 by default. The request's deadline applies as well.
    #[serde(default, deserialize_with = "maybe_whole")]
    pub body_ms: Option<u64>,
}

/// The memory limit that is assumed if none is set, in MB: that of the
/// smallest instances in use.
const DEFAULT_MEMORY_MB: u64 = 112;

/// The divisor of the memory limit that gives the default bound of a process.
/// The rest is for the kernel's socket buffers, chunks of weights, connections
/// and the program itself.
const MEMORY_DIVISOR: u64 = 4;

/// The default of [`BufferSettings::connection_kb`]. The answers of models
/// have some KB.
const DEFAULT_CONNECTION_KB: u64 = 256;

/// The default of [`BufferSettings::unread_ms`] and
/// [`BufferSettings::body_ms`]: longer than a caller's connection stalls for
/// lost packets, and than the time after which its request is late anyway.
const DEFAULT_STALL_MS: u64 = 10_000;

impl BufferSettings {
    /// Returns the bounds of a process with this memory limit, in MB.
    ///
    /// # Errors
    ///
    /// [`stairhinge::Code::OutOfRange`] if they contradict each other.
    fn bounds(&self, memory_mb: Option<u64>) -> Result<BufferBounds, Error> {
        const KB: u64 = 1024;
        let memory_kb =
            memory_mb.unwrap_or(DEFAULT_MEMORY_MB).saturating_mul(KB);
        let process = self.process_kb.unwrap_or(memory_kb / MEMORY_DIVISOR);
        let workspace = self.workspace_kb.unwrap_or(process / 2);
        let connection = self.connection_kb;
        let connection = connection.unwrap_or(DEFAULT_CONNECTION_KB);
        let unread_ms = self.unread_ms.unwrap_or(DEFAULT_STALL_MS);
        BufferBounds::new(
            connection.saturating_mul(KB),
            workspace.saturating_mul(KB),
            process.saturating_mul(KB),
            Duration::from_millis(unread_ms),
        )
    }

    /// Returns the time within which a request body must arrive.
    pub(crate) fn body_time(&self) -> Duration {
        Duration::from_millis(self.body_ms.unwrap_or(DEFAULT_STALL_MS))
    }
}

/// The settings of an entry that sends requests directly to replicas.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntrySettings {
    /// The instance's name.
    pub instance: Arc<str>,
    /// Its data hall.
    pub hall: Arc<str>,
    /// The region of each data hall. Requests that are restricted to regions
    /// are not sent to a hall without a region.
    #[serde(default)]
    pub regions: Option<HallRegions>,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address of the readiness endpoint for load balancers.
    pub ready: SocketAddr,
    /// The address at which metrics are served; `None` disables them.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The address for other entries and agents of the fleet; `None` disables
    /// the exchange with them.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Whether one entry of the hall chooses replicas for all of its entries.
    #[serde(default = "default_hall_placing")]
    pub hall_placing: bool,
    /// The port of the agents on the instances of replicas.
    pub agent_port: u16,
    /// The capacity of the instance's link, in megabits a second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: LinkMbps,
    /// The grace period of a graceful shutdown, in seconds.
    #[serde(deserialize_with = "whole")]
    pub grace_s: u64,
    /// How long a leaving replica may still receive new requests, in
    /// milliseconds.
    #[serde(deserialize_with = "whole")]
    pub drain_ms: u64,
    /// The time within which published routes must be in force, in
    /// milliseconds.
    #[serde(default = "default_routes_ms", deserialize_with = "whole")]
    pub routes_ms: u64,
    /// The interval at which replicas renew their list entries, in
    /// milliseconds.
    #[serde(default = "default_heartbeat_ms", deserialize_with = "whole")]
    pub heartbeat_ms: u64,
    /// The time within which a target version must be serving, in
    /// milliseconds.
    #[serde(deserialize_with = "whole")]
    pub version_ms: u64,
    /// The time that a process may take to be up to date after a start or a
    /// lost connection, in milliseconds.
    #[serde(deserialize_with = "whole")]
    pub contact_ms: u64,
    /// The time after which no requests may be sent to an evacuated hall, in
    /// milliseconds.
    #[serde(default, deserialize_with = "maybe_whole")]
    pub evacuate_ms: Option<u64>,
    /// The bound on requests to a cold replica.
    #[serde(default)]
    pub cold: ColdLimits,
    /// Admission control under lasting overload; `None` disables it.
    #[serde(default)]
    pub overload: Option<OverloadSettings>,
    /// The detection of failing and slow replicas by the outcomes of their
    /// requests; `None` disables it.
    #[serde(default)]
    pub health: Option<HealthSettings>,
    /// Whether the whole platform starts for the first time, so that no
    /// process serves callers yet.
    #[serde(default)]
    pub first_start: bool,
    /// The memory limit of the process, in MB, which the bounds of
    /// [`EntrySettings::buffers`] follow; 112 by default.
    #[serde(default, deserialize_with = "maybe_whole")]
    pub memory_mb: Option<u64>,
    /// The bounds on buffers; `None` disables them.
    #[serde(default)]
    pub buffers: Option<BufferSettings>,
    /// The bound on retries.
    pub retry: RetryBound,
    /// How versions in quick succession are kept and fetched; `None` drops an
    /// incomplete version once a newer one is requested.
    #[serde(default)]
    pub versions: Option<VersionSettings>,
    /// The maximum size of a request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// The maximum size of a request head, in bytes.
    #[serde(default = "default_head_bytes")]
    pub head_bytes: usize,
    /// The idle timeout of callers' connections, in milliseconds.
    #[serde(default = "default_idle_ms")]
    pub idle_ms: u64,
    /// The maximum number of connections of callers.
    #[serde(default = "default_connections")]
    pub connections: usize,
}

/// The maximum window, in seconds, and the maximum factor or number of
/// requests of a bound.
const MAX_BOUND: f64 = 1e6;

/// The default of [`EntrySettings::evacuate_ms`].
const DEFAULT_EVACUATE_MS: u64 = 5_000;

const fn default_hall_placing() -> bool {
    true
}

const fn default_link_mbps() -> LinkMbps {
    LinkMbps::new(100.0)
}

const fn default_routes_ms() -> u64 {
    2_000
}

const fn default_heartbeat_ms() -> u64 {
    1_200
}

const fn default_body_bytes() -> usize {
    4 << 20
}

const fn default_head_bytes() -> usize {
    64 << 10
}

const fn default_idle_ms() -> u64 {
    60_000
}

const fn default_connections() -> usize {
    2_500
}

impl Settings for EntrySettings {
    fn parse(text: &str) -> Result<EntrySettings, Error> {
        let settings: EntrySettings = read_settings(text)?;
        settings.buffer_bounds()?;
        if settings.buffers.is_some_and(|b| b.body_ms == Some(0)) {
            return Err(Error::range("buffers.body_ms", 0, "1 or more"));
        }
        if settings.grace_s == 0 {
            return Err(Error::range("grace_s", 0, "1 or more"));
        }
        settings.link_mbps.check()?;
        if let Some(overload) = &settings.overload {
            overload.check()?;
        }
        settings.health.unwrap_or_default().limits()?;
        if let Some(versions) = settings.versions {
            versions.check()?;
        }
        if !(0.0..=1.0).contains(&settings.retry.ratio) {
            let ratio = settings.retry.ratio;
            return Err(Error::range("retry.ratio", ratio, "0 to 1"));
        }
        for (field, value) in [
            ("retry.window_s", settings.retry.window_s),
            ("retry.minimum", settings.retry.minimum),
            ("cold.overage", settings.cold.overage.unwrap_or(0.0)),
            ("cold.slack", settings.cold.slack.unwrap_or(0.0)),
        ] {
            if !(0.0..=MAX_BOUND).contains(&value) {
                let allowed = format_args!("0 to {MAX_BOUND}");
                return Err(Error::range(field, value, allowed));
            }
        }
        Ok(settings)
    }

    // Addresses, listener limits and time limits that are fixed when the
    // process starts take effect only after a restart.
    fn with_live(&self, next: &EntrySettings) -> EntrySettings {
        EntrySettings {
            grace_s: next.grace_s,
            retry: next.retry,
            ..self.clone()
        }
    }
}

impl EntrySettings {
    /// Returns the maximum rate of chunk transfers, in bytes a second.
    ///
    /// Answers to 17 requests a second need 0.8 Mbit/s of an entry's 40 or
    /// more, while the 22 agents of a hall wait for chunks from three entries.
    pub const fn chunk_rate(&self) -> u64 {
        const LINK_SHARE: f64 = 0.8;
        self.link_mbps.bytes_per_s(LINK_SHARE)
    }

    /// Returns the bounds on buffers, if there are any.
    ///
    /// # Errors
    ///
    /// [`stairhinge::Code::OutOfRange`] if they contradict each other.
    pub fn buffer_bounds(&self) -> Result<Option<BufferBounds>, Error> {
        let bounds = self.buffers.map(|b| b.bounds(self.memory_mb));
        bounds.transpose()
    }

    /// Returns the grace period of a graceful shutdown.
    pub const fn grace(&self) -> Duration {
        Duration::from_secs(self.grace_s)
    }

    /// Returns how long after a platform failure a replica that is no longer
    /// listed is retained, since its next heartbeat may list it again.
    pub const fn unlisted_grace(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms * 2)
    }

    /// Returns the minimum interval between two reads of routes that are
    /// published in quick succession, a fraction of the time within which
    /// they must be in force.
    pub const fn burst_read_interval(&self) -> Duration {
        Duration::from_millis(self.routes_ms / 4)
    }

    /// Returns the time within which a target version must be serving.
    pub const fn version_bound(&self) -> Duration {
        Duration::from_millis(self.version_ms)
    }

    /// Returns the time after which no requests may be sent to an evacuated
    /// hall.
    pub fn evacuation_bound(&self) -> EvacuationBound {
        let within = self.evacuate_ms.unwrap_or(DEFAULT_EVACUATE_MS);
        EvacuationBound::new(Duration::from_millis(within))
    }

    /// Returns the presumed age of target versions that were set before the
    /// process started. It limits the use of replicas with older versions to
    /// the time until the process must be up to date.
    pub const fn presumed_age(&self) -> Duration {
        Duration::from_millis(self.version_ms.saturating_sub(self.contact_ms))
    }
}
