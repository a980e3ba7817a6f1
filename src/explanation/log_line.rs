//! One line of a process's log of decisions, as far as it explains requests.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;

use crate::{Code, Error};

/// A logged decision; fields that explain nothing are left out.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LoggedDecision {
    /// The process started.
    Start {
        /// Its role.
        role: Arc<str>,
        /// Its instance.
        instance: Arc<str>,
        /// The engine that it serves, of an agent.
        #[serde(default)]
        engine: Option<SocketAddr>,
    },
    /// The process was told to stop.
    Stop {
        /// How long it may take, in milliseconds.
        grace_ms: u64,
    },
    /// A dependency stopped answering.
    DependencyLost {
        /// Its name.
        dependency: Arc<str>,
        /// What the call brought.
        reason: Arc<str>,
    },
    /// A dependency answers again.
    DependencyRegained {
        /// Its name.
        dependency: Arc<str>,
        /// How long it did not answer, in milliseconds.
        lost_ms: u64,
    },
    /// Newer routes are in force.
    RoutesTaken {
        /// Their revision.
        revision: u64,
    },
    /// A newer version of a model is wanted.
    TargetTaken {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
    },
    /// A replica came to the list, or its entry changed.
    ReplicaListed {
        /// Its incarnation.
        replica: Arc<str>,
        /// Its address.
        addr: SocketAddr,
        /// Whether it is leaving.
        draining: bool,
    },
    /// A replica went from the list.
    ReplicaUnlisted {
        /// Its incarnation.
        replica: Arc<str>,
        /// Whether the platform was well enough to believe it.
        reliable: bool,
    },
    /// A replica is left out for a while after failures.
    ReplicaSuspect {
        /// Its incarnation.
        replica: Arc<str>,
        /// Failures in a row.
        failures: u32,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// A request was sent to a replica.
    Sent {
        /// The request's id.
        request: Arc<str>,
        /// The replica's incarnation.
        replica: Arc<str>,
        /// Counted from 1.
        attempt: u32,
        /// Requests known at the replica.
        load: u32,
        /// The age of the replica's report, in milliseconds.
        report_age_ms: Option<u64>,
        /// The version asked for, if any.
        version: Option<u64>,
        /// How long the request waited, in milliseconds.
        waited_ms: u64,
    },
    /// A request found no replica.
    NoReplica {
        /// The request's id.
        request: Arc<str>,
        /// The service.
        service: Arc<str>,
        /// Replicas listed of it.
        listed: usize,
        /// Those that could take it if they had room.
        suitable: usize,
        /// Those in a region where it may not be served.
        #[serde(default)]
        barred: usize,
        /// Those of the others in a hall that is evacuated.
        #[serde(default)]
        evacuated: usize,
        /// Those of the others that are leaving.
        #[serde(default)]
        leaving: usize,
        /// Those of the others whose `Retry-After` has not expired.
        #[serde(default)]
        resting: usize,
        /// Suitable replicas that have set a rate limit.
        #[serde(default)]
        limited: usize,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
    },
    /// An attempt did not bring the whole answer.
    AttemptFailed {
        /// The request's id.
        request: Arc<str>,
        /// The replica's incarnation.
        replica: Arc<str>,
        /// What came back.
        reason: Arc<str>,
        /// How long after it was sent, in milliseconds.
        after_ms: u64,
        /// What follows.
        next: Arc<str>,
    },
    /// A replica ended under a request.
    PoisonSuspected {
        /// The request's id.
        request: Arc<str>,
        /// The replica's incarnation.
        replica: Arc<str>,
        /// Replicas that ended under it, one after the other.
        ended: u8,
    },
    /// A request was refused, since it ends the replicas that it runs on.
    PoisonRefused {
        /// The request's id.
        request: Arc<str>,
        /// The replicas that ended under it.
        replicas: Vec<Arc<str>>,
        /// How long that had been known, in milliseconds.
        age_ms: u64,
        /// When it may be sent again, in milliseconds.
        back_ms: u64,
    },
    /// A request that was kept from replicas was tried again.
    PoisonTried {
        /// The request's id.
        request: Arc<str>,
    },
    /// A request under which replicas ended had its whole answer.
    PoisonCleared {
        /// The request's id.
        request: Arc<str>,
    },
    /// A stream was taken up at another replica.
    Resumed {
        /// The request's id.
        request: Arc<str>,
        /// The replica that goes on.
        replica: Arc<str>,
        /// The last event that the caller has.
        after_event: Option<u64>,
    },
    /// A request got its final answer.
    Ended {
        /// The request's id.
        request: Arc<str>,
        /// The HTTP status.
        status: u16,
        /// The numbered code, 0 for a replica's own answer.
        code: u16,
        /// Why, where the answer is the system's own.
        reason: Arc<str>,
        /// Since the request's head arrived, in milliseconds.
        took_ms: u64,
        /// How long ago all published routes were known, in milliseconds,
        /// where the routes decided.
        #[serde(default)]
        routes_age_ms: Option<u64>,
    },
    /// The caller went before the end.
    Cancelled {
        /// The request's id.
        request: Arc<str>,
        /// Since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// The engine was ordered to load.
    LoadOrdered {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
        /// What the engine said.
        outcome: Arc<str>,
    },
    /// The engine serves a version.
    Serving {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
    },
    /// Lines that did not fit into the buffer.
    Dropped {
        /// How many.
        lines: u64,
    },
    /// A decision that explains no request.
    #[serde(other)]
    Other,
}

impl LoggedDecision {
    /// Returns the id of the request that it touches, if any.
    pub fn request(&self) -> Option<&Arc<str>> {
        match self {
            LoggedDecision::Sent { request, .. }
            | LoggedDecision::NoReplica { request, .. }
            | LoggedDecision::AttemptFailed { request, .. }
            | LoggedDecision::PoisonSuspected { request, .. }
            | LoggedDecision::PoisonRefused { request, .. }
            | LoggedDecision::PoisonTried { request }
            | LoggedDecision::PoisonCleared { request }
            | LoggedDecision::Resumed { request, .. }
            | LoggedDecision::Ended { request, .. }
            | LoggedDecision::Cancelled { request, .. } => Some(request),
            _ => None,
        }
    }

    /// Returns the replica that it names, if any.
    pub fn replica(&self) -> Option<&Arc<str>> {
        match self {
            LoggedDecision::Sent { replica, .. }
            | LoggedDecision::AttemptFailed { replica, .. }
            | LoggedDecision::PoisonSuspected { replica, .. }
            | LoggedDecision::Resumed { replica, .. }
            | LoggedDecision::ReplicaListed { replica, .. }
            | LoggedDecision::ReplicaUnlisted { replica, .. }
            | LoggedDecision::ReplicaSuspect { replica, .. } => Some(replica),
            _ => None,
        }
    }
}

/// A line of a log.
#[derive(Clone, Debug)]
pub struct LogLine {
    process: Arc<str>,
    fields: Fields,
    text: Arc<str>,
}

#[derive(Clone, Debug, Deserialize)]
struct Fields {
    /// The time of day, in milliseconds; it may jump.
    wall: u64,
    /// Since the process's start, in milliseconds.
    ms: u64,
    #[serde(flatten)]
    decision: LoggedDecision,
}

impl LogLine {
    /// Reads a line of a process's log. What stands before the JSON object
    /// is passed over; its last word names the process, if there is one.
    ///
    /// # Errors
    ///
    /// [`Code::MalformedJson`] if it is no decision.
    pub fn parse(process: &Arc<str>, line: &str) -> Result<LogLine, Error> {
        let begin = line.find('{').unwrap_or(line.len());
        let (before, json) = line.split_at(begin);
        let fields = serde_json::from_str(json)
            .map_err(|e| Error::new(Code::MalformedJson, e))?;
        let process = match before.split_whitespace().next_back() {
            Some(name) => Arc::from(name),
            None => Arc::clone(process),
        };
        Ok(LogLine { process, fields, text: Arc::from(json) })
    }

    /// Returns the process that wrote it.
    pub const fn process(&self) -> &Arc<str> {
        &self.process
    }

    /// Returns the time of day at which it was written, in milliseconds.
    pub const fn wall_ms(&self) -> u64 {
        self.fields.wall
    }

    /// Returns when it was written, in milliseconds since the process's
    /// start.
    pub const fn uptime_ms(&self) -> u64 {
        self.fields.ms
    }

    /// Returns what was decided.
    pub const fn decision(&self) -> &LoggedDecision {
        &self.fields.decision
    }

    /// Returns the JSON object as it was written.
    pub fn text(&self) -> &str {
        &self.text
    }
}
