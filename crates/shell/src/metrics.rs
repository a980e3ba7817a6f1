//! Prometheus metrics of a process.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// The label for a numbered result code; 0 is success.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CodeLabel {
    code: u16,
}

/// The label for the source of chunk bytes.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct SourceLabel {
    source: &'static str,
}

/// The metrics of a process; those that do not apply to its role stay at 0.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    answers: Family<CodeLabel, Counter>,
    latency: Histogram,
    running: Gauge,
    queued: Gauge,
    retries: Counter,
    pulled: Family<SourceLabel, Counter>,
    /// The chunk bytes sent to peers.
    pub sent: Counter,
    corrupt: Family<SourceLabel, Counter>,
    /// The revision of the declaration in force.
    pub revision: Gauge<i64>,
    /// The share of held chunks of the target version, per mille.
    pub share: Gauge<i64>,
    /// The number of calls to the platform's service.
    pub platform: Counter,
    /// The bytes of control calls, in both directions.
    pub control: Counter<u64, AtomicU64>,
}

impl Metrics {
    /// Registers all metrics, with values of zero.
    pub fn new() -> Metrics {
        let metrics = Metrics {
            registry: Registry::with_prefix("stairhinge"),
            answers: Family::default(),
            latency: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
            running: Gauge::default(),
            queued: Gauge::default(),
            retries: Counter::default(),
            pulled: Family::default(),
            sent: Counter::default(),
            corrupt: Family::default(),
            revision: Gauge::default(),
            share: Gauge::default(),
            platform: Counter::default(),
            control: Counter::default(),
        };
        metrics.register()
    }

    fn register(mut self) -> Metrics {
        let r = &mut self.registry;
        r.register("answers", "Final answers by code", self.answers.clone());
        r.register_with_unit(
            "answer_duration",
            "From a request's head to the end of its answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        r.register("running", "Requests in progress", self.running.clone());
        r.register("queued", "Requests waiting", self.queued.clone());
        r.register(
            "retries",
            "Attempts after the first",
            self.retries.clone(),
        );
        r.register_with_unit(
            "weights_received",
            "Verified chunk bytes by source",
            Unit::Bytes,
            self.pulled.clone(),
        );
        r.register_with_unit(
            "weights_sent",
            "Chunk bytes sent to peers",
            Unit::Bytes,
            self.sent.clone(),
        );
        r.register(
            "chunks_corrupt",
            "Chunks refused for their digest, by source",
            self.corrupt.clone(),
        );
        r.register(
            "config_revision",
            "Revision of the declaration in force",
            self.revision.clone(),
        );
        r.register(
            "weights_share_permille",
            "Chunks held of the version wanted",
            self.share.clone(),
        );
        r.register(
            "platform_calls",
            "Calls to the platform's service",
            self.platform.clone(),
        );
        r.register_with_unit(
            "control",
            "Bytes of control calls, both directions",
            Unit::Bytes,
            self.control.clone(),
        );
        self
    }

    /// Records a final response with its code (0 is success) and its duration
    /// in seconds.
    pub fn answered(&self, code: u16, seconds: f64) {
        self.answers.get_or_create(&CodeLabel { code }).inc();
        self.latency.observe(seconds);
    }

    /// Returns the number of final responses with a code.
    pub fn answers(&self, code: u16) -> u64 {
        self.answers.get_or_create(&CodeLabel { code }).get()
    }

    /// Sets the numbers of running and queued requests.
    pub fn load(&self, running: usize, queued: usize) {
        self.running.set(running as i64);
        self.queued.set(queued as i64);
    }

    /// Counts a retry.
    pub fn retried(&self) {
        self.retries.inc();
    }

    /// Counts verified chunk bytes from a source: `near`, `far` or `origin`.
    pub fn received(&self, source: &'static str, bytes: u64) {
        self.pulled.get_or_create(&SourceLabel { source }).inc_by(bytes);
    }

    /// Counts a chunk whose digest was not the declared one.
    pub fn corrupt_chunk(&self, source: &'static str) {
        self.corrupt.get_or_create(&SourceLabel { source }).inc();
    }

    /// Returns the metrics in the text format, as served at `/metrics`.
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
