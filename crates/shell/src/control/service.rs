//! What a process answers to control calls.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use stairhinge::declaration::Fleet;
use stairhinge::document::{Document, Kind};
use stairhinge::request::{Attempt, Key};
use stairhinge::{Code, Error, Ran};

use super::Report;

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

/// What a process answers to control calls.
pub trait Control: Send + Sync {
    /// Takes in a peer's report and returns the own one.
    fn exchange(&self, from: Report) -> Report;

    /// Returns a document if it is above a revision.
    fn pull(&self, kind: Kind, above: u64) -> Option<Document>;

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
