//! Tests for the time by which a request is sent to a replica whose version
//! expires.
//!
//! Guards against margins that are the same whatever a request takes: what is
//! still queued or read when the replica stands still begins too late.

use std::time::Duration;

use stairhinge::Time;
use stairhinge::direct::balance::{LatencyModel, Load};

use super::{BEGIN_RESERVE, Terms, UNKNOWN_WAIT, expected_wait};

const ENGINE: LatencyModel = LatencyModel {
    slots: 8,
    tokens_per_ms: 20.0,
    usual_prompt: 900.0,
    entries: 1.0,
    slot_ms: 140.0,
};

fn wait(load: Load, slowdown: f64, delay_ms: f64, tokens: u32) -> u128 {
    expected_wait(&ENGINE, &load, slowdown, delay_ms, tokens).as_millis()
}

#[test]
fn the_prompt_the_queue_the_pace_and_the_link_all_count() {
    let idle = Load::default();
    let short = wait(idle, 1.0, 0.0, 100);
    assert_eq!(wait(idle, 1.0, 0.0, 18_000), short + 895);
    assert_eq!(wait(idle, 2.0, 0.0, 100), short * 2);
    assert_eq!(wait(idle, 0.5, 0.0, 100), short);
    assert_eq!(wait(idle, 1.0, 80.0, 100), short + 80);
    let queued =
        Load { own_pending: 1, own_pending_tokens: 8_000, ..Load::default() };
    assert!(wait(queued, 1.0, 0.0, 100) >= short + 400);
}

#[test]
fn a_service_that_tells_no_speed_is_expected_to_be_slow() {
    let plain = LatencyModel::plain(8);
    let wait = expected_wait(&plain, &Load::default(), 1.0, 0.0, 100);
    assert_eq!(wait, UNKNOWN_WAIT);
}

#[test]
fn the_longer_a_request_takes_the_earlier_it_is_sent() {
    let begin_by = Time::from_millis(10_000);
    let terms = Terms { version: None, begin_by: Some(begin_by) };
    for takes in [50, 900, 20_000].map(Duration::from_millis) {
        let last = begin_by.before(takes + BEGIN_RESERVE);
        assert!(!terms.can_begin(takes, last), "{takes:?}");
        let before = last.before(Duration::from_millis(1));
        let sent = before > Time::from_millis(0);
        assert_eq!(terms.can_begin(takes, before), sent, "{takes:?}");
        assert_eq!(terms.send_by(takes), Some(begin_by.before(takes)));
    }
    let newest = Terms::default();
    assert!(newest.can_begin(Duration::MAX, begin_by));
}
