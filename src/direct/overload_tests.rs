//! Tests that entries do not send a replica more than it can start in time.

use super::balance::{Candidate, LatencyModel, Load, choose};
use super::{Contention, Replica, ReplicaState};

fn candidate(load: Load, entries: f64) -> Candidate {
    let latency = LatencyModel {
        slots: 16,
        tokens_per_ms: 30.0,
        usual_prompt: 1_000.0,
        entries,
        slot_ms: 100.0,
    };
    Candidate {
        load,
        latency,
        near: true,
        queue: 0,
        offset: 0.0,
        link_delay_ms: 0.0,
        slowdown: 1.0,
        max_backlog_ms: 200.0,
    }
}

fn reading(tokens: u32) -> Load {
    Load { own_pending: 1, own_pending_tokens: tokens, ..Load::default() }
}

#[test]
fn replica_with_a_long_prompt_backlog_is_not_chosen() {
    assert_eq!(choose(&[candidate(reading(5_900), 1.0)]), Some(0));
    assert_eq!(choose(&[candidate(reading(6_100), 1.0)]), None);
    let others = Load { others_pending: 7, ..Load::default() };
    assert_eq!(choose(&[candidate(others, 1.0)]), None);
    // An idle replica has capacity for a prompt of any size.
    assert_eq!(choose(&[candidate(Load::default(), 9.0)]), Some(0));
}

#[test]
fn own_pending_tokens_count_once_per_entry() {
    let idle = candidate(reading(1_000), 1.0);
    assert_eq!(choose(&[idle]), Some(0));
    let contended = candidate(reading(1_000), 9.0);
    assert_eq!(choose(&[contended]), None, "9,000 tokens are pending");
}

#[test]
fn contention_estimates_the_number_of_entries() {
    let mut contention = Contention::new();
    assert!((contention.entries() - 1.0).abs() < 1e-9);
    for _ in 0..2_000 {
        contention.record_report(2, 16);
    }
    assert!((contention.entries() - 8.0).abs() < 0.1);
    for _ in 0..4_000 {
        contention.record_report(8, 16);
    }
    assert!((contention.entries() - 2.0).abs() < 0.1, "entries have left");
    for _ in 0..9_000 {
        contention.record_report(0, 16);
    }
    assert!(contention.entries() <= 16.0, "the estimate is limited");
}

fn replica(incarnation: &str, port: u16, listed_at: u64) -> Replica {
    Replica {
        incarnation: incarnation.into(),
        service: "pool".into(),
        addr: ([127, 0, 0, 1], port).into(),
        hall: "a".into(),
        slots: 8,
        state: ReplicaState::Ready,
        listed_at,
        cold_ms: 0,
        born: None,
        versions: Vec::new(),
    }
}

#[test]
fn latest_run_at_an_address_replaces_earlier_runs() {
    let first = replica("i-1", 7_000, 10);
    assert!(first.is_replaced_by(&replica("i-2", 7_000, 20)));
    assert!(!first.is_replaced_by(&replica("i-2", 7_001, 20)));
    assert!(!first.is_replaced_by(&replica("i-1", 7_000, 20)), "same run");
    assert!(!first.is_replaced_by(&replica("i-0", 7_000, 5)));
    let unknown = replica("i-1", 7_000, 0);
    assert!(!unknown.is_replaced_by(&replica("i-2", 7_000, 20)));
}
