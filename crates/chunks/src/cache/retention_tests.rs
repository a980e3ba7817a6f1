//! Tests of what a cache keeps of a version when a newer one is requested,
//! with an origin that sends one chunk after the other.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use stairhinge::direct::{
    HallEntry, Origin, RouteTable, RouteTableParts, VersionTarget,
};
use stairhinge::{Code, Digest, Error};
use stairhinge_shell::Shaper;
use stairhinge_shell::decisions::DecisionLog;
use stairhinge_shell::directory::{Facts, Published, Record, Source};
use stairhinge_shell::http::Client;

use super::super::{CachePeers, ChunkCache, Retention};
use crate::holdings::Holdings;
use crate::manifest::{VersionManifest, WeightOrigin};
use crate::owner::FetchContext;

const MODEL: &str = "matcher";
const CHUNKS: usize = 24;
const CHUNK_BYTES: usize = 64;
/// How long the origin takes to send a chunk, and the bandwidth of its link.
const CHUNK_TIME: Duration = Duration::from_millis(20);
const LINK_MBPS: f64 = CHUNK_BYTES as f64 * 8.0 / 20.0 / 1e3;
const BOUND: Duration = Duration::from_millis(4_000);

fn content(version: u64, index: usize) -> Bytes {
    let mut bytes = format!("{version}/{index}").into_bytes();
    bytes.resize(CHUNK_BYTES, 0);
    Bytes::from(bytes)
}

/// An origin that counts how often it sends each chunk.
#[derive(Default)]
struct CountingOrigin {
    is_down: AtomicBool,
    sent: Mutex<HashMap<(u64, u32), usize>>,
}

impl CountingOrigin {
    fn check(&self) -> Result<(), Error> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(Error::new(Code::NoSource, "the origin is down"));
        }
        Ok(())
    }

    /// Returns how many chunks of a version were sent, and how many of them
    /// repeatedly.
    fn sent(&self, version: u64) -> (usize, usize) {
        let sent = self.sent.lock().unwrap();
        let counts = sent.iter().filter(|((v, _), _)| *v == version);
        let counts: Vec<usize> = counts.map(|(_, count)| *count).collect();
        let repeated = counts.iter().filter(|count| **count > 1).count();
        (counts.len(), repeated)
    }
}

impl WeightOrigin for CountingOrigin {
    fn manifest<'a>(
        &'a self,
        _: SocketAddr,
        model: &'a str,
        version: u64,
    ) -> BoxFuture<'a, Result<VersionManifest, Error>> {
        Box::pin(async move {
            self.check()?;
            let digest = |i| Digest::sha256(&content(version, i));
            Ok(VersionManifest {
                model: Arc::from(model),
                version,
                digests: (0..CHUNKS).map(digest).collect(),
                chunk_bytes: CHUNK_BYTES as u32,
            })
        })
    }

    fn chunk<'a>(
        &'a self,
        _: SocketAddr,
        _: &'a str,
        version: u64,
        index: u32,
    ) -> BoxFuture<'a, Result<Bytes, Error>> {
        Box::pin(async move {
            self.check()?;
            tokio::time::sleep(CHUNK_TIME).await;
            self.check()?;
            let mut sent = self.sent.lock().unwrap();
            *sent.entry((version, index)).or_default() += 1;
            Ok(content(version, index as usize))
        })
    }
}

/// A hall with a single entry, whose agents hold nothing.
struct NoPeers;

impl CachePeers for NoPeers {
    fn entries(&self) -> Vec<HallEntry> {
        Vec::new()
    }

    fn holders(&self, _: &str, _: u64) -> Vec<SocketAddr> {
        Vec::new()
    }

    fn agents(&self) -> Vec<SocketAddr> {
        Vec::new()
    }
}

struct Setup {
    cache: Arc<ChunkCache>,
    origin: Arc<CountingOrigin>,
    facts: Arc<Facts>,
}

impl Setup {
    fn new(memory: u64) -> Setup {
        let log = DecisionLog::new(1 << 20);
        let facts = Arc::new(Facts::new(log, Duration::ZERO));
        let addr: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let parts = RouteTableParts {
            revision: 1,
            origin: Some(Origin { addr, link_mbps: Some(LINK_MBPS) }),
            ..RouteTableParts::default()
        };
        let table = Arc::new(RouteTable::new(parts).unwrap());
        let routes = Record::Routes(table, Bytes::new());
        facts.learn(routes, Source::new("test"), Published::default());
        let origin = Arc::new(CountingOrigin::default());
        let context = FetchContext {
            facts: Arc::clone(&facts),
            holdings: Arc::new(Holdings::retaining(memory)),
            client: Client::new(),
            origin: Arc::clone(&origin) as Arc<dyn WeightOrigin>,
            addr,
            hall: Arc::from("hall"),
        };
        let retention = Retention { version_bound: BOUND, link_rate: 1 << 20 };
        let cache = ChunkCache::new(
            context,
            Arc::new(NoPeers),
            Shaper::new(0),
            Some(retention),
        );
        Setup { cache, origin, facts }
    }

    fn target(&self, version: u64) {
        let target = VersionTarget { model: Arc::from(MODEL), version };
        let now = Published::at(self.facts.now());
        self.facts.learn(Record::Target(target), Source::new("test"), now);
    }

    fn held(&self, version: u64) -> usize {
        let holdings = &self.cache.context.holdings;
        holdings.manifest(MODEL, version).map_or(0, |m| holdings.count(&m))
    }

    /// Requests a version, as agents do, until a condition holds.
    async fn request_until(
        &self,
        version: u64,
        condition: impl Fn(&Setup) -> bool,
    ) {
        let deadline = tokio::time::Instant::now() + Duration::from_secs(10);
        while !condition(self) {
            assert!(
                tokio::time::Instant::now() < deadline,
                "held of 2 and 3: {} and {}",
                self.held(2),
                self.held(3)
            );
            self.cache.record_request(MODEL, version, Duration::ZERO);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Guards against a version that is dropped and fetched again when the target
/// changes: on the observed day each fetch began with no chunk held.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_stay_held_when_a_newer_version_is_requested() {
    let setup = Setup::new(1 << 20);
    setup.target(2);
    setup.request_until(2, |s| s.held(2) >= 5).await;
    setup.target(3);
    setup.request_until(3, |s| s.held(3) >= 1).await;
    let before = setup.held(2);
    assert!((5..18).contains(&before), "{before}");
    setup.request_until(3, |s| s.held(3) == CHUNKS).await;
    assert!(setup.held(2) >= before, "{} of {before}", setup.held(2));
    assert_eq!(setup.origin.sent(3), (CHUNKS, 0));
    assert_eq!(setup.origin.sent(2).1, 0);
}

/// Guards against switching back and forth during an outage, and against a
/// version that lacks a few chunks and is not finished first.
#[tokio::test(flavor = "multi_thread")]
async fn a_nearly_complete_version_is_finished_first() {
    let setup = Setup::new(1 << 20);
    setup.target(2);
    setup.request_until(2, |s| s.held(2) >= 20).await;
    setup.origin.is_down.store(true, Ordering::Relaxed);
    setup.target(3);
    let until = tokio::time::Instant::now() + Duration::from_millis(900);
    let passed = |_: &Setup| tokio::time::Instant::now() >= until;
    setup.request_until(3, passed).await;
    let held = setup.held(2);
    assert!(held >= 20 && setup.cache.switches() <= 1);
    setup.origin.is_down.store(false, Ordering::Relaxed);
    setup.request_until(3, |s| s.held(2) == CHUNKS).await;
    assert!(setup.held(3) < CHUNKS);
    setup.request_until(3, |s| s.held(3) == CHUNKS).await;
    for version in [2, 3] {
        assert_eq!(setup.origin.sent(version), (CHUNKS, 0));
    }
    assert!(setup.cache.switches() <= 2, "{}", setup.cache.switches());
}

/// Guards against memory that grows with the number of versions, and against a
/// transfer of a version on which no request may begin any more.
#[tokio::test(flavor = "multi_thread")]
async fn versions_are_evicted_for_memory_and_when_they_expire() {
    // One version and a half.
    let setup = Setup::new((CHUNKS * CHUNK_BYTES * 3 / 2) as u64);
    setup.target(2);
    setup.request_until(2, |s| s.held(2) == CHUNKS).await;
    setup.target(3);
    setup.request_until(3, |s| s.held(3) == CHUNKS).await;
    setup.request_until(3, |s| s.held(2) == 0).await;
    assert_eq!(setup.held(3), CHUNKS);

    let setup = Setup::new(1 << 20);
    setup.target(2);
    setup.request_until(2, |s| s.held(2) >= 3).await;
    setup.target(3);
    setup.request_until(3, |s| s.held(3) == CHUNKS).await;
    assert!(setup.held(2) >= 3);
    setup.request_until(3, |s| s.held(2) == 0).await;
    // A late request does not start the transfer again.
    let sent = setup.origin.sent(2);
    for _ in 0..60 {
        setup.cache.record_request(MODEL, 2, Duration::ZERO);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(setup.origin.sent(2), sent);
}

/// Guards against a version that is kept for too long by a cache that never
/// heard of the next one, but only of the one after it.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_is_evicted_as_if_an_unheard_one_had_followed_it() {
    let setup = Setup::new(1 << 20);
    setup.target(1);
    setup.request_until(1, |s| s.held(1) == CHUNKS).await;
    setup.facts.note_routes_known(setup.facts.now());
    let synced = tokio::time::Instant::now();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let told = r#"[{"model":"matcher","version":3,"age_ms":0}]"#;
    setup.facts.learn_targets(&serde_json::from_str::<Vec<_>>(told).unwrap());
    setup.request_until(3, |s| s.held(3) == CHUNKS).await;
    assert_eq!(setup.held(1), CHUNKS, "it may still be served");
    setup.request_until(3, |s| s.held(1) == 0).await;
    let kept = synced.elapsed();
    assert!(kept < BOUND + Duration::from_millis(500), "{kept:?}");
}

/// Guards against messages of the previous build that cannot be read, and
/// against settings out of range.
#[test]
fn new_fields_may_be_absent() {
    let status = r#"{"held":3,"chunks":24,"quiet_ms":5,"origin_lost":false}"#;
    let status: crate::CacheStatus = serde_json::from_str(status).unwrap();
    assert_eq!((status.held, status.bits.as_str()), (3, ""));
    let request = r#"{"model":"matcher","version":2,"want":[1],"hold_ms":0}"#;
    let request: crate::AnyChunkRequest =
        serde_json::from_str(request).unwrap();
    assert!(!request.ahead);
    for (memory_mb, valid) in [(0, false), (1, true), (1 << 21, false)] {
        let settings = crate::VersionSettings { memory_mb };
        assert_eq!(settings.check().is_ok(), valid);
    }
}

/// Guards against chunks that are dropped with one of the versions that share
/// them.
#[test]
fn shared_chunks_outlive_the_oldest_version() {
    let holdings = Holdings::default();
    let shared = content(1, 0);
    let digest = Digest::sha256(&shared);
    for version in 1..=5 {
        let own = Digest::sha256(&content(version, 1));
        holdings.add_manifest(&Arc::new(VersionManifest {
            model: Arc::from(MODEL),
            version,
            digests: vec![digest, own],
            chunk_bytes: CHUNK_BYTES as u32,
        }));
        for held in [digest, own] {
            let bytes = crate::ChunkLocation::Memory(shared.clone());
            holdings.insert_chunk(held, bytes);
        }
    }
    assert!(holdings.holds(&digest));
    let versions: HashSet<u64> =
        holdings.held_by_version().iter().map(|(_, v, _)| *v).collect();
    assert_eq!(versions, HashSet::from([3, 4, 5]));
}
