//! What is logged, with the fields of each line.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

/// A decision, with what decided it.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Decision<'a> {
    /// The process started.
    Start {
        /// Its role.
        role: &'static str,
        /// Its instance.
        instance: &'a str,
        /// Its data hall.
        hall: &'a str,
        /// The engine that it serves, of an agent.
        #[serde(skip_serializing_if = "Option::is_none")]
        engine: Option<SocketAddr>,
    },
    /// The process was told to stop.
    Stop {
        /// How long it may take, in milliseconds.
        grace_ms: u64,
    },
    /// The settings have changed and were read again.
    Reload {
        /// The changed ones that are in force from now on.
        taken: &'a [String],
        /// The changed ones that are in force from the next start on.
        at_restart: &'a [String],
    },
    /// The settings have changed and cannot be used: the old ones stay.
    ReloadRefused {
        /// The numbered code.
        code: u16,
        /// What is wrong with them.
        reason: &'a str,
    },
    /// A dependency stopped answering.
    DependencyLost {
        /// Its name.
        dependency: &'a str,
        /// The numbered code.
        code: u16,
        /// What the call brought.
        reason: &'a str,
    },
    /// A dependency answers again.
    DependencyRegained {
        /// Its name.
        dependency: &'a str,
        /// How long it did not answer, in milliseconds.
        lost_ms: u64,
    },
    /// A call to the platform has ended.
    PlatformCalled {
        /// What was read.
        collection: &'static str,
        /// Whether it was listed or watched.
        way: &'static str,
        /// How long it took, in milliseconds; of a watch, with its wait.
        took_ms: u64,
        /// The numbered code, if it failed.
        #[serde(skip_serializing_if = "Option::is_none")]
        code: Option<u16>,
    },
    /// Newer routes are in force.
    RoutesTaken {
        /// Their revision.
        revision: u64,
        /// By what way they came.
        source: &'static str,
        /// The entry that told them, if one did.
        #[serde(skip_serializing_if = "Option::is_none")]
        from: Option<SocketAddr>,
        /// How long the call took that brought them, in milliseconds; of a
        /// watch, with its wait.
        #[serde(skip_serializing_if = "Option::is_none")]
        took_ms: Option<u64>,
        /// Whole documents of routes in the same answer of the platform.
        #[serde(skip_serializing_if = "Option::is_none")]
        documents: Option<usize>,
    },
    /// A newer version of a model is wanted.
    TargetTaken {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
        /// Who told it.
        source: &'static str,
    },
    /// Operators have evacuated a data hall: its replicas get no requests.
    HallEvacuated {
        /// The hall.
        hall: &'a str,
        /// Who told it.
        source: &'static str,
        /// How long ago it was ordered at most, in milliseconds; absent where
        /// that is not known.
        #[serde(skip_serializing_if = "Option::is_none")]
        age_ms: Option<u64>,
    },
    /// The evacuation of a data hall was taken back.
    HallRestored {
        /// The hall.
        hall: &'a str,
        /// Who told it.
        source: &'static str,
    },
    /// A replica is cold: it bears few requests for a while.
    ReplicaCold {
        /// Its incarnation.
        replica: &'a str,
        /// For how long, in milliseconds.
        for_ms: u64,
        /// The requests that this entry may send it in a second.
        share: usize,
    },
    /// A replica set or changed its rate limit.
    ReplicaLimited {
        /// Its incarnation.
        replica: &'a str,
        /// The limit for all entries together, in requests per second.
        per_s: f64,
    },
    /// A replica withdrew its rate limit.
    ReplicaUnlimited {
        /// Its incarnation.
        replica: &'a str,
        /// How long it had a limit, in milliseconds.
        after_ms: u64,
    },
    /// A replica announced that it is leaving, or withdrew that.
    ReplicaLeaving {
        /// Its incarnation.
        replica: &'a str,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A replica asked this entry to send it no requests for some time.
    ReplicaResting {
        /// Its incarnation.
        replica: &'a str,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// A published record was not taken.
    RecordRefused {
        /// The numbered code.
        code: u16,
        /// What is wrong with it.
        reason: &'a str,
    },
    /// A replica came to the list, or its entry changed.
    ReplicaListed {
        /// Its incarnation.
        replica: &'a str,
        /// Its address.
        addr: SocketAddr,
        /// Whether it is leaving.
        draining: bool,
    },
    /// A replica went from the list.
    ReplicaUnlisted {
        /// Its incarnation.
        replica: &'a str,
        /// Whether the platform was well enough to believe it.
        reliable: bool,
    },
    /// A replica is left out for a while after failures.
    ReplicaSuspect {
        /// Its incarnation.
        replica: &'a str,
        /// Failures in a row.
        failures: u32,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// A request was sent to a replica.
    Sent {
        /// The request's id.
        request: &'a str,
        /// The replica's incarnation.
        replica: &'a str,
        /// Counted from 1.
        attempt: u32,
        /// Requests known at the replica.
        load: u32,
        /// How much longer than usual the way there takes, in milliseconds.
        delay_ms: u64,
        /// The age of the replica's report, in milliseconds.
        report_age_ms: Option<u64>,
        /// The entry that chose the replica, if it was another one.
        #[serde(skip_serializing_if = "Option::is_none")]
        placer: Option<SocketAddr>,
        /// Why the entry chose by itself, if it did.
        #[serde(skip_serializing_if = "Option::is_none")]
        own_choice: Option<&'static str>,
        /// The replica's rate limit in requests per second, if the chooser
        /// knew of one.
        #[serde(skip_serializing_if = "Option::is_none")]
        limit_per_s: Option<f64>,
        /// The revision of the routes that decided.
        revision: u64,
        /// The version asked for, if any.
        version: Option<u64>,
        /// What is left of the request's time, in milliseconds.
        left_ms: u64,
        /// How long the request waited here, in milliseconds.
        waited_ms: u64,
    },
    /// A request found no replica.
    NoReplica {
        /// The request's id.
        request: &'a str,
        /// The service.
        service: &'a str,
        /// Replicas listed of it.
        listed: usize,
        /// Those that could take it if they had room.
        suitable: usize,
        /// Those in a region where it may not be served.
        barred: usize,
        /// Those of the others in a hall that is evacuated.
        evacuated: usize,
        /// Those of the others that are leaving.
        leaving: usize,
        /// Those of the others whose `Retry-After` has not expired.
        resting: usize,
        /// Suitable replicas that have set a rate limit.
        limited: usize,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
        /// The revision of the routes that decided.
        revision: u64,
    },
    /// An attempt did not bring the whole answer.
    AttemptFailed {
        /// The request's id.
        request: &'a str,
        /// Names what it asks: the same for all tries of a request.
        fingerprint: &'a str,
        /// The replica's incarnation.
        replica: &'a str,
        /// What came back.
        reason: &'a str,
        /// How long after it was sent, in milliseconds.
        after_ms: u64,
        /// Whether the replica's process has ended, where the connection
        /// did.
        #[serde(skip_serializing_if = "Option::is_none")]
        replica_ended: Option<bool>,
        /// What follows.
        next: &'static str,
    },
    /// A replica ended under a request.
    PoisonSuspected {
        /// The request's id.
        request: &'a str,
        /// Names what it asks.
        fingerprint: &'a str,
        /// The replica's incarnation.
        replica: &'a str,
        /// Replicas that ended under it, one after the other.
        ended: u8,
        /// How often a whole answer has cleared it before.
        cleared: u32,
        /// Whether it is kept from replicas from now on.
        quarantined: bool,
    },
    /// A request was refused, since it ends the replicas that it runs on.
    PoisonRefused {
        /// The request's id.
        request: &'a str,
        /// Names what it asks.
        fingerprint: &'a str,
        /// The replicas that ended under it.
        replicas: &'a [Arc<str>],
        /// How long that has been known here, in milliseconds.
        age_ms: u64,
        /// When it may be sent again, in milliseconds.
        back_ms: u64,
    },
    /// A request that was kept from replicas is tried again.
    PoisonTried {
        /// The request's id.
        request: &'a str,
        /// Names what it asks.
        fingerprint: &'a str,
        /// Counted from 1.
        trial: u8,
    },
    /// A request under which replicas ended has had its whole answer.
    PoisonCleared {
        /// The request's id.
        request: &'a str,
        /// Names what it asks.
        fingerprint: &'a str,
        /// Replicas that had ended under it, one after the other.
        ended: u8,
    },
    /// Another entry told of a request under which replicas ended.
    PoisonLearned {
        /// Names what it asks.
        fingerprint: &'a str,
        /// The entry.
        from: SocketAddr,
        /// Replicas that ended under it, one after the other.
        ended: u8,
        /// How often a whole answer has cleared it.
        cleared: u32,
        /// How often it was tried again.
        trials: u8,
        /// How long ago that changed, in milliseconds.
        age_ms: u64,
        /// The replicas.
        replicas: &'a [Arc<str>],
    },
    /// A stream was taken up at another replica.
    Resumed {
        /// The request's id.
        request: &'a str,
        /// The replica that goes on.
        replica: &'a str,
        /// The last event that the caller has.
        after_event: Option<u64>,
    },
    /// A request got its final answer.
    Ended {
        /// The request's id.
        request: &'a str,
        /// The HTTP status.
        status: u16,
        /// The numbered code, 0 for a replica's own answer.
        code: u16,
        /// Why, where the answer is the system's own.
        reason: &'a str,
        /// Since the request's head arrived, in milliseconds.
        took_ms: u64,
        /// Until the first event of a stream was passed on, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        first_ms: Option<u64>,
        /// The longest pause between two of its events, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        pause_ms: Option<u64>,
        /// How long ago all published routes were known, in milliseconds,
        /// where the routes decided that it is refused.
        #[serde(skip_serializing_if = "Option::is_none")]
        routes_age_ms: Option<u64>,
    },
    /// The caller went before the end.
    Cancelled {
        /// The request's id.
        request: &'a str,
        /// Since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// A chunk was refused or a source left.
    SourceFailed {
        /// The source.
        source: &'a str,
        /// The numbered code.
        code: u16,
        /// What came back.
        reason: &'a str,
    },
    /// A fetch of weights began.
    FetchBegun {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
        /// Chunks that are here already.
        held: usize,
        /// Chunks of the version.
        chunks: usize,
    },
    /// How a fetch stands.
    FetchProgress {
        /// Chunks that are here, per mille.
        share: u32,
        /// The first of those that are not.
        missing: Vec<usize>,
        /// The part of the link that questions for chunks may fill.
        link_part: f64,
        /// The part of the link that chunks sent to peers may take.
        uplink_part: f64,
        /// The sources that are asked now.
        asked: Vec<&'a str>,
        /// The sources left for a while.
        suspects: Vec<&'a str>,
    },
    /// All chunks of a version are here.
    FetchDone {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
        /// How long it took, in milliseconds.
        took_ms: u64,
        /// Chunks from the own hall, other halls and the origin.
        near: u32,
        /// See `near`.
        far: u32,
        /// See `near`.
        origin: u32,
    },
    /// The engine was ordered to load.
    LoadOrdered {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
        /// The first layer and the one after the last, where not all were
        /// ordered.
        layers: Option<(u32, u32)>,
        /// The turn of this replica.
        turn: usize,
        /// What the engine said.
        outcome: &'a str,
    },
    /// The engine serves a version.
    Serving {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
    },
    /// Lines that did not fit into the buffer.
    Dropped {
        /// How many.
        lines: u64,
    },
}
