//! Crashes of replicas, and the features of requests that may have caused
//! them.
//!
//! A crash ends all runs of a batch, of which one is at fault, so it accuses
//! all features of all of them. A complete answer clears the features of its
//! request, since a feature at fault never gets one. What is left are the
//! features at fault, and those that occur only beside them.
//!
//! What is known of a crash are two sets of features that only grow, the
//! accused and the cleared, so entries may exchange them in any order.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::culprits::{Culprit, Incident, find_culprits};
use super::exits::RecentExits;
use super::{
    CrashReport, Fingerprint, PoisonRecord, PoisonTable, RequestFeatures,
    Suspicion,
};
use crate::{Digest, Time};

/// The crash of a replica's process.
#[derive(Clone, Debug)]
struct Crash {
    at: Time,
    /// The service of the replica.
    service: Arc<str>,
    /// How many complete answers of the service each entry has seen since.
    answers: BTreeMap<u32, u32>,
    /// Whether a request under which another replica had just crashed was then
    /// sent to this one, so that the crashes have no other common cause.
    in_turn: bool,
    /// The accused features, and whether each has been cleared.
    charges: BTreeMap<Fingerprint, bool>,
}

/// A crash and the name of the replica.
type NamedCrash<'a> = (&'a Arc<str>, &'a Crash);

impl Crash {
    /// Returns the complete answers of the service that are known since.
    fn answered(&self) -> u32 {
        self.answers.values().fold(0, |sum, n| sum.saturating_add(*n))
    }

    /// Returns the features that may have caused it.
    fn suspects(&self) -> BTreeSet<Fingerprint> {
        let open = self.charges.iter().filter(|(_, cleared)| !**cleared);
        open.map(|(feature, _)| *feature).collect()
    }

    /// Returns the requests that are accused of it, whole.
    fn requests(&self) -> impl Iterator<Item = Fingerprint> {
        self.charges.keys().copied().filter(|feature| !feature.is_part())
    }

    /// Returns whether the crashes and exits that coincide with it had the
    /// time to become known, and the service has answered other requests
    /// since. A service that answers none tells nothing of those that crashed.
    fn is_settled(&self, now: Time) -> bool {
        now.since(self.at) >= PoisonTable::SETTLE_PERIOD
            && self.answered() >= CrashEvidence::MIN_ANSWERS
    }

    /// Adds an accused feature, or one that is `cleared`. Returns whether that
    /// is new.
    fn charge(&mut self, feature: Fingerprint, cleared: bool) -> bool {
        let full = self.charges.len() >= CrashEvidence::MAX_FEATURES;
        match self.charges.get_mut(&feature) {
            Some(known) if cleared && !*known => *known = true,
            Some(_) => return false,
            None if full => return false,
            None => {
                self.charges.insert(feature, cleared);
            }
        }
        true
    }
}

/// What the crashes under one request prove, however they coincided with
/// others. Only a complete answer to the request takes it back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Doubt {
    /// Nothing.
    None,
    /// It crashed replicas and got no answer while others did, so that only
    /// one run of it may be in progress.
    OnTrial,
    /// It also crashed replicas when it was on trial, the last one at this
    /// time.
    Proven(Time),
}

/// The crashes of the last minutes, as known to one entry.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashEvidence {
    /// The number by which others know the answers that this entry has seen.
    entry: u32,
    /// By the replica's name as in records. Each life of a replica has a name
    /// of its own.
    crashes: BTreeMap<Arc<str>, Crash>,
    /// The charges that have yet to be sent to other entries.
    unsent: BTreeMap<Arc<str>, BTreeSet<Fingerprint>>,
    /// The replica after which the next batch of reports begins.
    cursor: Option<Arc<str>>,
    digest: u64,
    /// The features that explain the crashes, by the latest judgement.
    culprits: Vec<Culprit>,
    /// Whether anything has changed since then.
    changed: bool,
}

impl CrashEvidence {
    /// How long a crash is remembered.
    pub const RETENTION: Duration = Duration::from_secs(10 * 60);

    /// The maximum number of crashes; the oldest ones are dropped first.
    const MAX_CRASHES: usize = 64;

    /// The maximum number of features of one crash.
    const MAX_FEATURES: usize = 256;

    /// The number of crashes from which on a cause is common to all of them.
    /// Two may coincide by chance.
    const MANY: usize = 3;

    /// The complete answers after a crash by which features that other
    /// requests have as well are cleared, as far as they are common.
    const MIN_ANSWERS: u32 = 16;

    /// How long after its third crash a request is in doubt that has not been
    /// answered since. Halls that fail again and again are back within that
    /// time, and answer what ran there.
    const DOUBT_PERIOD: Duration = Duration::from_secs(2);

    /// The number of crashes in doubt that prove a request to be at fault.
    const DOUBT_CRASHES: usize = 2;

    /// Sets the number by which others know the answers of this entry.
    pub const fn set_entry(&mut self, entry: u32) {
        self.entry = entry;
    }

    /// Returns the number of crashes.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Records that a replica of a service crashed under requests with these
    /// features; `in_turn` tells whether the request was sent there because
    /// another one had just crashed under it.
    pub fn accuse(
        &mut self,
        replica: &Arc<str>,
        features: impl IntoIterator<Item = Fingerprint>,
        service: &Arc<str>,
        in_turn: bool,
        now: Time,
    ) {
        let name = PoisonRecord::truncated_name(replica);
        self.add_crash(&name, service, in_turn, now);
        for feature in features {
            if self.charge(&name, feature, false) {
                self.note_unsent(&name, feature);
            }
        }
    }

    /// Clears features of all crashes known. Returns those that were accused.
    pub fn clear(&mut self, features: &[Fingerprint]) -> Vec<Fingerprint> {
        let mut cleared = BTreeSet::new();
        for (name, crash) in &mut self.crashes {
            for feature in features {
                let Some(known) = crash.charges.get_mut(feature) else {
                    continue;
                };
                if std::mem::replace(known, true) {
                    continue;
                }
                self.digest ^= charge_digest(name, *feature, false);
                self.digest ^= charge_digest(name, *feature, true);
                let unsent = self.unsent.entry(Arc::clone(name)).or_default();
                unsent.insert(*feature);
                cleared.insert(*feature);
            }
        }
        self.changed |= !cleared.is_empty();
        cleared.into_iter().collect()
    }

    /// Counts a complete answer of a service, as far as it tells anything.
    pub fn count_answer(&mut self, service: &str) {
        for (name, crash) in &mut self.crashes {
            let known = crash.answered() >= CrashEvidence::MIN_ANSWERS;
            if known || *crash.service != *service {
                continue;
            }
            *crash.answers.entry(self.entry).or_default() += 1;
            self.unsent.entry(Arc::clone(name)).or_default();
            self.changed = true;
        }
    }

    /// Merges what another entry knows of a crash. Returns the part of it that
    /// is new.
    pub fn merge(
        &mut self,
        report: &CrashReport,
        now: Time,
    ) -> Option<CrashReport> {
        if report.age() >= CrashEvidence::RETENTION {
            return None;
        }
        let name = PoisonRecord::truncated_name(&report.replica);
        let at = now.before(report.age());
        let service = PoisonRecord::truncated_name(&report.service);
        self.add_crash(&name, &service, report.in_turn, at);
        let counted = self.merge_answers(&name, &report.answers);
        let mut new = |features: &[Fingerprint], cleared| -> Vec<_> {
            let features = features.iter().copied();
            features.filter(|f| self.charge(&name, *f, cleared)).collect()
        };
        let accused = new(&report.accused, false);
        let cleared = new(&report.cleared, true);
        let is_new = counted || !accused.is_empty() || !cleared.is_empty();
        is_new.then(|| CrashReport { accused, cleared, ..report.clone() })
    }

    /// Merges the answers that entries have seen since a crash. Returns
    /// whether any is new.
    fn merge_answers(
        &mut self,
        name: &Arc<str>,
        answers: &[(u32, u32)],
    ) -> bool {
        let Some(crash) = self.crashes.get_mut(name) else { return false };
        let mut is_new = false;
        for (entry, count) in answers {
            if crash.answered() >= CrashEvidence::MIN_ANSWERS {
                break;
            }
            let known = crash.answers.entry(*entry).or_default();
            is_new |= *known < *count;
            *known = (*known).max(*count);
        }
        self.changed |= is_new;
        is_new
    }

    fn add_crash(
        &mut self,
        name: &Arc<str>,
        service: &Arc<str>,
        in_turn: bool,
        at: Time,
    ) {
        if let Some(crash) = self.crashes.get_mut(name) {
            crash.at = crash.at.min(at);
            crash.in_turn |= in_turn;
            return;
        }
        if self.crashes.len() >= CrashEvidence::MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, c)| c.at);
            let oldest = oldest.map(|(name, crash)| (name.clone(), crash.at));
            match oldest {
                Some((name, oldest)) if oldest < at => self.remove(&name),
                _ => return,
            }
        }
        let crash = Crash {
            at,
            service: Arc::clone(service),
            answers: BTreeMap::new(),
            in_turn,
            charges: BTreeMap::new(),
        };
        self.crashes.insert(Arc::clone(name), crash);
    }

    /// Adds a charge, and returns whether it is new.
    fn charge(
        &mut self,
        name: &Arc<str>,
        feature: Fingerprint,
        cleared: bool,
    ) -> bool {
        let Some(crash) = self.crashes.get_mut(name) else { return false };
        let before = crash.charges.get(&feature).copied();
        if !crash.charge(feature, cleared) {
            return false;
        }
        if let Some(before) = before {
            self.digest ^= charge_digest(name, feature, before);
        }
        self.digest ^= charge_digest(name, feature, cleared);
        self.changed = true;
        true
    }

    fn note_unsent(&mut self, name: &Arc<str>, feature: Fingerprint) {
        let unsent = self.unsent.entry(Arc::clone(name)).or_default();
        unsent.insert(feature);
    }

    fn remove(&mut self, name: &Arc<str>) {
        self.unsent.remove(name);
        let Some(crash) = self.crashes.remove(name) else { return };
        for (feature, cleared) in crash.charges {
            self.digest ^= charge_digest(name, feature, cleared);
        }
        self.changed = true;
    }

    /// Removes crashes that are too old.
    pub fn sweep(&mut self, now: Time) {
        let age = |crash: &Crash| now.since(crash.at);
        let old = self.crashes.iter();
        let old = old.filter(|(_, c)| age(c) >= CrashEvidence::RETENTION);
        let old: Vec<Arc<str>> = old.map(|(n, _)| Arc::clone(n)).collect();
        old.iter().for_each(|name| self.remove(name));
    }

    /// Judges the crashes again, unless nothing has changed. Returns whether
    /// it did.
    pub fn judge(&mut self, exits: &RecentExits, now: Time) -> bool {
        if !self.changed {
            return false;
        }
        self.changed = self.crashes.values().any(|c| !c.is_settled(now));
        self.culprits = find_culprits(&self.incidents(exits, now));
        true
    }

    /// Returns the features that explain the crashes, by the latest judgement.
    pub fn culprits(&self) -> &[Culprit] {
        &self.culprits
    }

    /// Returns the replicas of known crashes that a feature is accused of.
    pub fn replicas_of(&self, feature: Fingerprint) -> BTreeSet<Arc<str>> {
        let accused = self.crashes.iter();
        let accused =
            accused.filter(|(_, c)| c.charges.contains_key(&feature));
        accused.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Returns whether a request is known to have run on a replica that
    /// crashed.
    pub fn ran_on(&self, request: Fingerprint, replica: &str) -> bool {
        let crash = self.crashes.get(replica);
        crash.is_some_and(|crash| crash.charges.contains_key(&request))
    }

    /// Returns what the crashes under a request prove.
    ///
    /// Each crash of a replica counts once, whatever else exited at that time.
    /// A harmless request under which as many replicas crashed is answered
    /// sooner or later, like others of its service.
    pub fn doubt(&self, request: Fingerprint, now: Time) -> Doubt {
        let open =
            |crash: &&Crash| crash.charges.get(&request) == Some(&false);
        let mut open: Vec<&Crash> =
            self.crashes.values().filter(open).collect();
        open.sort_by_key(|crash| crash.at);
        let threshold = usize::from(Suspicion::QUARANTINE_THRESHOLD);
        let Some(last) = open.get(threshold - 1) else { return Doubt::None };
        let begins = last.at.after(CrashEvidence::DOUBT_PERIOD);
        if now < begins || last.answered() < CrashEvidence::MIN_ANSWERS {
            return Doubt::None;
        }
        let on_trial: Vec<&&Crash> =
            open.iter().filter(|crash| crash.at >= begins).collect();
        match on_trial.last() {
            Some(crash) if on_trial.len() >= CrashEvidence::DOUBT_CRASHES => {
                Doubt::Proven(crash.at)
            }
            _ => Doubt::OnTrial,
        }
    }

    /// Returns whether a crash is known.
    pub fn contains(&self, replica: &Arc<str>) -> bool {
        self.crashes.contains_key(replica)
    }

    /// Returns a group of features of the request of which one or more are at
    /// fault, if it is not known which ones.
    pub fn group_in(&self, request: &RequestFeatures) -> Option<&Culprit> {
        self.culprits.iter().find(|culprit| {
            culprit.features.len() > 1
                && culprit.features.iter().all(|f| request.contains(*f))
        })
    }

    /// Returns the crashes that may have been caused by requests, in the order
    /// of time. Those that coincide have one cause. Those that came in turn have
    /// another one than the crashes that they followed, but may have one in
    /// common, such as the end of the hall to which requests were sent again.
    fn incidents(&self, exits: &RecentExits, now: Time) -> Vec<Incident> {
        let mut crashes: Vec<NamedCrash<'_>> = self.crashes.iter().collect();
        crashes.retain(|(_, crash)| {
            let known = crash.is_settled(now) || crash.in_turn;
            known && !exits.idle_near(crash.at)
        });
        crashes.sort_by_key(|(_, crash)| crash.at);
        let mut incidents = Vec::new();
        let mut rest = &crashes[..];
        while let Some((_, first)) = rest.first() {
            let coinciding = rest.iter().take_while(|(_, crash)| {
                crash.at.since(first.at) <= RecentExits::SPAN
            });
            let (together, others) = rest.split_at(coinciding.count());
            rest = others;
            let (in_turn, at_once): (Vec<_>, Vec<_>) =
                together.iter().partition(|(_, crash)| crash.in_turn);
            incidents.extend(incident(&at_once));
            for group in split_successions(&in_turn) {
                incidents.extend(incident(&group));
            }
        }
        incidents
    }

    /// Removes and returns the charges to send to other entries.
    pub fn take_unsent(&mut self, now: Time) -> Vec<CrashReport> {
        let unsent = std::mem::take(&mut self.unsent);
        let reports = unsent.into_iter().filter_map(|(name, features)| {
            let crash = self.crashes.get(&name)?;
            Some(report(&name, crash, now, |f| features.contains(f)))
        });
        reports.collect()
    }

    /// Returns the next reports of whole crashes for an entry that does not
    /// know all charges, with at most `max` features unless the first has
    /// more. Successive calls cycle through all crashes.
    pub fn next_batch(&mut self, max: usize, now: Time) -> Vec<CrashReport> {
        let after = self.cursor.take();
        let mut batch = Vec::new();
        let mut features = 0;
        for (name, crash) in &self.crashes {
            if after.as_ref().is_some_and(|after| name <= after) {
                continue;
            }
            features += crash.charges.len();
            if features > max && !batch.is_empty() {
                break;
            }
            batch.push(report(name, crash, now, |_| true));
            self.cursor = Some(Arc::clone(name));
        }
        if batch.is_empty() && after.is_some() {
            return self.next_batch(max, now);
        }
        batch
    }

    /// Returns reports of whole crashes in the order of names, without the
    /// first `from`, with at most `max` features unless the first has more.
    pub fn reports_from(
        &self,
        from: usize,
        max: usize,
        now: Time,
    ) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        let mut features = 0;
        for (name, crash) in self.crashes.iter().skip(from) {
            features += crash.charges.len();
            if features > max && !reports.is_empty() {
                break;
            }
            reports.push(report(name, crash, now, |_| true));
        }
        reports
    }

    /// Returns a digest of all charges.
    pub const fn digest(&self) -> u64 {
        self.digest
    }
}

/// Groups crashes that came in turn, in the order of time, so that no two of a
/// group occurred under the same request, one after the other.
fn split_successions<'a>(
    in_turn: &[&'a NamedCrash<'a>],
) -> Vec<Vec<&'a NamedCrash<'a>>> {
    let mut groups: Vec<Vec<&NamedCrash<'_>>> = Vec::new();
    // The group of the next crash under each request.
    let mut next: BTreeMap<Fingerprint, usize> = BTreeMap::new();
    for named in in_turn {
        let requests = || named.1.requests();
        let known = requests().filter_map(|request| next.get(&request));
        let group = known.copied().max().unwrap_or(0);
        next.extend(requests().map(|request| (request, group + 1)));
        if group == groups.len() {
            groups.push(Vec::new());
        }
        groups[group].push(named);
    }
    groups
}

/// Returns the incident of crashes that coincide, or `None` if there are none.
fn incident(together: &[&NamedCrash<'_>]) -> Option<Incident> {
    let many = together.len() >= CrashEvidence::MANY;
    let mut crashes = together.iter();
    let mut suspects = crashes.next()?.1.suspects();
    for (_, crash) in crashes {
        if many {
            suspects.retain(|f| crash.charges.get(f) == Some(&false));
        } else {
            suspects.extend(crash.suspects());
        }
    }
    let replicas = together.iter().map(|(name, _)| Arc::clone(name)).collect();
    Some(Incident { replicas, suspects })
}

fn report(
    name: &Arc<str>,
    crash: &Crash,
    now: Time,
    wanted: impl Fn(&Fingerprint) -> bool,
) -> CrashReport {
    let (mut accused, mut cleared) = (Vec::new(), Vec::new());
    for (feature, is_cleared) in &crash.charges {
        if wanted(feature) {
            let to = if *is_cleared { &mut cleared } else { &mut accused };
            to.push(*feature);
        }
    }
    CrashReport {
        replica: Arc::clone(name),
        age_ms: now.since(crash.at).as_millis() as u64,
        service: Arc::clone(&crash.service),
        answers: crash.answers.iter().map(|(e, n)| (*e, *n)).collect(),
        in_turn: crash.in_turn,
        accused,
        cleared,
    }
}

fn charge_digest(name: &str, feature: Fingerprint, cleared: bool) -> u64 {
    let text = format!("{name} {feature} {cleared}");
    Digest::of(text.as_bytes()).head()
}
