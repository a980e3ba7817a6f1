//! One replica, as the platform lists it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::LayerRange;

/// Whether a replica takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// The version of a model that a replica holds, in whole or in part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaVersion {
    /// The model's name.
    pub model: Arc<str>,
    /// The version of its weights.
    pub version: u64,
    /// The layers held, where they are not all.
    #[serde(default)]
    pub layers: Option<LayerRange>,
}

/// A listed replica. Each start of one is another replica, or the same one
/// with a later start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// Names this run of it.
    pub incarnation: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ReplicaState,
    /// The platform's revision at which it came to the list; 0 if that is not
    /// known.
    #[serde(default)]
    pub listed_at: u64,
    /// When its process started, in Unix milliseconds by its own clock, if it
    /// tells. One that starts again may keep its name.
    #[serde(default)]
    pub born: Option<u64>,
    /// How much longer it was cold when this was written, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// The models that it holds; none for plain services.
    #[serde(default)]
    pub versions: Vec<ReplicaVersion>,
}

impl Replica {
    /// Returns whether another run has taken this one's place: both are
    /// listed at one address, and the other came later. A run that has
    /// crashed stays listed until its heartbeats are missed.
    pub fn is_replaced_by(&self, other: &Replica) -> bool {
        self.addr == other.addr
            && self.incarnation != other.incarnation
            && self.listed_at > 0
            && self.listed_at < other.listed_at
    }

    /// Returns whether this is an earlier process of the replica than another
    /// one. Of two of which one does not tell its start nothing is known.
    pub fn is_older_than(&self, other: &Replica) -> bool {
        self.incarnation == other.incarnation
            && self.born.zip(other.born).is_some_and(|(own, new)| own < new)
    }

    /// Returns the version that it holds of a model with `layers` layers, if
    /// it holds all of them.
    pub fn version(&self, model: &str, layers: u32) -> Option<u64> {
        let held = self.versions.iter().find(|v| &*v.model == model)?;
        let whole = held.layers.is_none_or(|run| run.is_whole(layers));
        whole.then_some(held.version)
    }
}
