//! The ages of target versions.
//!
//! Guards against a version that is taken for newer than it is: an entry then
//! sends requests to replicas with the previous one for too long. An entry out
//! of touch with the reader of its data hall found a version by a watch that
//! began 0.6 s after it was set, and dated it at the answer.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::BoxFuture;
use serde_json::json;
use stairhinge::direct::VersionTarget;
use stairhinge::{Code, Error};
use stairhinge_shell::decisions::DecisionLog;
use stairhinge_shell::directory::{
    Change, Collection, Directory, Facts, Freshness, HallAnswer, HallReader,
    Listing, Published, ReaderAnswer, Record, SharedQuestion, Source,
    TargetAge, Watched,
};
use support::{Nobody, fresh, parsed, share_reading, until};
use tokio::sync::watch;

const MODEL: &str = "m";

/// How long a call takes whose answer is lost.
const LOST_AFTER: Duration = Duration::from_millis(700);

/// A platform that publishes target versions. Each revision sets the version
/// of the same number.
struct Versions {
    newest: watch::Sender<u64>,
    set_at: Mutex<Option<Instant>>,
    /// How long each answer is under way, in milliseconds.
    delay_ms: AtomicU64,
    /// Whether the answer to the next watch with changes is lost.
    loses_answer: AtomicBool,
    /// Whether it no longer has its history, until it is listed.
    forgets: AtomicBool,
    waiting: AtomicU64,
    /// The newest revision that sets no version.
    skipped: AtomicU64,
}

fn target(version: u64) -> Record {
    let model = Arc::from(MODEL);
    Record::Target(VersionTarget { model, version })
}

impl Versions {
    fn start() -> Arc<Versions> {
        Arc::new(Versions {
            newest: watch::Sender::new(1),
            set_at: Mutex::default(),
            delay_ms: AtomicU64::new(0),
            loses_answer: AtomicBool::new(false),
            forgets: AtomicBool::new(false),
            waiting: AtomicU64::new(0),
            skipped: AtomicU64::new(0),
        })
    }

    fn set(&self, version: u64) {
        *self.set_at.lock().unwrap() = Some(Instant::now());
        self.newest.send_replace(version);
    }

    /// Sets a version as the first one.
    fn skip_to(&self, version: u64) {
        self.skipped.store(version - 1, Ordering::Relaxed);
        self.set(version);
    }

    /// Returns how long ago the newest version was set.
    fn age(&self) -> Duration {
        self.set_at.lock().unwrap().unwrap().elapsed()
    }

    async fn travel(&self) {
        let ms = self.delay_ms.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    async fn changes(&self, after: u64, wait: Duration) -> Watched {
        let mut newest = self.newest.subscribe();
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let newer = newest.wait_for(|n| *n > after);
        let _ = tokio::time::timeout(wait, newer).await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let at = *self.newest.borrow();
        let set = |version| Change::Set(target(version));
        let skipped = self.skipped.load(Ordering::Relaxed);
        let found = (after + 1..=at).filter(|version| *version > skipped);
        Watched::Changes(found.map(set).collect(), at)
    }
}

impl Directory for Versions {
    fn list(
        &self,
        collection: Collection,
        _freshness: Freshness,
    ) -> BoxFuture<'_, Result<Listing, Error>> {
        Box::pin(async move {
            self.travel().await;
            self.forgets.store(false, Ordering::Relaxed);
            let at = *self.newest.borrow();
            let records = match collection {
                Collection::Declarations if at > 0 => vec![Ok(target(at))],
                _ => Vec::new(),
            };
            Ok(Listing { records, at })
        })
    }

    fn parse_routes(&self, document: Bytes) -> Result<Record, Error> {
        parsed(&document)
    }

    fn watch(
        &self,
        _collection: Collection,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Watched, Error>> {
        Box::pin(async move {
            if self.forgets.load(Ordering::Relaxed) {
                return Ok(Watched::Forgotten);
            }
            let watched = self.changes(after, wait).await;
            let newer = *self.newest.borrow() > after;
            if newer && self.loses_answer.swap(false, Ordering::Relaxed) {
                tokio::time::sleep(LOST_AFTER).await;
                return Err(Error::new(Code::PlatformLost, "lost"));
            }
            self.travel().await;
            Ok(watched)
        })
    }
}

/// A reader that answers, stops answering, and is given up later.
#[derive(Default)]
struct FailingReader {
    silent: AtomicBool,
    given_up: AtomicBool,
}

impl HallReader for FailingReader {
    fn ask(&self, question: SharedQuestion) -> BoxFuture<'_, HallAnswer> {
        Box::pin(async move {
            if question.after.is_none() {
                return HallAnswer::ReadPlatform;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
            while self.silent.load(Ordering::Relaxed) {
                if self.given_up.load(Ordering::Relaxed) {
                    return HallAnswer::ReadPlatform;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            HallAnswer::Answered(fresh(1, question.revision, None))
        })
    }

    fn ask_until_fresh(
        &self,
        question: SharedQuestion,
    ) -> BoxFuture<'_, ReaderAnswer> {
        Nobody.ask_until_fresh(question)
    }

    fn is_alone(&self) -> bool {
        false
    }

    fn leads(&self) -> bool {
        false
    }

    fn fetch_routes(
        &self,
        _entry: SocketAddr,
        _within: Duration,
    ) -> BoxFuture<'_, Result<Bytes, Error>> {
        unreachable!("there are no routes")
    }
}

/// Returns how long ago the newest version was set according to a process.
fn presumed_age(facts: &Facts) -> Duration {
    let since = facts.view().targets.since(MODEL).unwrap();
    facts.now().since(since)
}

/// Returns what a process of an earlier build tells of a version.
fn told(version: u64, age_ms: Option<u64>) -> TargetAge {
    let told = json!({"model": MODEL, "version": version, "age_ms": age_ms});
    serde_json::from_value(told).unwrap()
}

/// Returns what a process tells that knows the version before it.
fn told_after(previous: u64, version: u64, age_ms: u64) -> TargetAge {
    let told = json!({"model": MODEL, "version": version, "age_ms": age_ms,
                      "previous": previous});
    serde_json::from_value(told).unwrap()
}

/// Returns how long a version has been outdated according to a process.
fn outdated_for(facts: &Facts, version: u64) -> Duration {
    let since = facts.view().targets.outdated_since(MODEL, version).unwrap();
    facts.now().since(since)
}

/// Fails unless a version has been outdated for so long according to a
/// process, but for a few milliseconds.
#[track_caller]
fn assert_outdated_for(facts: &Facts, version: u64, real: Duration) {
    let known = outdated_for(facts, version);
    let known = known.as_millis().abs_diff(real.as_millis());
    assert!(known < 100, "{:?}, {real:?}", outdated_for(facts, version));
}

/// Returns the age of a version that a process tells others.
fn told_age(facts: &Facts, version: u64) -> Option<u64> {
    let ages = facts.target_ages();
    ages.iter().find(|a| a.version == version).unwrap().age_ms
}

async fn until_version(facts: &Facts, version: u64) {
    until("the version", || {
        facts.view().targets.version(MODEL) == Some(version)
    })
    .await;
}

#[track_caller]
fn assert_not_too_new(facts: &Facts, platform: &Versions) {
    // The clock of a process counts whole milliseconds.
    let known = presumed_age(facts) + Duration::from_millis(2);
    let real = platform.age();
    assert!(known >= real, "taken for {known:?} old, and is {real:?} old");
}

/// Sets version 2 while a process is out of touch with its reader, which it
/// gives up after 600 ms.
async fn set_out_of_touch(platform: &Arc<Versions>) -> Arc<Facts> {
    let reader = Arc::new(FailingReader::default());
    let (facts, stopper) =
        share_reading(Arc::clone(platform) as _, Arc::clone(&reader) as _);
    std::mem::forget(stopper);
    until_version(&facts, 1).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    reader.silent.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(50)).await;
    platform.set(2);
    tokio::time::sleep(Duration::from_millis(600)).await;
    reader.given_up.store(true, Ordering::Relaxed);
    until_version(&facts, 2).await;
    facts
}

#[tokio::test]
async fn a_version_set_while_out_of_touch_is_not_taken_for_new() {
    let platform = Versions::start();
    let facts = set_out_of_touch(&platform).await;
    assert_not_too_new(&facts, &platform);
    let age = presumed_age(&facts);
    assert!(age < Duration::from_millis(1_500), "far too old: {age:?}");
    assert_eq!(told_age(&facts, 2), None, "it was not there");
}

#[tokio::test]
async fn a_slow_platform_does_not_make_a_version_found_late_look_new() {
    let platform = Versions::start();
    platform.delay_ms.store(500, Ordering::Relaxed);
    let facts = set_out_of_touch(&platform).await;
    assert_not_too_new(&facts, &platform);
    assert_eq!(told_age(&facts, 2), None, "it was not there");
}

#[tokio::test]
async fn a_version_whose_first_answer_was_lost_is_not_taken_for_new() {
    let platform = Versions::start();
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::new(Nobody));
    until_version(&facts, 1).await;
    platform.loses_answer.store(true, Ordering::Relaxed);
    platform.set(2);
    until_version(&facts, 2).await;
    assert_not_too_new(&facts, &platform);
}

#[tokio::test]
async fn a_version_that_a_watch_waited_for_is_dated_for_others() {
    for delay_ms in [0, 150] {
        let platform = Versions::start();
        platform.delay_ms.store(delay_ms, Ordering::Relaxed);
        let (facts, _stopper) =
            share_reading(Arc::clone(&platform) as _, Arc::new(Nobody));
        until_version(&facts, 1).await;
        // Some watches return without changes, which tells the delay.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        until("no watch", || platform.waiting.load(Ordering::Relaxed) == 0)
            .await;
        until("a watch", || platform.waiting.load(Ordering::Relaxed) > 0)
            .await;
        tokio::time::sleep(Duration::from_millis(180)).await;
        platform.set(2);
        until_version(&facts, 2).await;
        let real = platform.age().as_millis() as u64;
        let told = told_age(&facts, 2).expect("it was waiting");
        assert!(told.abs_diff(real) < 100, "{told} of {real} ms");
    }
}

/// Guards against replicas that are taken out early: after a lost history the
/// list only tells that a version was set after the last answer.
#[tokio::test]
async fn a_version_found_by_a_list_is_dated_by_a_process_that_was_there() {
    let platform = Versions::start();
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::new(Nobody));
    until_version(&facts, 1).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    platform.loses_answer.store(true, Ordering::Relaxed);
    platform.set(2);
    platform.forgets.store(true, Ordering::Relaxed);
    until_version(&facts, 2).await;
    assert_not_too_new(&facts, &platform);
    let age_ms = Some(platform.age().as_millis() as u64);
    facts.learn_targets(&[told(2, age_ms)]);
    let known = presumed_age(&facts);
    let real = platform.age();
    assert!(known <= real + Duration::from_millis(50), "{known:?}, {real:?}");
}

/// Guards against replicas that are taken out early because a peer doesn't
/// know when a version was set.
#[tokio::test]
async fn a_version_told_without_an_age_is_no_older_than_the_last_sync() {
    let log = DecisionLog::new(DecisionLog::MOST_BYTES);
    let facts = Facts::new(log, Duration::from_secs(5));
    facts.note_routes_known(facts.now());
    facts.learn_targets(&[told(2, None)]);
    let age = presumed_age(&facts);
    assert!(age < Duration::from_millis(500), "{age:?}");
    assert_eq!(told_age(&facts, 2), None);
}

/// Guards against an old version that is used for too long: a process that
/// starts after versions 2 and 3 were set reads 3 alone, and learns when 3 was
/// set from one that was there.
#[tokio::test]
async fn a_version_set_before_the_start_is_not_forgotten_for_a_newer_one() {
    let log = DecisionLog::new(DecisionLog::MOST_BYTES);
    let facts = Facts::new(log, Duration::from_secs(5));
    facts.learn(target(3), Source::new("list"), Published::default());
    facts.note_routes_known(facts.now());
    facts.learn_targets(&[told(3, Some(100))]);
    assert_outdated_for(&facts, 2, Duration::from_millis(100));
    assert_outdated_for(&facts, 1, Duration::from_secs(5));
    let all = [told_after(1, 2, 2_000), told_after(2, 3, 100)];
    facts.learn_targets(&all);
    assert_outdated_for(&facts, 2, Duration::from_millis(100));
    assert_outdated_for(&facts, 1, Duration::from_secs(2));
}

#[tokio::test]
async fn a_version_told_after_a_newer_one_takes_its_place() {
    let log = DecisionLog::new(DecisionLog::MOST_BYTES);
    let facts = Facts::new(log, Duration::from_secs(5));
    facts.learn(target(1), Source::new("list"), Published::default());
    facts.note_routes_known(facts.now());
    facts.learn_targets(&[told(3, Some(100)), told(2, Some(2_000))]);
    assert_outdated_for(&facts, 2, Duration::from_millis(100));
    assert_outdated_for(&facts, 1, Duration::from_secs(2));
}

/// Guards against an old version that is used for too long: a process that
/// lost its history while versions 2 and 3 were set reads 3 alone.
#[tokio::test]
async fn a_version_that_a_list_skipped_is_not_forgotten_for_a_newer_one() {
    let platform = Versions::start();
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::new(Nobody));
    until_version(&facts, 1).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    platform.loses_answer.store(true, Ordering::Relaxed);
    platform.forgets.store(true, Ordering::Relaxed);
    platform.set(2);
    let second = Instant::now();
    tokio::time::sleep(Duration::from_millis(400)).await;
    platform.set(3);
    until_version(&facts, 3).await;
    let age_ms = Some(platform.age().as_millis() as u64);
    facts.learn_targets(&[told(3, age_ms)]);
    assert_not_too_new(&facts, &platform);
    let (known, real) = (outdated_for(&facts, 1), second.elapsed());
    // The clock of a process counts whole milliseconds.
    assert!(known + Duration::from_millis(2) >= real, "{known:?}, {real:?}");
}

#[tokio::test]
async fn a_late_watch_that_returns_all_versions_tells_which_came_before() {
    let platform = Versions::start();
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::new(Nobody));
    until_version(&facts, 1).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    platform.loses_answer.store(true, Ordering::Relaxed);
    platform.set(2);
    platform.set(9);
    until_version(&facts, 9).await;
    let before: Vec<_> = facts
        .target_ages()
        .iter()
        .map(|told| serde_json::to_value(told).unwrap()["previous"].clone())
        .collect();
    assert_eq!(before.len(), 9);
    assert_eq!(before[8], json!(8), "{before:?}");
    facts.learn_targets(&[told(9, Some(10))]);
    assert_outdated_for(&facts, 8, Duration::from_millis(10));
}

/// Guards against a process that never reads a version because the platform
/// sets none before its first list.
#[tokio::test]
async fn the_first_version_after_an_empty_list_is_the_first_of_all() {
    let platform = Versions::start();
    platform.newest.send_replace(0);
    let (facts, _stopper) =
        share_reading(Arc::clone(&platform) as _, Arc::new(Nobody));
    until("a list", || facts.knows_declarations()).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    platform.skip_to(7);
    until_version(&facts, 7).await;
    let told = serde_json::to_value(&facts.target_ages()[0]).unwrap();
    assert_eq!(told["previous"], json!(0), "{told}");
}

/// Guards against an old version that is used for too long by a process that
/// waits for its first news though it has to be up to date by then.
#[tokio::test]
async fn a_version_found_late_is_presumed_to_be_older_than_the_start() {
    let presumed = Duration::from_secs(5);
    let waited = Duration::from_millis(400);
    let found = async |out_of_reach: bool| {
        let log = DecisionLog::new(DecisionLog::MOST_BYTES);
        let facts = Facts::new(log, presumed);
        tokio::time::sleep(waited).await;
        if out_of_reach {
            facts.note_out_of_reach();
        }
        let target = VersionTarget { model: MODEL.into(), version: 3 };
        let record = Record::Target(target);
        facts.learn(record, Source::new("list"), Published::default());
        outdated_for(&facts, 1)
    };
    let late = found(false).await;
    assert!(late >= presumed + waited, "{late:?}");
    let unreachable = found(true).await;
    assert!(unreachable < presumed + waited, "{unreachable:?}");
}
