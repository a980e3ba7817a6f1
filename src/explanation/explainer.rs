//! Reading logs, and answering for one request.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use super::{Cause, LogLine, LoggedDecision, Outcome, RequestHistory};

/// How long before a request changes of belief are still told of, in
/// milliseconds.
const CONTEXT_MS: u64 = 3_000;

/// What the logs of one process hold beside requests.
#[derive(Debug, Default)]
struct ProcessLog {
    /// Since its newest start.
    beliefs: Vec<LogLine>,
    /// Of lives before that one.
    earlier: Vec<Vec<LogLine>>,
    engine: Option<SocketAddr>,
    /// Requests without an end in this life.
    open: Vec<Arc<str>>,
}

/// What is known of one request.
#[derive(Debug)]
pub struct Explanation<'a> {
    /// Its own lines.
    pub history: &'a RequestHistory,
    /// Lines of its entry about the replicas involved and of what else the
    /// entry took note of just before it and during it.
    pub entry_lines: Vec<&'a LogLine>,
    /// Lines of the replicas' agents from about that time.
    pub agent_lines: Vec<&'a LogLine>,
    /// Why it ended as it did.
    pub cause: Cause,
}

/// Reads logs.
#[derive(Debug, Default)]
pub struct Explainer {
    requests: BTreeMap<Arc<str>, RequestHistory>,
    processes: HashMap<Arc<str>, ProcessLog>,
    read: u64,
    passed: u64,
}

impl Explainer {
    /// Returns one that has read nothing.
    pub fn new() -> Explainer {
        Explainer::default()
    }

    /// Reads a line of the log of `process`.
    pub fn read_line(&mut self, process: &Arc<str>, line: &str) {
        match LogLine::parse(process, line) {
            Ok(line) => {
                self.read += 1;
                self.take(line);
            }
            Err(_) => self.passed += 1,
        }
    }

    /// Returns how many lines were decisions.
    pub const fn lines_read(&self) -> u64 {
        self.read
    }

    /// Returns how many lines were none.
    pub const fn lines_skipped(&self) -> u64 {
        self.passed
    }

    fn take(&mut self, line: LogLine) {
        let process =
            self.processes.entry(Arc::clone(line.process())).or_default();
        if let Some(id) = line.decision().request() {
            let id = Arc::clone(id);
            process.open.push(Arc::clone(&id));
            match self.requests.get_mut(&id) {
                Some(history) => history.push(line),
                None => {
                    self.requests.insert(id, RequestHistory::new(line));
                }
            }
            return;
        }
        if let LoggedDecision::Start { engine, .. } = line.decision() {
            process.engine = *engine;
            let before = std::mem::take(&mut process.beliefs);
            process.earlier.push(before);
            for id in process.open.drain(..) {
                let Some(history) = self.requests.get_mut(&id) else {
                    continue;
                };
                if history.outcome() == Outcome::Open {
                    history.set_cut();
                }
            }
        }
        process.beliefs.push(line);
    }

    /// Returns what is known of a request.
    pub fn explain(&self, id: &str) -> Option<Explanation<'_>> {
        let history = self.requests.get(id)?;
        Some(Explanation {
            history,
            entry_lines: self.entry_lines(history),
            agent_lines: self.agent_lines(history),
            cause: Cause::of(history),
        })
    }

    /// Returns the ids of the requests that were not answered.
    pub fn failed_requests(&self) -> Vec<&Arc<str>> {
        let failed = self.requests.iter().filter(|(_, history)| {
            !matches!(history.outcome(), Outcome::Answered | Outcome::Open)
        });
        failed.map(|(id, _)| id).collect()
    }

    /// Returns how many requests ended how, and by which kind of cause.
    pub fn summary(&self) -> BTreeMap<(Outcome, &'static str), u64> {
        let mut counts = BTreeMap::new();
        for history in self.requests.values() {
            let key = (history.outcome(), Cause::of(history).kind());
            *counts.entry(key).or_default() += 1;
        }
        counts
    }

    /// Returns what the request's entry noted about the replicas involved
    /// and about what it depends on.
    fn entry_lines(&self, history: &RequestHistory) -> Vec<&LogLine> {
        let (first, last) = (&history.lines()[0], history.lines().last());
        let last = last.unwrap_or(first);
        let from = first.uptime_ms().saturating_sub(CONTEXT_MS);
        let replicas = history.replicas();
        let of_life = |lines: &&Vec<LogLine>| {
            // Lives are told apart by the time of day of their start.
            let start =
                lines.first().map_or(0, |l| l.wall_ms() - l.uptime_ms());
            (first.wall_ms() - first.uptime_ms()).abs_diff(start) <= CONTEXT_MS
        };
        let Some(process) = self.processes.get(first.process()) else {
            return Vec::new();
        };
        let mut lives = std::iter::once(&process.beliefs)
            .chain(process.earlier.iter().rev());
        let Some(life) = lives.find(of_life) else { return Vec::new() };
        let related = life.iter().filter(|line| {
            let named = line.decision().replica();
            let involved = named.is_none_or(|r| replicas.contains(r));
            involved
                && !matches!(line.decision(), LoggedDecision::Other)
                && (from..=last.uptime_ms()).contains(&line.uptime_ms())
        });
        related.collect()
    }

    /// Returns what agents of the replicas involved logged about that time.
    fn agent_lines(&self, history: &RequestHistory) -> Vec<&LogLine> {
        let first = history.lines()[0].wall_ms();
        let last = history.lines().last().map_or(first, LogLine::wall_ms);
        let from = first.saturating_sub(CONTEXT_MS);
        let addrs = self.addresses(history);
        let mut lines: Vec<&LogLine> = Vec::new();
        for process in self.processes.values() {
            if !process.engine.is_some_and(|e| addrs.contains(&e)) {
                continue;
            }
            let all = process.earlier.iter().flatten();
            let all = all.chain(&process.beliefs);
            lines.extend(all.filter(|line| {
                !matches!(line.decision(), LoggedDecision::Other)
                    && (from..=last).contains(&line.wall_ms())
            }));
        }
        lines.sort_by_key(|line| line.wall_ms());
        lines
    }

    /// Returns the addresses of the replicas involved, as far as the entry
    /// has logged them.
    fn addresses(&self, history: &RequestHistory) -> Vec<SocketAddr> {
        let replicas = history.replicas();
        let process = self.processes.get(history.lines()[0].process());
        let known = process
            .into_iter()
            .flat_map(|p| p.beliefs.iter().chain(p.earlier.iter().flatten()));
        let mut addrs = Vec::new();
        for line in known {
            let LoggedDecision::ReplicaListed { replica, addr, .. } =
                line.decision()
            else {
                continue;
            };
            if replicas.contains(replica) && !addrs.contains(addr) {
                addrs.push(*addr);
            }
        }
        addrs
    }
}
