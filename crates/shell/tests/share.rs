//! Sharing what a process has read with other processes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::json;
use stairhinge::Code;
use stairhinge::direct::{RouteTable, RouteTableParts, VersionTarget};
use stairhinge_shell::decisions::DecisionLog;
use stairhinge_shell::directory::{
    Collection, Facts, Published, Record, Share, SharedQuestion, SharedRoutes,
    Source,
};
use stairhinge_shell::packed::{pack, unpack};

/// Returns a document of many records, of which one depends on `revision`.
fn document(revision: u64) -> String {
    let mut text = format!("{{\"revision\":{revision},\"routes\":[");
    for record in 0..400 {
        let limit = if record == revision { revision } else { 4_000 };
        let host = format!("{:x}.example", record * 7_919);
        text.push_str(&format!("{{\"host\":\"{host}\",\"limit\":{limit}}},"));
    }
    text.push_str("]}");
    text
}

fn learn(facts: &Facts, revision: u64) {
    let parts = RouteTableParts { revision, ..RouteTableParts::default() };
    let table = Arc::new(RouteTable::new(parts).unwrap());
    let record = Record::Routes(table, Bytes::from(document(revision)));
    facts.learn(record, Source::new("test"), Published::default());
}

fn question(revision: u64) -> SharedQuestion {
    SharedQuestion {
        collection: Collection::Declarations,
        after: None,
        revision,
        targets: 0,
        newest: None,
        wait_ms: 100,
        most_age_ms: 1_000,
        evacuated: Vec::new(),
        for_itself: false,
    }
}

fn share() -> Share {
    let log = DecisionLog::new(DecisionLog::MOST_BYTES);
    Share::new(Arc::new(Facts::new(log, Duration::ZERO)))
}

#[tokio::test]
async fn there_is_no_answer_before_the_first_read() {
    assert!(share().answer(&question(0)).await.is_none());
}

#[tokio::test]
async fn a_patch_is_sent_for_a_recent_revision_and_a_fetch_otherwise() {
    let share = share();
    for revision in 1..=3 {
        learn(share.facts(), revision);
        share.reach(Collection::Declarations, revision, share.facts().now());
        // A process that is asked keeps the revision as a base of patches.
        share.answer(&question(0)).await.unwrap();
    }
    let answer = share.answer(&question(2)).await.unwrap();
    let Some(SharedRoutes::Patch(patch)) = answer.routes else {
        panic!("no patch: {answer:?}");
    };
    assert_eq!(patch.apply(&document(2)).unwrap(), document(3));
    let answer = share.answer(&question(0)).await.unwrap();
    assert!(matches!(answer.routes, Some(SharedRoutes::Fetch)));
    let packed = share.packed_routes().unwrap();
    assert!(packed.len() < document(3).len() / 3);
    assert_eq!(unpack(&packed, 1 << 20).unwrap(), document(3));
    let answer = share.answer(&question(3)).await.unwrap();
    assert!(answer.routes.is_none());
}

#[tokio::test]
async fn an_answer_has_its_age_and_is_sent_once_that_is_too_high() {
    let share = share();
    learn(share.facts(), 1);
    share.reach(Collection::Declarations, 1, share.facts().now());
    let mut waits = question(1);
    waits.wait_ms = 2_000;
    waits.most_age_ms = 100;
    let asked = Instant::now();
    let answer = share.answer(&waits).await.unwrap();
    assert!(answer.age_ms > 100, "{answer:?}");
    assert!(
        asked.elapsed() < Duration::from_millis(1_500),
        "the answer was delayed"
    );
    // Without recent contact to the platform, it waits for newer facts.
    waits.wait_ms = 200;
    let asked = Instant::now();
    share.answer(&waits).await.unwrap();
    assert!(asked.elapsed() >= Duration::from_millis(200));
}

#[tokio::test]
async fn newer_routes_are_sent_at_once_without_the_platform() {
    let share = share();
    learn(share.facts(), 1);
    share.reach(Collection::Declarations, 1, share.facts().now());
    tokio::time::sleep(Duration::from_millis(50)).await;
    // From another entry, long after the last contact to the platform.
    learn(share.facts(), 2);
    let mut waits = question(1);
    waits.wait_ms = 2_000;
    waits.most_age_ms = 20;
    let asked = Instant::now();
    let answer = share.answer(&waits).await.unwrap();
    assert!(
        asked.elapsed() < Duration::from_millis(1_000),
        "the routes were delayed"
    );
    assert!(answer.has_newer_routes(&waits) && answer.age_ms > 20);
}

#[tokio::test]
async fn a_replica_list_above_the_maximum_age_is_not_sent() {
    let share = share();
    share.reach(Collection::Replicas, 1, share.facts().now());
    let mut asks = question(0);
    asks.collection = Collection::Replicas;
    asks.wait_ms = 10;
    asks.most_age_ms = 1_000;
    let fresh = share.answer(&asks).await.unwrap();
    assert!(fresh.replicas.is_some(), "no complete list for a first question");
    tokio::time::sleep(Duration::from_millis(40)).await;
    asks.most_age_ms = 20;
    let old = share.answer(&asks).await.unwrap();
    assert!(old.replicas.is_none() && old.age_ms > 20);
}

/// Returns a question of a process that knows these versions of a model.
fn asks_with(newest: Option<u64>, targets: usize) -> SharedQuestion {
    let mut asks = serde_json::to_value(question(0)).unwrap();
    asks["targets"] = json!(targets);
    asks["newest"] = json!(newest.map(|n| json!({"m": n})));
    asks["wait_ms"] = json!(300);
    serde_json::from_value(asks).unwrap()
}

fn name(facts: &Facts, version: u64) {
    let target = VersionTarget { model: Arc::from("m"), version };
    let published = Published::at(facts.now());
    facts.learn(Record::Target(target), Source::new("test"), published);
}

async fn answered_after(share: &Share, asks: &SharedQuestion) -> Duration {
    let asked = Instant::now();
    let answer = share.answer(asks).await.unwrap();
    assert!(!answer.targets.is_empty());
    asked.elapsed()
}

/// Guards against a process that is told late of the newest version because
/// it knows as many as the one that it asks.
#[tokio::test]
async fn a_newer_version_is_told_at_once_however_many_are_known() {
    let share = share();
    share.reach(Collection::Declarations, 1, share.facts().now());
    name(share.facts(), 3);
    let at_once = answered_after(&share, &asks_with(Some(2), 2)).await;
    assert!(at_once < Duration::from_millis(200), "{at_once:?}");
}

/// Guards against questions and answers without a pause between a process
/// and one that knows fewer versions, or an older one.
#[tokio::test]
async fn a_process_that_knows_the_newest_version_waits_for_the_next() {
    let share = share();
    share.reach(Collection::Declarations, 1, share.facts().now());
    for version in [2, 3] {
        name(share.facts(), version);
    }
    for asks in [asks_with(Some(3), 1), asks_with(Some(4), 1)] {
        let waited = answered_after(&share, &asks).await;
        assert!(waited >= Duration::from_millis(300), "{waited:?}");
    }
}

/// Guards against processes that understand no question of another build.
#[tokio::test]
async fn a_question_that_only_counts_versions_is_answered() {
    let share = share();
    share.reach(Collection::Declarations, 1, share.facts().now());
    name(share.facts(), 2);
    name(share.facts(), 3);
    let at_once = answered_after(&share, &asks_with(None, 0)).await;
    assert!(at_once < Duration::from_millis(200), "{at_once:?}");
    // It may know 3 and take no older version.
    let waited = answered_after(&share, &asks_with(None, 1)).await;
    assert!(waited >= Duration::from_millis(300), "{waited:?}");
    let mut asks = asks_with(None, 1);
    asks.wait_ms = 2_000;
    let answered = answered_after(&share, &asks);
    let naming = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        name(share.facts(), 4);
    };
    let (took, ()) = tokio::join!(answered, naming);
    assert!(took < Duration::from_millis(1_000), "{took:?}");
}

#[test]
fn incomplete_or_oversized_compressed_input_is_rejected() {
    let packed = pack(&[7; 10_000]);
    assert_eq!(unpack(&packed, 10_000).unwrap().len(), 10_000);
    assert_eq!(unpack(&packed, 9_999).unwrap_err().code(), Code::OtherDigest);
    let cut = &packed[..packed.len() - 3];
    assert_eq!(unpack(cut, 10_000).unwrap_err().code(), Code::OtherDigest);
    assert_eq!(unpack(b"plain", 10).unwrap_err().code(), Code::OtherDigest);
}
