//! The events of the decision log and their fields.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

/// What a choice between versions is based on, per version.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct VersionInputs {
    /// The version.
    pub version: u64,
    /// The number of chunks of the version.
    pub chunks: usize,
    /// The number of chunks that this process holds.
    pub held: usize,
    /// The number of chunks that any known process of the hall holds.
    pub in_hall: usize,
    /// The number of chunks that any known process of the fleet holds.
    pub in_fleet: usize,
    /// The time since the version became the target, in milliseconds, if it is
    /// known.
    pub age_ms: Option<u64>,
}

/// A logged decision, with the values that it is based on.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Decision<'a> {
    /// The process started.
    Start {
        /// The role of the process.
        role: &'static str,
        /// The instance that it runs as.
        instance: &'a str,
        /// The data hall of the instance.
        hall: &'a str,
        /// The address of the engine, if the process is an agent.
        #[serde(skip_serializing_if = "Option::is_none")]
        engine: Option<SocketAddr>,
    },
    /// The process received a request to stop.
    Stop {
        /// The time that it has for stopping, in milliseconds.
        grace_ms: u64,
    },
    /// The process ended, or is about to.
    End {
        /// The numbered code, if it ended because of an error.
        #[serde(skip_serializing_if = "Option::is_none")]
        code: Option<u16>,
        /// Why it ended.
        reason: &'a str,
    },
    /// A thread or task panicked.
    Panicked {
        /// The file and line.
        place: &'a str,
        /// The message.
        reason: &'a str,
    },
    /// The process has started, but does not serve yet.
    StartDelayed {
        /// What it waits for.
        waits_for: &'static str,
        /// Why that has failed, if it has.
        #[serde(skip_serializing_if = "Option::is_none")]
        reason: Option<&'a str>,
        /// The time since the start, in milliseconds.
        after_ms: u64,
    },
    /// The process has started to serve.
    Started {
        /// The time since the start, in milliseconds.
        after_ms: u64,
    },
    /// Changed settings were reloaded.
    Reload {
        /// The changed settings that apply from now on.
        taken: &'a [String],
        /// The changed settings that apply from the next start on.
        at_restart: &'a [String],
    },
    /// Changed settings were invalid, so the old ones stay in force.
    ReloadRefused {
        /// The numbered code.
        code: u16,
        /// Why they are invalid.
        reason: &'a str,
    },
    /// A dependency stopped responding.
    DependencyLost {
        /// The name of the dependency.
        dependency: &'a str,
        /// The numbered code.
        code: u16,
        /// The error of the failed call.
        reason: &'a str,
    },
    /// A dependency responds again.
    DependencyRegained {
        /// The name of the dependency.
        dependency: &'a str,
        /// How long it did not respond, in milliseconds.
        lost_ms: u64,
    },
    /// An entry waits for another one that reads the platform for it, though
    /// that one has only old data.
    ReaderAwaited {
        /// The address of the other entry.
        entry: SocketAddr,
        /// How long ago this entry knew all routes, in milliseconds, if ever.
        #[serde(skip_serializing_if = "Option::is_none")]
        age_ms: Option<u64>,
    },
    /// The process reads the platform completely itself, since no process
    /// that should read for it has fresh data.
    PlatformReadAlone {
        /// The collection.
        collection: &'static str,
        /// How long ago the process knew all of it, in milliseconds, if ever.
        #[serde(skip_serializing_if = "Option::is_none")]
        age_ms: Option<u64>,
    },
    /// A call to the platform has ended.
    PlatformCalled {
        /// The collection that was read.
        collection: &'static str,
        /// Whether it was listed or watched.
        way: &'static str,
        /// The duration in milliseconds, which includes the wait of a watch.
        took_ms: u64,
        /// The numbered code, if it failed.
        #[serde(skip_serializing_if = "Option::is_none")]
        code: Option<u16>,
    },
    /// Newer routes came into force.
    RoutesTaken {
        /// The revision of the routes.
        revision: u64,
        /// The kind of source that they came from.
        source: &'static str,
        /// The entry that sent them, if they came from one.
        #[serde(skip_serializing_if = "Option::is_none")]
        from: Option<SocketAddr>,
        /// The duration of the call that returned them, in milliseconds, which
        /// includes the wait of a watch.
        #[serde(skip_serializing_if = "Option::is_none")]
        took_ms: Option<u64>,
        /// The number of complete route documents in the platform's response.
        #[serde(skip_serializing_if = "Option::is_none")]
        documents: Option<usize>,
    },
    /// The target version of a model was raised.
    TargetTaken {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
        /// The source of the target.
        source: &'static str,
        /// The time since it was set, in milliseconds.
        age_ms: u64,
        /// Whether `age_ms` is an upper bound, because the process was not
        /// waiting for the target when it was set.
        presumed: bool,
        /// The newest version known before, if any.
        previous: Option<u64>,
        /// The maximum time since any older version was set that this process
        /// has not heard of, in milliseconds; absent if there is none.
        #[serde(skip_serializing_if = "Option::is_none")]
        unheard_ms: Option<u64>,
    },
    /// A process that has read all target versions told which one came before
    /// another, so that none is missing between the two.
    TargetLinked {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
        /// The version before it, 0 if it is the first.
        previous: Option<u64>,
    },
    /// A process that was waiting when a target version was set told its age,
    /// which had been presumed.
    TargetDated {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
        /// The time since it was set, in milliseconds.
        age_ms: u64,
    },
    /// An operator evacuated a data hall, so its replicas get no requests.
    HallEvacuated {
        /// The hall.
        hall: &'a str,
        /// The source of the information.
        source: &'static str,
        /// An upper bound on the time since the order, in milliseconds; absent
        /// if it is unknown.
        #[serde(skip_serializing_if = "Option::is_none")]
        age_ms: Option<u64>,
    },
    /// The evacuation of a data hall was cancelled.
    HallRestored {
        /// The hall.
        hall: &'a str,
        /// The source of the information.
        source: &'static str,
    },
    /// A replica is cold and handles only few requests for some time.
    ReplicaCold {
        /// The incarnation of the replica.
        replica: &'a str,
        /// The remaining time as cold, in milliseconds.
        for_ms: u64,
        /// The requests per second that this entry may send it.
        share: usize,
    },
    /// A replica set or changed its rate limit.
    ReplicaLimited {
        /// The incarnation of the replica.
        replica: &'a str,
        /// The limit of all entries in total, in requests per second.
        per_s: f64,
    },
    /// A replica removed its rate limit.
    ReplicaUnlimited {
        /// The incarnation of the replica.
        replica: &'a str,
        /// How long the limit was in force, in milliseconds.
        after_ms: u64,
    },
    /// A replica announced that it is leaving, or withdrew the announcement.
    ReplicaLeaving {
        /// The incarnation of the replica.
        replica: &'a str,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A replica asked this entry to send it no requests for some time.
    ReplicaResting {
        /// The incarnation of the replica.
        replica: &'a str,
        /// The duration in milliseconds.
        for_ms: u64,
    },
    /// A published record was rejected.
    RecordRefused {
        /// The numbered code.
        code: u16,
        /// Why it was rejected.
        reason: &'a str,
    },
    /// A replica was added to the list, or its record changed.
    ReplicaListed {
        /// The incarnation of the replica.
        replica: &'a str,
        /// The address of the replica.
        addr: SocketAddr,
        /// Whether it is leaving.
        draining: bool,
    },
    /// A replica was removed from the list.
    ReplicaUnlisted {
        /// The incarnation of the replica.
        replica: &'a str,
        /// Whether the platform was healthy enough to trust the removal.
        reliable: bool,
    },
    /// Whether a replica that is missing from the list may have lapsed while
    /// the platform was away has changed.
    AbsenceDoubted {
        /// Whether it may have.
        in_doubt: bool,
        /// For how long the platform has answered the reads that the list
        /// comes from, in milliseconds.
        answered_ms: u64,
        /// The time since one of them failed before, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        failed_ms: Option<u64>,
    },
    /// A listed replica is no longer used, since an entry that was listed
    /// later has its address.
    ReplicaReplaced {
        /// The incarnation of the replica.
        replica: &'a str,
    },
    /// A listed replica is used again, since nothing replaces it any more.
    ReplicaRestored {
        /// The incarnation of the replica.
        replica: &'a str,
    },
    /// A replica is excluded for some time after consecutive failures.
    ReplicaSuspect {
        /// The incarnation of the replica.
        replica: &'a str,
        /// The number of consecutive failures.
        failures: u32,
        /// The duration in milliseconds.
        for_ms: u64,
    },
    /// A replica is excluded because it fails more requests than the others of
    /// its service, or because it failed its trials.
    ReplicaEjected {
        /// The incarnation of the replica.
        replica: &'a str,
        /// The requests that failed since it was suspected.
        failures: u32,
        /// All requests since it was suspected.
        requests: u32,
        /// The rate at which such requests fail at the other replicas.
        expected: f64,
        /// The number of consecutive ejections.
        ejections: u32,
        /// The duration in milliseconds.
        for_ms: u64,
        /// Whether it failed its trials.
        trial: bool,
    },
    /// Requests that must run at most once go to other replicas, since this one
    /// fails more than they do.
    ReplicaAvoided {
        /// The incarnation of the replica.
        replica: &'a str,
        /// The requests that failed since it was suspected.
        failures: u32,
        /// All requests since it was suspected.
        requests: u32,
        /// The rate at which such requests fail at the other replicas.
        expected: f64,
    },
    /// An ejected replica gets a request as a trial.
    ReplicaTrial {
        /// The incarnation of the replica.
        replica: &'a str,
        /// The number of consecutive ejections.
        ejections: u32,
    },
    /// An ejected replica returns.
    ReplicaReadmitted {
        /// The incarnation of the replica.
        replica: &'a str,
        /// Whether it passed its trials. It also returns if there are no
        /// requests for trials, or if another replica fails more.
        tried: bool,
    },
    /// A request was sent to a replica.
    Sent {
        /// The request's id.
        request: &'a str,
        /// The replica's incarnation.
        replica: &'a str,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// The number of requests known to be at the replica.
        load: u32,
        /// The network delay to the replica beyond the usual one, in
        /// milliseconds.
        delay_ms: u64,
        /// The age of the replica's report, in milliseconds.
        report_age_ms: Option<u64>,
        /// The entry that chose the replica, if another one did.
        #[serde(skip_serializing_if = "Option::is_none")]
        placer: Option<SocketAddr>,
        /// Why this entry chose the replica itself, if it did.
        #[serde(skip_serializing_if = "Option::is_none")]
        own_choice: Option<&'static str>,
        /// The replica's rate limit in requests per second, if the choosing
        /// entry knew of one.
        #[serde(skip_serializing_if = "Option::is_none")]
        limit_per_s: Option<f64>,
        /// The revision of the routes that applied.
        revision: u64,
        /// The requested model version, if any.
        version: Option<u64>,
        /// The time left until the request's deadline, in milliseconds.
        left_ms: u64,
        /// The time that the replica was given, in milliseconds, if less.
        #[serde(skip_serializing_if = "Option::is_none")]
        given_ms: Option<u64>,
        /// How long the request waited at this entry, in milliseconds.
        waited_ms: u64,
        /// How long the replica is expected to take until the first token,
        /// in milliseconds, if this entry chose it and it is an engine.
        #[serde(skip_serializing_if = "Option::is_none")]
        expected_ms: Option<u64>,
        /// The time left for the replica to begin, in milliseconds, if its
        /// version is outdated.
        #[serde(skip_serializing_if = "Option::is_none")]
        begin_in_ms: Option<u64>,
        /// The number of consecutive replicas that are known to have ended
        /// while they ran the request.
        #[serde(skip_serializing_if = "is_zero")]
        crashed: u8,
        /// The time since an entry that was up to date last told this one
        /// everything that it knew, in milliseconds, if one has since the
        /// start.
        #[serde(skip_serializing_if = "Option::is_none")]
        informed_ms: Option<u64>,
    },
    /// The process was paused, or the time of day was set forward, and it
    /// catches up with other entries.
    Paused {
        /// By how much the clock advanced between two ticks, in milliseconds.
        paused_ms: u64,
    },
    /// The entry has caught up with others as far as it can, and sends
    /// requests from now on.
    CaughtUp {
        /// How: `informed`, `none_knows`, `alone` or `timed_out`.
        end: &'a str,
        /// The number of entries that were asked.
        asked: usize,
        /// The time since the start or the pause, in milliseconds.
        took_ms: u64,
    },
    /// A request began at a replica with an outdated version.
    BegunOutdated {
        /// The request's id.
        request: &'a str,
        /// The replica's incarnation.
        replica: &'a str,
        /// The version of its weights, if its answer tells.
        version: Option<u64>,
        /// The time between sending the request and its first data, in
        /// milliseconds.
        took_ms: u64,
        /// What was left of the time in which it had to begin, in
        /// milliseconds.
        left_ms: u64,
    },
    /// No replica was available for a request.
    NoReplica {
        /// The request's id.
        request: &'a str,
        /// The service.
        service: &'a str,
        /// How much of the list of replicas has been read since the start.
        list: &'static str,
        /// Listed replicas of the service.
        listed: usize,
        /// Replicas that could serve the request if they had capacity.
        suitable: usize,
        /// Replicas in regions where the request may not be served.
        barred: usize,
        /// Other replicas in an evacuated data hall.
        evacuated: usize,
        /// Other replicas that are leaving.
        leaving: usize,
        /// Other replicas whose `Retry-After` has not expired.
        resting: usize,
        /// Suitable replicas with a rate limit.
        limited: usize,
        /// How long the request waited, in milliseconds.
        waited_ms: u64,
        /// The revision of the routes that applied.
        revision: u64,
    },
    /// A request was refused for lack of capacity under admission control.
    OverloadRefused {
        /// The request's id.
        request: &'a str,
        /// The service.
        service: &'a str,
        /// Why it was refused: `waited`, `late` or `behind`.
        reason: &'static str,
        /// The priority of its workspace or route.
        priority: u8,
        /// The priority of its route.
        route_priority: u8,
        /// The time after which the caller may return, in milliseconds.
        retry_after_ms: u32,
        /// Whether capacity is expected then.
        promised: bool,
        /// The estimated capacity, in work per second.
        capacity: f64,
        /// The demand of new callers, in work per second.
        demand: f64,
        /// The age of the estimate, in milliseconds.
        age_ms: u32,
        /// The time that the caller had left, in milliseconds.
        left_ms: u32,
        /// How long the request waited, in milliseconds.
        waited_ms: u64,
        /// The revision of the routes that applied.
        revision: u64,
    },
    /// An attempt did not return a complete response.
    AttemptFailed {
        /// The request's id.
        request: &'a str,
        /// The fingerprint of the content, equal for all of a request's
        /// attempts.
        fingerprint: &'a str,
        /// The replica's incarnation.
        replica: &'a str,
        /// Why the attempt failed.
        reason: &'a str,
        /// The time since the request was sent, in milliseconds.
        after_ms: u64,
        /// Whether the replica's process has ended, if the connection was
        /// closed.
        #[serde(skip_serializing_if = "Option::is_none")]
        replica_ended: Option<bool>,
        /// The action that follows.
        next: &'static str,
    },
    /// A replica's process ended while it ran a request.
    PoisonSuspected {
        /// The request's id.
        request: &'a str,
        /// The fingerprint of the request's content.
        fingerprint: &'a str,
        /// The replica's incarnation.
        replica: &'a str,
        /// The number of consecutive replicas that ended while they ran it.
        ended: u8,
        /// How often a complete response had cleared the request before.
        cleared: u32,
        /// Whether the request is quarantined from now on.
        quarantined: bool,
        /// The parts of its prompt that are accused of it.
        parts: &'a [Arc<str>],
    },
    /// A part of prompts is quarantined: it explains the ends of replicas that
    /// no other one explains.
    PartQuarantined {
        /// The part, if requests of this entry had it.
        part: Option<&'a str>,
        /// The part's fingerprint.
        fingerprint: &'a str,
        /// The replicas that ended.
        replicas: &'a [Arc<str>],
    },
    /// A part is no longer quarantined, since others explain the ends.
    PartReleased {
        /// The part, if requests of this entry had it.
        part: Option<&'a str>,
        /// The part's fingerprint.
        fingerprint: &'a str,
    },
    /// A request got its answer, which clears parts of its prompt that were
    /// accused of ends of replicas.
    PartsCleared {
        /// The request's id.
        request: &'a str,
        /// The parts.
        parts: &'a [Arc<str>],
    },
    /// A request is no longer suspected, since a part that others share
    /// explains the ends of the replicas on which it ran.
    PoisonExcused {
        /// The fingerprint of the request's content.
        fingerprint: &'a str,
    },
    /// Another entry reported the end of a replica, or more about it.
    CrashLearned {
        /// The replica's incarnation.
        replica: &'a str,
        /// The entry that reported it.
        from: SocketAddr,
        /// How long ago the replica ended, in milliseconds.
        age_ms: u64,
        /// The number of features newly accused of it.
        accused: usize,
        /// The number of features newly cleared of it.
        cleared: usize,
    },
    /// A request was refused because it crashes the replicas that run it.
    PoisonRefused {
        /// The request's id.
        request: &'a str,
        /// The fingerprint of the request's content, or of a part of its
        /// prompt that is at fault.
        fingerprint: &'a str,
        /// The parts of its prompt of which one or more are at fault.
        parts: &'a [Arc<str>],
        /// Why: `quarantined`, `on_trial`, `quarantined_part` or
        /// `part_on_trial`.
        reason: &'a str,
        /// The replicas that ended while they ran it.
        replicas: &'a [Arc<str>],
        /// How long this entry has known that, in milliseconds.
        age_ms: u64,
        /// The time until it may be sent again, in milliseconds.
        back_ms: u64,
    },
    /// The only run of a request that may be in progress was claimed, and
    /// begins unless another entry has a better claim.
    PoisonClaimed {
        /// The request's id.
        request: &'a str,
        /// The fingerprint of the request's content.
        fingerprint: &'a str,
        /// Whether the run begins.
        begins: bool,
    },
    /// A quarantined request is tried again.
    PoisonTried {
        /// The request's id.
        request: &'a str,
        /// The fingerprint of the request's content.
        fingerprint: &'a str,
        /// The number of the trial, from 1.
        trial: u8,
    },
    /// A request during which replicas had ended got a complete response.
    PoisonCleared {
        /// The request's id.
        request: &'a str,
        /// The fingerprint of the request's content.
        fingerprint: &'a str,
        /// The number of consecutive replicas that had ended while running it.
        ended: u8,
    },
    /// Another entry reported that it ejected a replica, or readmitted it.
    ReplicaReported {
        /// The replica's incarnation.
        replica: &'a str,
        /// The entry that reported it.
        from: SocketAddr,
        /// Whether the replica is excluded from now on.
        excluded: bool,
        /// For how long, in milliseconds.
        for_ms: u64,
        /// How long all requests of the other entry have failed, in
        /// milliseconds.
        failing_ms: u64,
    },
    /// The end of a replica no longer counts against the request that ran on
    /// it, because others that did not run it ended at the same time.
    PoisonWithdrawn {
        /// The fingerprint of the request's content.
        fingerprint: &'a str,
        /// The replicas that ended.
        exits: &'a [Arc<str>],
    },
    /// A replica's process ended, by the report of its agent.
    ReplicaExited {
        /// The replica's incarnation.
        replica: &'a str,
        /// The length of the time span in which it ended, in milliseconds.
        within_ms: u64,
    },
    /// Another entry reported a request during which replicas ended.
    PoisonLearned {
        /// The fingerprint of the request's content.
        fingerprint: &'a str,
        /// The entry that reported it.
        from: SocketAddr,
        /// The number of consecutive replicas that ended while they ran it.
        ended: u8,
        /// How often a complete response has cleared it.
        cleared: u32,
        /// How often it was tried again while quarantined.
        trials: u8,
        /// The time since the last change of the record, in milliseconds.
        age_ms: u64,
        /// The replicas that ended while they ran it.
        replicas: &'a [Arc<str>],
    },
    /// A request has waited for a replica for longer than usual, and may be
    /// sent to another one as well.
    ReplicaSilent {
        /// The request's id.
        request: &'a str,
        /// The replica's incarnation.
        replica: &'a str,
        /// How long the request has waited for it, in milliseconds.
        silent_ms: u64,
    },
    /// A replica that was silent went on with a stream before another one did.
    WentOn {
        /// The request's id.
        request: &'a str,
        /// The replica's incarnation.
        replica: &'a str,
        /// How long it was silent, in milliseconds.
        silent_ms: u64,
        /// The last event that the caller had received.
        after_event: Option<u64>,
    },
    /// No further attempt was sent while another one is in progress.
    NotSentFurther {
        /// The request's id.
        request: &'a str,
        /// Why not.
        reason: &'a str,
    },
    /// A stream was resumed at another replica.
    Resumed {
        /// The request's id.
        request: &'a str,
        /// The incarnation of the replica that continues it.
        replica: &'a str,
        /// The last event that the caller has received.
        after_event: Option<u64>,
    },
    /// A request got its final response.
    Ended {
        /// The request's id.
        request: &'a str,
        /// The HTTP status.
        status: u16,
        /// The numbered code; 0 for a response from a replica.
        code: u16,
        /// The cause, if the response does not come from a replica.
        reason: &'a str,
        /// The time since the request's head arrived, in milliseconds.
        took_ms: u64,
        /// The time until the first event of a stream was forwarded, in
        /// milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        first_ms: Option<u64>,
        /// The longest pause between two stream events, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        pause_ms: Option<u64>,
        /// The time since all published routes were last known, in
        /// milliseconds, if the request was refused because of the routes.
        #[serde(skip_serializing_if = "Option::is_none")]
        routes_age_ms: Option<u64>,
    },
    /// The caller disconnected before the response ended.
    Cancelled {
        /// The request's id.
        request: &'a str,
        /// The time since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// A caller was cut because it read nothing of its answer for too long.
    CallerCut {
        /// The request's id.
        request: &'a str,
        /// The numbered code.
        code: u16,
        /// The bytes of the answer that were buffered for the caller.
        unread_bytes: u64,
        /// The bytes that the process buffered for all callers and replicas.
        total_bytes: u64,
        /// The time since the request's head arrived, in milliseconds.
        took_ms: u64,
    },
    /// A chunk was rejected, or a source of chunks is no longer used.
    SourceFailed {
        /// The source.
        source: &'a str,
        /// The numbered code.
        code: u16,
        /// Why the source failed.
        reason: &'a str,
    },
    /// Another version than before is fetched first, because of what is held
    /// of each.
    VersionChosen {
        /// The model.
        model: &'a str,
        /// The version that is fetched first, if any.
        version: Option<u64>,
        /// The version that was fetched first before.
        previous: Option<u64>,
        /// Whether the origin answered the last request of this process.
        origin: bool,
        /// The versions to choose from, newest first.
        candidates: Vec<VersionInputs>,
    },
    /// A version was evicted, with the chunks that no other version contains.
    VersionEvicted {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
        /// The number of chunks that were held.
        held: usize,
        /// Whether requests could still begin on it or agents requested it.
        needed: bool,
    },
    /// A fetch of weights began.
    FetchBegun {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
        /// The number of chunks that are already held.
        held: usize,
        /// The number of chunks of the version.
        chunks: usize,
    },
    /// The progress of a fetch of weights.
    FetchProgress {
        /// The share of chunks that are held, per mille.
        share: u32,
        /// The indices of the first missing chunks.
        missing: Vec<usize>,
        /// The fraction of the link that chunk requests may use.
        link_part: f64,
        /// The fraction of the link that chunks sent to peers may use.
        uplink_part: f64,
        /// The sources with requests in progress.
        asked: Vec<&'a str>,
        /// The sources that are not used for some time after failures.
        suspects: Vec<&'a str>,
    },
    /// All chunks of a version have been fetched.
    FetchDone {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
        /// How long it took, in milliseconds.
        took_ms: u64,
        /// The number of chunks from the local data hall.
        near: u32,
        /// The number of chunks from other data halls.
        far: u32,
        /// The number of chunks from the origin.
        origin: u32,
    },
    /// The engine did not answer shortly before its version expires, so that
    /// it gets no requests until it does.
    EngineHeldBack {
        /// The version that it has loaded.
        version: u64,
        /// How long it had not answered, in milliseconds.
        silent_ms: u64,
    },
    /// The engine was ordered to load.
    LoadOrdered {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
        /// The first layer and the one after the last, if the order was for
        /// only some of the layers.
        layers: Option<(u32, u32)>,
        /// The position of this replica in the loading order.
        turn: usize,
        /// When the order was sent, the time since the check of the staged
        /// chunks began, in milliseconds; `None` if none was needed.
        check_ms: Option<u64>,
        /// The engine's response.
        outcome: &'a str,
    },
    /// The engine has loaded a version, and this is known about the chunks
    /// that it was loaded from.
    LoadJudged {
        /// The version.
        version: u64,
        /// The number of orders that the engine has accepted.
        sequence: u64,
        /// What shows that the chunks were intact (the age of their check, or
        /// the chunks themselves), or that they may not have been.
        evidence: &'a str,
        /// The time since the last check of the chunks began, in milliseconds;
        /// `None` if this process made none.
        check_ms: Option<u64>,
    },
    /// An agent that has found a version loaded was told whether an agent had
    /// confirmed that load.
    LoadRemembered {
        /// The incarnation of the replica.
        replica: &'a str,
        /// The number of orders that the engine had accepted.
        sequence: u64,
        /// Whether an agent had confirmed it.
        confirmed: bool,
    },
    /// The engine started to serve a version.
    Serving {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
    },
    /// Log lines were dropped because the buffer was full.
    Dropped {
        /// The number of dropped lines.
        lines: u64,
    },
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(count: &u8) -> bool {
    *count == 0
}
