//! What processes ask one another of what one of them has read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use stairhinge::Error;
use stairhinge::direct::{Replica, ReplicaChanges};
use stairhinge::document::Patch;

use super::{Collection, EvacuationAge, TargetAge};

/// What a process asks the reader of its hall.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SharedQuestion {
    /// What it wants to know.
    pub collection: Collection,
    /// The platform's revision up to which it knows all, if any.
    pub after: Option<u64>,
    /// The revision of the routes that it knows.
    pub revision: u64,
    /// How many versions it knows to be named.
    pub targets: usize,
    /// The halls that it takes for evacuated.
    #[serde(default)]
    pub evacuated: Vec<Arc<str>>,
    /// How long to wait for something new, in milliseconds.
    pub wait_ms: u64,
    /// From which age on an answer is of no use, in milliseconds.
    pub most_age_ms: u64,
    /// Whether the asker hands nothing on, as an agent does not.
    #[serde(default)]
    pub for_itself: bool,
}

/// What the reader of a hall answers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SharedAnswer {
    /// The platform's revision up to which this is all there is.
    pub at: u64,
    /// How long ago that was so at the latest, in milliseconds.
    pub age_ms: u64,
    /// How long ago the platform last failed the reader, in milliseconds.
    pub failed_ms: Option<u64>,
    /// The revision of the routes that the reader has in force.
    pub revision: u64,
    /// How to get to newer routes.
    #[serde(default)]
    pub routes: Option<SharedRoutes>,
    /// The versions named.
    #[serde(default)]
    pub targets: Vec<TargetAge>,
    /// The evacuations in force, where declarations were asked for.
    #[serde(default)]
    pub evacuations: Option<Vec<EvacuationAge>>,
    /// Changes of replicas.
    #[serde(default)]
    pub replicas: Option<SharedReplicas>,
}

impl SharedAnswer {
    /// Returns whether it leads to newer routes than the asker knew.
    pub fn has_newer_routes(&self, question: &SharedQuestion) -> bool {
        self.routes.is_some() && self.revision > question.revision
    }
}

/// Newer routes in an answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SharedRoutes {
    /// Their document is to be fetched whole.
    Fetch,
    /// What leads there from the document that the asker holds.
    Patch(Arc<Patch>),
}

/// Changes of replicas in an answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SharedReplicas {
    /// Whether those that are not listed are gone.
    pub whole: bool,
    /// Replicas that came or changed.
    pub listed: Vec<Replica>,
    /// Incarnations that are listed no more.
    pub gone: Vec<Arc<str>>,
}

impl SharedReplicas {
    pub(super) fn new(changes: ReplicaChanges) -> SharedReplicas {
        SharedReplicas {
            whole: changes.whole,
            listed: changes.listed,
            gone: changes.gone,
        }
    }
}

/// What another entry answered.
#[derive(Clone, Debug)]
pub struct ReaderAnswer {
    /// Where that entry answers others.
    pub entry: SocketAddr,
    /// What it has read.
    pub shared: SharedAnswer,
}

/// What asking the others of the hall brought.
#[derive(Clone, Debug)]
pub enum HallNews {
    /// A fresh answer.
    Told(ReaderAnswer),
    /// Nothing yet: another process reads for this one, and has to be asked
    /// again.
    Awaited,
    /// Nothing: the platform is to be read.
    Nobody,
}

/// Asks another process of the hall for what it has read.
pub trait HallReader: Send + Sync {
    /// Returns what another process knows.
    fn ask(&self, question: SharedQuestion) -> BoxFuture<'_, HallNews>;

    /// Asks processes that had old news again and again, or else those that
    /// have not been asked of late, and returns once one has fresh news; never
    /// if none answers.
    fn news(&self, question: SharedQuestion) -> BoxFuture<'_, ReaderAnswer>;

    /// Returns whether this process knows of no other that it could ask or
    /// that could ask it.
    fn is_alone(&self) -> bool;

    /// Returns whether this process is one that others ask.
    fn leads(&self) -> bool;

    /// Returns the document of the routes that an entry has in force.
    ///
    /// # Errors
    ///
    /// If it brings none in time.
    fn fetch_routes(
        &self,
        entry: SocketAddr,
        within: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>>;
}
