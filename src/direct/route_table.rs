//! The routes, services and workspaces of one published revision.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::balance::LatencyModel;
use super::{AllowedRegions, Route};
use crate::{Code, Error};

/// The characteristics of a kind of model engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
pub struct Engine {
    /// The number of requests that a replica runs concurrently.
    pub slots: u32,
    /// The number of layers of the model.
    pub layers: u32,
    /// The number of chunks of a version.
    pub chunks: u32,
    /// The time to load all layers, in milliseconds.
    pub load_ms: u64,
    /// Prompt tokens processed per second.
    #[serde(default)]
    pub read_per_s: f64,
    /// The duration of a decoding step, in milliseconds.
    #[serde(default)]
    pub step_ms: f64,
    /// The prompt length of a typical request, in tokens.
    #[serde(default)]
    pub usual_prompt: f64,
    /// The length of a typical response, in tokens.
    #[serde(default)]
    pub usual_answer: f64,
}

impl Engine {
    /// Returns the latency model of a replica of this kind with `slots`
    /// slots.
    pub fn latency_model(&self, slots: u32) -> LatencyModel {
        let tokens_per_ms = self.read_per_s / 1000.0;
        let prefill_ms = if tokens_per_ms > 0.0 {
            self.usual_prompt / tokens_per_ms
        } else {
            0.0
        };
        let decode_ms =
            self.usual_answer * self.step_ms / f64::from(slots.max(1));
        LatencyModel {
            slots,
            tokens_per_ms,
            usual_prompt: self.usual_prompt,
            entries: 1.0,
            slot_ms: prefill_ms + decode_ms,
        }
    }
}

/// The server from which the weights of models are fetched.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Origin {
    /// Its address.
    pub addr: SocketAddr,
    /// The total bandwidth of its link for all clients together, in megabits
    /// per second, if configured.
    #[serde(default)]
    pub link_mbps: Option<f64>,
}

impl Origin {
    /// Returns the time to transfer a number of bytes over its link, if the
    /// bandwidth is known.
    pub fn transfer(&self, bytes: u32) -> Option<Duration> {
        let mbps = self.link_mbps.filter(|mbps| *mbps > 0.0)?;
        let seconds = f64::from(bytes) * 8.0 / (mbps * 1e6);
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// A service that receives requests of routes.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// The maximum number of connections to a replica from all callers.
    pub connections: u32,
    /// The maximum request rate of a cold replica, per second; 0 if cold
    /// replicas have no lower limit.
    #[serde(default)]
    pub cold_per_s: f64,
    /// The kind of its engines, if it serves a model.
    #[serde(default)]
    pub engine: Option<Engine>,
    /// The models that it serves.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
}

/// A workspace and the keys that identify its requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Workspace {
    /// Its name, which is passed on to replicas.
    pub name: Arc<str>,
    /// Its keys.
    pub keys: Vec<Arc<str>>,
    /// The priority of its requests, which overrides that of the route.
    #[serde(default)]
    pub priority: Option<u8>,
    /// The regions in which its requests may be served.
    #[serde(default)]
    pub regions: AllowedRegions,
}

/// A published revision before validation.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct RouteTableParts {
    /// The revision, which only increases.
    pub revision: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services of replicas.
    pub services: Vec<Service>,
    /// All workspaces. If there are none, requests need no key.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// The origin of weights.
    #[serde(default)]
    pub origin: Option<Origin>,
}

/// A validated revision, indexed for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    revision: u64,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Service>,
    keys: HashMap<Arc<str>, Arc<Workspace>>,
    requires_keys: bool,
    origin: Option<Origin>,
}

impl RouteTable {
    /// Validates and indexes a published revision.
    ///
    /// # Errors
    ///
    /// [`Code::UnknownReference`] if a route refers to an undefined service,
    /// [`Code::OutOfRange`] if a prefix does not start and end with a slash
    /// or a route has no destination.
    pub fn new(parts: RouteTableParts) -> Result<RouteTable, Error> {
        let mut table = RouteTable {
            revision: parts.revision,
            requires_keys: !parts.workspaces.is_empty(),
            origin: parts.origin,
            ..RouteTable::default()
        };
        for service in parts.services {
            table.services.insert(Arc::clone(&service.name), service);
        }
        for route in parts.routes {
            table.validate(&route)?;
            let host = table.hosts.entry(Arc::clone(&route.host)).or_default();
            host.push(Arc::new(route));
        }
        for routes in table.hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        for workspace in parts.workspaces {
            let workspace = Arc::new(workspace);
            for key in &workspace.keys {
                table.keys.insert(Arc::clone(key), Arc::clone(&workspace));
            }
        }
        Ok(table)
    }

    fn validate(&self, route: &Route) -> Result<(), Error> {
        let prefix = &route.prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            let allowed = "a path that begins and ends with a slash";
            return Err(Error::range("prefix", prefix, allowed));
        }
        if route.destinations.is_empty() {
            return Err(Error::range("destinations", 0, "1 or more"));
        }
        for destination in &route.destinations {
            if self.services.contains_key(&destination.service) {
                continue;
            }
            return Err(Error::new(
                Code::UnknownReference,
                format_args!("service {:?}", destination.service),
            ));
        }
        Ok(())
    }

    /// Returns the revision.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the route with the longest prefix for a host and a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns whether requests need a key, except on public routes.
    pub const fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Returns the workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the kind of engine that serves a model, if there is one.
    pub fn engine_for_model(&self, model: &str) -> Option<Engine> {
        let mut services = self.services.values();
        let found = services.find(|s| s.models.iter().any(|m| &**m == model));
        found.and_then(|s| s.engine)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the origin of weights, if configured.
    pub const fn origin(&self) -> Option<Origin> {
        self.origin
    }
}
