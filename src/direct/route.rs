//! Routes: which requests they match and how these are served.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::AllowedRegions;

/// Whether a request may be retried after an attempt that may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The request may run more than once.
    Freely,
    /// The request may run at most once.
    Never,
    /// The response is a stream, which another replica may resume after the
    /// last event that was sent to the caller.
    Resume,
}

/// A service that receives requests of a route, with its weight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Destination {
    /// The service's name.
    pub service: Arc<str>,
    /// Its share of the requests, relative to the sum of all weights.
    pub weight: u32,
}

/// A published route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Route {
    /// The host of matching requests.
    pub host: Arc<str>,
    /// The path prefix of matching requests; starts and ends with a slash.
    pub prefix: Arc<str>,
    /// The services that receive its requests.
    pub destinations: Vec<Destination>,
    /// Whether a request may be retried after it may have run.
    pub repeat: Repeat,
    /// Whether responses are event streams.
    pub streaming: bool,
    /// The timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective of a request, in milliseconds.
    pub objective_ms: u64,
    /// The maximum number of replicas that a request is sent to.
    pub attempts: u32,
    /// The priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    #[serde(default)]
    pub public: bool,
    /// The regions in which its requests may be served.
    #[serde(default)]
    pub regions: AllowedRegions,
}

impl Route {
    /// Returns the timeout of a request.
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns the latency objective of a request.
    pub const fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// Returns the service for a request, chosen by weight. `random` is a
    /// uniformly distributed number.
    pub fn service(&self, random: u32) -> Option<&Arc<str>> {
        let total: u64 =
            self.destinations.iter().map(|d| u64::from(d.weight)).sum();
        let mut left = (u64::from(random) * total) >> u32::BITS;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if left < weight {
                return Some(&destination.service);
            }
            left -= weight;
        }
        self.destinations.first().map(|d| &d.service)
    }
}
