//! The metrics of an entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response};
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use stairhinge::overload::{AdmissionTotals, Full};
use stairhinge_chunks::ChunkCache;
use stairhinge_shell::directory::CallKind;
use stairhinge_shell::http::{Body, Handler, full};

/// The final status of a request, and the code of its error or 0.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct AnswerLabels {
    status: u16,
    code: u16,
}

/// Which component chose a replica, or why the entry did so itself.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ChoiceLabels {
    by: &'static str,
}

/// Why a request was refused for lack of capacity, and its class.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ShedLabels {
    reason: &'static str,
    priority: u8,
    route_priority: u8,
}

/// A version whose chunks are held.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct VersionLabels {
    model: String,
    version: u64,
}

/// The code of the cause for which an answer was cut.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CutLabels {
    code: u16,
}

/// The kind of a call to the platform.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CallLabels {
    collection: &'static str,
    way: &'static str,
}

/// The metrics of one entry.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: Registry,
    answers: Family<AnswerLabels, Counter>,
    choices: Family<ChoiceLabels, Counter>,
    calls: Family<CallLabels, Gauge>,
    shed: Family<ShedLabels, Counter>,
    shortage: Gauge<f64, AtomicU64>,
    promised: Counter,
    expected: Gauge,
    returned: Gauge,
    chunks_held: Family<VersionLabels, Gauge>,
    version_switches: Gauge,
    cuts: Family<CutLabels, Counter>,
    pub buffered: Gauge,
    first_byte: Histogram,
    waited: Histogram,
    pub attempts: Counter,
    pub retries: Counter,
    pub resumed: Counter,
    pub silences: Counter,
    pub replica_ended_under: Counter,
    pub cancelled: Counter,
    pub suspected: Gauge,
    pub quarantined: Gauge,
    pub crashes_withdrawn: Gauge,
    pub running: Gauge,
    pub waiting: Gauge,
    pub revision: Gauge,
    pub routes_age: Gauge<f64, AtomicU64>,
    pub documents_read: Gauge,
    pub replicas: Gauge,
    pub list_read: Gauge,
    pub places_given: Gauge,
    pub places_taken_back: Gauge,
    pub evacuated: Gauge,
    pub cold: Gauge,
    pub limited: Gauge,
    pub leaving: Gauge,
    pub resting: Gauge,
    pub ejected: Gauge,
    pub ejections: Gauge,
    pub trials: Gauge,
    pub reported_ejections: Gauge,
}

impl EntryMetrics {
    /// Returns metrics with all values at zero.
    pub(crate) fn new() -> EntryMetrics {
        let duration_histogram =
            || Histogram::new(exponential_buckets(0.002, 2.0, 13));
        let mut metrics = EntryMetrics {
            registry: Registry::with_prefix("stairhinge_entry"),
            answers: Family::default(),
            choices: Family::default(),
            calls: Family::default(),
            shed: Family::default(),
            shortage: Gauge::default(),
            promised: Counter::default(),
            expected: Gauge::default(),
            returned: Gauge::default(),
            chunks_held: Family::default(),
            version_switches: Gauge::default(),
            cuts: Family::default(),
            buffered: Gauge::default(),
            first_byte: duration_histogram(),
            waited: duration_histogram(),
            attempts: Counter::default(),
            retries: Counter::default(),
            resumed: Counter::default(),
            silences: Counter::default(),
            replica_ended_under: Counter::default(),
            cancelled: Counter::default(),
            suspected: Gauge::default(),
            quarantined: Gauge::default(),
            crashes_withdrawn: Gauge::default(),
            running: Gauge::default(),
            waiting: Gauge::default(),
            revision: Gauge::default(),
            routes_age: Gauge::default(),
            documents_read: Gauge::default(),
            replicas: Gauge::default(),
            list_read: Gauge::default(),
            places_given: Gauge::default(),
            places_taken_back: Gauge::default(),
            evacuated: Gauge::default(),
            cold: Gauge::default(),
            limited: Gauge::default(),
            leaving: Gauge::default(),
            resting: Gauge::default(),
            ejected: Gauge::default(),
            ejections: Gauge::default(),
            trials: Gauge::default(),
            reported_ejections: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("answers", "Final answers", self.answers.clone());
        r.register_with_unit(
            "first_byte",
            "From a request's head to the head of its answer",
            Unit::Seconds,
            self.first_byte.clone(),
        );
        r.register_with_unit(
            "waited",
            "How long requests waited for a replica with room",
            Unit::Seconds,
            self.waited.clone(),
        );
        let attempts = self.attempts.clone();
        r.register("attempts", "Requests sent to replicas", attempts);
        let retries = self.retries.clone();
        r.register("retries", "Attempts after the first", retries);
        let resumed = self.resumed.clone();
        r.register("resumed", "Streams taken up elsewhere", resumed);
        let silences = self.silences.clone();
        r.register("silences", "Waits for silent replicas", silences);
        let replica_ended_under = self.replica_ended_under.clone();
        r.register(
            "replica_ended_under",
            "Attempts under which the replica's process ended",
            replica_ended_under,
        );
        let chunks_held = self.chunks_held.clone();
        r.register("chunks_held", "Chunks held by version", chunks_held);
        let version_switches = self.version_switches.clone();
        r.register(
            "version_switches",
            "Changes of the version fetched first, since the start",
            version_switches,
        );
        let suspected = self.suspected.clone();
        r.register(
            "requests_suspected",
            "Requests remembered under which replicas ended",
            suspected,
        );
        let quarantined = self.quarantined.clone();
        r.register(
            "requests_quarantined",
            "Of these, the ones kept from replicas",
            quarantined,
        );
        let withdrawn = self.crashes_withdrawn.clone();
        r.register(
            "crashes_withdrawn",
            "Ends of replicas found not to be due to a request, since the start",
            withdrawn,
        );
        let cuts = self.cuts.clone();
        r.register("cuts", "Answers cut by the entry, by cause", cuts);
        r.register_with_unit(
            "buffered",
            "What is buffered for callers and replicas",
            Unit::Bytes,
            self.buffered.clone(),
        );
        let cancelled = self.cancelled.clone();
        r.register("cancelled", "Requests whose caller went", cancelled);
        r.register("running", "Requests at replicas", self.running.clone());
        r.register("waiting", "Requests waiting", self.waiting.clone());
        let revision = self.revision.clone();
        r.register("routes_revision", "Revision of the routes", revision);
        r.register_with_unit(
            "routes_age",
            "Since all published routes were known",
            Unit::Seconds,
            self.routes_age.clone(),
        );
        let documents_read = self.documents_read.clone();
        r.register(
            "documents_read",
            "Whole documents of routes read from the platform, since the start",
            documents_read,
        );
        let replicas = self.replicas.clone();
        r.register("replicas", "Replicas listed", replicas);
        let list_read = self.list_read.clone();
        r.register(
            "list_read",
            "The list of replicas: 0 unread, 1 read in part, 2 whole",
            list_read,
        );
        let choices = self.choices.clone();
        r.register("choices", "Replicas chosen, by whom", choices);
        let calls = self.calls.clone();
        r.register("platform_calls", "Calls since the start, by kind", calls);
        let evacuated = self.evacuated.clone();
        r.register("halls_evacuated", "Halls that get nothing", evacuated);
        let cold = self.cold.clone();
        r.register("replicas_cold", "Replicas that bear little", cold);
        let limited = self.limited.clone();
        r.register(
            "replicas_limited",
            "Replicas that name a rate limit",
            limited,
        );
        let leaving = self.leaving.clone();
        r.register(
            "replicas_leaving",
            "Replicas whose answers say that they leave",
            leaving,
        );
        let resting = self.resting.clone();
        r.register(
            "replicas_resting",
            "Replicas that asked for rest",
            resting,
        );
        let ejected = self.ejected.clone();
        r.register(
            "replicas_ejected",
            "Replicas excluded for their failures",
            ejected,
        );
        let ejections = self.ejections.clone();
        r.register("ejections", "Ejections since the start", ejections);
        let trials = self.trials.clone();
        r.register(
            "trials",
            "Requests sent as trials to ejected replicas, since the start",
            trials,
        );
        let reported = self.reported_ejections.clone();
        r.register(
            "reported_ejections",
            "Ejections adopted from other entries, since the start",
            reported,
        );
        let places_given = self.places_given.clone();
        r.register("places_given", "Places that others have", places_given);
        let places_taken_back = self.places_taken_back.clone();
        r.register(
            "places_taken_back",
            "Places of others whose end was not told, since the start",
            places_taken_back,
        );
        self.register_overload();
    }

    fn register_overload(&mut self) {
        let r = &mut self.registry;
        r.register(
            "overload_refusals",
            "Requests refused for lack of capacity, by reason and class",
            self.shed.clone(),
        );
        r.register(
            "overload_shortage",
            "The part of the demand that exceeds the capacity, 0 to 1",
            self.shortage.clone(),
        );
        r.register(
            "overload_promised",
            "Refused callers that were given a promised return time",
            self.promised.clone(),
        );
        r.register(
            "overload_expected",
            "Promised return times of this chooser that have not passed",
            self.expected.clone(),
        );
        r.register(
            "overload_returned",
            "Callers that returned to this chooser as promised, since the \
             start",
            self.returned.clone(),
        );
    }

    /// Counts a refusal for lack of capacity of a request with this urgency.
    pub(crate) fn count_shed(&self, full: &Full, urgency: (u8, u8)) {
        let (priority, route_priority) = urgency;
        let reason = full.reason.name();
        let labels = ShedLabels { reason, priority, route_priority };
        self.shed.get_or_create(&labels).inc();
        if full.promised {
            self.promised.inc();
        }
    }

    /// Sets the gauges of admission control.
    pub(crate) fn set_admission(&self, totals: &AdmissionTotals) {
        self.shortage.set(totals.shortage);
        self.expected.set(totals.promised as i64);
        self.returned.set(totals.returned as i64);
    }

    /// Sets how many calls to the platform of each kind have begun.
    pub(crate) fn set_platform_calls(&self, counts: &BTreeMap<CallKind, u64>) {
        for ((collection, way), count) in counts {
            let labels = CallLabels { collection, way };
            self.calls.get_or_create(&labels).set(*count as i64);
        }
    }

    /// Sets how many chunks of each version are held, and how often the
    /// version fetched first changed.
    pub(crate) fn set_chunks(&self, cache: &ChunkCache) {
        self.chunks_held.clear();
        for (model, version, held) in cache.held_by_version() {
            let model = model.to_string();
            let labels = VersionLabels { model, version };
            self.chunks_held.get_or_create(&labels).set(held as i64);
        }
        self.version_switches.set(cache.switches() as i64);
    }

    /// Counts a final answer.
    pub(crate) fn count_answer(&self, status: u16, code: u16) {
        self.answers.get_or_create(&AnswerLabels { status, code }).inc();
    }

    /// Counts an answer that was cut for the cause with this code.
    pub(crate) fn count_cut(&self, code: u16) {
        self.cuts.get_or_create(&CutLabels { code }).inc();
    }

    /// Counts the choice of a replica by the placer, or by the entry itself
    /// for the reason in `by`.
    pub(crate) fn count_choice(&self, by: &'static str) {
        self.choices.get_or_create(&ChoiceLabels { by }).inc();
    }

    /// Records how long a request waited for a replica, in seconds.
    pub(crate) fn observe_wait(&self, seconds: f64) {
        self.waited.observe(seconds);
    }

    /// Records the time to the head of an answer, in seconds.
    pub(crate) fn observe_first_byte(&self, seconds: f64) {
        self.first_byte.observe(seconds);
    }
}

/// Serves the metrics in the Prometheus text format.
pub(crate) struct MetricsHandler(pub Arc<EntryMetrics>);

impl Handler for MetricsHandler {
    fn handle(
        self: Arc<Self>,
        _request: Request<Incoming>,
    ) -> BoxFuture<'static, Response<Body>> {
        let mut out = String::new();
        let encoded = text::encode(&mut out, &self.0.registry);
        let body = if encoded.is_ok() { out } else { String::new() };
        Box::pin(async move { Response::new(full(body)) })
    }
}
