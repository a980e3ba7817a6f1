//! The border to a platform that can only be read.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use stairhinge::Error;
use stairhinge::direct::{Replica, RouteTable, VersionTarget};

/// A part of what a platform publishes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Collection {
    /// All that operators publish: routes, versions named of models, halls
    /// evacuated.
    Declarations,
    /// Routes, services and workspaces.
    Routes,
    /// The versions named of models.
    Targets,
    /// The halls that operators have evacuated.
    Evacuations,
    /// The list of replicas.
    Replicas,
}

impl Collection {
    /// Returns the word for it in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Collection::Declarations => "declarations",
            Collection::Routes => "routes",
            Collection::Targets => "targets",
            Collection::Evacuations => "evacuations",
            Collection::Replicas => "replicas",
        }
    }
}

/// How new the answer to a read has to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// It reflects every change acknowledged before the read.
    Current,
    /// It may be seconds old, and is cheap.
    Stale,
}

/// One published record.
#[derive(Debug)]
pub enum Record {
    /// A revision of all routes, and the document that it was read from.
    Routes(Arc<RouteTable>, Bytes),
    /// A version named of a model.
    Target(VersionTarget),
    /// A data hall that gets no requests.
    Evacuation(Arc<str>),
    /// A replica.
    Replica(Replica),
}

/// A change that a watch brought.
#[derive(Debug)]
pub enum Change {
    /// A record was written.
    Set(Record),
    /// The replica of this incarnation is listed no more.
    Gone(Arc<str>),
    /// The evacuation of this data hall was taken back.
    EvacuationEnded(Arc<str>),
    /// A record was written that cannot be taken.
    Invalid(Error),
}

/// All records of a collection.
#[derive(Debug)]
pub struct Listing {
    /// The records, and why some cannot be taken.
    pub records: Vec<Result<Record, Error>>,
    /// The platform's revision that the listing reflects.
    pub at: u64,
}

/// What a watch brought.
#[derive(Debug)]
pub enum Watched {
    /// Changes in order, maybe none, up to a revision of the platform.
    Changes(Vec<Change>, u64),
    /// The platform has forgotten what came after the revision asked for.
    Forgotten,
}

/// A platform that can only be read.
pub trait Directory: Send + Sync {
    /// Reads a collection whole.
    fn list(
        &self,
        collection: Collection,
        freshness: Freshness,
    ) -> BoxFuture<'_, Result<Listing, Error>>;

    /// Reads a document of routes that a peer handed over.
    ///
    /// # Errors
    ///
    /// As for a published one.
    fn parse_routes(&self, document: Bytes) -> Result<Record, Error>;

    /// Waits for changes after a revision of the platform.
    fn watch(
        &self,
        collection: Collection,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Watched, Error>>;
}
