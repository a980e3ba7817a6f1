//! What a [`PoisonTable`] knows of parts of prompts.

use std::sync::Arc;
use std::time::Duration;

use super::exits::RecentExits;
use super::request_state::RequestState;
use super::{
    Admission, CrashReport, Fingerprint, PoisonTable, Refusal, RefusalReason,
    RequestFeatures, RunClaim, Suspicion,
};
use crate::Time;

/// What has followed from crashes and answers since the last judgement.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Judgement {
    /// Parts that are quarantined from now on, each with the replicas that it
    /// crashed.
    pub quarantined: Vec<(Fingerprint, Vec<Arc<str>>)>,
    /// Parts that are no longer quarantined, because others explain the
    /// crashes.
    pub released: Vec<Fingerprint>,
    /// Requests that are no longer suspected, because a part that others share
    /// explains the crashes.
    pub excused: Vec<Fingerprint>,
}

impl Judgement {
    /// Returns whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        *self == Judgement::default()
    }
}

impl PoisonTable {
    /// How long a quarantined part waits before each of its trial runs. The
    /// first ones release a part that was beside the one at fault, or that ran
    /// where replicas crashed by themselves.
    pub const PART_TRIAL_DELAYS: [Duration; 5] = [
        Duration::from_secs(1),
        Duration::from_secs(5),
        Duration::from_secs(10 * 60),
        Duration::from_secs(60 * 60),
        Duration::from_secs(6 * 60 * 60),
    ];

    /// How long an answer must have gone on for the parts of its request not
    /// to be accused of a crash. A part at fault crashes the replica as the
    /// answer begins.
    pub const WRITING_PERIOD: Duration = Duration::from_secs(1);

    /// How long a request whose parts are at fault, if it is not known which
    /// of them, is told to wait. Runs of other requests with some of them tell
    /// the parts apart meanwhile.
    const GROUP_RETRY_AFTER: Duration = Duration::from_secs(5);

    /// Decides whether a request may be sent to a replica at `now`, given all
    /// its features. If so, a run of it has begun.
    pub fn admit_features(
        &mut self,
        features: &RequestFeatures,
        now: Time,
    ) -> Admission {
        if let Some(refusal) = self.refuse_parts(features, now) {
            return Admission::Refused(refusal);
        }
        let admission = self.admit(features.request, now);
        if matches!(admission, Admission::Admitted(_)) {
            for part in features.parts() {
                // Begins the trial of a part that is due.
                self.admit(*part, now);
            }
        }
        admission
    }

    /// Returns why a request may not be sent at `now` because of parts of its
    /// prompt, if so.
    fn refuse_parts(
        &mut self,
        features: &RequestFeatures,
        now: Time,
    ) -> Option<Refusal> {
        for part in features.parts() {
            if let Some(refusal) = self.refusal(*part, now) {
                return Some(refusal);
            }
        }
        self.refuse_group(features)
    }

    /// Returns why a request may not be sent because one of several of its
    /// features is at fault, if so.
    fn refuse_group(&self, features: &RequestFeatures) -> Option<Refusal> {
        let group = self.evidence.group_in(features)?;
        Some(Refusal {
            reason: RefusalReason::QuarantinedPart,
            features: group.features.iter().copied().collect(),
            replicas: group.replicas.clone(),
            age: Duration::ZERO,
            retry_after: PoisonTable::GROUP_RETRY_AFTER,
        })
    }

    /// Decides whether a request that was admitted with the suspicion `sent`
    /// may still be sent, given what has become known since. Parts that are on
    /// trial are not judged: the request may be the trial.
    pub fn recheck_features(
        &self,
        features: &RequestFeatures,
        sent: Suspicion,
        now: Time,
    ) -> Admission {
        for part in features.parts() {
            let unknown = Suspicion::default();
            let state = self.requests.get(part);
            let on_trial = |state: &RequestState| {
                state.suspicion.trials > 0
                    || state.trial_delay_left(*part, now).is_zero()
            };
            if state.is_none_or(on_trial) {
                continue;
            }
            let recheck = self.recheck(*part, unknown, now);
            if matches!(recheck, Admission::Refused(_)) {
                return recheck;
            }
        }
        match self.refuse_group(features) {
            Some(refusal) => Admission::Refused(refusal),
            None => self.recheck(features.request, sent, now),
        }
    }

    /// Records that a replica of a service crashed under a request with these
    /// features that was sent to it with the suspicion `sent`. Returns the
    /// current suspicion.
    pub fn accuse(
        &mut self,
        features: &RequestFeatures,
        sent: Suspicion,
        replica: &Arc<str>,
        service: &Arc<str>,
        now: Time,
    ) -> Suspicion {
        let request = features.request;
        let before = self.requests.get(&request);
        let (ended, age) = before
            .map_or((0, Duration::MAX), |s| (s.suspicion.ended, s.age(now)));
        let known = self.record_crash(request, sent, replica, now);
        let mut most = RecentExits::SPAN;
        if sent.requires_exclusive_run() {
            // The run was claimed before it began.
            most += RunClaim::PERIOD;
        }
        let in_turn = sent.ended > 0 && known.ended > ended && age <= most;
        let parts = features.parts().iter().copied();
        let all = parts.chain([request]);
        self.evidence.accuse(replica, all, service, in_turn, now);
        known
    }

    /// Sets the number by which other entries know the answers that this one
    /// has seen; they differ between entries.
    pub const fn set_entry(&mut self, entry: u32) {
        self.evidence.set_entry(entry);
    }

    /// Records a complete answer to a request, which clears its parts, and
    /// counts it as one of `service`, if given. Returns the parts that were
    /// accused or quarantined.
    pub fn clear_features(
        &mut self,
        features: &RequestFeatures,
        service: Option<&str>,
        now: Time,
    ) -> Vec<Fingerprint> {
        self.evidence.clear(&[features.request]);
        if let Some(service) = service {
            self.evidence.count_answer(service);
        }
        self.clear_parts(features, now)
    }

    /// Records that the answer to a request has gone on for
    /// [`PoisonTable::WRITING_PERIOD`], which clears its parts. Returns those
    /// that were accused or quarantined.
    pub fn clear_parts(
        &mut self,
        features: &RequestFeatures,
        now: Time,
    ) -> Vec<Fingerprint> {
        let mut cleared = self.evidence.clear(features.parts());
        for part in features.parts() {
            if self.record_answer(*part, now).is_some()
                && !cleared.contains(part)
            {
                cleared.push(*part);
            }
        }
        cleared
    }

    /// Records that a run of a request has finished, so that another one with
    /// the same features may begin.
    pub fn finish_features(&mut self, features: &RequestFeatures) {
        self.finish_run(features.request);
        for part in features.parts() {
            self.finish_run(*part);
        }
    }

    /// Judges all crashes again if anything has become known. Parts that
    /// explain them are quarantined, and what merely occurred beside these is
    /// released.
    pub fn judge(&mut self, now: Time) -> Judgement {
        let mut judgement = Judgement::default();
        if !self.evidence.judge(&self.exits, now) {
            return judgement;
        }
        let mut at_fault = Vec::new();
        for culprit in self.evidence.culprits() {
            let first = culprit.features.first().copied();
            let part = first.filter(|f| f.is_part());
            if let Some(part) = part
                && culprit.features.len() == 1
            {
                at_fault.push((part, culprit.replicas.clone()));
            }
        }
        judgement.released = self.release_others(&at_fault, now);
        for (part, replicas) in at_fault {
            if self.suspicion(part).is_quarantined() {
                continue;
            }
            self.quarantine(part, &replicas, now);
            judgement.excused.extend(self.excuse(part, now));
            judgement.quarantined.push((part, replicas));
        }
        judgement
    }

    fn quarantine(
        &mut self,
        part: Fingerprint,
        replicas: &[Arc<str>],
        now: Time,
    ) {
        self.make_room(now);
        let state = self.requests.entry(part);
        let state = state.or_insert_with(|| RequestState::new(now));
        state.quarantine(replicas, now);
        self.convicted.insert(part, replicas.to_vec());
        self.share(part);
    }

    /// Releases parts that this table has quarantined but that do not explain
    /// the crashes any more, as far as these are still known.
    fn release_others(
        &mut self,
        at_fault: &[(Fingerprint, Vec<Arc<str>>)],
        now: Time,
    ) -> Vec<Fingerprint> {
        let evidence = &self.evidence;
        let convicted = self.convicted.iter();
        let others = convicted.filter(|(part, replicas)| {
            !at_fault.iter().any(|(other, _)| other == *part)
                && replicas.iter().all(|name| evidence.contains(name))
        });
        let others: Vec<Fingerprint> = others.map(|(part, _)| *part).collect();
        let mut released = Vec::new();
        for part in others {
            self.convicted.remove(&part);
            if self.record_answer(part, now).is_some() {
                released.push(part);
            }
        }
        released
    }

    /// Clears the requests under which only replicas crashed that a part
    /// explains.
    fn excuse(&mut self, part: Fingerprint, now: Time) -> Vec<Fingerprint> {
        let explained = self.evidence.replicas_of(part);
        let mut excused = Vec::new();
        for (request, state) in &mut self.requests {
            let Suspicion { ended, .. } = state.suspicion;
            if request.is_part() || ended == 0 || state.replicas.is_empty() {
                continue;
            }
            if state.replicas.iter().all(|name| explained.contains(name)) {
                state.clear(now);
                excused.push(*request);
            }
        }
        excused.iter().for_each(|request| self.share(*request));
        excused
    }

    /// Merges reports of crashes from another entry. Returns what was new.
    pub fn merge_crashes(
        &mut self,
        reports: &[CrashReport],
        now: Time,
    ) -> Vec<CrashReport> {
        let merged = reports.iter().map(|r| self.evidence.merge(r, now));
        merged.flatten().collect()
    }

    /// Removes and returns what is to be sent to other entries of crashes.
    pub fn take_unsent_crashes(&mut self, now: Time) -> Vec<CrashReport> {
        self.evidence.take_unsent(now)
    }

    /// Returns the number of crashes that are remembered.
    pub fn crashes(&self) -> usize {
        self.evidence.len()
    }

    /// Returns the next reports for an entry that does not have all of them,
    /// with at most `max` features unless the first has more. Successive calls
    /// cycle through all crashes.
    pub fn next_crashes(&mut self, max: usize, now: Time) -> Vec<CrashReport> {
        self.evidence.next_batch(max, now)
    }
}
