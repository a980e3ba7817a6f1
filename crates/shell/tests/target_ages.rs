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
use stairhinge::direct::VersionTarget;
use stairhinge::{Code, Error};
use stairhinge_shell::decisions::DecisionLog;
use stairhinge_shell::directory::{
    Change, Collection, Directory, Facts, Freshness, HallAnswer, HallReader,
    Listing, ReaderAnswer, Record, SharedQuestion, TargetAge, Watched,
};
use support::{Nobody, fresh, parsed, share_reading, until};
use tokio::sync::watch;

const MODEL: &str = "m";

/// How long a call takes whose answer is lost.
const LOST_AFTER: Duration = Duration::from_millis(700);

/// A platform that publishes target versions; revision and version are equal.
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
        })
    }

    fn set(&self, version: u64) {
        *self.set_at.lock().unwrap() = Some(Instant::now());
        self.newest.send_replace(version);
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
        Watched::Changes((after + 1..=at).map(set).collect(), at)
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
                Collection::Declarations => vec![Ok(target(at))],
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
    let told = TargetAge { model: MODEL.into(), version: 2, age_ms };
    facts.learn_targets(&[told]);
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
    let told = TargetAge { model: MODEL.into(), version: 2, age_ms: None };
    facts.learn_targets(&[told]);
    let age = presumed_age(&facts);
    assert!(age < Duration::from_millis(500), "{age:?}");
    assert_eq!(told_age(&facts, 2), None);
}
