//! What one entry knows of poisoned requests.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::request_state::Known;
use super::{Admission, Fingerprint, PoisonRecord, RefusalReason, Suspicion};
use crate::{Digest, Time};

/// The requests under which replicas have ended.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    known: HashMap<Fingerprint, Known>,
    /// Those whose change others are to be told.
    untold: BTreeSet<Fingerprint>,
    /// Where the next part begins of what is told to one who lacks it.
    cursor: usize,
}

impl PoisonTable {
    /// How long a quarantined request waits for each of its trials. A request
    /// that ends replicas for a fault of their software does so until that is
    /// changed, which takes longer the longer it has taken; the three trials
    /// fall within a working day.
    pub const HOLDS: [Duration; 3] = [
        Duration::from_secs(10 * 60),
        Duration::from_secs(60 * 60),
        Duration::from_secs(6 * 60 * 60),
    ];

    /// How long no other run of a request begins that is on trial: over twice
    /// the longest span seen between such a request's arrival at a replica
    /// under load and the end of that, 0.55 s.
    pub const TRIAL_PERIOD: Duration = Duration::from_millis(1_500);

    /// How long a request is remembered under which fewer replicas ended than
    /// the limit. One that comes less often is one more end a day.
    pub const SUSPECT_KEPT: Duration = Duration::from_secs(24 * 60 * 60);

    /// How long a quarantined request is remembered that comes no more.
    pub const QUARANTINE_KEPT: Duration = Duration::from_secs(24 * 60 * 60);

    /// How long it is remembered that a request was cleared, so that older
    /// news of it count no more.
    pub const CLEARED_KEPT: Duration = Duration::from_secs(60);

    /// The most requests remembered: 3 MB.
    pub const MOST: usize = 16_384;

    /// How long one end is kept from others while the request is sent on. In
    /// a second or two a sound request is answered, and needs no word.
    const TOLD_AFTER: Duration = Duration::from_secs(2);

    /// Returns how many requests are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns how many requests are quarantined.
    pub fn quarantined(&self) -> usize {
        let known = self.known.values();
        known.filter(|k| k.suspicion.is_quarantined()).count()
    }

    /// Returns how far a request is suspected.
    pub fn suspicion(&self, request: Fingerprint) -> Suspicion {
        let known = self.known.get(&request);
        known.map_or(Suspicion::default(), |known| known.suspicion)
    }

    /// Says whether a request may be sent to a replica now.
    pub fn admit(&mut self, request: Fingerprint, now: Time) -> Admission {
        let Some(known) = self.known.get_mut(&request) else {
            return Admission::Admitted(Suspicion::default());
        };
        known.seen = Some(now);
        if let Some(until) = known.alone_until.filter(|until| now < *until) {
            let back = until.since(now);
            return known.refusal(RefusalReason::OnTrial, back, now);
        }
        if known.suspicion.is_quarantined() {
            let back = known.back(now);
            if !back.is_zero() {
                let reason = RefusalReason::Quarantined;
                return known.refusal(reason, back, now);
            }
            // Others hold it back from now on while this trial runs.
            known.suspicion.trials += 1;
            known.change(now);
            self.untold.insert(request);
        }
        if known.suspicion.requires_exclusive_run() {
            known.alone_until = Some(now.after(PoisonTable::TRIAL_PERIOD));
        }
        Admission::Admitted(known.suspicion)
    }

    /// Says whether a request that was to be sent may still be, after what
    /// has become known meanwhile.
    pub fn recheck(
        &self,
        request: Fingerprint,
        sent: Suspicion,
        now: Time,
    ) -> Admission {
        let known = self.known.get(&request);
        let newer = known
            .filter(|k| k.suspicion > sent && k.suspicion.is_quarantined());
        match newer {
            Some(known) => {
                let back = known.back(now);
                known.refusal(RefusalReason::Quarantined, back, now)
            }
            None => Admission::Admitted(sent),
        }
    }

    /// Takes note that a replica ended under a request of which `sent` was
    /// known when it was sent there, and returns what is known now.
    pub fn record_end(
        &mut self,
        request: Fingerprint,
        sent: Suspicion,
        replica: &Arc<str>,
        now: Time,
    ) -> Suspicion {
        self.make_room(now);
        let entry = self.known.entry(request);
        let known = entry.or_insert_with(|| Known::new(now));
        let current = known.suspicion;
        if current.cleared > sent.cleared {
            return current;
        }
        let ended = (sent.ended + 1).min(Suspicion::QUARANTINE_THRESHOLD);
        let next = Suspicion { ended, ..sent };
        if next < current {
            return current;
        }
        if next > current {
            known.replicas.push(PoisonRecord::name(replica));
            known.alone_until = None;
        }
        known.suspicion = next;
        known.change(now);
        if ended > 1 {
            self.tell(request);
        }
        next
    }

    /// Takes note of a whole answer: a request that has one is sound. Returns
    /// what was known, if anything spoke against it.
    pub fn record_answer(
        &mut self,
        request: Fingerprint,
        now: Time,
    ) -> Option<Suspicion> {
        let known = self.known.get_mut(&request)?;
        let before = known.suspicion;
        if before.ended == 0 {
            return None;
        }
        let cleared = before.cleared.saturating_add(1);
        known.suspicion = Suspicion { cleared, ..Suspicion::default() };
        known.replicas.clear();
        known.alone_until = None;
        known.change(now);
        if known.told {
            self.untold.insert(request);
        }
        Some(before)
    }

    /// Takes note that a run of a request is over, so that another may begin.
    pub fn finish_run(&mut self, request: Fingerprint) {
        if let Some(known) = self.known.get_mut(&request) {
            known.alone_until = None;
        }
    }

    /// Takes note that a request is sent on no more, so that its caller may
    /// come with it to any entry: what is known of it is told.
    pub fn record_give_up(&mut self, request: Fingerprint) {
        let known = self.known.get(&request);
        if known.is_some_and(|k| k.suspicion.ended > 0 && !k.told) {
            self.tell(request);
        }
    }

    /// Takes in what another entry tells, and returns what was new.
    pub fn merge(
        &mut self,
        records: Vec<PoisonRecord>,
        now: Time,
    ) -> Vec<Fingerprint> {
        let mut news = Vec::new();
        for record in records {
            let request = record.request;
            if self.merge_one(record, now) {
                news.push(request);
            }
        }
        news
    }

    fn merge_one(&mut self, record: PoisonRecord, now: Time) -> bool {
        if !record.suspicion.is_valid() {
            return false;
        }
        if let Some(known) = self.known.get_mut(&record.request) {
            known.told |= known.suspicion == record.suspicion;
            if known.suspicion >= record.suspicion {
                return false;
            }
        }
        if record.suspicion == Suspicion::default() {
            return false;
        }
        let before = record.age();
        let told = record
            .replicas
            .iter()
            .take(Suspicion::QUARANTINE_THRESHOLD.into());
        let replicas = told.map(PoisonRecord::name).collect();
        let known = Known {
            suspicion: record.suspicion,
            replicas,
            before,
            told: true,
            ..Known::new(now)
        };
        if known.kept(now).is_zero() {
            return false;
        }
        self.make_room(now);
        self.known.insert(record.request, known);
        true
    }

    /// Drops what is over, and has others told of what was kept from them for
    /// long enough.
    pub fn sweep(&mut self, now: Time) {
        self.known.retain(|_, known| !known.kept(now).is_zero());
        for (request, known) in &mut self.known {
            let due = known.age(now) >= PoisonTable::TOLD_AFTER;
            if due && !known.told && known.suspicion.ended > 0 {
                known.told = true;
                self.untold.insert(*request);
            }
        }
    }

    /// Takes out what others are to be told.
    pub fn take_unsent(&mut self, now: Time) -> Vec<PoisonRecord> {
        let untold = std::mem::take(&mut self.untold);
        let records = untold.into_iter().filter_map(|request| {
            let known = self.known.get(&request)?;
            Some(record(request, known, now))
        });
        records.collect()
    }

    /// Returns the records of some requests.
    pub fn records(
        &self,
        requests: &[Fingerprint],
        now: Time,
    ) -> Vec<PoisonRecord> {
        let mut records = Vec::new();
        for request in requests {
            if let Some(known) = self.known.get(request) {
                records.push(record(*request, known, now));
            }
        }
        records
    }

    /// Returns the next records to tell one who lacks some: all in turn,
    /// `most` at a time, the weightiest and of these the newest first.
    pub fn next_batch(&mut self, most: usize, now: Time) -> Vec<PoisonRecord> {
        let told = self.known.iter().filter(|(_, known)| known.told);
        let mut told: Vec<(&Fingerprint, &Known)> = told.collect();
        told.sort_unstable_by_key(|(request, known)| {
            let ended = Reverse(known.suspicion.ended);
            (ended, known.age(now), **request)
        });
        if self.cursor >= told.len() {
            self.cursor = 0;
        }
        let part = told.into_iter().skip(self.cursor).take(most);
        let part: Vec<PoisonRecord> =
            part.map(|(r, known)| record(*r, known, now)).collect();
        self.cursor += part.len();
        part
    }

    /// Returns a digest of all that others are told of.
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        for (request, known) in &self.known {
            if known.told {
                digest ^= digest_of(*request, known.suspicion);
            }
        }
        digest
    }

    fn tell(&mut self, request: Fingerprint) {
        if let Some(known) = self.known.get_mut(&request) {
            known.told = true;
            self.untold.insert(request);
        }
    }

    /// Drops a sixteenth of what is known once that is too much, the lightest
    /// and of these the oldest first.
    fn make_room(&mut self, now: Time) {
        if self.known.len() < PoisonTable::MOST {
            return;
        }
        let mut all: Vec<(u8, Reverse<Duration>, Fingerprint)> =
            Vec::with_capacity(self.known.len());
        for (request, known) in &self.known {
            let age = Reverse(known.age(now));
            all.push((known.suspicion.ended, age, *request));
        }
        all.sort_unstable();
        for (_, _, request) in all.iter().take(PoisonTable::MOST / 16) {
            self.known.remove(request);
            self.untold.remove(request);
        }
    }
}

fn record(request: Fingerprint, known: &Known, now: Time) -> PoisonRecord {
    PoisonRecord {
        request,
        suspicion: known.suspicion,
        age_ms: known.age(now).as_millis() as u64,
        replicas: known.replicas.clone(),
    }
}

fn digest_of(request: Fingerprint, suspicion: Suspicion) -> u64 {
    let Suspicion { cleared, ended, trials } = suspicion;
    let text = format!("{request} {cleared} {ended} {trials}");
    let digest = Digest::of(text.as_bytes());
    let (head, _) = digest.as_bytes().split_at(8);
    u64::from_le_bytes(head.try_into().unwrap_or([0; 8]))
}
