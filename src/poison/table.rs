//! The table of requests that have crashed replicas.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::evidence::{CrashEvidence, Doubt};
use super::exits::RecentExits;
use super::page::{PagePosition, TablePage};
use super::request_state::{LastCrash, RequestState};
use super::{
    Admission, CrashReport, Fingerprint, PoisonRecord, Refusal, RefusalReason,
    Suspicion,
};
use crate::{Digest, Time};

/// The requests under which replicas have crashed, as known to one entry.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    /// Requests, and parts of prompts that are or were quarantined.
    pub(super) requests: HashMap<Fingerprint, RequestState>,
    /// The requests whose changes have yet to be sent to other entries.
    unsent: BTreeSet<Fingerprint>,
    /// The position of [`PoisonTable::next_batch`].
    cursor: usize,
    pub(super) exits: RecentExits,
    pub(super) evidence: CrashEvidence,
    /// The parts that this table has quarantined, with the crashes that they
    /// explained.
    pub(super) convicted: HashMap<Fingerprint, Vec<Arc<str>>>,
}

impl PoisonTable {
    /// How long a quarantined request waits before each of its trial runs. If
    /// a software fault makes the request crash replicas, it does so until the
    /// fault is fixed, and the longer that has taken, the longer it is likely
    /// to take. The three trial runs fall within a working day.
    pub const TRIAL_DELAYS: [Duration; 3] = [
        Duration::from_secs(10 * 60),
        Duration::from_secs(60 * 60),
        Duration::from_secs(6 * 60 * 60),
    ];

    /// How long a run excludes other runs of the same request if another crash
    /// would quarantine the request or keep it quarantined. It is more than
    /// twice the maximum time of 0.55 s from the arrival of a poisoned request
    /// at a loaded replica to the crash.
    pub const TRIAL_PERIOD: Duration = Duration::from_millis(1_500);

    /// How long after a crash the exits of other replicas are awaited before
    /// the crash is compared with them.
    pub const SETTLE_PERIOD: Duration = Duration::from_millis(50);

    /// How long after a crash further runs of the request need not be
    /// exclusive if replicas crashed together, because exits that explain the
    /// crash may still become known.
    pub const REVIEW_PERIOD: Duration = Duration::from_secs(1);

    /// How long a request is remembered that has crashed replicas but is not
    /// quarantined. A request that recurs less often than that crashes at most
    /// one replica per day.
    pub const SUSPECT_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

    /// How long a quarantined request is remembered after it last arrived.
    pub const QUARANTINE_RETENTION: Duration =
        Duration::from_secs(24 * 60 * 60);

    /// How long a cleared request is remembered, so that delayed records from
    /// before it was cleared are ignored.
    pub const CLEARED_RETENTION: Duration = Duration::from_secs(60);

    /// The maximum number of requests remembered, which take up to 3 MB.
    pub const MAX_REQUESTS: usize = 16_384;

    /// How long the first crash under a request is withheld from other entries
    /// while the request is retried. A harmless request gets an answer within
    /// 1 to 2 s, which makes the message unnecessary.
    const SHARE_DELAY: Duration = Duration::from_secs(2);

    /// Returns the number of requests and parts in the table.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the table is empty: no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.evidence.len() == 0
    }

    /// Returns the number of quarantined requests and parts.
    pub fn quarantined(&self) -> usize {
        let states = self.requests.values();
        states.filter(|s| s.suspicion.is_quarantined()).count()
    }

    /// Returns the suspicion against a request.
    pub fn suspicion(&self, request: Fingerprint) -> Suspicion {
        let state = self.requests.get(&request);
        state.map_or(Suspicion::default(), |state| state.suspicion)
    }

    /// Decides whether a request may be sent to a replica at `now`. If so, a
    /// run of it has begun.
    pub fn admit(&mut self, request: Fingerprint, now: Time) -> Admission {
        self.review_request(request, now);
        if let Some(refusal) = self.refusal(request, now) {
            return Admission::Refused(refusal);
        }
        let doubt = self.doubt(request, now);
        if doubt != Doubt::None {
            self.make_room(now);
            let state = self.requests.entry(request);
            state.or_insert_with(|| RequestState::new(now));
        }
        let Some(state) = self.requests.get_mut(&request) else {
            return Admission::Admitted(Suspicion::default());
        };
        if state.suspicion.is_quarantined() {
            // Other entries refuse the request while this trial runs.
            state.suspicion.trials += 1;
            state.mark_changed(now);
            self.unsent.insert(request);
        }
        if state.requires_exclusive_run(now) || doubt != Doubt::None {
            state.exclusive_until = Some(now.after(PoisonTable::TRIAL_PERIOD));
            state.holder = None;
        }
        Admission::Admitted(state.suspicion)
    }

    /// Returns what the crashes under a request prove. Parts of prompts are
    /// judged by all crashes ([`PoisonTable::judge`]).
    fn doubt(&self, request: Fingerprint, now: Time) -> Doubt {
        if request.is_part() {
            return Doubt::None;
        }
        self.evidence.doubt(request, now)
    }

    /// Returns the refusal of a request that the crashes prove to be at fault,
    /// whatever has withdrawn some of them.
    fn refuse_proven(
        &mut self,
        request: Fingerprint,
        now: Time,
    ) -> Option<Refusal> {
        let Doubt::Proven(since) = self.doubt(request, now) else {
            return None;
        };
        let delay = PoisonTable::TRIAL_DELAYS[0];
        let left = delay.saturating_sub(now.since(since));
        let unknown = || RequestState::new(since);
        let state = self.requests.get(&request).cloned();
        let state = state.unwrap_or_else(unknown);
        let reason = RefusalReason::Quarantined;
        (!left.is_zero()).then(|| state.refusal(request, reason, left, now))
    }

    /// Returns why a request, or one with this part in its prompt, may not be
    /// sent to a replica at `now`, if so. It has arrived.
    pub(super) fn refusal(
        &mut self,
        request: Fingerprint,
        now: Time,
    ) -> Option<Refusal> {
        if let Some(refusal) = self.refuse_proven(request, now) {
            return Some(refusal);
        }
        let state = self.requests.get_mut(&request)?;
        state.last_seen = Some(now);
        let quarantined = if state.suspicion.is_quarantined() {
            state.trial_delay_left(request, now)
        } else {
            Duration::ZERO
        };
        // Until its first trial, a quarantined request has no run in progress
        // that could be worth waiting for.
        let untried = state.suspicion.trials == 0;
        let exclusive = state.exclusive_until.filter(|until| now < *until);
        let exclusive =
            exclusive.filter(|_| !untried || quarantined.is_zero());
        if let Some(until) = exclusive {
            let (reason, left) = (RefusalReason::OnTrial, until.since(now));
            return Some(state.refusal(request, reason, left, now));
        }
        let reason = RefusalReason::Quarantined;
        (!quarantined.is_zero())
            .then(|| state.refusal(request, reason, quarantined, now))
    }

    /// Returns whether all runs of a request should use the same replica:
    /// several replicas crashed under it together. If it is poisoned, its runs
    /// then crash one replica instead of all; if not, the others show whether
    /// they exit without it.
    pub fn shares_replica(&self, request: Fingerprint) -> bool {
        let state = self.requests.get(&request);
        state.is_some_and(|s| s.suspicion.ended > 0 && s.crashed_together())
    }

    /// Records that a replica exited between `after` and `by`; `idle` tells
    /// whether it is known to have run no request. A replica that ran requests
    /// is recorded with [`PoisonTable::record_crash`] for each of them.
    pub fn record_exit(
        &mut self,
        replica: &Arc<str>,
        after: Time,
        by: Time,
        idle: bool,
    ) {
        self.exits.record(replica, after, by, idle);
    }

    /// Withdraws the last crash of each request if it coincided with exits
    /// that the request cannot have caused. Returns these requests, each with
    /// the replicas that exited at that time.
    pub fn review(&mut self, now: Time) -> Vec<(Fingerprint, Vec<Arc<str>>)> {
        let repeated = self.requests.iter().filter(|(_, state)| {
            state.suspicion.ended > 1 && state.last_crash.is_some()
        });
        let requests: Vec<Fingerprint> = repeated.map(|(r, _)| *r).collect();
        let mut withdrawn = Vec::new();
        for request in requests {
            if let Some(exits) = self.review_request(request, now) {
                withdrawn.push((request, exits));
            }
        }
        withdrawn
    }

    /// Withdraws the last crash of a request if it coincided with exits that
    /// the request cannot have caused, and returns the replicas that exited.
    /// The first crash is kept: it restricts nobody.
    pub fn review_request(
        &mut self,
        request: Fingerprint,
        now: Time,
    ) -> Option<Vec<Arc<str>>> {
        if request.is_part() {
            // Exits that coincide have been considered before.
            return None;
        }
        let state = self.requests.get_mut(&request)?;
        let Suspicion { ended, trials, .. } = state.suspicion;
        let LastCrash { replica, at } = state.last_crash.as_ref()?;
        let evidence = &self.evidence;
        let ran_on = |name: &str| evidence.ran_on(request, name);
        if ended < 2
            || trials > 0
            || now.since(*at) < PoisonTable::SETTLE_PERIOD
            || !self.exits.coincided(request, replica, *at, ran_on)
            || evidence.doubt(request, now) != Doubt::None
        {
            return None;
        }
        let exits = self.exits.names_near(*at);
        state.withdraw_crash(now);
        self.share(request);
        Some(exits)
    }

    /// Decides whether a request that was admitted with the suspicion
    /// `sent` may still be sent, given what has become known since.
    pub fn recheck(
        &self,
        request: Fingerprint,
        sent: Suspicion,
        now: Time,
    ) -> Admission {
        let state = self.requests.get(&request);
        let newer = state
            .filter(|s| s.suspicion > sent && s.suspicion.is_quarantined());
        match newer {
            Some(state) => {
                let left = state.trial_delay_left(request, now);
                let reason = RefusalReason::Quarantined;
                Admission::Refused(state.refusal(request, reason, left, now))
            }
            None => Admission::Admitted(sent),
        }
    }

    /// Records that a replica crashed under a request that was sent to it with
    /// the suspicion `sent`. Returns the current suspicion.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        sent: Suspicion,
        replica: &Arc<str>,
        now: Time,
    ) -> Suspicion {
        self.make_room(now);
        self.exits.record_run(replica, request, now);
        let doubtful = self.doubt(request, now) != Doubt::None;
        let entry = self.requests.entry(request);
        let state = entry.or_insert_with(|| RequestState::new(now));
        let current = state.suspicion;
        if current.cleared > sent.cleared && !doubtful {
            return current;
        }
        let ended = if doubtful {
            Suspicion::QUARANTINE_THRESHOLD
        } else {
            (sent.ended + 1).min(Suspicion::QUARANTINE_THRESHOLD)
        };
        let cleared = current.cleared.max(sent.cleared);
        let next = Suspicion { cleared, ended, ..sent };
        if next < current {
            return current;
        }
        let mut together = false;
        if next > current {
            state.push_crash(replica, now);
            state.end_run();
        } else {
            together = state.add_together(replica);
        }
        state.suspicion = next;
        state.mark_changed(now);
        if ended > 1 || together {
            self.share(request);
        }
        next
    }

    /// Records a complete answer to a request, which clears it. Returns the
    /// previous suspicion if a replica had crashed under the request.
    pub fn record_answer(
        &mut self,
        request: Fingerprint,
        now: Time,
    ) -> Option<Suspicion> {
        let state = self.requests.get_mut(&request)?;
        let previous = state.suspicion;
        if previous.ended == 0 {
            return None;
        }
        state.clear(now);
        if state.shared {
            self.unsent.insert(request);
        }
        Some(previous)
    }

    /// Records that a run of a request has finished, so that another one may
    /// begin.
    pub fn finish_run(&mut self, request: Fingerprint) {
        if let Some(state) = self.requests.get_mut(&request) {
            state.end_run();
        }
    }

    /// Records that a request is not retried any more. Its client may repeat
    /// it through any entry, so the suspicion is shared.
    pub fn record_give_up(&mut self, request: Fingerprint) {
        let state = self.requests.get(&request);
        if state.is_some_and(|s| s.suspicion.ended > 0 && !s.shared) {
            self.share(request);
        }
    }

    /// Merges records from another entry. Returns the requests whose state has
    /// changed.
    pub fn merge(
        &mut self,
        records: Vec<PoisonRecord>,
        now: Time,
    ) -> Vec<Fingerprint> {
        let mut changed = Vec::new();
        for record in records {
            let request = record.request;
            if self.merge_one(record, now) {
                changed.push(request);
            }
        }
        changed
    }

    fn merge_one(&mut self, record: PoisonRecord, now: Time) -> bool {
        if !record.suspicion.is_valid() {
            return false;
        }
        let last_crash = self.reported_crash(&record, now);
        if let Some(LastCrash { replica, at }) = &last_crash {
            self.exits.record_run(replica, record.request, *at);
        }
        for replica in &record.replicas {
            self.exits.add_run(replica, record.request);
        }
        if let Some(state) = self.requests.get_mut(&record.request) {
            let same = state.suspicion == record.suspicion;
            state.shared |= same;
            if same && record.suspicion.ended > 0 {
                return state.merge_replicas(&record.replicas);
            }
            if state.suspicion >= record.suspicion {
                return false;
            }
        }
        if record.suspicion == Suspicion::default() {
            return false;
        }
        // A run in progress is still the only one, unless the request has been
        // cleared or quarantined since.
        let goes_on = |s: &&RequestState| {
            let (before, after) = (s.suspicion, record.suspicion);
            before.cleared == after.cleared
                && before.is_quarantined() == after.is_quarantined()
        };
        let run = self.requests.get(&record.request);
        let run = run.filter(goes_on).map(|s| (s.exclusive_until, s.holder));
        let (exclusive_until, holder) = run.unwrap_or_default();
        let age_at_change = record.age();
        let reported = record.replicas.iter().take(PoisonRecord::MAX_REPLICAS);
        let replicas = reported.map(PoisonRecord::truncated_name).collect();
        let state = RequestState {
            suspicion: record.suspicion,
            replicas,
            last_crash,
            age_at_change,
            shared: true,
            exclusive_until,
            holder,
            ..RequestState::new(now)
        };
        if state.retention_left(now).is_zero() {
            return false;
        }
        self.make_room(now);
        self.requests.insert(record.request, state);
        true
    }

    /// Returns the crash that a record reports: that of its last replica, at
    /// the time when the suspicion changed. A suspicion also changes when the
    /// request is cleared, is tried again or a crash is withdrawn.
    fn reported_crash(
        &self,
        record: &PoisonRecord,
        now: Time,
    ) -> Option<LastCrash> {
        let Suspicion { cleared, ended, trials } = record.suspicion;
        let replica = record.replicas.last()?;
        if trials > 0 || record.age() >= RecentExits::RETENTION {
            return None;
        }
        let state = self.requests.get(&record.request);
        let known = state.map_or(Suspicion::default(), |s| s.suspicion);
        let is_new = ended > known.ended
            || (ended == known.ended
                && state.is_some_and(|s| !s.replicas.contains(replica)));
        let at = now.before(record.age());
        (cleared == known.cleared && is_new)
            .then(|| LastCrash { replica: Arc::clone(replica), at })
    }

    /// Removes requests whose retention has expired, and shares suspicions
    /// that were withheld until now.
    pub fn sweep(&mut self, now: Time) {
        self.exits.sweep(now);
        self.evidence.sweep(now);
        let known = &self.requests;
        self.convicted.retain(|part, _| known.contains_key(part));
        self.requests.retain(|_, state| !state.retention_left(now).is_zero());
        for (request, state) in &mut self.requests {
            let due = state.age(now) >= PoisonTable::SHARE_DELAY;
            if due && !state.shared && state.suspicion.ended > 0 {
                state.shared = true;
                self.unsent.insert(*request);
            }
        }
    }

    /// Removes and returns the changes to send to other entries.
    pub fn take_unsent(&mut self, now: Time) -> Vec<PoisonRecord> {
        let unsent = std::mem::take(&mut self.unsent);
        let records = unsent.into_iter().filter_map(|request| {
            let state = self.requests.get(&request)?;
            Some(record(request, state, now))
        });
        records.collect()
    }

    /// Returns the records of those of the given requests that are known.
    pub fn records(
        &self,
        requests: &[Fingerprint],
        now: Time,
    ) -> Vec<PoisonRecord> {
        let mut records = Vec::new();
        for request in requests {
            if let Some(state) = self.requests.get(request) {
                records.push(record(*request, state, now));
            }
        }
        records
    }

    /// Returns the next batch of at most `max` records for a process that does
    /// not have all of them. Successive calls cycle through all shared records
    /// in descending order of crashes, and of these the newest first.
    pub fn next_batch(&mut self, max: usize, now: Time) -> Vec<PoisonRecord> {
        let shared = self.shared_in_order(now);
        let from = if self.cursor < shared.len() { self.cursor } else { 0 };
        let batch = records_of(shared.into_iter().skip(from).take(max), now);
        self.cursor = from + batch.len();
        batch
    }

    /// Returns a page of the table for a process that compares its own with
    /// it, from the position that the last page ended with; zero is the
    /// beginning. The records with the most crashes are in each page.
    pub fn page(&self, from: PagePosition, now: Time) -> TablePage {
        let shared = self.shared_in_order(now);
        let first = TablePage::FIRST_RECORDS.min(shared.len());
        let from_record = (from.record as usize).max(first);
        let size = TablePage::MAX_RECORDS - first;
        let rest = shared.iter().skip(from_record).take(size);
        let chosen = shared.iter().take(first).chain(rest).copied();
        let records = records_of(chosen, now);
        let to_record = from_record + records.len() - first;
        let most = CrashReport::MAX_FEATURES * TablePage::CRASH_MESSAGES;
        let from_crash = from.crash as usize;
        let crashes = self.evidence.reports_from(from_crash, most, now);
        let to_crash = from_crash + crashes.len();
        let ended =
            to_record >= shared.len() && to_crash >= self.evidence.len();
        let next =
            PagePosition { record: to_record as u32, crash: to_crash as u32 };
        let next = if ended { PagePosition::default() } else { next };
        TablePage { records, crashes, next }
    }

    /// Returns all shared records in descending order of crashes, and of these
    /// the newest first.
    fn shared_in_order(&self, now: Time) -> Vec<(Fingerprint, &RequestState)> {
        let shared = self.requests.iter().filter(|(_, state)| state.shared);
        let mut shared: Vec<(Fingerprint, &RequestState)> =
            shared.map(|(request, state)| (*request, state)).collect();
        shared.sort_unstable_by_key(|(request, state)| {
            let ended = Reverse(state.suspicion.ended);
            (ended, state.age(now), *request)
        });
        shared
    }

    /// Returns a digest of all shared records.
    pub fn digest(&self) -> u64 {
        let mut digest = self.evidence.digest();
        for (request, state) in &self.requests {
            if state.shared {
                digest ^= record_digest(*request, state.suspicion);
            }
        }
        digest
    }

    pub(super) fn share(&mut self, request: Fingerprint) {
        if let Some(state) = self.requests.get_mut(&request) {
            state.shared = true;
            self.unsent.insert(request);
        }
    }

    /// Removes a sixteenth of the requests if the table is full. Requests with
    /// the fewest crashes are removed first, and of these the oldest.
    pub(super) fn make_room(&mut self, now: Time) {
        if self.requests.len() < PoisonTable::MAX_REQUESTS {
            return;
        }
        let mut all: Vec<(u8, Reverse<Duration>, Fingerprint)> =
            Vec::with_capacity(self.requests.len());
        for (request, state) in &self.requests {
            let age = Reverse(state.age(now));
            all.push((state.suspicion.ended, age, *request));
        }
        all.sort_unstable();
        for (_, _, request) in all.iter().take(PoisonTable::MAX_REQUESTS / 16)
        {
            self.requests.remove(request);
            self.unsent.remove(request);
        }
    }
}

fn records_of<'a>(
    states: impl Iterator<Item = (Fingerprint, &'a RequestState)>,
    now: Time,
) -> Vec<PoisonRecord> {
    states.map(|(request, state)| record(request, state, now)).collect()
}

fn record(
    request: Fingerprint,
    state: &RequestState,
    now: Time,
) -> PoisonRecord {
    PoisonRecord {
        request,
        suspicion: state.suspicion,
        age_ms: state.age(now).as_millis() as u64,
        replicas: state.replicas.clone(),
    }
}

fn record_digest(request: Fingerprint, suspicion: Suspicion) -> u64 {
    let Suspicion { cleared, ended, trials } = suspicion;
    let text = format!("{request} {cleared} {ended} {trials}");
    Digest::of(text.as_bytes()).head()
}
