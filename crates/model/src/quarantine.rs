//! Quarantine: which requests are kept from replicas, and by whom.
//!
//! Entries send one request, several at a time, to replicas that may end all
//! together, as a rack does, or bring a whole answer; a poisoned request never
//! has one. Entries tell one another what they know, in messages that come in
//! any order or never. What is known and decided is that of
//! [`stairhinge::poison::PoisonTable`]; time stands still, so there are no
//! trials.

use std::sync::Arc;

use stairhinge::Time;
use stairhinge::poison::{
    Admission, Fingerprint, Identity, PoisonRecord, PoisonTable, Suspicion,
};

use crate::Spec;

/// A rule that a mutant leaves out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Without {
    /// Nothing: the protocol as it is.
    Nothing,
    /// An end counts on what was known when its run was sent.
    Turn,
    /// A whole answer clears the request.
    Clearing,
    /// Of two words on a request the greater one counts.
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
    /// The rule left out.
    pub without: Without,
    /// Entries that send the request.
    pub entries: usize,
    /// Whether it ever has a whole answer.
    pub sound: bool,
    /// The most runs, and the most at a time.
    pub runs: u8,
    /// See `runs`.
    pub at_once: usize,
    /// How often replicas end.
    pub falls: u8,
}

/// What is explored, and with which rule left out: many entries with a sound
/// request, one entry alone, and a poisoned request; then each mutant where its
/// rule is needed.
pub const CASES: [(Without, Quarantine); 6] = [
    (Without::Nothing, MANY),
    (Without::Nothing, ALONE),
    (Without::Nothing, POISONED),
    (Without::Turn, Quarantine { without: Without::Turn, ..MANY }),
    (Without::Clearing, Quarantine { without: Without::Clearing, ..ALONE }),
    (Without::Order, Quarantine { without: Without::Order, ..POISONED }),
];

const MANY: Quarantine = Quarantine {
    without: Without::Nothing,
    entries: 2,
    sound: true,
    runs: 5,
    at_once: 3,
    falls: 2,
};

const ALONE: Quarantine = Quarantine { entries: 1, runs: 8, falls: 5, ..MANY };

const POISONED: Quarantine =
    Quarantine { sound: false, runs: 6, falls: 6, ..MANY };

/// A run of the request at a replica.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Run {
    entry: usize,
    sent: Suspicion,
}

/// A state of the whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    /// What each entry knows.
    known: Vec<Suspicion>,
    runs: Vec<Run>,
    /// Words on their way: to which entry, and what they say.
    words: Vec<(usize, Suspicion)>,
    sent: u8,
    /// How often replicas ended, in all and since the last whole answer.
    falls: u8,
    falls_since: u8,
    /// Whether an entry sent it on that had known it quarantined.
    sent_on: bool,
    /// Entries that have known it quarantined, with no whole answer since.
    knew: Vec<bool>,
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

/// Returns the table of an entry that knows so much.
fn table(known: Suspicion) -> PoisonTable {
    let mut table = PoisonTable::default();
    table.merge(vec![record(known)], NOW);
    table
}

impl Quarantine {
    fn learn(&self, state: &mut State, entry: usize, next: Suspicion) {
        state.known[entry] = next;
        state.knew[entry] |= next.is_quarantined();
        for other in 0..self.entries {
            if other != entry {
                state.words.push((other, next));
            }
        }
        state.words.sort_unstable();
        state.words.dedup();
    }

    fn send(&self, state: &State, next: &mut Vec<(String, State)>) {
        if state.runs.len() >= self.at_once || state.sent >= self.runs {
            return;
        }
        for entry in 0..self.entries {
            let mut table = table(state.known[entry]);
            let admission = table.admit(request(), NOW);
            let Admission::Admitted(sent) = admission else { continue };
            let mut to = state.clone();
            to.sent += 1;
            to.sent_on |= to.knew[entry];
            to.runs.push(Run { entry, sent });
            to.runs.sort_unstable();
            next.push((format!("entry {entry} sends it"), to));
        }
    }

    fn fall(&self, state: &State, next: &mut Vec<(String, State)>) {
        if state.falls >= self.falls || state.runs.is_empty() {
            return;
        }
        let mut to = state.clone();
        to.falls += 1;
        to.falls_since += 1;
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
        next.push(("its replicas end".to_string(), to));
    }

    fn answer(&self, state: &State, next: &mut Vec<(String, State)>) {
        if !self.sound {
            return;
        }
        for (index, run) in state.runs.iter().enumerate() {
            let mut to = state.clone();
            to.runs.remove(index);
            to.falls_since = 0;
            to.knew = vec![false; self.entries];
            if self.without != Without::Clearing {
                let mut table = table(to.known[run.entry]);
                table.record_answer(request(), NOW);
                self.learn(&mut to, run.entry, table.suspicion(request()));
            }
            next.push((format!("entry {} has its answer", run.entry), to));
        }
    }

    fn hear(&self, state: &State, next: &mut Vec<(String, State)>) {
        for (index, (entry, word)) in state.words.iter().enumerate() {
            let mut lost = state.clone();
            lost.words.remove(index);
            let mut to = lost.clone();
            next.push((format!("a word to entry {entry} is lost"), lost));
            let mut table = table(to.known[*entry]);
            table.merge(vec![record(*word)], NOW);
            to.known[*entry] = match self.without {
                Without::Order => *word,
                _ => table.suspicion(request()),
            };
            to.knew[*entry] |= to.known[*entry].is_quarantined();
            next.push((format!("entry {entry} hears a word"), to));
        }
    }
}

impl Spec for Quarantine {
    type State = State;

    fn start(&self) -> State {
        State {
            known: vec![Suspicion::default(); self.entries],
            runs: Vec::new(),
            words: Vec::new(),
            sent: 0,
            falls: 0,
            falls_since: 0,
            sent_on: false,
            knew: vec![false; self.entries],
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut next = Vec::new();
        self.send(state, &mut next);
        self.fall(state, &mut next);
        self.answer(state, &mut next);
        self.hear(state, &mut next);
        next
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        if state.sent_on && !self.sound {
            return Some("sent on by an entry that knew it quarantined");
        }
        let held = state.known.iter().any(|k| k.is_quarantined());
        if held && state.falls < Suspicion::QUARANTINE_THRESHOLD {
            return Some("held though replicas ended less than three times");
        }
        // An entry alone hears of all answers.
        let alone = self.entries == 1;
        if held && alone && state.falls_since < Suspicion::QUARANTINE_THRESHOLD
        {
            return Some("held though it was answered in between");
        }
        None
    }
}
