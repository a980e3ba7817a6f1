//! One route: which requests it takes, and how they are served.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::AllowedRegions;

/// What may be done with a request after an attempt may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It may run more than once.
    Freely,
    /// It may run at most once.
    Never,
    /// It is a stream that another replica may take up after the last event
    /// that reached the caller.
    Resume,
}

/// A service that a route sends to, with its weight among the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Destination {
    /// The service's name.
    pub service: Arc<str>,
    /// Its part of the requests, against the sum of all weights.
    pub weight: u32,
}

/// A route, as published.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Route {
    /// The host that requests name.
    pub host: Arc<str>,
    /// The beginning of the path; starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Where its requests go.
    pub destinations: Vec<Destination>,
    /// Whether a request may be sent again.
    pub repeat: Repeat,
    /// Whether answers are streams of events.
    pub streaming: bool,
    /// How long a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// Within which an answer has its full worth, in milliseconds.
    pub objective_ms: u64,
    /// The most replicas that one request may be sent to.
    pub attempts: u32,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Whether no key is needed.
    #[serde(default)]
    pub public: bool,
    /// Where its requests may be served.
    #[serde(default)]
    pub regions: AllowedRegions,
}

impl Route {
    /// Returns how long a request may be held.
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns within which an answer has its full worth.
    pub const fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// Returns the service for a request, given a number drawn evenly from
    /// all of `u32`.
    pub fn service(&self, drawn: u32) -> Option<&Arc<str>> {
        let total: u64 =
            self.destinations.iter().map(|d| u64::from(d.weight)).sum();
        let mut left = (u64::from(drawn) * total) >> u32::BITS;
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
