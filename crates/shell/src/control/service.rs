//! What a process answers to control calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use stairhinge::declaration::Fleet;
use stairhinge::document::{Delta, Document, Kind, Seen};
use stairhinge::poison::{Fingerprint, PoisonRecord};
use stairhinge::request::{Attempt, Key};
use stairhinge::{Code, Error, Ran};

use super::Report;

/// What a peer answers to one that lags.
#[derive(Clone, Debug)]
pub enum Pulled {
    /// The document in force, whole.
    Whole(Document),
    /// The way to it from what the asker holds.
    Delta(Delta),
}

/// How far a process has got with both documents.
#[derive(Clone, Copy, Debug)]
pub struct News {
    /// The declaration.
    pub config: Seen,
    /// The instance list.
    pub listing: Seen,
    /// Where the process takes control calls.
    pub control: Option<SocketAddr>,
}

/// A question for a key.
#[derive(Clone, Debug)]
pub struct ClaimAsk {
    /// The key.
    pub key: Key,
    /// Who is to hold it.
    pub holder: Arc<str>,
    /// The revision of the asker's declaration.
    pub revision: u64,
    /// Whether a later guard asks an earlier one.
    pub former: bool,
}

/// A guard's answer.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Granted, or refused with when to come back.
    pub result: Result<(), (Error, Duration)>,
    /// The revision of the guard's declaration.
    pub revision: u64,
}

/// What a process knows of poisoned requests, in part.
#[derive(Clone, Debug)]
pub struct PoisonTold {
    /// Of the whole table.
    pub digest: u64,
    /// Some of its records.
    pub records: Vec<PoisonRecord>,
    /// A request that the sender wants to hear of.
    pub about: Option<Fingerprint>,
}

/// What a process answers to control calls.
pub trait Control: Send + Sync {
    /// Takes in a peer's report and returns the own one.
    fn exchange(&self, from: Report) -> Report;

    /// Returns what leads from what a peer holds to the document in force,
    /// if that is newer.
    fn pull(&self, kind: Kind, holds: Seen) -> Option<Pulled>;

    /// Takes in how far a peer has got, and returns the same of this process.
    fn news(&self, from: News) -> News;

    /// Takes in what a peer knows of poisoned requests, and returns what it
    /// may lack.
    fn poison(&self, from: PoisonTold) -> PoisonTold;

    /// Revokes an attempt meant for an incarnation of this agent.
    fn revoke(&self, attempt: &Attempt, incarnation: u64) -> Ran;

    /// Grants a key or refuses it.
    fn claim(&self, ask: ClaimAsk) -> BoxFuture<'static, Grant>;

    /// Takes note of how a key's holder ended.
    fn settle(&self, key: &Key, holder: &str, ran: Ran);

    /// Returns the reports of all processes known here.
    fn reports(&self) -> Vec<Report>;

    /// Says how a version has come here and what it waits for.
    fn explain(&self, version: &str) -> Vec<String>;

    /// Has this process leave, if the order is based on the revision in
    /// force.
    ///
    /// # Errors
    ///
    /// [`Code::StaleOrder`].
    fn drain(&self, based_on: u64) -> Result<(), Error>;

    /// Returns the declaration in force.
    fn fleet(&self) -> Option<Arc<Fleet>>;
}

impl Grant {
    /// Returns a refusal.
    pub fn refused(code: Code, why: &str, revision: u64) -> Grant {
        let err = Error::new(code, why);
        Grant { result: Err((err, Duration::ZERO)), revision }
    }
}
