//! The platform's list of instances.
//!
//! The list lags behind the instances that actually run.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Code, Error};

/// What runs on an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry, which takes requests from callers.
    Entry,
    /// An agent, which runs beside a backend server.
    Agent,
}

/// The state of an instance as last known to the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// The instance is believed to be running.
    Live,
    /// The instance is going to be removed and receives no new work.
    Leaving,
}

/// One instance of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// The instance's name, unique in the fleet.
    pub name: Arc<str>,
    /// The data hall of the instance.
    pub hall: Arc<str>,
    /// Whether an entry or an agent runs on the instance.
    pub role: Role,
    /// The address for requests and chunks.
    pub http: SocketAddr,
    /// The address for control calls.
    pub control: SocketAddr,
    /// Whether the instance is live or leaving.
    pub presence: Presence,
}

/// One revision of the instance list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// The revision, which increases with each change.
    pub revision: u64,
    /// All instances known to the platform.
    pub instances: Vec<Instance>,
}

impl Listing {
    /// Parses the JSON form that the platform publishes.
    ///
    /// # Errors
    ///
    /// [`Code::MalformedJson`] with the position of the fault.
    pub fn parse(bytes: &[u8]) -> Result<Listing, Error> {
        serde_json::from_slice(bytes)
            .map_err(|e| Error::new(Code::MalformedJson, e))
    }

    /// Returns the instance with the given name.
    pub fn get(&self, name: &str) -> Option<&Instance> {
        self.instances.iter().find(|i| *i.name == *name)
    }

    /// Returns the instances of a data hall, in listed order.
    pub fn hall<'a>(
        &'a self,
        hall: &'a str,
    ) -> impl Iterator<Item = &'a Instance> {
        self.instances.iter().filter(move |i| *i.hall == *hall)
    }
}
