//! Quarantine: which entries withhold a request that crashes replicas.
//!
//! Entries send one request concurrently to replicas. The replicas may all
//! crash together, as in a rack failure, or return a complete answer; a
//! poisoned request never gets one. Entries exchange their records in messages
//! that arrive in any order or never. [`stairhinge::poison::PoisonTable`]
//! keeps the records and makes the decisions; the clock doesn't advance, so
//! there are no trials.

use std::sync::Arc;

use stairhinge::Time;
use stairhinge::poison::{
    Admission, Fingerprint, Identity, PoisonRecord, PoisonTable, Suspicion,
};

use crate::Spec;

/// A protocol rule that a mutant omits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// No rule: the unmodified protocol.
    Nothing,
    /// A crash counts on top of the suspicion at the time its run was sent.
    Turn,
    /// A complete answer clears the request.
    Clearing,
    /// The greater of two suspicions of a request takes precedence.
    Order,
}

impl Without {
    /// All rules.
    pub const RULES: [Without; 3] =
        [Without::Turn, Without::Clearing, Without::Order];
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Quarantine {
    /// The omitted rule.
    pub without: Without,
    /// Entries that send the request.
    pub entries: usize,
    /// Whether the request can get a complete answer.
    pub answerable: bool,
    /// Maximum runs in total.
    pub runs: u8,
    /// Maximum concurrent runs.
    pub max_in_progress: usize,
    /// Maximum crashes of the replicas.
    pub crashes: u8,
}

/// The explored cases, each with its omitted rule: two entries and a single
/// entry with an answerable request, and two with a poisoned one; then each
/// mutant in a case that needs its rule.
pub const CASES: [(Without, Quarantine); 6] = [
    (Without::Nothing, TWO_ENTRIES),
    (Without::Nothing, SINGLE_ENTRY),
    (Without::Nothing, POISONED),
    (Without::Turn, Quarantine { without: Without::Turn, ..TWO_ENTRIES }),
    (
        Without::Clearing,
        Quarantine { without: Without::Clearing, ..SINGLE_ENTRY },
    ),
    (Without::Order, Quarantine { without: Without::Order, ..POISONED }),
];

const TWO_ENTRIES: Quarantine = Quarantine {
    without: Without::Nothing,
    entries: 2,
    answerable: true,
    runs: 5,
    max_in_progress: 3,
    crashes: 2,
};

const SINGLE_ENTRY: Quarantine =
    Quarantine { entries: 1, runs: 8, crashes: 5, ..TWO_ENTRIES };

const POISONED: Quarantine =
    Quarantine { answerable: false, runs: 6, crashes: 6, ..TWO_ENTRIES };

/// A run of the request at a replica.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Run {
    entry: usize,
    sent: Suspicion,
}

/// A state of the modelled system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    /// The suspicion recorded at each entry.
    known: Vec<Suspicion>,
    runs: Vec<Run>,
    /// Messages in transit: the receiving entry and the suspicion.
    messages: Vec<(usize, Suspicion)>,
    sent: u8,
    /// Crashes of the replicas, in total and since the last complete answer.
    crashes: u8,
    crashes_since_answer: u8,
    /// Whether an entry sent the request after recording its quarantine.
    sent_despite_quarantine: bool,
    /// Whether each entry knew of a quarantine since the last complete answer.
    knew_quarantined: Vec<bool>,
}

const NOW: Time = Time::from_millis(1);

fn request() -> Fingerprint {
    let asked = Identity { host: "", path: "", caller: "", body: b"" };
    Fingerprint::of(&asked)
}

fn record(suspicion: Suspicion) -> PoisonRecord {
    let request = request();
    PoisonRecord { request, suspicion, age_ms: 0, replicas: Vec::new() }
}

/// Returns a table that holds the given suspicion.
fn table(known: Suspicion) -> PoisonTable {
    let mut table = PoisonTable::default();
    table.merge(vec![record(known)], NOW);
    table
}

impl Quarantine {
    fn learn(&self, state: &mut State, entry: usize, next: Suspicion) {
        state.known[entry] = next;
        state.knew_quarantined[entry] |= next.is_quarantined();
        for other in 0..self.entries {
            if other != entry {
                state.messages.push((other, next));
            }
        }
        state.messages.sort_unstable();
        state.messages.dedup();
    }

    fn send(&self, state: &State, next: &mut Vec<(String, State)>) {
        if state.runs.len() >= self.max_in_progress || state.sent >= self.runs
        {
            return;
        }
        for entry in 0..self.entries {
            let mut table = table(state.known[entry]);
            let admission = table.admit(request(), NOW);
            let Admission::Admitted(sent) = admission else { continue };
            let mut to = state.clone();
            to.sent += 1;
            to.sent_despite_quarantine |= to.knew_quarantined[entry];
            to.runs.push(Run { entry, sent });
            to.runs.sort_unstable();
            next.push((format!("entry {entry} sends the request"), to));
        }
    }

    fn crash(&self, state: &State, next: &mut Vec<(String, State)>) {
        if state.crashes >= self.crashes || state.runs.is_empty() {
            return;
        }
        let mut to = state.clone();
        to.crashes += 1;
        to.crashes_since_answer += 1;
        for run in std::mem::take(&mut to.runs) {
            let now_known = to.known[run.entry];
            let mut table = table(now_known);
            let sent = match self.without {
                Without::Turn => now_known,
                _ => run.sent,
            };
            let replica = Arc::from("i");
            table.record_crash(request(), sent, &replica, NOW);
            self.learn(&mut to, run.entry, table.suspicion(request()));
        }
        next.push(("the replicas crash".to_string(), to));
    }

    fn answer(&self, state: &State, next: &mut Vec<(String, State)>) {
        if !self.answerable {
            return;
        }
        for (index, run) in state.runs.iter().enumerate() {
            let mut to = state.clone();
            to.runs.remove(index);
            to.crashes_since_answer = 0;
            to.knew_quarantined = vec![false; self.entries];
            if self.without != Without::Clearing {
                let mut table = table(to.known[run.entry]);
                table.record_answer(request(), NOW);
                self.learn(&mut to, run.entry, table.suspicion(request()));
            }
            next.push((
                format!("entry {} receives the answer", run.entry),
                to,
            ));
        }
    }

    fn receive(&self, state: &State, next: &mut Vec<(String, State)>) {
        for (index, (entry, message)) in state.messages.iter().enumerate() {
            let mut lost = state.clone();
            lost.messages.remove(index);
            let mut to = lost.clone();
            next.push((format!("a message to entry {entry} is lost"), lost));
            let mut table = table(to.known[*entry]);
            table.merge(vec![record(*message)], NOW);
            to.known[*entry] = match self.without {
                Without::Order => *message,
                _ => table.suspicion(request()),
            };
            to.knew_quarantined[*entry] |= to.known[*entry].is_quarantined();
            next.push((format!("entry {entry} receives a message"), to));
        }
    }
}

impl Spec for Quarantine {
    type State = State;

    fn start(&self) -> State {
        State {
            known: vec![Suspicion::default(); self.entries],
            runs: Vec::new(),
            messages: Vec::new(),
            sent: 0,
            crashes: 0,
            crashes_since_answer: 0,
            sent_despite_quarantine: false,
            knew_quarantined: vec![false; self.entries],
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut next = Vec::new();
        self.send(state, &mut next);
        self.crash(state, &mut next);
        self.answer(state, &mut next);
        self.receive(state, &mut next);
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.sent_despite_quarantine && !self.answerable {
            return Some("sent on by an entry that knew it quarantined");
        }
        let held = state.known.iter().any(|k| k.is_quarantined());
        if held && state.crashes < Suspicion::QUARANTINE_THRESHOLD {
            return Some("held though replicas ended less than three times");
        }
        // A single entry receives every answer.
        let alone = self.entries == 1;
        if held
            && alone
            && state.crashes_since_answer < Suspicion::QUARANTINE_THRESHOLD
        {
            return Some("held though it was answered in between");
        }
        None
    }
}
