//! Keeping requests that end replicas from them.
//!
//! [`PoisonWatch`] is asked before each attempt and told how it went, and
//! [`gossip`] tells the other entries. While no request is known to have ended
//! a replica neither of them costs a request anything.

mod gossip;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use stairhinge::direct::{Replica, ReplicaState};
use stairhinge::poison::{
    Admission, Fingerprint, PoisonRecord, PoisonTable, Refusal, Suspicion,
};
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::directory::Facts;
use tokio::sync::Notify;

pub(crate) use self::gossip::PoisonGossip;
use crate::request_context::RequestContext;

/// What one entry knows of poisoned requests.
pub(crate) struct PoisonWatch {
    table: Mutex<PoisonTable>,
    /// The requests in the table.
    known: AtomicUsize,
    facts: Arc<Facts>,
    changed: Notify,
}

impl PoisonWatch {
    /// Returns a watch that knows of nothing.
    pub(crate) fn new(facts: Arc<Facts>) -> PoisonWatch {
        PoisonWatch {
            table: Mutex::default(),
            known: AtomicUsize::new(0),
            facts,
            changed: Notify::new(),
        }
    }

    /// Returns what is known of a request that may be sent now.
    ///
    /// # Errors
    ///
    /// Why it may not be sent.
    pub(crate) fn admit(
        &self,
        context: &RequestContext,
    ) -> Result<Suspicion, Refusal> {
        if self.knows_nothing() {
            return Ok(Suspicion::default());
        }
        let request = context.fingerprint();
        let now = self.facts.now();
        let admission = self.lock().admit(request, now);
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
        self.decide(context, admission)
    }

    /// Looks again at a request that has waited for its place.
    ///
    /// # Errors
    ///
    /// Why it may not be sent any more.
    pub(crate) fn recheck(
        &self,
        context: &RequestContext,
        sent: Suspicion,
    ) -> Result<(), Refusal> {
        if self.knows_nothing() {
            return Ok(());
        }
        let request = context.fingerprint();
        let now = self.facts.now();
        let admission = self.lock().recheck(request, sent, now);
        self.decide(context, admission).map(|_| ())
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
        self.log(&Decision::PoisonRefused {
            request: &context.caller.id,
            fingerprint: &context.fingerprint().to_string(),
            replicas: &refusal.replicas,
            age_ms: refusal.age.as_millis() as u64,
            back_ms: refusal.retry_after.as_millis() as u64,
        });
        Err(refusal)
    }

    /// Takes note that a replica's process ended under a request, and returns
    /// what is known of it now. The end of a replica that was leaving speaks
    /// against nobody.
    pub(crate) fn ended_under(
        &self,
        context: &RequestContext,
        replica: &Replica,
        sent: Suspicion,
    ) -> Suspicion {
        if !self.was_to_stay(replica) {
            return sent;
        }
        let request = context.fingerprint();
        let now = self.facts.now();
        let incarnation = &replica.incarnation;
        let suspicion = {
            let mut table = self.lock();
            let known = table.record_crash(request, sent, incarnation, now);
            self.known.store(table.len(), Ordering::Relaxed);
            known
        };
        self.log(&Decision::PoisonSuspected {
            request: &context.caller.id,
            fingerprint: &request.to_string(),
            replica: incarnation,
            ended: suspicion.ended,
            cleared: suspicion.cleared,
            quarantined: suspicion.is_quarantined(),
        });
        self.changed.notify_one();
        suspicion
    }

    fn was_to_stay(&self, replica: &Replica) -> bool {
        let view = self.facts.view();
        let listed = view.replicas.get(&replica.incarnation);
        listed.is_some_and(|(r, _)| r.state == ReplicaState::Ready)
    }

    /// Takes note that a request has had its whole answer.
    pub(crate) fn record_answer(&self, context: &RequestContext) {
        if self.knows_nothing() {
            return;
        }
        let request = context.fingerprint();
        let now = self.facts.now();
        let before = self.lock().record_answer(request, now);
        let Some(before) = before else { return };
        self.log(&Decision::PoisonCleared {
            request: &context.caller.id,
            fingerprint: &request.to_string(),
            ended: before.ended,
        });
        self.changed.notify_one();
    }

    /// Takes note that a run of a request is over.
    pub(crate) fn finish_run(&self, context: &RequestContext) {
        if !self.knows_nothing() {
            self.lock().finish_run(context.fingerprint());
        }
    }

    /// Takes note that a request is sent on no more.
    pub(crate) fn record_give_up(&self, context: &RequestContext) {
        if self.knows_nothing() {
            return;
        }
        self.lock().record_give_up(context.fingerprint());
        self.changed.notify_one();
    }

    /// Takes in what another entry tells, and returns what was new.
    fn learn(
        &self,
        from: SocketAddr,
        records: Vec<PoisonRecord>,
    ) -> Vec<PoisonRecord> {
        let now = self.facts.now();
        let news = {
            let mut table = self.lock();
            let news: Vec<Fingerprint> = table.merge(records, now);
            self.known.store(table.len(), Ordering::Relaxed);
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

    /// Drops what is over, and returns how many requests are known, and how
    /// many of these are quarantined.
    pub(crate) fn sweep(&self) -> (usize, usize) {
        if self.knows_nothing() {
            return (0, 0);
        }
        let mut table = self.lock();
        table.sweep(self.facts.now());
        self.known.store(table.len(), Ordering::Relaxed);
        (table.len(), table.quarantined())
    }

    fn knows_nothing(&self) -> bool {
        self.known.load(Ordering::Relaxed) == 0
    }

    fn log(&self, decision: &Decision<'_>) {
        self.facts.log().write(decision);
    }

    fn lock(&self) -> MutexGuard<'_, PoisonTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
