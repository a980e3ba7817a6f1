//! Reads logs and explains single requests.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use super::{Cause, LogLine, LoggedDecision, Outcome, RequestHistory};

/// How long before a request its context lines may have been logged, in
/// milliseconds. Also the tolerance, in the wall-clock time of a process's
/// start, for lines of the same run of the process.
const CONTEXT_MS: u64 = 3_000;

/// The lines of one process that concern no request.
#[derive(Debug, Default)]
struct ProcessLog {
    /// Lines since the newest start.
    current_run: Vec<LogLine>,
    /// Lines of the runs before it, oldest first.
    earlier_runs: Vec<Vec<LogLine>>,
    /// The engine's address, if the process is an agent.
    engine: Option<SocketAddr>,
    /// Requests with lines in the current run, one item for each line.
    current_requests: Vec<Arc<str>>,
}

/// What the logs show about one request.
#[derive(Debug)]
pub struct Explanation<'a> {
    /// The request's own lines.
    pub history: &'a RequestHistory,
    /// Lines that its entry logged shortly before and during the request,
    /// about the replicas involved and about dependencies.
    pub entry_lines: Vec<&'a LogLine>,
    /// Lines of the replicas' agents from about the same time.
    pub agent_lines: Vec<&'a LogLine>,
    /// Why the request ended as it did.
    pub cause: Cause,
}

/// Reads log lines and explains requests.
#[derive(Debug, Default)]
pub struct Explainer {
    requests: BTreeMap<Arc<str>, RequestHistory>,
    processes: HashMap<Arc<str>, ProcessLog>,
    lines_read: u64,
    lines_skipped: u64,
}

impl Explainer {
    /// Returns an explainer that has read no lines.
    pub fn new() -> Explainer {
        Explainer::default()
    }

    /// Reads a line of the log of `process`; lines without a decision are only
    /// counted.
    pub fn read_line(&mut self, process: &Arc<str>, line: &str) {
        match LogLine::parse(process, line) {
            Ok(line) => {
                self.lines_read += 1;
                self.record(line);
            }
            Err(_) => self.lines_skipped += 1,
        }
    }

    /// Returns how many of the lines were decisions.
    pub const fn lines_read(&self) -> u64 {
        self.lines_read
    }

    /// Returns how many of the lines were not decisions.
    pub const fn lines_skipped(&self) -> u64 {
        self.lines_skipped
    }

    fn record(&mut self, line: LogLine) {
        let process =
            self.processes.entry(Arc::clone(line.process())).or_default();
        if let Some(id) = line.decision().request() {
            let id = Arc::clone(id);
            process.current_requests.push(Arc::clone(&id));
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
            let previous_run = std::mem::take(&mut process.current_run);
            process.earlier_runs.push(previous_run);
            for id in process.current_requests.drain(..) {
                let Some(history) = self.requests.get_mut(&id) else {
                    continue;
                };
                if history.outcome() == Outcome::Unfinished {
                    history.set_process_restarted();
                }
            }
        }
        process.current_run.push(line);
    }

    /// Returns what the logs show about a request, if any line names it.
    pub fn explain(&self, id: &str) -> Option<Explanation<'_>> {
        let history = self.requests.get(id)?;
        Some(Explanation {
            history,
            entry_lines: self.entry_lines(history),
            agent_lines: self.agent_lines(history),
            cause: Cause::of(history),
        })
    }

    /// Returns the ids of the requests that ended without a complete answer.
    pub fn failed_requests(&self) -> Vec<&Arc<str>> {
        let failed = self.requests.iter().filter(|(_, history)| {
            !matches!(
                history.outcome(),
                Outcome::Answered | Outcome::Unfinished
            )
        });
        failed.map(|(id, _)| id).collect()
    }

    /// Returns the number of requests by outcome and kind of cause.
    pub fn summary(&self) -> BTreeMap<(Outcome, &'static str), u64> {
        let mut counts = BTreeMap::new();
        for history in self.requests.values() {
            let key = (history.outcome(), Cause::of(history).kind());
            *counts.entry(key).or_default() += 1;
        }
        counts
    }

    /// Returns what the request's entry logged about the replicas involved
    /// and about its dependencies.
    fn entry_lines(&self, history: &RequestHistory) -> Vec<&LogLine> {
        let (first, last) = (&history.lines()[0], history.lines().last());
        let last = last.unwrap_or(first);
        let from = first.uptime_ms().saturating_sub(CONTEXT_MS);
        let replicas = history.replicas();
        let is_same_run = |lines: &&Vec<LogLine>| {
            // A run is identified by the wall-clock time of its start.
            let start =
                lines.first().map_or(0, |l| l.wall_ms() - l.uptime_ms());
            (first.wall_ms() - first.uptime_ms()).abs_diff(start) <= CONTEXT_MS
        };
        let Some(process) = self.processes.get(first.process()) else {
            return Vec::new();
        };
        let mut runs = std::iter::once(&process.current_run)
            .chain(process.earlier_runs.iter().rev());
        let Some(run) = runs.find(is_same_run) else { return Vec::new() };
        let related = run.iter().filter(|line| {
            let replica = line.decision().replica();
            let involved = replica.is_none_or(|r| replicas.contains(r));
            involved
                && !matches!(line.decision(), LoggedDecision::Other)
                && (from..=last.uptime_ms()).contains(&line.uptime_ms())
        });
        related.collect()
    }

    /// Returns what the agents of the replicas involved logged at about the
    /// time of the request.
    fn agent_lines(&self, history: &RequestHistory) -> Vec<&LogLine> {
        let first = history.lines()[0].wall_ms();
        let last = history.lines().last().map_or(first, LogLine::wall_ms);
        let from = first.saturating_sub(CONTEXT_MS);
        let addrs = self.replica_addresses(history);
        let mut lines: Vec<&LogLine> = Vec::new();
        for process in self.processes.values() {
            if !process.engine.is_some_and(|e| addrs.contains(&e)) {
                continue;
            }
            let all = process.earlier_runs.iter().flatten();
            let all = all.chain(&process.current_run);
            lines.extend(all.filter(|line| {
                !matches!(line.decision(), LoggedDecision::Other)
                    && (from..=last).contains(&line.wall_ms())
            }));
        }
        lines.sort_by_key(|line| line.wall_ms());
        lines
    }

    /// Returns the addresses of the replicas involved, as logged by the
    /// entry.
    fn replica_addresses(&self, history: &RequestHistory) -> Vec<SocketAddr> {
        let replicas = history.replicas();
        let process = self.processes.get(history.lines()[0].process());
        let known = process.into_iter().flat_map(|p| {
            p.current_run.iter().chain(p.earlier_runs.iter().flatten())
        });
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
