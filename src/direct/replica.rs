//! Replicas as listed by the platform.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::LayerRange;

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaState {
    /// The replica accepts new requests.
    Ready,
    /// The replica finishes its running requests and then shuts down.
    Draining,
}

/// The version of a model that a replica has loaded, fully or in part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaVersion {
    /// The model's name.
    pub model: Arc<str>,
    /// The version of its weights.
    pub version: u64,
    /// The loaded layers, or `None` for all of them.
    #[serde(default)]
    pub layers: Option<LayerRange>,
}

/// A listed replica.
///
/// After a restart a replica has either a new incarnation, or the same one
/// with a later start time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// The identifier of this run of the replica.
    pub incarnation: Arc<str>,
    /// The name of its service.
    pub service: Arc<str>,
    /// The address at which it listens.
    pub addr: SocketAddr,
    /// Its data hall.
    pub hall: Arc<str>,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ReplicaState,
    /// The platform's revision at which it was added to the list, 0 if
    /// unknown.
    #[serde(default)]
    pub listed_at: u64,
    /// The start time of its process by its own clock, in milliseconds since
    /// the Unix epoch, if reported. A restarted process may keep its
    /// incarnation.
    #[serde(default)]
    pub born: Option<u64>,
    /// The remaining duration of its cold phase when the record was written,
    /// in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// The loaded models; empty for services without models.
    #[serde(default)]
    pub versions: Vec<ReplicaVersion>,
}

impl Replica {
    /// Returns whether another run has replaced this one: both are listed at
    /// the same address, and the other was added later. A crashed run stays
    /// listed until its heartbeats time out.
    pub fn is_replaced_by(&self, other: &Replica) -> bool {
        self.addr == other.addr
            && self.incarnation != other.incarnation
            && self.listed_at > 0
            && self.listed_at < other.listed_at
    }

    /// Returns whether this is an earlier process of the same incarnation.
    /// Returns `false` if either start time is unknown.
    pub fn is_older_than(&self, other: &Replica) -> bool {
        self.incarnation == other.incarnation
            && self.born.zip(other.born).is_some_and(|(own, new)| own < new)
    }

    /// Returns the version that it has loaded of a model with `layers`
    /// layers, or `None` unless all of them are loaded.
    pub fn version(&self, model: &str, layers: u32) -> Option<u64> {
        let held = self.versions.iter().find(|v| &*v.model == model)?;
        let whole = held.layers.is_none_or(|run| run.is_whole(layers));
        whole.then_some(held.version)
    }
}
