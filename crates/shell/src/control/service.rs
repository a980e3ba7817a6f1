//! The interface that handles control calls, and its message types.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use stairhinge::declaration::Fleet;
use stairhinge::document::{Delta, Document, Kind, Seen};
use stairhinge::poison::{CrashReport, Fingerprint, PoisonRecord, RunClaim};
use stairhinge::request::{Attempt, Key};
use stairhinge::{Code, Error, Ran};

use super::Report;

/// The answer to a peer that pulls a newer revision of a document.
#[derive(Clone, Debug)]
pub enum Pulled {
    /// The complete document in force.
    Whole(Document),
    /// The difference between the revision that the peer holds and that one.
    Delta(Delta),
}

/// The revisions of both documents that a process holds.
#[derive(Clone, Copy, Debug)]
pub struct News {
    /// The revision and digest of its declaration.
    pub config: Seen,
    /// The revision and digest of its instance list.
    pub listing: Seen,
    /// The address on which the process accepts control calls.
    pub control: Option<SocketAddr>,
}

/// A request to claim an idempotency key for one attempt.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The idempotency key.
    pub key: Key,
    /// The text of the attempt that is to hold it.
    pub holder: Arc<str>,
    /// The revision of the caller's declaration.
    pub revision: u64,
    /// Whether the caller is a guard that asks the key's former guard.
    pub former: bool,
}

/// A guard's answer to a claim.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Granted, or the error and the delay before a retry.
    pub result: Result<(), (Error, Duration)>,
    /// The revision of the guard's declaration.
    pub revision: u64,
}

/// A part of a process's table of poisoned requests.
#[derive(Clone, Debug, Default)]
pub struct PoisonUpdate {
    /// The digest of the whole table.
    pub digest: u64,
    /// Some of the records of the table.
    pub records: Vec<PoisonRecord>,
    /// A request whose record the sender asks for.
    pub about: Option<Fingerprint>,
    /// Reports of some of the crashes in the table.
    pub crashes: Vec<CrashReport>,
    /// Claims to the only runs of requests.
    pub claims: Vec<RunClaim>,
}

/// Handles the control calls that a process receives.
pub trait Control: Send + Sync {
    /// Stores a peer's report and returns the report of this process.
    fn exchange(&self, from: Report) -> Report;

    /// Returns the document in force, or the difference to it, if it is newer
    /// than the revision that a peer holds.
    fn pull(&self, kind: Kind, holds: Seen) -> Option<Pulled>;

    /// Handles the document revisions of a peer, and returns those of this
    /// process.
    fn news(&self, from: News) -> News;

    /// Merges a peer's records of poisoned requests, and returns records that
    /// the peer may lack.
    fn poison(&self, from: PoisonUpdate) -> PoisonUpdate;

    /// Revokes an attempt that was sent to an incarnation of this agent, and
    /// returns whether it ran.
    fn revoke(&self, attempt: &Attempt, incarnation: u64) -> Ran;

    /// Grants or refuses the claim of a key.
    fn claim(&self, ask: ClaimRequest) -> BoxFuture<'static, Grant>;

    /// Records whether the holder of a key ran.
    fn settle(&self, key: &Key, holder: &str, ran: Ran);

    /// Returns the reports of this process and of all known peers.
    fn reports(&self) -> Vec<Report>;

    /// Explains how a version reached this process, and what it waits for.
    fn explain(&self, version: &str) -> Vec<String>;

    /// Starts to drain this process, unless the order is based on a revision
    /// older than the one in force.
    ///
    /// # Errors
    ///
    /// [`Code::StaleOrder`] if it is based on an older revision.
    fn drain(&self, based_on: u64) -> Result<(), Error>;

    /// Returns the declaration in force.
    fn fleet(&self) -> Option<Arc<Fleet>>;
}

impl Grant {
    /// Returns a refusal without a delay before a retry.
    pub fn refused(code: Code, why: &str, revision: u64) -> Grant {
        let err = Error::new(code, why);
        Grant { result: Err((err, Duration::ZERO)), revision }
    }
}
