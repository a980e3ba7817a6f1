//! Settings of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairhinge::Error;
use stairhinge::direct::{EvacuationBound, HallRegions};
use stairhinge::number::{maybe_whole, whole};
use stairhinge::placing::ColdBound;
use stairhinge_shell::{LinkMbps, Settings, read_settings};

/// The bound on retries over all entries together.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct RetryBound {
    /// Retries against requests.
    pub ratio: f64,
    /// The sliding window, in seconds.
    pub window_s: f64,
    /// Retries that are allowed beside the ratio.
    pub minimum: f64,
}

/// The bound on requests to a cold replica, over all entries together.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct ColdLimits {
    /// Times the requests a second that the replica bears; without a value
    /// just as many.
    #[serde(default)]
    pub overage: Option<f64>,
    /// Requests beside these.
    #[serde(default)]
    pub slack: Option<f64>,
}

impl ColdLimits {
    /// Returns the bound for replicas that bear so many requests a second.
    pub fn bound(self, per_s: f64) -> Option<ColdBound> {
        let overage = self.overage.unwrap_or(1.0);
        ColdBound::new(per_s, overage, self.slack.unwrap_or(0.0))
    }
}

/// The settings of an entry that sends straight to replicas.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntrySettings {
    /// The instance's name.
    pub instance: Arc<str>,
    /// Its data hall.
    pub hall: Arc<str>,
    /// The region of each data hall; where a hall is in none, requests that
    /// are bound to regions are not sent there.
    #[serde(default)]
    pub regions: Option<HallRegions>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the entry is ready.
    pub ready: SocketAddr,
    /// Where metrics are served, if anywhere.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Where other entries ask this one for newer routes, if anywhere.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Whether one entry of the hall chooses replicas for all of them.
    #[serde(default = "default_hall_placing")]
    pub hall_placing: bool,
    /// The port of agents on the instances of replicas.
    pub agent_port: u16,
    /// What the instance's link carries, in megabits a second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: LinkMbps,
    /// How long a planned stop may take, in seconds.
    #[serde(deserialize_with = "whole")]
    pub grace_s: u64,
    /// How long a leaving replica may get new requests, in milliseconds.
    #[serde(deserialize_with = "whole")]
    pub drain_ms: u64,
    /// Within which published routes have to be in force, in milliseconds.
    #[serde(default = "default_routes_ms", deserialize_with = "whole")]
    pub routes_ms: u64,
    /// How often a listed replica renews its entry, in milliseconds.
    #[serde(default = "default_heartbeat_ms", deserialize_with = "whole")]
    pub heartbeat_ms: u64,
    /// Within which a named version has to serve, in milliseconds.
    #[serde(deserialize_with = "whole")]
    pub version_ms: u64,
    /// How long a process may need to be up to date again after a start or
    /// a cut, in milliseconds.
    #[serde(deserialize_with = "whole")]
    pub contact_ms: u64,
    /// Within which nothing may be sent to an evacuated hall any more, in
    /// milliseconds.
    #[serde(default, deserialize_with = "maybe_whole")]
    pub evacuate_ms: Option<u64>,
    /// The bound on requests to a cold replica.
    #[serde(default)]
    pub cold: ColdLimits,
    /// Whether the whole platform starts for the first time: nobody serves
    /// callers yet.
    #[serde(default)]
    pub first_start: bool,
    /// The bound on retries.
    pub retry: RetryBound,
    /// The largest body of a request, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// The largest head of a request, in bytes.
    #[serde(default = "default_head_bytes")]
    pub head_bytes: usize,
    /// How long a caller's connection may rest, in milliseconds.
    #[serde(default = "default_idle_ms")]
    pub idle_ms: u64,
    /// The most connections of callers.
    #[serde(default = "default_connections")]
    pub connections: usize,
}

/// The largest span in seconds, or number of requests, of a bound.
const MOST_BOUND: f64 = 1e6;

/// Within which an evacuated hall gets nothing more, in milliseconds, if the
/// settings do not say.
const EVACUATE_MS: u64 = 5_000;

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
        if settings.grace_s == 0 {
            return Err(Error::range("grace_s", 0, "1 or more"));
        }
        settings.link_mbps.check()?;
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
            if !(0.0..=MOST_BOUND).contains(&value) {
                let allowed = format_args!("0 to {MOST_BOUND}");
                return Err(Error::range(field, value, allowed));
            }
        }
        Ok(settings)
    }

    // Addresses, limits of listeners and the times by which a process's parts
    // were made need a new start.
    fn with_live(&self, next: &EntrySettings) -> EntrySettings {
        EntrySettings {
            grace_s: next.grace_s,
            retry: next.retry,
            ..self.clone()
        }
    }
}

impl EntrySettings {
    /// Returns the bytes a second that chunks may take of the link. Answers
    /// of 17 requests a second take 0.8 Mbit/s of an entry's 40 or more; 22
    /// agents of a hall wait for what three entries send.
    pub const fn chunk_rate(&self) -> u64 {
        const PART: f64 = 0.8;
        self.link_mbps.bytes_per_s(PART)
    }

    /// Returns how long a planned stop may take.
    pub const fn grace(&self) -> Duration {
        Duration::from_secs(self.grace_s)
    }

    /// Returns how long after a failure of the platform a replica that is
    /// not listed may still be there: its next heartbeat lists it again.
    pub const fn doubt(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms * 2)
    }

    /// Returns the least span between two readings of routes that are
    /// published in quick succession: a part of the time that they have to
    /// be in force.
    pub const fn burst_pace(&self) -> Duration {
        Duration::from_millis(self.routes_ms / 4)
    }

    /// Returns within which a named version has to serve.
    pub const fn version_bound(&self) -> Duration {
        Duration::from_millis(self.version_ms)
    }

    /// Returns within which an evacuated hall gets nothing more.
    pub fn evacuation_bound(&self) -> EvacuationBound {
        let within = self.evacuate_ms.unwrap_or(EVACUATE_MS);
        EvacuationBound::new(Duration::from_millis(within))
    }

    /// Returns how old a version is taken to be that was named before the
    /// process began: old replicas are used only until it has to be up to
    /// date.
    pub const fn presumed_age(&self) -> Duration {
        Duration::from_millis(self.version_ms.saturating_sub(self.contact_ms))
    }
}
