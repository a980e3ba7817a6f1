//! Kinds of different urgency at replicas that are overloaded, in virtual
//! time.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

use super::{Need, RecentObjectives};
use crate::Time;
use crate::direct::AllowedRegions;
use crate::direct::balance::{Candidate, Load, Pace, choose};
use crate::poison::Suspicion;

const SERVICE: &str = "pool";
/// Replicas, and what each takes at a time.
const REPLICAS: usize = 12;
const SLOTS: u32 = 12;
/// Prompt tokens that a replica reads in a millisecond.
const TOKENS_PER_MS: f64 = 4.0;
/// Prompt tokens of a request.
const PROMPT: u32 = 800;
/// How long an answer takes after its first token, in milliseconds.
const ANSWER_MS: u64 = 200;
/// How long the load lasts, in milliseconds.
const LASTS_MS: u64 = 20_000;
/// The part of an objective that prompts may wait.
const PART: f64 = 0.5;

/// A kind of request: its priority, objective in milliseconds and requests in
/// each ten milliseconds.
type Kind = (u8, u64, f64);

fn need(priority: u8, objective_ms: u64) -> Need {
    Need {
        service: Arc::from(SERVICE),
        model: None,
        version: None,
        tried: Vec::new(),
        priority: 1,
        route_priority: priority,
        prompt_tokens: PROMPT,
        objective: Duration::from_millis(objective_ms),
        regions: AllowedRegions::default(),
        suspicion: Suspicion::default(),
    }
}

fn candidate(load: Load, most_ms: f64) -> Candidate {
    let pace = Pace {
        slots: SLOTS,
        tokens_per_ms: TOKENS_PER_MS,
        usual_prompt: f64::from(PROMPT),
        entries: 1.0,
        slot_ms: 20.0,
    };
    Candidate {
        load,
        pace,
        near: true,
        queue: 0,
        offset: 0.0,
        delay_ms: 0.0,
        slowdown: 1.0,
        most_ms,
    }
}

/// Plays the kinds and returns the share of each that found a replica, and the
/// longest that a prompt of the first kind waited, in milliseconds.
fn play(kinds: &[Kind], counted: bool) -> (Vec<f64>, f64) {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut recent_objectives = RecentObjectives::default();
    let mut read_until = [0.0_f64; REPLICAS];
    let mut busy: Vec<Vec<u64>> = vec![Vec::new(); REPLICAS];
    let mut counts = vec![(0_u32, 0_u32); kinds.len()];
    let mut longest = 0.0_f64;
    for ms in 0..LASTS_MS {
        let now = Time::from_millis(ms);
        for ends in &mut busy {
            ends.retain(|end| *end > ms);
        }
        let mut order: Vec<usize> = (0..kinds.len()).collect();
        // Requests of one millisecond are taken in the order of the queue.
        order.sort_by_key(|kind| kinds[*kind].0);
        for kind in order {
            let (priority, objective, rate) = kinds[kind];
            if !rng.random_bool(rate / 10.0) {
                continue;
            }
            let need = need(priority, objective);
            recent_objectives.record(&need, now);
            let bound = match counted {
                true => recent_objectives.effective_objective(&need, now),
                false => need.objective,
            };
            let most_ms = PART * bound.as_millis() as f64;
            let mut candidates = Vec::new();
            for (until, ends) in read_until.iter().zip(&busy) {
                let unread = (until - ms as f64).max(0.0) * TOKENS_PER_MS;
                let load = Load {
                    own_pending_tokens: unread as u32,
                    own_running: ends.len() as u32,
                    ..Load::default()
                };
                candidates.push(candidate(load, most_ms));
            }
            counts[kind].1 += 1;
            let Some(chosen) = choose(&candidates) else { continue };
            let waited = (read_until[chosen] - ms as f64).max(0.0);
            if kind == 0 {
                longest = longest.max(waited);
            }
            let reading = f64::from(PROMPT) / TOKENS_PER_MS;
            read_until[chosen] = ms as f64 + waited + reading;
            busy[chosen].push(read_until[chosen] as u64 + ANSWER_MS);
            counts[kind].0 += 1;
        }
    }
    let share = |(served, asked): &(u32, u32)| {
        f64::from(*served) / f64::from((*asked).max(1))
    };
    (counts.iter().map(share).collect(), longest)
}

/// Three kinds at 1.6 times what the replicas read; the least urgent has the
/// longest objective.
const KINDS: [Kind; 3] = [(0, 400, 0.36), (1, 400, 0.36), (2, 800, 0.3)];

#[test]
fn under_overload_no_kind_goes_before_one_that_is_more_urgent() {
    let (alone, _) = play(&KINDS, false);
    assert!(alone[2] > alone[0] + 0.2, "each by its own: {alone:?}");
    let (shares, waited) = play(&KINDS, true);
    // 5 in 100 is where callers of the more urgent kind are put behind.
    assert!(shares[0] >= shares[2] - 0.05, "{shares:?}");
    assert!(shares[1] >= shares[2] - 0.05, "{shares:?}");
    assert!(shares[2] > 0.2, "it is not starved: {shares:?}");
    assert!(waited <= PART * 400.0, "{waited} ms");
}

#[test]
fn without_overload_all_kinds_are_served() {
    let calm = KINDS
        .map(|(priority, objective, rate)| (priority, objective, rate / 2.5));
    let (shares, _) = play(&calm, true);
    assert!(shares.iter().all(|share| *share > 0.97), "{shares:?}");
}

#[test]
fn only_what_is_as_urgent_and_came_of_late_counts() {
    let mut recent_objectives = RecentObjectives::default();
    let at = Time::from_millis;
    let spans = |n: u64| RecentObjectives::REMEMBERED.as_millis() as u64 * n;
    recent_objectives.record(&need(1, 400), at(0));
    let ms = |recent_objectives: &RecentObjectives, priority, now| {
        recent_objectives
            .effective_objective(&need(priority, 800), at(now))
            .as_millis()
    };
    assert_eq!(ms(&recent_objectives, 2, 10), 400);
    assert_eq!(ms(&recent_objectives, 1, 10), 400, "of the same urgency");
    assert_eq!(
        ms(&recent_objectives, 0, 10),
        800,
        "less urgent than this one"
    );
    assert_eq!(ms(&recent_objectives, 2, spans(1) + 1), 400);
    assert_eq!(
        ms(&recent_objectives, 2, spans(2) + 1),
        800,
        "no more of it came"
    );
    let mut other = need(2, 800);
    other.service = Arc::from("other");
    assert_eq!(
        recent_objectives.effective_objective(&other, at(10)).as_millis(),
        800
    );
}
