//! Quarantine of requests that crash replicas.
//!
//! [`PoisonWatch`] admits each attempt and records its outcome; [`gossip`]
//! shares the records with other entries. While no request is known to have
//! crashed a replica, neither adds any cost to a request.

mod gossip;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::RngExt as _;
use stairhinge::Time;
use stairhinge::direct::{Replica, ReplicaState};
use stairhinge::poison::{
    Admission, ClaimStage, CrashReport, Fingerprint, HeardClaim, Judgement,
    PoisonRecord, PoisonTable, Refusal, RequestFeatures, RunClaim, Suspicion,
};
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::directory::Facts;
use tokio::sync::Notify;

pub(crate) use self::gossip::PoisonGossip;
use crate::catch_up::CatchUpGate;
use crate::request_context::RequestContext;

/// The maximum number of names of parts that are remembered for the log.
const MAX_PART_NAMES: usize = 4_096;

/// The numbers of requests that an entry suspects.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoisonCount {
    /// Requests known to have crashed replicas.
    pub suspected: usize,
    /// Quarantined requests.
    pub quarantined: usize,
    /// Crashes withdrawn since the start.
    pub withdrawn: u64,
}

/// The poisoned requests known to one entry.
pub(crate) struct PoisonWatch {
    table: Mutex<PoisonTable>,
    /// The number of requests and crashes in the table, readable without the
    /// lock.
    known_count: AtomicUsize,
    /// The names of parts that requests of this entry had when replicas
    /// crashed.
    part_names: Mutex<HashMap<Fingerprint, Arc<str>>>,
    /// The number of crashes withdrawn since the start.
    withdrawn: AtomicU64,
    /// Claims that other entries have yet to be told of.
    claims: Mutex<Vec<RunClaim>>,
    catch_up: Arc<CatchUpGate>,
    facts: Arc<Facts>,
    changed: Notify,
}

impl PoisonWatch {
    /// Returns a watch with an empty table, which `catch_up` fills.
    pub(crate) fn new(
        facts: Arc<Facts>,
        catch_up: Arc<CatchUpGate>,
    ) -> PoisonWatch {
        let mut table = PoisonTable::default();
        table.set_entry(rand::rng().random());
        PoisonWatch {
            table: Mutex::new(table),
            known_count: AtomicUsize::new(0),
            part_names: Mutex::default(),
            withdrawn: AtomicU64::new(0),
            claims: Mutex::default(),
            catch_up,
            facts,
            changed: Notify::new(),
        }
    }

    /// Returns whether this entry knows what others know of such requests.
    pub(crate) const fn catch_up(&self) -> &Arc<CatchUpGate> {
        &self.catch_up
    }

    /// Admits a request and returns the suspicion against it, once this entry
    /// has caught up with others. If only one run of it may be in progress, it
    /// is claimed first.
    ///
    /// # Errors
    ///
    /// The refusal, if the request may not be sent now.
    pub(crate) async fn admit(
        &self,
        context: &RequestContext,
    ) -> Result<Suspicion, Refusal> {
        self.catch_up.wait().await;
        if self.is_empty() {
            return Ok(Suspicion::default());
        }
        loop {
            let (suspicion, claim) = self.begin(context)?;
            let Some(claim) = claim else { return Ok(suspicion) };
            self.tell(claim.clone());
            tokio::time::sleep(RunClaim::PERIOD).await;
            let begins = self.lock().begin_claimed_run(&claim);
            self.log(&Decision::PoisonClaimed {
                request: &context.caller.id,
                fingerprint: &context.fingerprint().to_string(),
                begins,
            });
            if begins {
                let stage = ClaimStage::Running;
                self.tell(RunClaim { stage, ..claim.clone() });
                *lock(&context.claim) = Some(claim);
                return Ok(suspicion);
            }
            // The better claim may be over by now.
            self.lock().end_claims(&claim);
        }
    }

    /// Admits a request, and returns the suspicion against it and the claim to
    /// its only run.
    fn begin(
        &self,
        context: &RequestContext,
    ) -> Result<(Suspicion, Option<RunClaim>), Refusal> {
        let request = context.fingerprint();
        let now = self.facts.now();
        let withdrawn = self.lock().review_request(request, now);
        if let Some(exits) = withdrawn {
            self.log_withdrawn(request, &exits);
        }
        self.judge();
        let features = context.features();
        let (admission, claim) = {
            let mut table = self.lock();
            let admission = table.admit_features(features, now);
            let is_admitted = matches!(admission, Admission::Admitted(_));
            let number = rand::rng().random();
            let claim = is_admitted
                .then(|| table.begin_claim(features, number, now))
                .flatten();
            (admission, claim)
        };
        if let Admission::Admitted(suspicion) = &admission
            && suspicion.trials > 0
        {
            self.log(&Decision::PoisonTried {
                request: &context.caller.id,
                fingerprint: &request.to_string(),
                trial: suspicion.trials,
            });
            self.changed.notify_one();
        }
        let suspicion = self.decide(context, admission)?;
        Ok((suspicion, claim))
    }

    /// Checks an admitted request again right before it is sent: this entry may
    /// have been paused since, and others may have learned more.
    ///
    /// # Errors
    ///
    /// The refusal, if the request may no longer be sent.
    pub(crate) async fn confirm(
        &self,
        context: &RequestContext,
        sent: Suspicion,
    ) -> Result<(), Refusal> {
        self.catch_up.wait().await;
        self.recheck(context, sent)
    }

    /// Checks an admitted request again after it has waited for a place.
    ///
    /// # Errors
    ///
    /// The refusal, if the request may no longer be sent.
    pub(crate) fn recheck(
        &self,
        context: &RequestContext,
        sent: Suspicion,
    ) -> Result<(), Refusal> {
        if self.is_empty() {
            return Ok(());
        }
        self.judge();
        let now = self.facts.now();
        let features = context.features();
        let admission = self.lock().recheck_features(features, sent, now);
        self.decide(context, admission).map(|_| ())
    }

    /// Returns the suspicion against a request without admitting it.
    pub(crate) fn suspicion(&self, context: &RequestContext) -> Suspicion {
        if self.is_empty() {
            return Suspicion::default();
        }
        self.lock().suspicion(context.fingerprint())
    }

    /// Returns the request's fingerprint if all its runs should use the same
    /// replica.
    pub(crate) fn shared_run(
        &self,
        context: &RequestContext,
    ) -> Option<Fingerprint> {
        if self.is_empty() {
            return None;
        }
        let request = context.fingerprint();
        self.lock().shares_replica(request).then_some(request)
    }

    /// Records that a replica exited after the time `after`. What it ran is
    /// known only as far as requests of this entry broke off.
    fn record_exit(&self, replica: &Replica, after: Time) {
        if self.is_empty() || !self.was_ready(replica) {
            return;
        }
        let now = self.facts.now();
        let incarnation = &replica.incarnation;
        self.lock().record_exit(incarnation, after, now, false);
        self.log(&Decision::ReplicaExited {
            replica: incarnation,
            within_ms: now.since(after).as_millis() as u64,
        });
    }

    /// Withdraws crashes that coincide with exits that the request did not
    /// cause.
    fn review(&self) {
        if self.is_empty() {
            return;
        }
        let now = self.facts.now();
        let withdrawn = self.lock().review(now);
        for (request, exits) in withdrawn {
            self.log_withdrawn(request, &exits);
        }
    }

    fn log_withdrawn(&self, request: Fingerprint, exits: &[Arc<str>]) {
        self.withdrawn.fetch_add(1, Ordering::Relaxed);
        self.log(&Decision::PoisonWithdrawn {
            fingerprint: &request.to_string(),
            exits,
        });
        self.changed.notify_one();
    }

    fn decide(
        &self,
        context: &RequestContext,
        admission: Admission,
    ) -> Result<Suspicion, Refusal> {
        let refusal = match admission {
            Admission::Admitted(suspicion) => return Ok(suspicion),
            Admission::Refused(refusal) => refusal,
        };
        let fingerprint = refusal.features.first().map(ToString::to_string);
        self.log(&Decision::PoisonRefused {
            request: &context.caller.id,
            fingerprint: &fingerprint.unwrap_or_default(),
            parts: &context.part_names(&refusal.features),
            reason: refusal.reason.name(),
            replicas: &refusal.replicas,
            age_ms: refusal.age.as_millis() as u64,
            back_ms: refusal.retry_after.as_millis() as u64,
        });
        Err(refusal)
    }

    /// Records that a replica's process ended while it ran a request, and
    /// returns the suspicion against the request. The end of a replica that
    /// was leaving is not attributed to any request. If the answer had gone on
    /// for long, the parts of the prompt are not accused.
    pub(crate) fn record_crash(
        &self,
        context: &RequestContext,
        replica: &Replica,
        sent: Suspicion,
        written: Duration,
    ) -> Suspicion {
        if !self.was_ready(replica) {
            return sent;
        }
        let request = context.fingerprint();
        let now = self.facts.now();
        let incarnation = &replica.incarnation;
        let accused = if written < PoisonTable::WRITING_PERIOD {
            self.remember_names(context);
            context.features().clone()
        } else {
            RequestFeatures::from(request)
        };
        let suspicion = {
            let mut table = self.lock();
            let known = table.accuse(
                &accused,
                sent,
                incarnation,
                &replica.service,
                now,
            );
            self.update_count(&table);
            known
        };
        let parts = context.part_names(accused.parts());
        self.log(&Decision::PoisonSuspected {
            request: &context.caller.id,
            fingerprint: &request.to_string(),
            replica: incarnation,
            ended: suspicion.ended,
            cleared: suspicion.cleared,
            quarantined: suspicion.is_quarantined(),
            parts: &parts,
        });
        self.changed.notify_one();
        suspicion
    }

    /// Judges crashes again if anything has become known.
    fn judge(&self) {
        let judgement = self.lock().judge(self.facts.now());
        if !judgement.is_empty() {
            self.log_judgement(&judgement);
            self.changed.notify_one();
        }
    }

    fn log_judgement(&self, judgement: &Judgement) {
        for (part, replicas) in &judgement.quarantined {
            self.log(&Decision::PartQuarantined {
                part: self.part_name(*part).as_deref(),
                fingerprint: &part.to_string(),
                replicas,
            });
        }
        for part in &judgement.released {
            self.log(&Decision::PartReleased {
                part: self.part_name(*part).as_deref(),
                fingerprint: &part.to_string(),
            });
        }
        for request in &judgement.excused {
            let fingerprint = &request.to_string();
            self.log(&Decision::PoisonExcused { fingerprint });
        }
    }

    fn part_name(&self, part: Fingerprint) -> Option<Arc<str>> {
        lock(&self.part_names).get(&part).cloned()
    }

    fn remember_names(&self, context: &RequestContext) {
        let mut names = lock(&self.part_names);
        if names.len() >= MAX_PART_NAMES {
            names.clear();
        }
        for part in &context.caller.parts {
            names.insert(Fingerprint::of_part(part), Arc::clone(part));
        }
    }

    fn update_count(&self, table: &PoisonTable) {
        let known = table.len() + table.crashes();
        self.known_count.store(known, Ordering::Relaxed);
    }

    fn was_ready(&self, replica: &Replica) -> bool {
        let view = self.facts.view();
        let listed = view.replicas.get(&replica.incarnation);
        listed.is_some_and(|(r, _)| r.state == ReplicaState::Ready)
    }

    /// Records that a request got its complete answer.
    pub(crate) fn record_answer(&self, context: &RequestContext) {
        if self.is_empty() {
            return;
        }
        let request = context.fingerprint();
        let now = self.facts.now();
        let (before, cleared) = {
            let mut table = self.lock();
            let before = table.record_answer(request, now);
            let (features, service) = (context.features(), &context.service);
            let cleared = table.clear_features(features, Some(service), now);
            (before, cleared)
        };
        self.finish_run(context);
        self.log_cleared(context, &cleared);
        let Some(before) = before else { return };
        self.log(&Decision::PoisonCleared {
            request: &context.caller.id,
            fingerprint: &request.to_string(),
            ended: before.ended,
        });
        self.changed.notify_one();
    }

    /// Records that the answer to a request has gone on for so long that the
    /// parts of its prompt cannot crash replicas.
    pub(crate) fn record_writing(&self, context: &RequestContext) {
        if self.is_empty() {
            return;
        }
        let now = self.facts.now();
        let cleared = self.lock().clear_parts(context.features(), now);
        self.log_cleared(context, &cleared);
    }

    fn log_cleared(&self, context: &RequestContext, parts: &[Fingerprint]) {
        if parts.is_empty() {
            return;
        }
        self.log(&Decision::PartsCleared {
            request: &context.caller.id,
            parts: &context.part_names(parts),
        });
        self.changed.notify_one();
    }

    /// Records that a run of a request is over, or was not begun, and tells
    /// other entries if it was claimed.
    pub(crate) fn finish_run(&self, context: &RequestContext) {
        let Some(claim) = lock(&context.claim).take() else { return };
        self.lock().end_claims(&claim);
        self.tell(RunClaim { stage: ClaimStage::Over, ..claim });
    }

    /// Tells other entries of a claim.
    fn tell(&self, claim: RunClaim) {
        lock(&self.claims).push(claim);
        self.changed.notify_one();
    }

    /// Takes note of the claim of another entry. Returns how it compares with
    /// those known.
    fn hear_claim(&self, claim: &RunClaim) -> HeardClaim {
        let now = self.facts.now();
        let mut table = self.lock();
        let heard = table.hear_claim(claim, now);
        self.update_count(&table);
        heard
    }

    /// Records that a request will not be retried.
    pub(crate) fn record_give_up(&self, context: &RequestContext) {
        if self.is_empty() {
            return;
        }
        self.finish_run(context);
        self.lock().record_give_up(context.fingerprint());
        self.changed.notify_one();
    }

    /// Merges records from another entry and returns the new ones.
    fn merge(
        &self,
        from: SocketAddr,
        records: Vec<PoisonRecord>,
    ) -> Vec<PoisonRecord> {
        let now = self.facts.now();
        let news = {
            let mut table = self.lock();
            let news: Vec<Fingerprint> = table.merge(records, now);
            self.update_count(&table);
            table.records(&news, now)
        };
        for record in &news {
            self.log(&Decision::PoisonLearned {
                fingerprint: &record.request.to_string(),
                from,
                ended: record.suspicion.ended,
                cleared: record.suspicion.cleared,
                trials: record.suspicion.trials,
                age_ms: record.age_ms,
                replicas: &record.replicas,
            });
        }
        news
    }

    /// Merges reports of crashes from another entry and returns the new ones.
    fn merge_crashes(
        &self,
        from: SocketAddr,
        reports: &[CrashReport],
    ) -> Vec<CrashReport> {
        let now = self.facts.now();
        let news = {
            let mut table = self.lock();
            let news = table.merge_crashes(reports, now);
            self.update_count(&table);
            news
        };
        for report in &news {
            self.log(&Decision::CrashLearned {
                replica: &report.replica,
                from,
                age_ms: report.age_ms,
                accused: report.accused.len(),
                cleared: report.cleared.len(),
            });
        }
        news
    }

    /// Drops expired records and returns counts.
    pub(crate) fn sweep(&self) -> PoisonCount {
        let withdrawn = self.withdrawn.load(Ordering::Relaxed);
        if self.is_empty() {
            return PoisonCount { withdrawn, ..PoisonCount::default() };
        }
        let mut table = self.lock();
        table.sweep(self.facts.now());
        self.update_count(&table);
        PoisonCount {
            suspected: table.len(),
            quarantined: table.quarantined(),
            withdrawn,
        }
    }

    fn is_empty(&self) -> bool {
        self.known_count.load(Ordering::Relaxed) == 0
    }

    fn log(&self, decision: &Decision<'_>) {
        self.facts.log().write(decision);
    }

    fn lock(&self) -> MutexGuard<'_, PoisonTable> {
        lock(&self.table)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
