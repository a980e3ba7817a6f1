//! Messages between processes that share reads of the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use stairhinge::direct::{AnsweredSpan, Replica, ReplicaChanges};
use stairhinge::document::Patch;
use stairhinge::{Error, Time};

use super::{Collection, EvacuationAge, TargetAge};

/// A question to the reader of a data hall.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SharedQuestion {
    /// The collection that it is about.
    pub collection: Collection,
    /// The platform revision up to which the asker knows all changes, if any.
    pub after: Option<u64>,
    /// The revision of the routes that the asker knows.
    pub revision: u64,
    /// The number of target versions that the asker knows, for processes that
    /// don't read `newest`.
    pub targets: usize,
    /// The newest target version of each model that the asker knows, absent
    /// if only their number is told.
    #[serde(default)]
    pub newest: Option<BTreeMap<Arc<str>, u64>>,
    /// The data halls that the asker knows to be evacuated.
    #[serde(default)]
    pub evacuated: Vec<Arc<str>>,
    /// How long to wait for a change, in milliseconds.
    pub wait_ms: u64,
    /// The maximum age of a usable answer, in milliseconds.
    pub most_age_ms: u64,
    /// Whether the asker serves nothing to others, as is the case for agents.
    #[serde(default)]
    pub for_itself: bool,
}

/// An answer of the reader of a data hall.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SharedAnswer {
    /// The platform revision up to which the answer is complete.
    pub at: u64,
    /// The maximum time since the answer was known to be complete, in
    /// milliseconds.
    pub age_ms: u64,
    /// The time since the platform last failed the reads that the data comes
    /// from, in milliseconds. The process that made them is another one than
    /// the reader if the reader has the data from it.
    pub failed_ms: Option<u64>,
    /// For how long the platform had answered these reads when the data was
    /// complete, in milliseconds; absent from processes of earlier versions.
    #[serde(default)]
    pub answered_ms: Option<u64>,
    /// The revision of the reader's current routes.
    pub revision: u64,
    /// How to get to newer routes.
    #[serde(default)]
    pub routes: Option<SharedRoutes>,
    /// The target versions.
    #[serde(default)]
    pub targets: Vec<TargetAge>,
    /// The current evacuations, if the question is about declarations.
    #[serde(default)]
    pub evacuations: Option<Vec<EvacuationAge>>,
    /// Changes of replicas.
    #[serde(default)]
    pub replicas: Option<Box<SharedReplicas>>,
}

impl SharedAnswer {
    /// Returns the time at which the data was complete, if the question was
    /// sent at `called`.
    pub(super) const fn synced(&self, called: Time) -> Time {
        called.before(Duration::from_millis(self.age_ms))
    }

    /// Returns the reads that the data comes from, if the question was sent at
    /// `called`.
    pub fn reads(&self, called: Time) -> AnsweredSpan {
        let ms = Duration::from_millis;
        let synced = self.synced(called);
        let failed = self.failed_ms.map(|ago| called.before(ms(ago)));
        let since = match self.answered_ms {
            Some(answered) => synced.before(ms(answered)),
            None => failed.map_or(synced, |at| at.min(synced)),
        };
        AnsweredSpan { since, until: synced, failed }
    }

    /// Returns whether it has newer routes than the asker knows.
    pub fn has_newer_routes(&self, question: &SharedQuestion) -> bool {
        self.routes.is_some() && self.revision > question.revision
    }
}

/// Newer routes in an answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SharedRoutes {
    /// Their full document has to be fetched.
    Fetch,
    /// A patch of the document that the asker holds.
    Patch(Arc<Patch>),
}

/// Changes of replicas in an answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SharedReplicas {
    /// Whether `listed` is complete, so that all other replicas are gone.
    pub whole: bool,
    /// New and changed replicas.
    pub listed: Vec<Replica>,
    /// Incarnations that are no longer listed.
    pub gone: Vec<Arc<str>>,
    /// Pairs of revisions, of which the changes between them are known by
    /// their result only; absent from processes of earlier versions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gaps: Vec<(u64, u64)>,
}

impl SharedReplicas {
    pub(super) fn new(changes: ReplicaChanges) -> SharedReplicas {
        SharedReplicas {
            whole: changes.whole,
            listed: changes.listed,
            gone: changes.gone,
            gaps: changes.gaps,
        }
    }
}

/// An answer of another entry.
#[derive(Clone, Debug)]
pub struct ReaderAnswer {
    /// The address at which that entry answers others.
    pub entry: SocketAddr,
    /// The data that it has read.
    pub shared: SharedAnswer,
}

/// The outcome of asking other processes of the data hall.
#[derive(Clone, Debug)]
pub enum HallAnswer {
    /// A fresh answer.
    Answered(ReaderAnswer),
    /// No answer yet: another process reads for this one, and has to be asked
    /// again.
    Pending,
    /// No answer: the platform has to be read.
    ReadPlatform,
}

/// A client for the other processes of a data hall.
pub trait HallReader: Send + Sync {
    /// Asks another process.
    fn ask(&self, question: SharedQuestion) -> BoxFuture<'_, HallAnswer>;

    /// Asks until a process answers with fresh data; never returns if none
    /// does. Repeatedly asks the processes whose data was too old, or else
    /// those that haven't been asked recently.
    fn ask_until_fresh(
        &self,
        question: SharedQuestion,
    ) -> BoxFuture<'_, ReaderAnswer>;

    /// Returns whether this process knows no other that it could ask or that
    /// could ask it.
    fn is_alone(&self) -> bool;

    /// Returns whether other processes ask this one.
    fn leads(&self) -> bool;

    /// Returns the number of processes that read documents before this one, as
    /// far as known.
    fn readers_before(&self) -> usize {
        0
    }

    /// Fetches the document of an entry's current routes.
    ///
    /// # Errors
    ///
    /// If the entry doesn't send it within the time `within`.
    fn fetch_routes(
        &self,
        entry: SocketAddr,
        within: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>>;
}
