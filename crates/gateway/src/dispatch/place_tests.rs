//! Tests for what the end of a request shows about its replica.

use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use stairhinge::direct::{Replica, ReplicaState};
use stairhinge::health::Source;
use stairhinge::placing::Outcome;

use super::{Place, PlaceOutcome};
use crate::placing::Chooser;

fn place() -> Place {
    let replica = Replica {
        incarnation: Arc::from("i-1"),
        service: Arc::from("pool"),
        addr: ([127, 0, 0, 1], 7_000).into(),
        hall: Arc::from("north"),
        slots: 8,
        state: ReplicaState::Ready,
        listed_at: 0,
        born: None,
        cold_ms: 0,
        versions: Vec::new(),
    };
    let mut place = Place {
        replica: Arc::new(replica),
        version: None,
        begin_by: None,
        send_by: None,
        load: 0,
        delay_ms: 0,
        report_age: None,
        limit: None,
        chooser: Chooser::NoPeers,
        lease: None,
        prompt_tokens: 0,
        given_at: Instant::now(),
        began: false,
        outcome: Box::new(PlaceOutcome::default()),
        dispatcher: Weak::new(),
    };
    place.set_source(Source::new("a.example", "/x/", None), true);
    place
}

/// Guards against ejecting a replica because callers have little time left.
#[test]
fn a_timeout_counts_only_if_the_replica_had_the_usual_time() {
    let usual = Duration::from_millis(1_500);
    for (limit_ms, counts) in [(40, false), (1_500, true), (4_000, true)] {
        let mut place = place();
        place.record_timeout(Duration::from_millis(limit_ms), usual);
        assert_eq!(place.outcome.failed, Some(true), "{limit_ms} ms");
        let source = place.outcome.source;
        assert_eq!(source.is_some(), counts, "{limit_ms} ms");
    }
}

/// Guards against times reported by other processes that exceed the age of the
/// place and would distort the cost of failures.
#[test]
fn a_reported_time_is_at_most_the_age_of_the_place() {
    let mut place = place();
    let source = Source::new("a.example", "/x/", None);
    let reported = Some(Duration::from_millis(u64::from(u32::MAX)));
    place.record_reported_end(Outcome::Failed, Some(source), reported);
    let took = place.outcome.took.unwrap();
    assert!(took <= place.given_at.elapsed(), "{took:?}");
}
