//! Plays load on engines that are slow from time to time, in virtual time.
//!
//! Each engine reads prompts one after the other and generates answers in its
//! slots. The actual [`choose`] and [`FirstByteSpeed`] are used.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

use super::{FirstByteSpeed, UsualRatio};
use crate::Time;
use crate::direct::balance::{Candidate, LatencyModel, Load, choose};

const ENGINES: usize = 20;
const SLOTS: u32 = 12;
/// Prompt tokens that an engine reads per millisecond.
const TOKENS_PER_MS: f64 = 31.9;
/// The mean number of prompt tokens.
const MEAN_TOKENS: f64 = 900.0;
/// The time from the first token to the end of an answer, in milliseconds.
const ANSWER_MS: f64 = 500.0;
/// The time of a forward pass, in milliseconds.
const STEP_MS: f64 = 12.0;
/// Requests per millisecond, 14 a second at each engine.
const REQUESTS_PER_MS: f64 = 0.28;
/// The length of a slow period, in milliseconds.
const SLOW_MS: u64 = 600;
/// The share of slow periods.
const SLOW_SHARE: f64 = 0.15;
/// The factor by which a slow engine reads and generates slower.
const SLOW_FACTOR: f64 = 2.5;
/// The target time until the first token, in milliseconds.
const OBJECTIVE_MS: f64 = 400.0;
/// The length of the load, in milliseconds.
const DURATION_MS: u64 = 20_000;

enum Event {
    Arrive,
    Begin { engine: usize, tokens: u32, took: f64, expected: f64, number: u64 },
    End { engine: usize },
}

#[derive(Debug, Default)]
struct Outcome {
    requests: u32,
    in_time: u32,
    /// The sum of the times to the first token, in milliseconds.
    first_ms: f64,
    /// The times from the start of slow periods until they were noticed, in
    /// milliseconds, and the number of periods.
    noticed: Vec<u64>,
    slow_periods: usize,
    /// Milliseconds of engines that count as slow from 0.5 s after the end of
    /// their slow period, and of all engines that are not slow by then.
    mistaken_ms: u64,
    sound_ms: u64,
}

/// Returns the factor by which an engine is slow at a time.
fn slowness(slow: &[Vec<bool>], engine: usize, now: u64) -> f64 {
    let period = (now / SLOW_MS) as usize;
    if slow[engine][period] { SLOW_FACTOR } else { 1.0 }
}

fn play(speed: bool, slow_share: f64, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let periods = ((DURATION_MS + 60_000) / SLOW_MS) as usize;
    let slow: Vec<Vec<bool>> = (0..ENGINES)
        .map(|_| {
            let mut draw = || rng.random::<f64>() < slow_share;
            (0..periods).map(|_| draw()).collect()
        })
        .collect();
    let offsets: Vec<f64> = (0..ENGINES).map(|_| rng.random()).collect();
    let mut loads = vec![Load::default(); ENGINES];
    let mut speeds = vec![FirstByteSpeed::default(); ENGINES];
    let mut usual = UsualRatio::default();
    let mut read_until = [0.0_f64; ENGINES];
    let mut noticed = [false; ENGINES];
    let mut events: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
    let mut at = 0.0;
    while (at as u64) < DURATION_MS {
        at -= (1.0 - rng.random::<f64>()).ln() / REQUESTS_PER_MS;
        events.entry(at as u64).or_default().push(Event::Arrive);
    }
    let mut outcome = Outcome::default();
    for now in 0..DURATION_MS + 5_000 {
        let time = Time::from_millis(now);
        for event in events.remove(&now).unwrap_or_default() {
            match event {
                Event::Arrive => {
                    let spread: f64 = rng.random();
                    let tokens = (MEAN_TOKENS * (0.4 + 1.2 * spread)) as u32;
                    outcome.requests += 1;
                    let candidates: Vec<Candidate> = (0..ENGINES)
                        .map(|engine| Candidate {
                            load: loads[engine],
                            latency: LatencyModel {
                                slots: SLOTS,
                                tokens_per_ms: TOKENS_PER_MS,
                                usual_prompt: MEAN_TOKENS,
                                entries: 1.0,
                                slot_ms: 30.0,
                            },
                            near: true,
                            queue: 0,
                            offset: offsets[engine],
                            link_delay_ms: 0.0,
                            slowdown: match speed {
                                true => speeds[engine].factor(usual, time),
                                false => 1.0,
                            },
                            max_backlog_ms: OBJECTIVE_MS / 2.0,
                        })
                        .collect();
                    let Some(engine) = choose(&candidates) else { continue };
                    let expected =
                        candidates[engine].expected_first_token_ms(tokens);
                    let factor = slowness(&slow, engine, now);
                    let read = f64::from(tokens) / TOKENS_PER_MS * factor;
                    let done = read_until[engine].max(now as f64) + read;
                    read_until[engine] = done;
                    let took = done + STEP_MS * factor - now as f64;
                    outcome.in_time += u32::from(took <= OBJECTIVE_MS);
                    outcome.first_ms += took;
                    loads[engine].own_pending += 1;
                    loads[engine].own_pending_tokens += tokens;
                    let expected = expected.unwrap();
                    let number = speeds[engine].record_sent(expected, time);
                    let begin = Event::Begin {
                        engine,
                        tokens,
                        took,
                        expected,
                        number,
                    };
                    let at = now + took.ceil() as u64;
                    events.entry(at).or_default().push(begin);
                }
                Event::Begin { engine, tokens, took, expected, number } => {
                    speeds[engine].forget(number);
                    loads[engine].own_pending -= 1;
                    loads[engine].own_pending_tokens -= tokens;
                    loads[engine].own_running += 1;
                    speeds[engine].record(took / expected, time);
                    usual.record(took / expected);
                    let factor = slowness(&slow, engine, now);
                    let at = now + (ANSWER_MS * factor) as u64;
                    events.entry(at).or_default().push(Event::End { engine });
                }
                Event::End { engine } => loads[engine].own_running -= 1,
            }
        }
        if !(2 * SLOW_MS..DURATION_MS).contains(&now) {
            continue;
        }
        let (period, into) = ((now / SLOW_MS) as usize, now % SLOW_MS);
        for engine in 0..ENGINES {
            let factor = speeds[engine].factor(usual, time);
            let was_slow = slow[engine][period - 1];
            let starts = slow[engine][period] && !was_slow;
            if starts && into == 0 {
                outcome.slow_periods += 1;
                noticed[engine] = false;
            }
            if starts && !noticed[engine] && factor > 1.0 {
                noticed[engine] = true;
                outcome.noticed.push(into);
            }
            if !slow[engine][period] && (!was_slow || into >= 500) {
                outcome.sound_ms += 1;
                outcome.mistaken_ms += u64::from(factor > 1.0);
            }
        }
    }
    outcome.noticed.sort_unstable();
    outcome
}

/// Guards against a speed that is noticed too late to help callers, and
/// against one that follows the noise of single requests.
#[test]
fn slow_engines_get_fewer_requests() {
    for seed in 0..4 {
        let without = play(false, SLOW_SHARE, seed);
        let with = play(true, SLOW_SHARE, seed);
        let share = |o: &Outcome| f64::from(o.in_time) / f64::from(o.requests);
        let mean = |o: &Outcome| o.first_ms / f64::from(o.requests);
        let median = with.noticed[with.noticed.len() / 2];
        let noticed = with.noticed.len();
        println!(
            "in time {:.4} without, {:.4} with; first token after {:.1} ms \
             without, {:.1} ms with; noticed {noticed} of {} after {median} ms",
            share(&without),
            share(&with),
            mean(&without),
            mean(&with),
            with.slow_periods,
        );
        let quiet = play(true, 0.0, seed);
        let mistaken = quiet.mistaken_ms as f64 / quiet.sound_ms as f64;
        println!("no engine is slow: mistaken {mistaken:.4}");
        assert!(share(&with) >= share(&without) - 0.002);
        assert!(mean(&with) < mean(&without));
        assert!(median <= 250, "noticed after {median} ms");
        assert!(noticed * 10 >= with.slow_periods * 9, "{noticed} noticed");
        assert!(mistaken <= 0.02, "{mistaken}");
        let mistaken = with.mistaken_ms as f64 / with.sound_ms as f64;
        assert!(mistaken <= 0.02, "{mistaken}");
    }
}
