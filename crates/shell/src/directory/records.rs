//! The interface to a platform that can only be read.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use stairhinge::Error;
use stairhinge::direct::{Replica, RouteTable, VersionTarget};

use super::PartialListing;

/// A collection of records that a platform publishes.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Collection {
    /// All that operators publish: routes, target versions of models and
    /// evacuated data halls.
    Declarations,
    /// Routes, services and workspaces.
    Routes,
    /// The target versions of models.
    Targets,
    /// The data halls that operators have evacuated.
    Evacuations,
    /// The list of replicas.
    Replicas,
}

impl Collection {
    /// Returns its name in logs.
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

/// How up to date the answer to a read has to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The answer reflects every change acknowledged before the read.
    Current,
    /// The answer may be seconds old; the read is cheap.
    Stale,
}

/// One published record.
#[derive(Debug)]
pub enum Record {
    /// A revision of all routes, and the document that it was parsed from.
    Routes(Arc<RouteTable>, Bytes),
    /// The target version of a model.
    Target(VersionTarget),
    /// A data hall that gets no requests.
    Evacuation(Arc<str>),
    /// A replica.
    Replica(Replica),
}

/// A change returned by a watch.
#[derive(Debug)]
pub enum Change {
    /// A record was written.
    Set(Record),
    /// The replica of this incarnation is no longer listed.
    Gone(Arc<str>),
    /// The evacuation of this data hall was withdrawn.
    EvacuationEnded(Arc<str>),
    /// An invalid record was written.
    Invalid(Error),
}

/// All records of a collection.
#[derive(Debug)]
pub struct Listing {
    /// The records, with an error in place of each invalid one.
    pub records: Vec<Result<Record, Error>>,
    /// The platform revision that the listing reflects.
    pub at: u64,
}

/// The result of a watch.
#[derive(Debug)]
pub enum Watched {
    /// The changes in order, possibly none, and the platform revision that
    /// they lead to.
    Changes(Vec<Change>, u64),
    /// The platform no longer has the changes after the requested revision.
    Forgotten,
}

/// A platform that can only be read.
pub trait Directory: Send + Sync {
    /// Reads a whole collection.
    ///
    /// # Errors
    ///
    /// If it cannot be read to its end.
    fn list(
        &self,
        collection: Collection,
        freshness: Freshness,
    ) -> BoxFuture<'_, Result<Listing, Error>>;

    /// Reads a collection as far as it can be read.
    ///
    /// # Errors
    ///
    /// If nothing can be read.
    fn list_part(
        &self,
        collection: Collection,
        freshness: Freshness,
    ) -> BoxFuture<'_, Result<PartialListing, Error>> {
        let listed = self.list(collection, freshness);
        Box::pin(async move { listed.await.map(PartialListing::whole) })
    }

    /// Returns the current revision of the platform, from which on a watch
    /// returns all later changes.
    ///
    /// # Errors
    ///
    /// The error of the call.
    fn revision(&self) -> BoxFuture<'_, Result<u64, Error>> {
        let listed = self.list(Collection::Targets, Freshness::Current);
        Box::pin(async move { listed.await.map(|listing| listing.at) })
    }

    /// Parses a routes document received from a peer.
    ///
    /// # Errors
    ///
    /// If the document is invalid, as for a published one.
    fn parse_routes(&self, document: Bytes) -> Result<Record, Error>;

    /// Waits up to `wait` for changes after a platform revision.
    ///
    /// # Errors
    ///
    /// [`stairhinge::Code::BodyTooLarge`] if the changes are larger than what
    /// is read at once, or the error of the call.
    fn watch(
        &self,
        collection: Collection,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Watched, Error>>;
}
