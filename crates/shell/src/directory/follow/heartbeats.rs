//! Learns of replicas by their heartbeats while the list is being read.
//!
//! Entries of other writers may be large and the link may be slow, so that a
//! list takes longer than callers wait for a process that has started. Each
//! replica writes its entry again at each heartbeat, and a watch returns only
//! what has been written since.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::Error;
use stairhinge::direct::Absence;
use tokio::time::sleep;

use super::read::or_forgotten;
use super::{Follower, MAX_RETRY_DELAY};
use crate::directory::{
    Change, Collection, Directory, Facts, Freshness, PartialListing,
    Published, Record, Source, Watched,
};

/// How long a list may take before heartbeats are read beside it.
const LIST_PATIENCE: Duration = Duration::from_secs(2);

/// A list of replicas, and the names that heartbeats told of meanwhile.
pub(super) struct ListBesideHeartbeats {
    pub part: PartialListing,
    /// What the list says of these may be older than what is known.
    pub heard: HashSet<Arc<str>>,
}

/// The reading of heartbeats.
struct Heartbeats {
    directory: Arc<dyn Directory>,
    facts: Arc<Facts>,
    /// The platform revision up to which they have been read.
    at: Option<u64>,
    heard: HashSet<Arc<str>>,
    /// The minimum interval between two reads, and the wait of each.
    pace: Duration,
}

impl Follower {
    /// Lists the replicas. If that takes long, applies what their heartbeats
    /// tell until it ends.
    pub(super) async fn list_beside_heartbeats(
        &mut self,
    ) -> Result<ListBesideHeartbeats, Error> {
        let directory = Arc::clone(&self.directory);
        let mut listed =
            directory.list_part(Collection::Replicas, Freshness::Current);
        if self.heard_at.is_none()
            && let Ok(part) =
                tokio::time::timeout(LIST_PATIENCE, &mut listed).await
        {
            return part.map(|part| ListBesideHeartbeats {
                part,
                heard: HashSet::new(),
            });
        }
        let mut heartbeats = Heartbeats {
            directory: Arc::clone(&self.directory),
            facts: Arc::clone(&self.facts),
            at: self.heard_at,
            heard: HashSet::new(),
            pace: self.follow.pace,
        };
        let part = tokio::select! {
            part = listed => part,
            never = heartbeats.read() => match never {},
        };
        self.heard_at = heartbeats.at;
        part.map(|part| ListBesideHeartbeats { part, heard: heartbeats.heard })
    }
}

impl Heartbeats {
    async fn read(&mut self) -> std::convert::Infallible {
        loop {
            let pause = match self.read_once().await {
                Ok(()) => self.pace,
                Err(_) => MAX_RETRY_DELAY,
            };
            sleep(pause).await;
        }
    }

    async fn read_once(&mut self) -> Result<(), Error> {
        let Some(at) = self.at else {
            self.at = Some(self.directory.revision().await?);
            return Ok(());
        };
        let replicas = Collection::Replicas;
        let watched = self.directory.watch(replicas, at, self.pace).await;
        match or_forgotten(watched)? {
            Watched::Changes(changes, next) => {
                self.at = Some(next);
                self.apply(changes);
            }
            Watched::Forgotten => {
                // What was heard may be older than the list.
                self.at = None;
                self.heard.clear();
            }
        }
        Ok(())
    }

    fn apply(&mut self, changes: Vec<Change>) {
        let mut told = Vec::new();
        for change in changes {
            let name = match &change {
                Change::Set(Record::Replica(replica)) => &replica.incarnation,
                Change::Gone(name) => name,
                _ => continue,
            };
            self.heard.insert(Arc::clone(name));
            told.push(change);
        }
        if told.is_empty() {
            return;
        }
        let source = Source::new("watch");
        let published = Published::default();
        self.facts.apply_all(told, source, Absence::Gone, published);
        self.facts.note_partial(Collection::Replicas);
    }
}
