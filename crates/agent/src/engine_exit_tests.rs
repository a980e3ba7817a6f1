//! Tests for what an agent reports of its backend server's exit.

use super::{BackendExit, EngineActivity, MAX_EXIT_SPAN};
use stairhinge::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against a backend server that has been down for long, or was never
/// up, and whose exit is taken for one at the time of any crash elsewhere.
#[test]
fn only_a_recent_exit_is_reported_and_only_once() {
    let activity = EngineActivity::default();
    assert_eq!(activity.take_exit(0, at(5_000)), None, "never up");
    activity.record_answer(at(6_000));
    let later = at(6_001).after(MAX_EXIT_SPAN);
    assert_eq!(activity.take_exit(0, later), None, "down for long");
    activity.record_answer(at(10_000));
    let exit = BackendExit { after: at(10_000), idle: true };
    assert_eq!(activity.take_exit(0, at(10_400)), Some(exit));
    assert_eq!(activity.take_exit(0, at(10_500)), None, "reported");
}

/// Guards against a backend server that counts as idle although a request may
/// have ended it.
#[test]
fn a_backend_server_with_recent_requests_is_not_idle() {
    let activity = EngineActivity::default();
    activity.record_busy(at(9_000));
    activity.record_answer(at(10_000));
    let exit = |running| activity.take_exit(running, at(10_400));
    assert_eq!(exit(0).map(|e| e.idle), Some(true));
    activity.record_answer(at(10_001));
    assert_eq!(exit(1).map(|e| e.idle), Some(false));
    activity.record_answer(at(10_002));
    activity.record_busy(at(10_300));
    assert_eq!(exit(0).map(|e| e.idle), Some(false));
}
