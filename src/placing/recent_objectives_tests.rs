//! Simulates request kinds of different urgency at overloaded replicas, in
//! virtual time.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

use super::{Need, RecentObjectives};
use crate::Time;
use crate::direct::AllowedRegions;
use crate::direct::balance::{Candidate, LatencyModel, Load, choose};
use crate::poison::Suspicion;

const SERVICE: &str = "pool";
/// The number of replicas.
const REPLICAS: usize = 12;
/// The number of requests that a replica serves at a time.
const SLOTS: u32 = 12;
/// The prompt tokens that a replica processes per millisecond.
const TOKENS_PER_MS: f64 = 4.0;
/// The number of prompt tokens of a request.
const PROMPT_TOKENS: u32 = 800;
/// The time from the first token of an answer to its end, in milliseconds.
const ANSWER_MS: u64 = 200;
/// The duration of the load, in milliseconds.
const DURATION_MS: u64 = 20_000;
/// The fraction of an objective for which prompts may wait.
const MAX_WAIT_RATIO: f64 = 0.5;

/// A kind of request: its route priority, its objective in milliseconds and
/// its rate in requests per ten milliseconds.
type Kind = (u8, u64, f64);

fn need(priority: u8, objective_ms: u64) -> Need {
    Need {
        service: Arc::from(SERVICE),
        model: None,
        version: None,
        tried: Vec::new(),
        silent: Vec::new(),
        priority: 1,
        route_priority: priority,
        prompt_tokens: PROMPT_TOKENS,
        objective: Duration::from_millis(objective_ms),
        regions: AllowedRegions::default(),
        suspicion: Suspicion::default(),
        shared_run: None,
        workspace: None,
        left_ms: 0,
        answer_tokens: None,
        fingerprint: None,
        continued: false,
        repeatable: true,
    }
}

fn candidate(load: Load, max_backlog_ms: f64) -> Candidate {
    let latency = LatencyModel {
        slots: SLOTS,
        tokens_per_ms: TOKENS_PER_MS,
        usual_prompt: f64::from(PROMPT_TOKENS),
        entries: 1.0,
        slot_ms: 20.0,
    };
    Candidate {
        load,
        latency,
        near: true,
        queue: 0,
        offset: 0.0,
        link_delay_ms: 0.0,
        slowdown: 1.0,
        max_backlog_ms,
    }
}

/// Simulates the load of `kinds`, with effective objectives or with each
/// request's own. Returns the share of the requests of each kind that found a
/// replica, and the longest wait of a prompt of the first kind, in
/// milliseconds.
fn simulate(kinds: &[Kind], effective: bool) -> (Vec<f64>, f64) {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut recent_objectives = RecentObjectives::default();
    let mut prompts_done_at = [0.0_f64; REPLICAS];
    let mut busy: Vec<Vec<u64>> = vec![Vec::new(); REPLICAS];
    let mut counts = vec![(0_u32, 0_u32); kinds.len()];
    let mut longest = 0.0_f64;
    for ms in 0..DURATION_MS {
        let now = Time::from_millis(ms);
        for ends in &mut busy {
            ends.retain(|end| *end > ms);
        }
        let mut order: Vec<usize> = (0..kinds.len()).collect();
        // Requests of the same millisecond are handled in queue order.
        order.sort_by_key(|kind| kinds[*kind].0);
        for kind in order {
            let (priority, objective, rate) = kinds[kind];
            if !rng.random_bool(rate / 10.0) {
                continue;
            }
            let need = need(priority, objective);
            recent_objectives.record(&need, now);
            let effective_objective = match effective {
                true => recent_objectives.effective_objective(&need, now),
                false => need.objective,
            };
            let max_backlog_ms =
                MAX_WAIT_RATIO * effective_objective.as_millis() as f64;
            let mut candidates = Vec::new();
            for (until, ends) in prompts_done_at.iter().zip(&busy) {
                let unread = (until - ms as f64).max(0.0) * TOKENS_PER_MS;
                let load = Load {
                    own_pending_tokens: unread as u32,
                    own_running: ends.len() as u32,
                    ..Load::default()
                };
                candidates.push(candidate(load, max_backlog_ms));
            }
            counts[kind].1 += 1;
            let Some(chosen) = choose(&candidates) else { continue };
            let waited = (prompts_done_at[chosen] - ms as f64).max(0.0);
            if kind == 0 {
                longest = longest.max(waited);
            }
            let reading = f64::from(PROMPT_TOKENS) / TOKENS_PER_MS;
            prompts_done_at[chosen] = ms as f64 + waited + reading;
            busy[chosen].push(prompts_done_at[chosen] as u64 + ANSWER_MS);
            counts[kind].0 += 1;
        }
    }
    let share = |(served, requests): &(u32, u32)| {
        f64::from(*served) / f64::from((*requests).max(1))
    };
    (counts.iter().map(share).collect(), longest)
}

/// Three kinds that together demand 1.6 times the prompt throughput of the
/// replicas. The least urgent kind has the longest objective.
const KINDS: [Kind; 3] = [(0, 400, 0.36), (1, 400, 0.36), (2, 800, 0.3)];

/// Guards against serving less urgent requests ahead of more urgent ones under
/// overload, which happens if each request counts with its own objective.
#[test]
fn under_overload_no_kind_displaces_a_more_urgent_one() {
    let (own, _) = simulate(&KINDS, false);
    assert!(own[2] > own[0] + 0.2, "own objectives: {own:?}");
    let (shares, waited) = simulate(&KINDS, true);
    // A difference above 5 percentage points means that a more urgent kind is
    // disadvantaged.
    assert!(shares[0] >= shares[2] - 0.05, "{shares:?}");
    assert!(shares[1] >= shares[2] - 0.05, "{shares:?}");
    assert!(shares[2] > 0.2, "the least urgent kind is starved: {shares:?}");
    assert!(waited <= MAX_WAIT_RATIO * 400.0, "{waited} ms");
}

#[test]
fn without_overload_all_kinds_are_served() {
    let low_load = KINDS
        .map(|(priority, objective, rate)| (priority, objective, rate / 2.5));
    let (shares, _) = simulate(&low_load, true);
    assert!(shares.iter().all(|share| *share > 0.97), "{shares:?}");
}

#[test]
fn only_recent_requests_that_are_at_least_as_urgent_count() {
    let mut recent_objectives = RecentObjectives::default();
    let at = Time::from_millis;
    let windows = |n: u64| RecentObjectives::WINDOW.as_millis() as u64 * n;
    recent_objectives.record(&need(1, 400), at(0));
    let ms = |recent_objectives: &RecentObjectives, priority, now| {
        recent_objectives
            .effective_objective(&need(priority, 800), at(now))
            .as_millis()
    };
    assert_eq!(ms(&recent_objectives, 2, 10), 400);
    assert_eq!(ms(&recent_objectives, 1, 10), 400, "same urgency");
    assert_eq!(
        ms(&recent_objectives, 0, 10),
        800,
        "only a less urgent request"
    );
    assert_eq!(ms(&recent_objectives, 2, windows(1) + 1), 400);
    assert_eq!(ms(&recent_objectives, 2, windows(2) + 1), 800, "not recent");
    let mut other = need(2, 800);
    other.service = Arc::from("other");
    assert_eq!(
        recent_objectives.effective_objective(&other, at(10)).as_millis(),
        800
    );
}
