//! Getting a local fleet to where a test or trial begins.

use std::collections::HashMap;
use std::time::Duration;

use stairhinge::{Code, Error};
use stairhinge_standins::Record;

use crate::calls::{Answer, Caller, Tally, verdict};
use crate::{Local, Plan};

/// How long a fleet may take to get ready.
const READY: Duration = Duration::from_secs(60);

/// A local fleet that serves, with what has been published and called.
pub struct Trial {
    /// The fleet.
    pub local: Local,
    /// The digests of the published weights, by version.
    pub packs: HashMap<String, String>,
    /// What was asked, and what came.
    pub calls: Vec<(Caller, Answer)>,
}

impl Trial {
    /// Starts a fleet, publishes `v1`, and waits until it is live on all
    /// replicas and all entries are ready.
    ///
    /// # Errors
    ///
    /// If that takes too long.
    pub async fn start(plan: Plan) -> Result<Trial, Error> {
        let count = plan.replicas;
        let mut local = Local::start(plan).await?;
        let pack = local.publish("v1", 1)?;
        let whole = pack.whole().to_string();
        let packs = HashMap::from([("v1".to_string(), whole)]);
        let trial = Trial { local, packs, calls: Vec::new() };
        if !trial.local.await_live("v1", count, READY).await {
            return Err(Error::new(Code::Internal, "v1 is not live"));
        }
        trial.settled().await?;
        Ok(trial)
    }

    /// Publishes a version made up from a seed.
    ///
    /// # Errors
    ///
    /// If its weights make no manifest.
    pub fn publish(&mut self, name: &str, seed: u64) -> Result<(), Error> {
        let pack = self.local.publish(name, seed)?;
        self.packs.insert(name.into(), pack.whole().to_string());
        Ok(())
    }

    /// Waits until all processes that run have the newest declaration.
    ///
    /// # Errors
    ///
    /// If that takes too long.
    pub async fn settled(&self) -> Result<(), Error> {
        let want = self.local.revision();
        let end = tokio::time::Instant::now() + READY;
        loop {
            let reports = self.local.reports().await;
            if reports.iter().all(|r| r.config.revision() >= want) {
                return Ok(());
            }
            if tokio::time::Instant::now() > end {
                let why = format!("revision {want} is not everywhere");
                return Err(Error::new(Code::Internal, why));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns what all engines and services ran.
    pub fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for engine in self.local.engines() {
            records.extend(engine.records());
        }
        for service in self.local.services() {
            records.extend(service.records());
        }
        records
    }

    /// Returns how often a request ran, by its prompt.
    pub fn runs(&self, prompt: &str) -> usize {
        self.records().iter().filter(|r| r.prompt == prompt).count()
    }

    /// Judges all calls so far by the engines' own records.
    pub fn verdict(&self) -> Tally {
        verdict(&self.calls, &self.records(), &self.packs)
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// With `what`, if it does not within a minute.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + READY;
    while !holds().await {
        assert!(tokio::time::Instant::now() < end, "never: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
