//! The platform's list of instances, which lags.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Code, Error};

/// What runs on an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry.
    Entry,
    /// An agent beside a backend server.
    Agent,
}

/// What the platform last knew of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// It is believed to run.
    Live,
    /// It is to go, and gets no new work.
    Leaving,
}

/// One instance as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// The instance's name, unique in the fleet.
    pub name: Arc<str>,
    /// Its data hall.
    pub hall: Arc<str>,
    /// What runs on it.
    pub role: Role,
    /// Where it takes requests and serves chunks.
    pub http: SocketAddr,
    /// Where it takes control calls.
    pub control: SocketAddr,
    /// Whether it is live or leaving.
    pub presence: Presence,
}

/// The instance list of one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Rises with each change.
    pub revision: u64,
    /// All instances that the platform knows.
    pub instances: Vec<Instance>,
}

impl Listing {
    /// Reads the JSON form that the platform publishes.
    ///
    /// # Errors
    ///
    /// [`Code::MalformedJson`] with the place.
    pub fn parse(bytes: &[u8]) -> Result<Listing, Error> {
        serde_json::from_slice(bytes)
            .map_err(|e| Error::new(Code::MalformedJson, e))
    }

    /// Returns the instance with a name.
    pub fn get(&self, name: &str) -> Option<&Instance> {
        self.instances.iter().find(|i| *i.name == *name)
    }

    /// Returns the instances of a data hall.
    pub fn hall<'a>(
        &'a self,
        hall: &'a str,
    ) -> impl Iterator<Item = &'a Instance> {
        self.instances.iter().filter(move |i| *i.hall == *hall)
    }
}
