//! All routes, services and workspaces of one published revision.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::balance::LatencyModel;
use super::{AllowedRegions, Route};
use crate::{Code, Error};

/// What is known of a model engine's kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
pub struct Engine {
    /// Requests that one replica runs at a time.
    pub slots: u32,
    /// Layers of the model.
    pub layers: u32,
    /// Chunks of a version.
    pub chunks: u32,
    /// How long a load of all layers takes, in milliseconds.
    pub load_ms: u64,
    /// Prompt tokens read in a second.
    #[serde(default)]
    pub read_per_s: f64,
    /// Milliseconds of a token step.
    #[serde(default)]
    pub step_ms: f64,
    /// Prompt tokens of a usual request.
    #[serde(default)]
    pub usual_prompt: f64,
    /// Tokens of a usual answer.
    #[serde(default)]
    pub usual_answer: f64,
}

impl Engine {
    /// Returns how long a replica of this kind takes.
    pub fn latency_model(&self, slots: u32) -> LatencyModel {
        let tokens_per_ms = self.read_per_s / 1000.0;
        let reading = if tokens_per_ms > 0.0 {
            self.usual_prompt / tokens_per_ms
        } else {
            0.0
        };
        let writing =
            self.usual_answer * self.step_ms / f64::from(slots.max(1));
        LatencyModel {
            slots,
            tokens_per_ms,
            usual_prompt: self.usual_prompt,
            entries: 1.0,
            slot_ms: reading + writing,
        }
    }
}

/// Where the weights of models come from.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Origin {
    /// Its address.
    pub addr: SocketAddr,
    /// What its link carries for all who draw together, in megabits a
    /// second, if that is told.
    #[serde(default)]
    pub link_mbps: Option<f64>,
}

impl Origin {
    /// Returns how long its link takes for some bytes, if that is known.
    pub fn transfer(&self, bytes: u32) -> Option<Duration> {
        let mbps = self.link_mbps.filter(|mbps| *mbps > 0.0)?;
        let seconds = f64::from(bytes) * 8.0 / (mbps * 1e6);
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// A service that routes send to.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// The most connections that one replica takes from all callers.
    pub connections: u32,
    /// Requests a second that a replica bears while it is cold; 0 where it
    /// bears as many as later.
    #[serde(default)]
    pub cold_per_s: f64,
    /// Its engine's kind, if it serves a model.
    #[serde(default)]
    pub engine: Option<Engine>,
    /// Its models.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
}

/// A workspace and the keys by which its requests are known.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Workspace {
    /// Its name, as replicas are told it.
    pub name: Arc<str>,
    /// Its keys.
    pub keys: Vec<Arc<str>>,
    /// Goes before the route's priority.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Where its requests may be served.
    #[serde(default)]
    pub regions: AllowedRegions,
}

/// A published revision before it is checked.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct RouteTableParts {
    /// The revision; only rises.
    pub revision: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services that replicas belong to.
    pub services: Vec<Service>,
    /// All workspaces; with none, no key is asked for.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// Where weights come from.
    #[serde(default)]
    pub origin: Option<Origin>,
}

/// One checked revision, laid out for look-ups.
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
    /// Checks a published revision.
    ///
    /// # Errors
    ///
    /// [`Code::UnknownReference`] if a route names a service that is not
    /// there, [`Code::OutOfRange`] for a prefix without its slashes or a
    /// route without a destination.
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

    /// Returns whether requests need a key where their route is not public.
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

    /// Returns the kind of engine that serves a model.
    pub fn engine_for_model(&self, model: &str) -> Option<Engine> {
        let mut services = self.services.values();
        let found = services.find(|s| s.models.iter().any(|m| &**m == model));
        found.and_then(|s| s.engine)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns where weights come from.
    pub const fn origin(&self) -> Option<Origin> {
        self.origin
    }
}
