//! Parsing of a line of a process's decision log.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use crate::{Code, Error};

/// A logged decision, with the fields that help to explain requests.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LoggedDecision {
    /// The process started.
    Start {
        /// The process's role.
        role: Arc<str>,
        /// The name of its instance.
        instance: Arc<str>,
        /// The address of its engine, if the process is an agent.
        #[serde(default)]
        engine: Option<SocketAddr>,
    },
    /// The process was asked to stop.
    Stop {
        /// How long the shutdown may take, in milliseconds.
        grace_ms: u64,
    },
    /// A dependency stopped answering.
    DependencyLost {
        /// The name of the dependency.
        dependency: Arc<str>,
        /// Why the call to it failed.
        reason: Arc<str>,
    },
    /// A dependency started to answer again.
    DependencyRegained {
        /// The name of the dependency.
        dependency: Arc<str>,
        /// How long it had not answered, in milliseconds.
        lost_ms: u64,
    },
    /// Newer routes came into force.
    RoutesTaken {
        /// The revision of the routes.
        revision: u64,
    },
    /// A newer target version of a model was received.
    TargetTaken {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
        /// The time since it was set, in milliseconds.
        #[serde(default)]
        age_ms: Option<u64>,
        /// Whether `age_ms` is an upper bound.
        #[serde(default)]
        presumed: bool,
    },
    /// The presumed age of a target version was corrected.
    TargetDated {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
        /// The time since it was set, in milliseconds.
        age_ms: u64,
    },
    /// A replica was added to the list of replicas, or its record changed.
    ReplicaListed {
        /// The replica's incarnation.
        replica: Arc<str>,
        /// The replica's address.
        addr: SocketAddr,
        /// Whether it is leaving.
        draining: bool,
    },
    /// A replica was removed from the list of replicas.
    ReplicaUnlisted {
        /// The replica's incarnation.
        replica: Arc<str>,
        /// Whether the platform was healthy enough for its list to be trusted.
        reliable: bool,
    },
    /// A replica is excluded from selection for a time after failures.
    ReplicaSuspect {
        /// The replica's incarnation.
        replica: Arc<str>,
        /// The number of consecutive failures.
        failures: u32,
        /// How long it is excluded, in milliseconds.
        for_ms: u64,
    },
    /// Requests that must run at most once go to other replicas.
    ReplicaAvoided {
        /// The name of the replica.
        replica: Arc<str>,
        /// The requests that failed since it was suspected.
        failures: u32,
        /// All requests since it was suspected.
        requests: u32,
        /// The rate at which such requests fail at the other replicas.
        expected: f64,
    },
    /// A replica is excluded because it fails more requests than the others.
    ReplicaEjected {
        /// The replica's incarnation.
        replica: Arc<str>,
        /// The requests that failed since it was suspected.
        failures: u32,
        /// All requests since it was suspected.
        requests: u32,
        /// How long it is excluded, in milliseconds.
        for_ms: u64,
    },
    /// A replica's process ended, by the report of its agent.
    ReplicaExited {
        /// The replica's incarnation.
        replica: Arc<str>,
    },
    /// An ejected replica returns.
    ReplicaReadmitted {
        /// The replica's incarnation.
        replica: Arc<str>,
    },
    /// A request was sent to a replica.
    Sent {
        /// The request's id.
        request: Arc<str>,
        /// The replica's incarnation.
        replica: Arc<str>,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// The requests at the replica that the entry knew of.
        load: u32,
        /// The age of the replica's report, in milliseconds.
        report_age_ms: Option<u64>,
        /// The requested version, if any.
        version: Option<u64>,
        /// How long the request had waited, in milliseconds.
        waited_ms: u64,
    },
    /// No replica was selected for a request.
    NoReplica {
        /// The request's id.
        request: Arc<str>,
        /// The service.
        service: Arc<str>,
        /// How much of the list has been read: `unread`, `partial` or
        /// `whole`; absent in older logs.
        list: Option<Arc<str>>,
        /// Listed replicas of the service.
        listed: usize,
        /// Of these, replicas that could serve it if they had free capacity.
        suitable: usize,
        /// Listed replicas in a region that the route doesn't allow.
        #[serde(default)]
        barred: usize,
        /// Of the rest, replicas in an evacuated data hall.
        #[serde(default)]
        evacuated: usize,
        /// Of the rest, replicas that are leaving.
        #[serde(default)]
        leaving: usize,
        /// Of the rest, replicas whose `Retry-After` has not expired.
        #[serde(default)]
        resting: usize,
        /// Suitable replicas that have set a rate limit.
        #[serde(default)]
        limited: usize,
        /// How long the request had waited, in milliseconds.
        waited_ms: u64,
    },
    /// A request was refused for lack of capacity under admission control.
    OverloadRefused {
        /// The request's id.
        request: Arc<str>,
        /// Why: `waited`, `late` or `behind`.
        reason: Arc<str>,
        /// The time after which the caller may return, in milliseconds.
        retry_after_ms: u64,
        /// Whether capacity was expected then.
        #[serde(default)]
        promised: bool,
        /// The estimated capacity, in work per second.
        #[serde(default)]
        capacity: f64,
        /// The demand of new callers, in work per second.
        #[serde(default)]
        demand: f64,
        /// The age of the estimate, in milliseconds.
        #[serde(default)]
        age_ms: u64,
        /// How long the request had waited, in milliseconds.
        waited_ms: u64,
    },
    /// An attempt failed before the answer was complete.
    AttemptFailed {
        /// The request's id.
        request: Arc<str>,
        /// The replica's incarnation.
        replica: Arc<str>,
        /// Why it failed.
        reason: Arc<str>,
        /// The time from sending the request to the failure, in milliseconds.
        after_ms: u64,
        /// What the entry does next.
        next: Arc<str>,
    },
    /// A replica crashed while running a request.
    PoisonSuspected {
        /// The request's id.
        request: Arc<str>,
        /// The replica's incarnation.
        replica: Arc<str>,
        /// How many replicas have crashed in succession while running it.
        ended: u8,
    },
    /// A request was refused, because it crashes the replicas that run it.
    PoisonRefused {
        /// The request's id.
        request: Arc<str>,
        /// The parts of its prompt of which one or more crash replicas; none
        /// if it does so as a whole.
        #[serde(default)]
        parts: Vec<Arc<str>>,
        /// The replicas that crashed while running it.
        replicas: Vec<Arc<str>>,
        /// How long the entry had known this, in milliseconds.
        age_ms: u64,
        /// How long until it may be sent again, in milliseconds.
        back_ms: u64,
    },
    /// A quarantined request was tried again.
    PoisonTried {
        /// The request's id.
        request: Arc<str>,
    },
    /// A request that had crashed replicas was answered completely.
    PoisonCleared {
        /// The request's id.
        request: Arc<str>,
    },
    /// A request was answered, which cleared parts of its prompt that had been
    /// accused of crashes.
    PartsCleared {
        /// The request's id.
        request: Arc<str>,
    },
    /// A request has waited for a replica for longer than usual.
    ReplicaSilent {
        /// The request's id.
        request: Arc<str>,
        /// The replica's incarnation.
        replica: Arc<str>,
        /// How long the request has waited for it, in milliseconds.
        silent_ms: u64,
    },
    /// A replica that was silent went on with a stream before another one did.
    WentOn {
        /// The request's id.
        request: Arc<str>,
        /// The replica's incarnation.
        replica: Arc<str>,
        /// How long it was silent, in milliseconds.
        silent_ms: u64,
    },
    /// No further attempt was sent while another one is in progress.
    NotSentFurther {
        /// The request's id.
        request: Arc<str>,
        /// Why not.
        reason: Arc<str>,
    },
    /// A stream was resumed at another replica.
    Resumed {
        /// The request's id.
        request: Arc<str>,
        /// The replica that continues the stream.
        replica: Arc<str>,
        /// The last event that the caller received, if any.
        after_event: Option<u64>,
    },
    /// The final answer to a request was sent.
    Ended {
        /// The request's id.
        request: Arc<str>,
        /// The HTTP status.
        status: u16,
        /// The numbered code, or 0 for the complete answer of a replica.
        code: u16,
        /// Why the request failed; empty if `code` is 0.
        reason: Arc<str>,
        /// The time since the request's head arrived, in milliseconds.
        took_ms: u64,
        /// How long before, in milliseconds, the entry last knew all published
        /// routes; present only if the routes led to the refusal.
        #[serde(default)]
        routes_age_ms: Option<u64>,
    },
    /// The caller disconnected before the answer was complete.
    Cancelled {
        /// The request's id.
        request: Arc<str>,
        /// The time since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// The caller was cut because it read nothing of its answer for too long.
    CallerCut {
        /// The request's id.
        request: Arc<str>,
        /// The bytes of the answer that were buffered for the caller.
        unread_bytes: u64,
        /// The time since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// The engine did not answer shortly before its version expires.
    EngineHeldBack {
        /// The version that it has loaded.
        version: u64,
        /// How long it had not answered, in milliseconds.
        silent_ms: u64,
    },
    /// The engine was ordered to load a version.
    LoadOrdered {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
        /// The engine's response.
        outcome: Arc<str>,
    },
    /// The engine started to serve a version.
    Serving {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
    },
    /// Log lines were dropped because the log buffer was full.
    Dropped {
        /// The number of dropped lines.
        lines: u64,
    },
    /// A decision that does not help to explain a request.
    #[serde(other)]
    Other,
}

impl LoggedDecision {
    /// Returns the id of the request that the decision concerns, if any.
    pub fn request(&self) -> Option<&Arc<str>> {
        match self {
            LoggedDecision::Sent { request, .. }
            | LoggedDecision::NoReplica { request, .. }
            | LoggedDecision::OverloadRefused { request, .. }
            | LoggedDecision::AttemptFailed { request, .. }
            | LoggedDecision::PoisonSuspected { request, .. }
            | LoggedDecision::PoisonRefused { request, .. }
            | LoggedDecision::PoisonTried { request }
            | LoggedDecision::PoisonCleared { request }
            | LoggedDecision::ReplicaSilent { request, .. }
            | LoggedDecision::WentOn { request, .. }
            | LoggedDecision::NotSentFurther { request, .. }
            | LoggedDecision::Resumed { request, .. }
            | LoggedDecision::Ended { request, .. }
            | LoggedDecision::CallerCut { request, .. }
            | LoggedDecision::Cancelled { request, .. } => Some(request),
            _ => None,
        }
    }

    /// Returns the replica that the decision names, if any.
    pub fn replica(&self) -> Option<&Arc<str>> {
        match self {
            LoggedDecision::Sent { replica, .. }
            | LoggedDecision::AttemptFailed { replica, .. }
            | LoggedDecision::PoisonSuspected { replica, .. }
            | LoggedDecision::ReplicaSilent { replica, .. }
            | LoggedDecision::WentOn { replica, .. }
            | LoggedDecision::Resumed { replica, .. }
            | LoggedDecision::ReplicaListed { replica, .. }
            | LoggedDecision::ReplicaUnlisted { replica, .. }
            | LoggedDecision::ReplicaAvoided { replica, .. }
            | LoggedDecision::ReplicaEjected { replica, .. }
            | LoggedDecision::ReplicaReadmitted { replica }
            | LoggedDecision::ReplicaExited { replica }
            | LoggedDecision::ReplicaSuspect { replica, .. } => Some(replica),
            _ => None,
        }
    }
}

/// A line of a decision log.
#[derive(Clone, Debug)]
pub struct LogLine {
    process: Arc<str>,
    fields: Fields,
    text: Arc<str>,
}

#[derive(Clone, Debug, Deserialize)]
struct Fields {
    /// The wall-clock time in milliseconds; it may jump.
    wall: u64,
    /// The time since the start of the process, in milliseconds.
    ms: u64,
    #[serde(flatten)]
    decision: LoggedDecision,
}

impl LogLine {
    /// Parses a line of a process's log.
    ///
    /// Text before the JSON object is a prefix whose last word is the name of
    /// the process; without a prefix, `process` is the name.
    ///
    /// # Errors
    ///
    /// [`Code::MalformedJson`] if the line is not a decision.
    pub fn parse(process: &Arc<str>, line: &str) -> Result<LogLine, Error> {
        let begin = line.find('{').unwrap_or(line.len());
        let (prefix, json) = line.split_at(begin);
        let fields = serde_json::from_str(json)
            .map_err(|e| Error::new(Code::MalformedJson, e))?;
        let process = match prefix.split_whitespace().next_back() {
            Some(name) => Arc::from(name),
            None => Arc::clone(process),
        };
        Ok(LogLine { process, fields, text: Arc::from(json) })
    }

    /// Returns the name of the process that wrote the line.
    pub const fn process(&self) -> &Arc<str> {
        &self.process
    }

    /// Returns the wall-clock time of the line, in milliseconds; it may jump.
    pub const fn wall_ms(&self) -> u64 {
        self.fields.wall
    }

    /// Returns the time from the start of the process to the line, in
    /// milliseconds.
    pub const fn uptime_ms(&self) -> u64 {
        self.fields.ms
    }

    /// Returns the decision.
    pub const fn decision(&self) -> &LoggedDecision {
        &self.fields.decision
    }

    /// Returns the JSON text of the line, without its prefix.
    pub fn text(&self) -> &str {
        &self.text
    }
}
