//! Sharing what a process has read with other processes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use stairhinge::Code;
use stairhinge::direct::{RouteTable, RouteTableParts};
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

#[test]
fn incomplete_or_oversized_compressed_input_is_rejected() {
    let packed = pack(&[7; 10_000]);
    assert_eq!(unpack(&packed, 10_000).unwrap().len(), 10_000);
    assert_eq!(unpack(&packed, 9_999).unwrap_err().code(), Code::OtherDigest);
    let cut = &packed[..packed.len() - 3];
    assert_eq!(unpack(cut, 10_000).unwrap_err().code(), Code::OtherDigest);
    assert_eq!(unpack(b"plain", 10).unwrap_err().code(), Code::OtherDigest);
}
