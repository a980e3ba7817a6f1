//! Tests for what is known about an engine's layers.

use std::time::{Duration, Instant};

use stairhinge_gateway::Provenance;

use super::LoadHistory;
use crate::engine::EngineState;

fn state(sequence: u64) -> EngineState {
    EngineState { sequence, version: Some(2), ..EngineState::default() }
}

/// Has the engine answer a query with this sequence number.
fn see(history: &mut LoadHistory, sequence: u64, at: Instant) {
    let query = history.begin_query(at);
    history.record_state(&state(sequence), query, at);
}

fn provenance(history: &LoadHistory, sequence: u64) -> Provenance {
    history.provenance(&state(sequence))
}

/// Guards against trust in a load by a late order of an earlier process.
#[test]
fn only_the_load_that_was_found_is_inherited() {
    let (mut history, now) = (LoadHistory::default(), Instant::now());
    assert_eq!(provenance(&history, 0), Provenance::Verified);
    see(&mut history, 4, now);
    assert_eq!(provenance(&history, 4), Provenance::Inherited);
    see(&mut history, 5, now);
    assert_eq!(provenance(&history, 5), Provenance::Unverified);
    history.record_verified(5);
    assert_eq!(provenance(&history, 5), Provenance::Verified);
}

/// Guards against trust in an order that was under way at the start.
#[test]
fn a_load_in_progress_is_not_inherited() {
    let (mut history, now) = (LoadHistory::default(), Instant::now());
    let query = history.begin_query(now);
    let busy = EngineState { busy: true, ..state(4) };
    history.record_state(&busy, query, now);
    see(&mut history, 4, now);
    assert_eq!(provenance(&history, 4), Provenance::Unverified);
}

/// Guards against a sequence number that two processes of an engine share.
#[test]
fn nothing_is_known_about_a_restarted_engine() {
    let (mut history, now) = (LoadHistory::default(), Instant::now());
    see(&mut history, 2, now);
    history.record_verified(2);
    let later = now + Duration::from_millis(1);
    see(&mut history, 0, later);
    see(&mut history, 2, later);
    assert_eq!(provenance(&history, 2), Provenance::Unverified);
}

/// Guards against a restart that never was, by answers that arrive in another
/// order than they were asked for.
#[test]
fn an_overtaken_answer_is_ignored() {
    let (mut history, now) = (LoadHistory::default(), Instant::now());
    see(&mut history, 1, now);
    let early = history.begin_query(now);
    let later = now + Duration::from_millis(5);
    see(&mut history, 2, later);
    history.record_verified(2);
    history.record_state(&state(1), early, later);
    assert_eq!(provenance(&history, 2), Provenance::Verified);
}

/// Guards against chunks that were bad when the engine took them, and were
/// written again before they were read back.
#[test]
fn a_write_after_the_load_hides_what_was_loaded() {
    let (mut history, now) = (LoadHistory::default(), Instant::now());
    history.begin_write();
    history.end_write(true);
    see(&mut history, 1, now);
    see(&mut history, 2, now);
    assert!(history.is_staging_unchanged());
    history.begin_write();
    assert!(!history.is_staging_unchanged());
    history.end_write(true);
    see(&mut history, 2, now);
    assert!(!history.is_staging_unchanged());
    see(&mut history, 3, now);
    assert!(history.is_staging_unchanged());
}

/// Guards against a write that failed and takes effect after the load.
#[test]
fn a_failed_write_counts_until_the_engine_has_answered_for_a_while() {
    let (mut history, now) = (LoadHistory::default(), Instant::now());
    see(&mut history, 1, now);
    history.begin_write();
    history.end_write(false);
    see(&mut history, 1, now);
    see(&mut history, 2, now);
    assert!(!history.is_staging_unchanged());
    let later = now + Duration::from_secs(2);
    see(&mut history, 2, later);
    see(&mut history, 2, later);
    assert!(!history.is_staging_unchanged());
    see(&mut history, 3, later);
    assert!(history.is_staging_unchanged());
}
